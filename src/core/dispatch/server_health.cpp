#include "core/dispatch/server_health.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// Weight of the newest run: ten runs or so decide.
constexpr double RatioWeight = 0.12;
/// A stopped run is strong evidence, as siblings elsewhere or three times the expected time have spoken against the server.
constexpr double OverdueWeight = 0.5;
/// A first failure alone leaves a server below the limit, two close together pass it.
constexpr double FailureWeight = 0.3;
constexpr double FailureLimit = 0.45;
/// A single run's ratio is bounded, as declared run times are far off at times.
constexpr double MinRatio = 0.2;
constexpr double MaxRatio = 8.0;
/// An overdue run counts from this ratio on; below, the spread of declared run times explains it.
constexpr double OverdueCounts = 2.2;
/// The first suspicion lasts about as long as a few short tasks take; each further one twice as long.
constexpr Duration FirstSuspicion = milliseconds(700);
constexpr std::uint32_t MaxDoublings = 3;
/// Half of a measured slowness is forgotten in this time: a server that is avoided for it has no runs that could show otherwise.
constexpr Duration ForgetSlowness = seconds(2);

} // namespace

void ServerHealth::recordDone(TimePoint now, double ratio)
{
    m_ratio = remembered(now) + RatioWeight * (std::clamp(ratio, MinRatio, MaxRatio) - remembered(now));
    m_measuredAt = now;
    m_failureShare -= FailureWeight * m_failureShare;
    if (now >= m_suspectUntil) {
        m_probation = false;
        m_suspicions = 0;
    }
}

void ServerHealth::recordOverdue(TimePoint now, double ratio)
{
    const double before = remembered(now);
    const double bounded = std::min(ratio, MaxRatio);
    if (bounded > before) {
        m_ratio = before + OverdueWeight * (bounded - before);
        m_measuredAt = now;
    }
}

void ServerHealth::recordFailure(TimePoint now)
{
    m_failureShare += FailureWeight * (1.0 - m_failureShare);
    if (m_failureShare > FailureLimit || m_probation) {
        suspectIfFailing(now);
    }
}

void ServerHealth::recordStall(TimePoint now)
{
    suspectIfFailing(now);
}

void ServerHealth::suspectIfFailing(TimePoint now)
{
    if (now < m_suspectUntil) {
        return;
    }
    m_suspectUntil = now + FirstSuspicion * (1U << std::min(m_suspicions, MaxDoublings));
    ++m_suspicions;
    m_probation = true;
}

double ServerHealth::remembered(TimePoint now) const noexcept
{
    const double periods = static_cast<double>((now - m_measuredAt).count()) / static_cast<double>(ForgetSlowness.count());
    return 1.0 + (m_ratio - 1.0) * std::exp2(-std::max(periods, 0.0));
}

double ServerHealth::slowness(TimePoint now) const noexcept
{
    const double ratio = remembered(now);
    return m_overdue > OverdueCounts ? std::max(ratio, m_overdue) : ratio;
}

} // namespace cuminscale::dispatch
