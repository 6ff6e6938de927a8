/// The operators' configuration: which queues there are, and how their jobs are to be treated.
#pragma once

#include "cuminscale/units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminscale::dispatch
{

/// One queue, named by host and path prefix.
struct QueueRule
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::uint32_t urgency = 0; ///< 0 comes first. Not used yet: waiting tasks go by their latest start in time.
    std::uint32_t maxAttempts = 1; ///< Runs of a task that may end as failed before the job has failed.
    Duration timeout{0}; ///< The longest that a request may take; 0 for none.
    Duration latencyObjective{0}; ///< What a job may take beyond `workFactor` times its longest chain of work.
    double workFactor = 1.0;
    bool needsAdvice = false; ///< The queue's policy decides elsewhere where its steps may run.
};

/// Bounds on what a client may send.
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

    /// The queue with the longest prefix of the path, among those of the host; nothing where there is none.
    std::shared_ptr<const QueueRule> match(std::string_view host, std::string_view path) const;
};

} // namespace cuminscale::dispatch
