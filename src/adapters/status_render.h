/// Renders the state of a process for operators, as JSON and as Prometheus metrics.
#pragma once

#include "core/status.h"

#include <string>

namespace cuminscale
{

struct TrafficCounters;

/// Resource usage of this process, as reported by the operating system.
struct ProcessUsage
{
    double cpuSeconds = 0; ///< User and system time since the start of the process.
    std::uint64_t residentBytes = 0;
};

ProcessUsage readProcessUsage();

std::string renderStatusJson(const StatusReport &report);

/// Renders the state in the Prometheus text exposition format. `storeCalls` is the number of calls to the key-value store so far.
std::string renderMetrics(const StatusReport &report, const TrafficCounters &traffic, const ProcessUsage &usage,
                          std::uint64_t storeCalls);

} // namespace cuminscale
