#include "core/dispatch/cold_start.h"

namespace cuminscale::dispatch
{

namespace
{

constexpr double InitialShare = 0.1;

} // namespace

void ColdStart::announce(TimePoint now, Duration cold) noexcept
{
    const bool begins = cold > m_announced;
    m_announced = cold;
    if (begins) {
        m_beganAt = now;
        m_endsAt = now + cold;
    } else if (cold > Duration(0)) {
        m_endsAt = std::min(m_endsAt, now + cold);
    }
}

Duration ColdStart::remaining(TimePoint now) const noexcept
{
    return std::max(m_endsAt - now, Duration(0));
}

Resources ColdStart::usable(TimePoint now, const Resources &capacity) const noexcept
{
    if (now >= m_endsAt) {
        return capacity;
    }
    const double elapsed = static_cast<double>((now - m_beganAt).count()) / static_cast<double>((m_endsAt - m_beganAt).count());
    const double share = InitialShare + (1.0 - InitialShare) * std::clamp(elapsed, 0.0, 1.0);
    Resources usable = capacity;
    usable.cpuMilli = static_cast<std::int64_t>(static_cast<double>(capacity.cpuMilli) * share);
    return usable;
}

} // namespace cuminscale::dispatch
