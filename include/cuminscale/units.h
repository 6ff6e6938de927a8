/// Time as the decisions see it.
#pragma once

#include <chrono>

namespace cuminscale
{

/// All durations inside the system, in microseconds.
using Duration = std::chrono::microseconds;

/// The clock of the decision core: microseconds since the Unix epoch at process start, advanced by a monotonic clock.
/// The core never reads it; every event brings its time along.
struct CoreClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock, duration>;
};

/// A moment on the clock of one process; not comparable between processes.
using TimePoint = CoreClock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace cuminscale
