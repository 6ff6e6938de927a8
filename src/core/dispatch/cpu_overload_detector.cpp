#include "core/dispatch/cpu_overload_detector.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// Time constant of the moving average. Schedulers may enforce a CPU quota in periods of tenths of a second, so a single late
/// tick is no sign of overload.
constexpr Duration LagTimeConstant = milliseconds(400);
/// Up to this mean lag an objective of about 90 ms can be met.
constexpr double ToleratedLagUs = 25'000;
/// Mean lag at which most jobs are refused: they would be late, and heartbeats miss their timeouts. Larger lags are clamped.
constexpr double MaxLagUs = 150'000;
/// Some jobs are always admitted: if all were refused, the lag would show the end of the overload only once the process is idle.
constexpr double MaxRefusalFraction = 0.9;
/// Overload ends below this mean lag.
constexpr double RecoveredLagUs = 10'000;
/// The load balancer checks readiness once a second and needs two failed checks.
constexpr Duration BalancerDetectionTime = milliseconds(2500);

} // namespace

void CpuOverloadDetector::recordTick(TimePoint now, Duration lag)
{
    const Duration elapsed = m_lastTickAt == TimePoint() ? Duration(0) : now - m_lastTickAt;
    m_lastTickAt = now;
    // Limits the weight of a single tick: when the tick after a pause of seconds fires, the process gets CPU time again.
    const double counted = std::min(static_cast<double>(elapsed.count()), MaxLagUs);
    const double weight = 1.0 - std::exp(-counted / static_cast<double>(LagTimeConstant.count()));
    m_meanLagUs += weight * (std::min(static_cast<double>(lag.count()), MaxLagUs) - m_meanLagUs);
    if (!m_overloaded && m_meanLagUs > ToleratedLagUs) {
        m_overloaded = true;
        m_overloadedSince = now;
    } else if (m_overloaded && m_meanLagUs < RecoveredLagUs) {
        m_overloaded = false;
    }
}

double CpuOverloadDetector::refusalFraction() const noexcept
{
    return std::clamp((m_meanLagUs - ToleratedLagUs) / (MaxLagUs - ToleratedLagUs), 0.0, MaxRefusalFraction);
}

bool CpuOverloadDetector::shouldRefuseNext()
{
    m_refusalCredit += refusalFraction();
    if (m_refusalCredit < 1.0) {
        return false;
    }
    m_refusalCredit -= 1.0;
    return true;
}

bool CpuOverloadDetector::shouldCloseConnections(TimePoint now) const noexcept
{
    return m_overloaded && now - m_overloadedSince > BalancerDetectionTime;
}

} // namespace cuminscale::dispatch
