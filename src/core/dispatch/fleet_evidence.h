/// Evidence of the agents that runs of former incarnations of entries have ended.
///
/// Load pattern: all processes restart within a few hundred milliseconds, for example after a power loss, while every client
/// submits again. No list of active jobs of another entry contains the jobs of its former incarnation, so without this evidence
/// an entry has to wait until the runs of these jobs must have ended.
#pragma once

#include "core/dispatch/messages.h"

#include <map>

namespace cuminscale::dispatch
{

struct FleetEvidenceTiming
{
    /// Maximum age of a report. An agent that does not name an entry refuses orders of that entry for jobs that were requested
    /// more than AgentTiming::maxJobAgeAtContact (700 ms) before it heard the entry. So a job that it starts for that entry after
    /// such a report was requested less than 1.3 s before this age has passed, and its client has not submitted it elsewhere yet.
    Duration reportAge = milliseconds(600);
};

/// What the agents of the fleet have reported on the runs at their servers. The fleet consists of the agents that are listed in
/// the store and those that this entry has heard. Times are on this entry's clock.
class FleetEvidence
{
public:
    explicit FleetEvidence(const FleetEvidenceTiming &timing = FleetEvidenceTiming()) noexcept
        : m_timing(timing)
    { }

    /// Adds the agents that the store lists. An empty list says nothing about the fleet.
    void addListedAgents(const std::vector<Endpoint> &agents);

    /// Records that an agent has been heard.
    void recordAgent(const Endpoint &agent);

    /// Records a report. It was sent at `notOlderThan` at the earliest, which is known only if the agent has heard the present
    /// incarnation of this entry. Only reports that name the live entries count.
    void recordReport(const Endpoint &agent, TimePoint notOlderThan, const AgentReport &report);

    /// Whether the agents of the fleet are known and each has recently reported that it has examined its server.
    bool isComplete(TimePoint now) const
    {
        return m_listed && !m_overflow && firstMissing(now).agent == nullptr;
    }

    /// Whether all runs of other incarnations of an entry than the given one are jobs that an agent lists: see listsFormerJob().
    bool excludesFormerRuns(TimePoint now, const ProcessId &entry) const;

    /// Whether no agent has heard an entry recently, so that all its runs are jobs that an agent lists.
    bool isUnheard(TimePoint now, const Endpoint &entry) const;

    /// Whether an agent has reported recently that a job may have a run of a former incarnation of its coordinator.
    bool listsFormerJob(TimePoint now, const JobKey &job) const;

    /// Whether the store has listed agents.
    bool isFleetKnown() const noexcept
    {
        return m_listed;
    }

    std::size_t expectedAgents() const noexcept
    {
        return m_agents.size();
    }

    /// Number of agents whose latest report counts.
    std::size_t reportedAgents(TimePoint now) const;

    /// An agent whose report is missing, too old or not conclusive.
    struct Missing
    {
        const Endpoint *agent = nullptr; ///< Null if there is none.
        bool examining = false; ///< It reports, but has not examined its server.
    };
    Missing firstMissing(TimePoint now) const;

private:
    struct Statement
    {
        TimePoint notOlderThan; ///< Zero before the first report that counts.
        bool examined = false;
        std::vector<LiveEntry> liveEntries;
        std::vector<JobKey> formerJobs;
    };

    bool isRecent(TimePoint now, const Statement &statement) const noexcept
    {
        return statement.notOlderThan != TimePoint() && now - statement.notOlderThan < m_timing.reportAge;
    }

    /// Whether the evidence is complete, and each agent names no other incarnation of the entry than the given one; none at all
    /// if that is zero.
    bool namesOnly(TimePoint now, const Endpoint &entry, Incarnation incarnation) const;

    FleetEvidenceTiming m_timing;
    bool m_listed = false;
    bool m_overflow = false; ///< There are more agents than are recorded.
    std::map<Endpoint, Statement> m_agents;
};

} // namespace cuminscale::dispatch
