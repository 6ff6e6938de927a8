/// Checks a queue configuration before operators send it. Operators change documents of up to 1,600 queues by hand or by script;
/// a process accepts every document that can be parsed, so contradictions in it otherwise show only as misdirected or late jobs.
#pragma once

#include "core/dispatch/queue_config.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminscale::dispatch
{

enum class FindingSeverity {
    Error, ///< The configuration must not be sent.
    Warning, ///< The configuration is usable, but a part of it has no effect or contradicts another.
    Change, ///< A difference from the configuration in force.
};

struct ConfigFinding
{
    FindingSeverity severity = FindingSeverity::Error;
    std::string queue; ///< Name of the queue; empty if the finding concerns the whole configuration.
    std::string text; ///< A sentence without the name of the queue and without a full stop.
};

/// Checks one configuration, in time proportional to its size. `services` are the known services; without it, the services of the
/// queues are not checked. Findings are in the order of the queues, those on the limits come last.
std::vector<ConfigFinding> checkConfig(const QueueConfig &config, const std::optional<std::vector<std::string>> &services);

/// Lists the differences of `next` from the configuration in force: version, removed queues, added and changed queues, limits.
/// Queues are matched by name; of several with the same name, only the first is compared.
std::vector<ConfigFinding> compareConfigs(const QueueConfig &inForce, const QueueConfig &next);

} // namespace cuminscale::dispatch
