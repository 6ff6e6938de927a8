#include "core/dispatch/server_health.h"

#include "core/dispatch/run_limits.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// Limits the weight of the agent's measurements, which include the runs of this entry, one in several. All entries get the same
/// measurements: with a higher weight they all choose the same servers at the same time.
constexpr double MaxReportedWeight = 4.0;
/// The same for a slow server. The agent notices it within a second, when most evidence of this entry is from the time before.
constexpr double MaxSlowWeight = 8.0;
/// Limits the total weight of evidence, so that it reflects about the last twenty runs.
constexpr double MaxWeight = 20.0;
/// Weight of the latest run in the failure rate: one failure stays below the threshold, two in close succession exceed it.
constexpr double FailureWeight = 0.3;
constexpr double FailureThreshold = 0.45;
/// Bounds of a single run time ratio; a larger one means that the run stalled.
constexpr double MinRatio = 0.2;
constexpr double MaxRatio = 8.0;
/// How long a server is suspect for the first time: about the run time of a few short tasks. The duration doubles with each
/// further suspicion, up to MaxDoublings times.
constexpr Duration InitialSuspicion = milliseconds(700);
constexpr std::uint32_t MaxDoublings = 3;
/// Evidence decays with time, because a server that gets no work produces no new evidence.
constexpr Duration EvidenceHalfLife = seconds(2);

} // namespace

void ServerHealth::recordDone(TimePoint now)
{
    m_failureRate -= FailureWeight * m_failureRate;
    if (now >= m_suspectUntil) {
        m_probation = false;
        m_consecutiveSuspicions = 0;
    }
}

void ServerHealth::recordRunTimeRatio(TimePoint now, double ratio, double weight)
{
    const double retained =
        std::min(decayFactor(now), std::max(MaxWeight - weight, 0.0) / std::max(m_evidence.weights, PriorWeight));
    m_evidence.logRatios = m_evidence.logRatios * retained + weight * std::log(std::clamp(ratio, MinRatio, MaxRatio));
    m_evidence.weights = m_evidence.weights * retained + weight;
    m_measuredAt = now;
}

void ServerHealth::recordFailure(TimePoint now)
{
    m_failureRate += FailureWeight * (1.0 - m_failureRate);
    if (m_failureRate > FailureThreshold || m_probation) {
        markSuspect(now);
    }
}

void ServerHealth::recordStall(TimePoint now)
{
    markSuspect(now);
}

void ServerHealth::markSuspect(TimePoint now)
{
    if (now < m_suspectUntil) {
        return;
    }
    m_suspectUntil = now + InitialSuspicion * (1U << std::min(m_consecutiveSuspicions, MaxDoublings));
    ++m_consecutiveSuspicions;
    m_probation = true;
}

double ServerHealth::decayFactor(TimePoint now) const noexcept
{
    const double elapsedHalfLives =
        static_cast<double>((now - m_measuredAt).count()) / static_cast<double>(EvidenceHalfLife.count());
    return std::exp2(-std::max(elapsedHalfLives, 0.0));
}

void ServerHealth::setReportedRatio(double ratio, double weight) noexcept
{
    m_prior.weights = std::clamp(weight, PriorWeight, ratio >= SlowServerFactor ? MaxSlowWeight : MaxReportedWeight);
    // While the agent has measured few jobs, the rest of the weight stands for a healthy server.
    m_prior.logRatios = std::min(std::max(weight, 0.0), m_prior.weights) * std::log(std::clamp(ratio, MinRatio, MaxRatio));
}

double ServerHealth::combined(TimePoint now, const RunTimeEvidence &other) const noexcept
{
    const double retained = decayFactor(now);
    const double logRatios = m_evidence.logRatios * retained + other.logRatios + m_prior.logRatios;
    return std::exp(logRatios / (m_evidence.weights * retained + other.weights + m_prior.weights));
}

double ServerHealth::slowness(TimePoint now) const noexcept
{
    return combined(now, m_overdue);
}

double ServerHealth::measuredSlowness(TimePoint now) const noexcept
{
    return combined(now, RunTimeEvidence());
}

} // namespace cuminscale::dispatch
