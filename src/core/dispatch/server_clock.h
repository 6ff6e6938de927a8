/// Estimates the monotonic clock of a backend server from the times in its responses.
#pragma once

#include "ports/dispatch_ports.h"

namespace cuminscale::dispatch
{

/// Computes a lower bound of a backend server's clock. A response's time is treated as the time of its arrival, which ignores the
/// network delay, and the clock is assumed to run at the lowest rate that the platform allows.
class ServerClock
{
public:
    void observe(ServerTime time, TimePoint receivedAt) noexcept
    {
        m_lastTime = time;
        m_receivedAt = receivedAt;
        m_known = true;
    }

    /// Discards the observed time. To be called after a restart of the server, which starts another clock.
    void reset() noexcept
    {
        m_known = false;
    }

    bool known() const noexcept
    {
        return m_known;
    }

    /// The least that the server's clock can show now. Requires known().
    ServerTime lowerBound(TimePoint now) const noexcept
    {
        const std::int64_t elapsedMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_receivedAt).count();
        return ServerTime(m_lastTime.value() + elapsedMs * MinRatePercent / 100);
    }

private:
    /// The platform allows a server's clock to run up to 2% slow.
    static constexpr std::int64_t MinRatePercent = 98;

    ServerTime m_lastTime;
    TimePoint m_receivedAt;
    bool m_known = false;
};

} // namespace cuminscale::dispatch
