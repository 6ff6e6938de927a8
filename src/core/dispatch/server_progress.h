/// Detects at an agent that its backend server makes no progress or fails what it starts.
#pragma once

#include "core/dispatch/server_health.h"
#include "core/dispatch/types.h"

#include <map>
#include <set>

namespace cuminscale::dispatch
{

/// A run in progress.
struct RunProgress
{
    JobId job;
    TimePoint startedAt;
    Duration estimate{0};
};

/// Combines what the runs of all entries show about one backend server, for the agent to report.
///
/// Load pattern: in a fleet of dozens of entries, a server whose tasks stand still or fail keeps a few runs of each entry. If
/// each entry had to notice by its own runs, and later tried the server again with its own runs, most of them would miss their
/// objectives. The agent sees all of them.
class ServerProgress
{
public:
    void recordDone(TimePoint now);
    void recordFailure(TimePoint now, const JobId &job);

    /// Records that a run was stopped before it ended; if it was overdue, that counts as long as no run completes.
    void recordStopped(TimePoint now, const RunProgress &run);

    /// Checks the runs in progress for a standstill. To be called at regular intervals while the server answers polls.
    void check(TimePoint now, const std::vector<RunProgress> &runs);

    /// Whether the server should get no new work.
    bool suspect(TimePoint now) const noexcept
    {
        return m_health.suspect(now);
    }

    /// Whether no run has completed since the server was last suspect.
    bool onProbation() const noexcept
    {
        return m_health.onProbation();
    }

private:
    ServerHealth m_health;
    TimePoint m_lastDoneAt;
    std::map<JobId, double> m_stoppedRatios; ///< Longest elapsed over declared time of stopped runs since the last completed run.
    std::set<JobId> m_failedJobs; ///< Jobs of the failed runs since the last completed run.
};

} // namespace cuminscale::dispatch
