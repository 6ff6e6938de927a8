#include "core/dispatch/server_speed.h"

#include "core/dispatch/format.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

constexpr Duration UsualHalfLife = seconds(60);
/// Weight of the prior assumption that the server has the ordinary speed, in jobs.
constexpr double UsualPriorWeight = 2.0;
/// A deviation decays with this half-life while no jobs run there that would show it.
constexpr Duration DeviationHalfLife = seconds(2);
/// Time for which completed runs count as recent: about ten jobs.
constexpr Duration RecentPeriod = seconds(1);
constexpr std::size_t MaxRecent = 32;
/// Number of jobs that have to show another speed before it outweighs the one measured before.
constexpr std::size_t PriorSamples = 3;
/// Bound of a single sample relative to the usual run time, so that a long job adds little to the mean.
constexpr double MaxLogDeviation = 1.6; // a factor of 5
/// The median of a few run times varies by this much on a server whose speed does not change.
constexpr double MinLogDeviation = 0.69; // a factor of 2

double halfLives(Duration elapsed, Duration halfLife) noexcept
{
    return std::max(static_cast<double>(elapsed.count()) / static_cast<double>(halfLife.count()), 0.0);
}

double logRatioOf(Duration ran, Duration baseline) noexcept
{
    return std::log(std::max(ratio(ran, baseline), 1e-3));
}

} // namespace

double ServerSpeed::usualRetained(TimePoint now) const noexcept
{
    return std::exp2(-halfLives(now - m_usualAt, UsualHalfLife));
}

double ServerSpeed::usualLogRatio() const noexcept
{
    return m_usual.logRatios / (m_usual.weights + UsualPriorWeight);
}

bool ServerSpeed::sampled(const JobId &job) const
{
    return std::any_of(m_recent.begin(), m_recent.end(), [&job](const Sample &sample) { return sample.job == job; });
}

void ServerSpeed::recordDone(TimePoint now, const JobId &job, Duration ran, Duration baseline)
{
    if (baseline <= Duration(0) || sampled(job)) {
        return;
    }
    const double logRatio = logRatioOf(ran, baseline);
    const double usual = usualLogRatio();
    const double retained = usualRetained(now);
    m_usual.logRatios = m_usual.logRatios * retained + std::clamp(logRatio, usual - MaxLogDeviation, usual + MaxLogDeviation);
    m_usual.weights = m_usual.weights * retained + 1.0;
    m_usualAt = now;
    m_recent.push_back(Sample{now, job, logRatio});
    if (m_recent.size() > MaxRecent) {
        m_recent.pop_front();
    }
}

void ServerSpeed::check(TimePoint now, const std::vector<RunProgress> &runs)
{
    while (!m_recent.empty() && now - m_recent.front().at > RecentPeriod) {
        m_recent.pop_front();
    }
    std::map<JobId, double> overdue;
    const double usual = usualLogRatio();
    for (const RunProgress &run : runs) {
        const double logRatio = logRatioOf(now - run.startedAt, run.estimate);
        if (run.estimate > Duration(0) && logRatio > usual + MinLogDeviation && !sampled(run.job)) {
            double &longest = overdue.try_emplace(run.job, logRatio).first->second;
            longest = std::max(longest, logRatio);
        }
    }
    updateDeviation(now, overdue);
}

void ServerSpeed::updateDeviation(TimePoint now, const std::map<JobId, double> &overdue)
{
    const double usual = usualLogRatio();
    const double former = m_deviation * std::exp2(-halfLives(now - m_deviationAt, DeviationHalfLife));
    std::vector<double> deviations(PriorSamples, former);
    for (const Sample &sample : m_recent) {
        deviations.push_back(sample.logRatio - usual);
    }
    for (const std::pair<const JobId, double> &job : overdue) {
        deviations.push_back(job.second - usual);
    }
    const std::vector<double>::iterator middle = deviations.begin() + static_cast<std::ptrdiff_t>((deviations.size() - 1) / 2);
    std::nth_element(deviations.begin(), middle, deviations.end());
    const double median = std::clamp(*middle, -MaxLogDeviation, MaxLogDeviation);
    // A deviation that has been noticed fades out, instead of ending as soon as a half of it has decayed.
    m_deviation = std::abs(median) < (former == 0.0 ? MinLogDeviation : MinLogDeviation / 2) ? 0.0 : median;
    m_deviationAt = now;
}

double ServerSpeed::slowness() const noexcept
{
    return std::exp(usualLogRatio() + m_deviation);
}

double ServerSpeed::weight(TimePoint now) const noexcept
{
    return m_usual.weights * usualRetained(now) + (m_deviation != 0.0 ? static_cast<double>(PriorSamples) : 0.0);
}

} // namespace cuminscale::dispatch
