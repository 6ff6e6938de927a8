/// Queue configuration set by the operators.
#pragma once

#include "cuminscale/units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminscale::dispatch
{

/// A queue, selected by host and path prefix of the request.
struct QueueRule
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    /// 0 is the most urgent: such jobs are never shed and may use the capacity reserved for them. The other levels are treated
    /// alike, and waiting tasks are ordered by latest start, not by urgency.
    std::uint32_t urgency = 0;
    std::uint32_t maxAttempts = 1; ///< Number of failed runs of one task after which the job fails.
    Duration timeout{0}; ///< Maximum duration of a request; 0 for no limit. Not enforced.
    Duration latencyObjective{0}; ///< Allowed duration of a job beyond `workFactor` times the run time of its critical path.
    double workFactor = 1.0;
    bool needsAdvice = false; ///< An external policy decides where steps may run. Not supported: jobs are refused.
};

/// Limits for client requests and connections.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 262144;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/// One version of the configuration, immutable once built.
struct QueueConfig
{
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<const QueueRule>> queues;
    RequestLimits limits;

    /// Returns the queue of the host with the longest matching path prefix, or null if there is none.
    std::shared_ptr<const QueueRule> match(std::string_view host, std::string_view path) const;
};

} // namespace cuminscale::dispatch
