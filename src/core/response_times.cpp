#include "core/response_times.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cmath>

namespace cuminscale
{

namespace accumulators = boost::accumulators;

namespace
{

constexpr double QuantileProbability = 0.95;
constexpr std::size_t MinSamples = 50;
/// Limits the memory used: while no configuration is known, callers can submit any kind.
constexpr std::size_t MaxKinds = 1000;

using Accumulator =
    accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::p_square_quantile>>;

} // namespace

struct ResponseTimes::Quantile
{
    Accumulator accumulator{accumulators::quantile_probability = QuantileProbability};
};

ResponseTimes::ResponseTimes() = default;
ResponseTimes::~ResponseTimes() = default;

void ResponseTimes::add(const std::string &kind, Duration elapsed)
{
    if (m_kinds.size() >= MaxKinds && m_kinds.count(kind) == 0) {
        return;
    }
    std::unique_ptr<Quantile> &quantile = m_kinds[kind];
    if (!quantile) {
        quantile = std::make_unique<Quantile>();
    }
    quantile->accumulator(static_cast<double>(elapsed.count()));
}

std::optional<Duration> ResponseTimes::percentile95(const std::string &kind) const
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end() || accumulators::count(it->second->accumulator) < MinSamples) {
        return std::nullopt;
    }
    return Duration(std::llround(accumulators::p_square_quantile(it->second->accumulator)));
}

} // namespace cuminscale
