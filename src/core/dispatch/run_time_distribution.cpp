#include "core/dispatch/run_time_distribution.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// Below this weight the distribution is not relied on. A queue with few jobs reaches it at an entry within 10 s.
constexpr double MinKnownWeight = 20.0;
/// Weight of the prior, in jobs. With it, the absence of long jobs among the first 60 does not yet show that there are none.
constexpr double PriorWeight = 8.0;
/// Total weight of the recorded jobs: the histogram follows about the last thousand.
constexpr double MaxWeight = 1000.0;

/// Probability of the prior that a task takes longer than `ratio` times the expected run time: one in nine takes three times as
/// long. The mean of those beyond `ratio` is twice that.
double priorLonger(double ratio) noexcept
{
    return ratio <= 1.0 ? 1.0 : 1.0 / (ratio * ratio);
}

} // namespace

void RunTimeDistribution::recordUnfinished(double ratio) noexcept
{
    add(std::max(ratio, meanLonger(ratio)));
}

bool RunTimeDistribution::known() const noexcept
{
    return m_total >= MinKnownWeight;
}

void RunTimeDistribution::add(double ratio) noexcept
{
    const double position = std::log2(std::max(ratio, LowestRatio) / LowestRatio) * static_cast<double>(BucketsPerOctave);
    const std::size_t bucket = std::min(static_cast<std::size_t>(position), Buckets - 1);
    const double retained = std::min(1.0, (MaxWeight - 1.0) / std::max(m_total, 1.0));
    if (retained < 1.0) {
        for (double &weight : m_weights) {
            weight *= retained;
        }
    }
    m_weights[bucket] += 1.0;
    m_total = m_total * retained + 1.0;
}

RunTimeDistribution::Tail RunTimeDistribution::tail(double ratio) const noexcept
{
    Tail result;
    const double priorMass = PriorWeight * priorLonger(ratio);
    result.weight = priorMass;
    result.sum = priorMass * 2.0 * std::max(ratio, 1.0);
    const double position = std::log2(std::max(ratio, LowestRatio) / LowestRatio) * static_cast<double>(BucketsPerOctave);
    for (std::size_t i = 0; i < Buckets; ++i) {
        // The part of the bucket beyond the ratio, with equal density on the logarithmic scale.
        const double part = std::clamp(static_cast<double>(i + 1) - position, 0.0, 1.0);
        const double centre = static_cast<double>(i) + 1.0 - part / 2.0;
        const double weight = m_weights[i] * part;
        result.weight += weight;
        result.sum += weight * std::max(ratio, LowestRatio * std::exp2(centre / static_cast<double>(BucketsPerOctave)));
    }
    return result;
}

double RunTimeDistribution::probabilityLonger(double ratio) const noexcept
{
    return tail(ratio).weight / (m_total + PriorWeight);
}

double RunTimeDistribution::meanLonger(double ratio) const noexcept
{
    const Tail longer = tail(ratio);
    return longer.weight <= 0 ? std::max(ratio, 1.0) : longer.sum / longer.weight;
}

} // namespace cuminscale::dispatch
