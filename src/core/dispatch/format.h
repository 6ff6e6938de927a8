/// Small conversions that the dispatch decisions share: fields of log lines, and arithmetic on durations.
#pragma once

#include "core/dispatch/types.h"

#include <algorithm>

namespace cuminscale::dispatch
{

inline std::int64_t toMs(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Milliseconds, for a log line.
inline std::string ms(Duration duration)
{
    return std::to_string(toMs(duration));
}

inline std::string idText(const JobId &id)
{
    return std::string(id.text());
}

/// A run, as fields of a log line.
inline std::string describe(const RunRef &run)
{
    return "task=" + toString(run.task) + " run=" + std::to_string(run.run.value());
}

inline double ratio(Duration a, Duration b) noexcept
{
    return static_cast<double>(a.count()) / static_cast<double>(std::max<Duration::rep>(b.count(), 1));
}

inline Duration scaled(Duration duration, double factor) noexcept
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace cuminscale::dispatch
