#include "core/dispatch/urgent_reserve.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// Time constant of the moving average: bursts of urgent jobs last for some seconds.
constexpr Duration AveragingTime = seconds(2);
/// Fraction of the average use that is reserved. CPU that other runs release before the urgent runs' latest start covers the
/// rest.
constexpr double ReservedShare = 0.8;

} // namespace

void UrgentReserve::sample(TimePoint now, std::int64_t bookedCpuMilli) noexcept
{
    const Duration elapsed = m_sampledAt == TimePoint() ? Duration(0) : now - m_sampledAt;
    m_sampledAt = now;
    const double weight = 1.0 - std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(AveragingTime.count()));
    m_averageCpuMilli += weight * (static_cast<double>(bookedCpuMilli) - m_averageCpuMilli);
}

std::int64_t UrgentReserve::reserved(std::int64_t bookedCpuMilli) const noexcept
{
    return std::max<std::int64_t>(static_cast<std::int64_t>(m_averageCpuMilli * ReservedShare) - bookedCpuMilli, 0);
}

} // namespace cuminscale::dispatch
