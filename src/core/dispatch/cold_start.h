/// Capacity of a backend server that is slow after its start.
#pragma once

#include "core/dispatch/types.h"

namespace cuminscale::dispatch
{

/// The part of a server's CPU capacity that is used while the server is cold.
///
/// At the end of an evacuation a whole failure domain of idle and slow servers becomes available, and the placement, which looks
/// for free capacity, would send them most of the load at once. The part grows linearly from a tenth to all of the capacity over
/// the time that the server announces.
class ColdStart
{
public:
    /// Handles an announcement with the time for which the server is cold; zero if it announces none. A cold period begins when
    /// this time is longer than in the announcement before. Servers may announce the remaining time, the same time repeatedly, or
    /// the time only once, so a later announcement shortens the period but neither extends it nor ends it by the lack of a time.
    void announce(TimePoint now, Duration cold) noexcept;

    /// How much longer the server is cold; zero if it is not.
    Duration remaining(TimePoint now) const noexcept;

    /// The part of the capacity that may be used. Only the CPU is limited: a run needs its memory however slow it is.
    Resources usable(TimePoint now, const Resources &capacity) const noexcept;

private:
    TimePoint m_beganAt;
    TimePoint m_endsAt; ///< Zero before the first cold period.
    Duration m_announced{0}; ///< By the latest announcement.
};

} // namespace cuminscale::dispatch
