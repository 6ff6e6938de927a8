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

constexpr double Probability = 0.95;
constexpr std::size_t Enough = 50;
/// Kinds are named by callers while no configuration is known, so their number is bounded.
constexpr std::size_t MaxKinds = 1000;

using Accumulator =
    accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::p_square_quantile>>;

} // namespace

struct ResponseTimes::Quantile
{
    Accumulator accumulator{accumulators::quantile_probability = Probability};
};

ResponseTimes::ResponseTimes() = default;
ResponseTimes::~ResponseTimes() = default;

void ResponseTimes::add(const std::string &kind, Duration took)
{
    if (m_kinds.size() >= MaxKinds && m_kinds.count(kind) == 0) {
        return;
    }
    std::unique_ptr<Quantile> &quantile = m_kinds[kind];
    if (!quantile) {
        quantile = std::make_unique<Quantile>();
    }
    quantile->accumulator(static_cast<double>(took.count()));
}

std::optional<Duration> ResponseTimes::ninetyFifth(const std::string &kind) const
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end() || accumulators::count(it->second->accumulator) < Enough) {
        return std::nullopt;
    }
    return Duration(std::llround(accumulators::p_square_quantile(it->second->accumulator)));
}

} // namespace cuminscale
