/// Measurement at an agent of how fast its backend server runs tasks, from the runs of all entries.
#pragma once

#include "core/dispatch/server_progress.h"

#include <deque>

namespace cuminscale::dispatch
{

/// Run times relative to the expected ones on a server of ordinary speed, on a logarithmic scale.
///
/// Load pattern: the servers of a fleet have fixed speeds, up to 1.6 times faster or slower than the ordinary one, and some
/// become several times slower for seconds. Expected run times are off by a factor of 1.3, and a few jobs in a hundred take
/// several times as long on any server. An entry has too few runs on each server to tell these causes apart; the agent sees the
/// runs of all entries. The usual speed is the mean over the last minute. A change shows in the median of the jobs of the last
/// second, which one long job does not move. Each job counts once, because its tasks are alike.
class ServerSpeed
{
public:
    /// Records a completed run of a task that takes `baseline` on a server of ordinary speed.
    void recordDone(TimePoint now, const JobId &job, Duration ran, Duration baseline);

    /// Updates the speed from the runs in progress, whose estimates are their baselines. To be called at regular intervals.
    void check(TimePoint now, const std::vector<RunProgress> &runs);

    /// Run times as multiples of those on a server of ordinary speed.
    double slowness() const noexcept;

    /// Number of jobs that slowness() stands for; 0 if there were none.
    double weight(TimePoint now) const noexcept;

private:
    struct Sample
    {
        TimePoint at;
        JobId job;
        double logRatio = 0;
    };

    double usualLogRatio() const noexcept;
    /// Remaining weight of m_usual at this time.
    double usualRetained(TimePoint now) const noexcept;
    bool sampled(const JobId &job) const;
    void updateDeviation(TimePoint now, const std::map<JobId, double> &overdue);

    RunTimeEvidence m_usual; ///< As of m_usualAt; decays.
    TimePoint m_usualAt;
    std::deque<Sample> m_recent; ///< Completed runs, oldest first.
    double m_deviation = 0; ///< Logarithm of the present slowness over the usual one.
    TimePoint m_deviationAt;
};

} // namespace cuminscale::dispatch
