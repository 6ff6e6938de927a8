/// Counters of a core and the status report for operators.
#pragma once

#include "core/messages.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cuminscale
{

/// Events that are counted. Their names in metrics and reports are listed in status.cpp in the same order.
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
    ClaimsBarred, ///< Granted tasks that the queried agent has not started, and that can be granted again.
    LateGrantsDropped,
    QueriesSent,
    Resends,
    StaleDropped, ///< Messages from an earlier incarnation, and submissions that arrive after their deadline.
    WrongIncarnation, ///< Messages addressed to an earlier incarnation of this process.
    ConnectionsReplaced,
    CallsRefused,
    CallsUnknown,
    RequestRetries,
    RequestHedges,
    ConfigRefused,
    Total, ///< Number of counters.
};

class Counters
{
public:
    void add(Counter counter, std::uint64_t n = 1) noexcept
    {
        m_values[static_cast<std::size_t>(counter)] += n;
    }

    std::uint64_t get(Counter counter) const noexcept
    {
        return m_values[static_cast<std::size_t>(counter)];
    }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Total)> m_values{};
};

/// The name of a counter in metrics and reports.
const char *counterName(Counter counter) noexcept;

/// State of one process and of the peers it knows.
struct StatusReport
{
    ProcessId self;
    std::string role;
    std::string domain;
    Revision revision;
    bool ready = false; ///< Entries: ready for callers. Agents: accepting work.
    bool leaving = false;
    std::vector<ProcessId> entries;
    std::vector<AgentSummary> agents;
    std::uint64_t jobs = 0; ///< In progress at this process's coordinator.
    std::uint64_t waitingTasks = 0;
    std::uint64_t pendingCalls = 0; ///< Callers that wait for an answer from this entry.
    Counters counters;
};

} // namespace cuminscale
