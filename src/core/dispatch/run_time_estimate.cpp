#include "core/dispatch/run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// With fewer runs than this, the estimate is the declared time.
constexpr std::uint32_t MinRuns = 8;
/// Weight of the latest run in the moving averages once there are many runs.
constexpr double MinUpdateWeight = 0.03;
/// Declared times and run times have equal spread, so both get equal weight.
constexpr double DeclaredWeight = 0.5;

double logOf(Duration duration)
{
    return std::log(static_cast<double>(std::max<Duration::rep>(duration.count(), 1)));
}

} // namespace

Duration RunTimeEstimate::expected(Duration declared) const
{
    if (m_runs < MinRuns || declared.count() <= 0) {
        return std::max(declared, Duration(1));
    }
    const double estimate = m_meanLogRan + DeclaredWeight * (logOf(declared) - m_meanLogDeclared);
    return Duration(static_cast<std::int64_t>(std::exp(estimate)));
}

void RunTimeEstimate::record(Duration declared, Duration ran)
{
    ++m_runs;
    const double weight = std::max(MinUpdateWeight, 1.0 / static_cast<double>(m_runs));
    m_meanLogRan += weight * (logOf(ran) - m_meanLogRan);
    m_meanLogDeclared += weight * (logOf(declared) - m_meanLogDeclared);
}

} // namespace cuminscale::dispatch
