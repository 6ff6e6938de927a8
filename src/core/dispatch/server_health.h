/// Detection of slow, failing and stalled backend servers from the outcomes and run times of their runs.
#pragma once

#include "cuminscale/units.h"

#include <cstdint>

namespace cuminscale::dispatch
{

/// Weights of run time comparisons. Comparing one run with runs of the same step on other servers has weight 1: their run times
/// vary by about a sixth, while declared run times are off by a factor of 1.5 in either direction.
namespace evidence
{
constexpr double SiblingRunWeight = 1.0;
constexpr double DeclaredTimeWeight = 0.15;
/// Factor for unfinished runs, whose tasks may simply take long.
constexpr double UnfinishedRunFactor = 0.5;
} // namespace evidence

/// Weight of the prior assumption that a server is healthy.
constexpr double PriorWeight = 1.0;

/// Weighted sum of run time comparisons.
struct RunTimeEvidence
{
    double logRatios = 0; ///< Sum of the logarithms of the ratios, each times its weight.
    double weights = 0;
};

/// Moving averages of the failure rate of a backend server and of its run times relative to the expected ones.
///
/// Some servers fail every run, or take several times as long as others, while their own health checks pass. A server that fails
/// at once looks idle and would attract all work. Declared run times are inaccurate: on a healthy server, one run in a dozen
/// takes three times as long as declared. Slowness is therefore the weighted mean of all evidence, on a logarithmic scale, with a
/// prior for a healthy server.
class ServerHealth
{
public:
    void recordDone(TimePoint now);
    void recordFailure(TimePoint now);
    /// Records that the server did not respond in time or that a run stalled.
    void recordStall(TimePoint now);

    /// Records that runs took `ratio` times the expected time; see the namespace `evidence` for the weight.
    void recordRunTimeRatio(TimePoint now, double ratio, double weight);

    /// Replaces the prior assumption that the server is healthy by what its agent has measured over the runs of all entries: run
    /// times of `ratio` times those on a server of ordinary speed, from `weight` jobs.
    void setReportedRatio(double ratio, double weight) noexcept;

    /// Replaces the evidence from unfinished runs that are overdue.
    void setOverdueEvidence(const RunTimeEvidence &overdue) noexcept
    {
        m_overdue = overdue;
    }

    /// Expected run time as a multiple of that on a healthy server.
    double slowness(TimePoint now) const noexcept;

    /// The same without the evidence from unfinished runs.
    double measuredSlowness(TimePoint now) const noexcept;

    /// Whether to send no new work there unless all other servers are unusable or suspect too.
    bool suspect(TimePoint now) const noexcept
    {
        return now < m_suspectUntil;
    }

    /// Whether no run has completed since the server was last suspect. Such a server gets one run at a time.
    bool onProbation() const noexcept
    {
        return m_probation;
    }

    double failureRate() const noexcept
    {
        return m_failureRate;
    }

private:
    /// Slowness from the prior, the ended runs and other evidence.
    double combined(TimePoint now, const RunTimeEvidence &other) const noexcept;
    void markSuspect(TimePoint now);
    /// Remaining weight of m_evidence at this time.
    double decayFactor(TimePoint now) const noexcept;

    RunTimeEvidence m_evidence; ///< From ended runs, as of m_measuredAt; decays.
    TimePoint m_measuredAt;
    RunTimeEvidence m_overdue; ///< From unfinished runs.
    RunTimeEvidence m_prior{0, PriorWeight}; ///< From the agent's reports, or that the server is healthy.
    double m_failureRate = 0.0;
    std::uint32_t m_consecutiveSuspicions = 0; ///< Without a completed run in between; each lasts longer than the one before.
    bool m_probation = false;
    TimePoint m_suspectUntil;
};

} // namespace cuminscale::dispatch
