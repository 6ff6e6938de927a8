/// An entry's view of the agents and their backend servers.
#pragma once

#include "core/dispatch/config_lag.h"
#include "core/dispatch/peer_session.h"
#include "core/dispatch/server_health.h"

#include <deque>
#include <map>

namespace cuminscale::dispatch
{

/// The list of entries that was last sent to a peer.
struct EntryListState
{
    TimePoint sentAt;
    std::size_t length = 0;
};

/// State of one agent and its backend server.
struct AgentView
{
    explicit AgentView(TimePoint now)
        : session(now)
    { }

    /// Resources of a start order that the agent's last report does not include yet.
    struct UnreportedOrder
    {
        std::uint64_t order = 0;
        std::int64_t cpuMilli = 0;
        std::int64_t memoryMb = 0;
        std::int64_t accelerators = 0;
        TimePoint startDeadline; ///< Latest start that meets the job's objective.
    };

    Endpoint endpoint;
    PeerSession session;
    std::string service;
    std::string domain;
    ServerLoad load;
    ServerHealth health;
    std::uint64_t lastOrder = 0; ///< Number of the last start order sent.
    std::uint64_t eventsSeen = 0; ///< Highest event number received without a gap.
    EntryListState entryList;
    bool hasOrphanedRuns = false; ///< Runs of a previous incarnation of the agent may still be running.
    bool answerDue = false; ///< A new incarnation was heard: it starts no runs before it has an echo of its messages.
    bool acknowledgementPending = false; ///< A run event was received and not yet acknowledged.
    std::uint32_t outstandingRuns = 0; ///< Ordered by this entry and not known to have ended.
    TimePoint ordinaryRunStartedAt; ///< Of the run of this entry that has ended there last and took the usual time.
    TimePoint ordinaryRunEndedAt;
    std::deque<UnreportedOrder> unreportedOrders; ///< Oldest first.
    ConfigLag configLag;
    bool evacuated = false; ///< As far as this entry knows, its failure domain is evacuated.

    /// Resources available for a task that must start within `slack`: the reported free resources, less unreported orders and
    /// less queued work that starts earlier because it has less slack. Its CPU component is negative if such work already
    /// has to wait, or the capacity has shrunk below what is booked. The capacity reserved for the most urgent work is not
    /// available to other work.
    Resources availableFor(Duration slack, std::uint32_t urgency, TimePoint now) const;

    /// Expected waiting time of a task with the given available resources, assuming that each resource is released at the rate
    /// at which running work ends.
    Duration expectedWait(const Resources &need, const Resources &free) const;

    /// CPU demand of queued tasks and unreported orders beyond the free capacity, in thousandths of a core; negative while
    /// capacity is left.
    std::int64_t excessCpu() const;

    bool hasLabel(std::string_view label) const;
};

/// The agents that this entry has received messages from.
class FleetView
{
public:
    using Agents = std::map<Endpoint, AgentView>;

    Agents &agents() noexcept
    {
        return m_agents;
    }

    const Agents &agents() const noexcept
    {
        return m_agents;
    }

    AgentView *find(const Endpoint &endpoint);

    /// Returns the agent at an address, adding it if it is unknown; null once the maximum number of agents is reached.
    AgentView *findOrAdd(const Endpoint &endpoint, TimePoint now);

    /// Updates an agent from a newer report and drops the unreported orders that the report includes.
    static void applyReport(AgentView &agent, const AgentReport &report);

    /// Whether an agent of a service accepts work, has reported recently and is in no evacuated failure domain.
    static bool usable(const AgentView &agent, const std::string &service, TimePoint now);

    /// Whether a server of a service, even one that does not accept work at present, has the label and the capacity for a task.
    /// Evacuated servers don't count, as an evacuation outlasts a job.
    bool hasServerFor(const std::string &service, const Resources &need, std::string_view requiredLabel) const;

    std::size_t usableCount(TimePoint now) const;

    /// Excess CPU demand of a service as a fraction of the capacity of its usable servers; 0 while capacity is left.
    double backlog(const std::string &service, TimePoint now) const;

    /// CPU capacity of the usable servers of a service, in cores.
    double usableCores(const std::string &service, TimePoint now) const;

    /// The fleet's state as fields of a log line, to explain refusals.
    std::string summary(TimePoint now) const;

private:
    Agents m_agents;
};

} // namespace cuminscale::dispatch
