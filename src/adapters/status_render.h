/// The forms in which operators see the state of a process.
#pragma once

#include "core/status.h"

#include <string>

namespace cuminscale
{

struct TrafficCounters;

/// What the process as a whole has used, read from the system.
struct ProcessUsage
{
    double cpuSeconds = 0;
    std::uint64_t residentBytes = 0;
};

/// Reads this process's own usage.
ProcessUsage readUsage();

/// Renders the state as JSON.
std::string renderStatusJson(const StatusReport &report);

/// Renders the state in the Prometheus text form.
std::string renderMetrics(const StatusReport &report, const TrafficCounters &traffic, const ProcessUsage &usage,
                          std::uint64_t storeCalls);

} // namespace cuminscale
