/// Counters of a core, and the report that operators see.
#pragma once

#include "core/messages.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cuminscale
{

/// What is counted. The names that operators see stand in status.cpp, in the same order.
enum class Counter : std::uint8_t {
    ControlSent,
    WorkSent,
    TasksStarted,
    TasksSucceeded,
    TasksFailed,
    TasksUnknown,
    TasksAborted,
    JobsAccepted,
    JobsComplete,
    JobsFailed,
    JobsRefused,
    Resubmissions,
    Conflicts,
    Expired,
    OffersSent,
    ClaimsSent,
    EmptyGrants,
    ClaimsBarred,
    LateGrantsDropped,
    QueriesSent,
    Resends,
    StaleDropped,
    WrongIncarnation,
    ConnectionsReplaced,
    CallsRefused,
    CallsUnknown,
    RequestRetries,
    RequestHedges,
    ConfigRefused,
    Total,
};

/// Values of all counters.
class Counters
{
public:
    /// Adds to one counter.
    void add(Counter counter, std::uint64_t n = 1) noexcept
    {
        m_values[static_cast<std::size_t>(counter)] += n;
    }

    /// Reads one counter.
    std::uint64_t get(Counter counter) const noexcept
    {
        return m_values[static_cast<std::size_t>(counter)];
    }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Total)> m_values{};
};

/// The name of a counter in metrics and reports.
const char *counterName(Counter counter) noexcept;

/// The state of one process and of those it knows.
struct StatusReport
{
    ProcessId self;
    std::string role;
    std::string domain;
    Revision revision;
    bool ready = false;
    bool leaving = false;
    std::vector<ProcessId> entries;
    std::vector<AgentBrief> agents;
    std::uint64_t jobs = 0;
    std::uint64_t waitingTasks = 0;
    std::uint64_t pendingCalls = 0;
    Counters counters;
};

} // namespace cuminscale
