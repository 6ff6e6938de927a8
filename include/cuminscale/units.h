/// Time types of the decision core.
#pragma once

#include <chrono>

namespace cuminscale
{

/// Type of all durations inside the system, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of the decision core: set once, at process start, to the microseconds since the Unix epoch, then advanced by a monotonic
/// clock. The core itself never reads a clock; the time is passed in with every event.
struct CoreClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock, duration>;
};

/// A point in time on the clock of one process; not comparable between processes.
using TimePoint = CoreClock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace cuminscale
