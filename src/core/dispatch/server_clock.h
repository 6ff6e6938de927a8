/// The steady clock of a backend server, as far as its answers tell.
#pragma once

#include "ports/dispatch_ports.h"

namespace cuminscale::dispatch
{

/// Never ahead of the server's clock: an answer's time is taken as of its arrival, and the server may count 2% too slowly.
class ServerClock
{
public:
    void observe(ServerTime time, TimePoint receivedAt) noexcept
    {
        m_time = time;
        m_receivedAt = receivedAt;
        m_known = true;
    }

    /// Forgets everything: another life of the server has another clock.
    void reset() noexcept
    {
        m_known = false;
    }

    bool known() const noexcept
    {
        return m_known;
    }

    /// The server's clock shows at least this.
    ServerTime atLeast(TimePoint now) const noexcept
    {
        const std::int64_t elapsedMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_receivedAt).count();
        return ServerTime(m_time.value() + elapsedMs * SlowestPercent / 100);
    }

private:
    /// The platform allows a server's clock to run 2% slow.
    static constexpr std::int64_t SlowestPercent = 98;

    ServerTime m_time;
    TimePoint m_receivedAt;
    bool m_known = false;
};

} // namespace cuminscale::dispatch
