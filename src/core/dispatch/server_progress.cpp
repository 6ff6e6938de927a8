#include "core/dispatch/server_progress.h"

#include "core/dispatch/format.h"

namespace cuminscale::dispatch
{

namespace
{

/// Failed jobs in a row from which the server, and not the jobs, is taken to be at fault.
constexpr std::size_t FailedJobsLimit = 4;
/// Probability that a healthy server shows the same runs, below which it is taken to stand still.
constexpr double StandstillProbability = 0.005;
/// The same while the server is on probation with a single run: it lasts three times as long as declared.
constexpr double ProbationProbability = 0.12;

/// Probability that a run on a healthy server lasts longer than this multiple of its declared time: declared times are
/// inaccurate, and about one run in ten takes three times as long.
double survival(double ratio) noexcept
{
    return ratio <= 1.0 ? 1.0 : 1.0 / (ratio * ratio);
}

} // namespace

void ServerProgress::recordDone(TimePoint now)
{
    m_lastDoneAt = now;
    m_failedJobs.clear();
    m_stoppedRatios.clear();
    m_health.recordDone(now);
}

void ServerProgress::recordFailure(TimePoint now, const JobId &job)
{
    m_failedJobs.insert(job);
    if (m_failedJobs.size() >= FailedJobsLimit || m_health.onProbation()) {
        m_failedJobs.clear();
        m_health.recordStall(now);
    }
}

void ServerProgress::recordStopped(TimePoint now, const RunProgress &run)
{
    if (run.startedAt + run.estimate > m_lastDoneAt) {
        double &longest = m_stoppedRatios[run.job];
        longest = std::max(longest, ratio(now - run.startedAt, run.estimate));
    }
}

void ServerProgress::check(TimePoint now, const std::vector<RunProgress> &runs)
{
    // Runs of one job have the same error in their declared time, so only the longest one counts.
    std::map<JobId, double> ratios = m_stoppedRatios;
    for (const RunProgress &run : runs) {
        // A run completed after this one was due, so the server did make progress since.
        if (run.startedAt + run.estimate <= m_lastDoneAt) {
            continue;
        }
        double &longest = ratios[run.job];
        longest = std::max(longest, ratio(now - run.startedAt, run.estimate));
    }
    double probability = 1.0;
    for (const std::pair<const JobId, double> &job : ratios) {
        probability *= survival(job.second);
    }
    if (probability < (m_health.onProbation() ? ProbationProbability : StandstillProbability)) {
        m_health.recordStall(now);
        // The stopped runs must not keep the server suspect: once the suspicion ends, a new run shows whether it works again.
        m_stoppedRatios.clear();
    }
}

} // namespace cuminscale::dispatch
