#include "core/dispatch/latency_histogram.h"

#include <algorithm>

namespace cuminscale::dispatch
{

void LatencyHistogram::record(Duration latency) noexcept
{
    constexpr std::int64_t UsPerMs = 1000;
    const auto it = std::find_if(BoundsMs.begin(), BoundsMs.end(),
                                 [latency](std::int64_t boundMs) { return latency.count() <= boundMs * UsPerMs; });
    ++m_counts[static_cast<std::size_t>(it - BoundsMs.begin())];
    ++m_count;
    m_sum += latency;
}

std::array<std::uint64_t, LatencyHistogram::BoundsMs.size() + 1> LatencyHistogram::cumulative() const noexcept
{
    std::array<std::uint64_t, BoundsMs.size() + 1> result = m_counts;
    for (std::size_t i = 1; i < result.size(); ++i) {
        result[i] += result[i - 1];
    }
    return result;
}

void NamedHistograms::record(const std::string &name, Duration latency)
{
    const bool ownHistogram = m_byName.size() < MaxNames || m_byName.count(name) > 0;
    m_byName[ownHistogram ? name : Others].record(latency);
}

} // namespace cuminscale::dispatch
