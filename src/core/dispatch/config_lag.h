/// Decides when to send the configuration to an agent that keeps a copy of it.
#pragma once

#include "core/dispatch/messages.h"

namespace cuminscale::dispatch
{

/// Tracks the configuration version of one peer. Several entries send to the same agent and it has an older version briefly after
/// each change, so the document is sent only to a peer whose version has not changed for a grace period.
///
/// When a document of hundreds of kilobytes changes, every entry and agent has an older version at first. Sending it to all of
/// them would saturate links of 25 Mbit/s for seconds.
class ConfigLag
{
public:
    /// Minimum time between two transmissions of the document to the same peer.
    static constexpr Duration PushInterval = seconds(1);

    /// Whether to send the document now: the peer has had the same older version for the grace period. The caller sends it when
    /// true is returned, which happens at most once per PushInterval.
    bool shouldPush(TimePoint now, std::uint64_t peerVersion, std::uint64_t ownVersion, Duration gracePeriod)
    {
        if (peerVersion >= ownVersion) {
            m_laggingSince = TimePoint();
            return false;
        }
        if (m_laggingSince == TimePoint() || peerVersion != m_peerVersion) {
            m_laggingSince = now;
            m_peerVersion = peerVersion;
        }
        if (now - m_laggingSince < gracePeriod || now - m_pushedAt < PushInterval) {
            return false;
        }
        m_pushedAt = now;
        return true;
    }

private:
    std::uint64_t m_peerVersion = 0;
    TimePoint m_laggingSince;
    TimePoint m_pushedAt;
};

} // namespace cuminscale::dispatch
