/// Latency histograms with fixed buckets, for the metrics.
#pragma once

#include "cuminscale/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace cuminscale::dispatch
{

/// A histogram whose buckets are the same in all processes, so that the counts of several processes can be added.
class LatencyHistogram
{
public:
    /// Upper bounds of all buckets except the last one, which is unbounded. In the range of the latency objectives each bound is
    /// 1.5 to 1.75 times the previous one.
    static constexpr std::array<std::int64_t, 14> BoundsMs = {1, 2, 5, 10, 20, 50, 100, 150, 250, 400, 700, 1200, 2500, 5000};

    void record(Duration latency) noexcept;

    /// Cumulative counts: element i counts the latencies of at most BoundsMs[i], the last element counts all.
    std::array<std::uint64_t, BoundsMs.size() + 1> cumulative() const noexcept;

    std::uint64_t count() const noexcept
    {
        return m_count;
    }

    Duration sum() const noexcept
    {
        return m_sum;
    }

private:
    std::array<std::uint64_t, BoundsMs.size() + 1> m_counts{};
    std::uint64_t m_count = 0;
    Duration m_sum{0};
};

/// One histogram per name. The number of names is bounded; further names share the histogram `Others`.
class NamedHistograms
{
public:
    static constexpr std::size_t MaxNames = 64;
    static constexpr const char *Others = "other";

    void record(const std::string &name, Duration latency);

    const std::map<std::string, LatencyHistogram> &all() const noexcept
    {
        return m_byName;
    }

private:
    std::map<std::string, LatencyHistogram> m_byName;
};

} // namespace cuminscale::dispatch
