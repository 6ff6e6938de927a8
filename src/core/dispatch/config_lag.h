/// Tells when a peer needs help to get the configuration that this process has.
#pragma once

#include "core/dispatch/messages.h"

namespace cuminscale::dispatch
{

/// Peers read the store themselves and are behind for moments all the time; only one that makes no progress is helped.
///
/// Load pattern: a document of hundreds of kilobytes changes, and every entry and agent is behind at once. Passing it to all of
/// them would fill links of 25 Mbit/s for seconds.
class ConfigLag
{
public:
    /// Pause before the document is passed to the same peer again.
    static constexpr Duration RepeatAfter = seconds(1);

    /// Whether to pass the document now, to a peer that has been at the same older version for the patience. True at most once in
    /// RepeatAfter.
    bool overdue(TimePoint now, std::uint64_t theirs, std::uint64_t ours, Duration patience)
    {
        if (theirs >= ours) {
            m_since = TimePoint();
            return false;
        }
        if (m_since == TimePoint() || theirs != m_theirs) {
            m_since = now;
            m_theirs = theirs;
        }
        if (now - m_since < patience || now - m_passedAt < RepeatAfter) {
            return false;
        }
        m_passedAt = now;
        return true;
    }

private:
    std::uint64_t m_theirs = 0;
    TimePoint m_since;
    TimePoint m_passedAt;
};

} // namespace cuminscale::dispatch
