/// Helpers for log fields and for arithmetic on durations.
#pragma once

#include "core/dispatch/types.h"

#include <algorithm>

namespace cuminscale::dispatch
{

inline std::int64_t toMs(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Renders a duration in milliseconds, without a unit.
inline std::string ms(Duration duration)
{
    return std::to_string(toMs(duration));
}

inline std::string idText(const JobId &id)
{
    return std::string(id.text());
}

/// Renders a run as log fields: "task=... run=...".
inline std::string describe(const RunRef &run)
{
    return "task=" + toString(run.task) + " run=" + std::to_string(run.run.value());
}

/// Divides two durations; a divisor below 1 µs counts as 1 µs.
inline double ratio(Duration a, Duration b) noexcept
{
    return static_cast<double>(a.count()) / static_cast<double>(std::max<Duration::rep>(b.count(), 1));
}

inline Duration scaled(Duration duration, double factor) noexcept
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace cuminscale::dispatch
