#include "core/dispatch/load_shedding.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cuminscale::dispatch
{

namespace
{

/// Backlog up to which nothing is shed: jobs arrive as groups of tasks, so tasks for a seventh of the capacity may wait without
/// overload.
constexpr double NormalBacklog = 0.15;
/// Backlog at which all less urgent work is shed: a task then waits for most of a typical run time, the most that any objective
/// allows.
constexpr double FullSheddingBacklog = 0.75;
/// Decay of a queue's past demand; bursts last for seconds.
constexpr Duration DemandTimeConstant = milliseconds(1500);
/// Retries are spread over up to this many times the minimum delay, as a burst lasts for some seconds.
constexpr std::size_t MaxRetrySteps = 5;
/// Queues are removed once their decayed demand is below this, in the unit of `work`.
constexpr double NegligibleWork = 1e-3;

} // namespace

double LoadShedding::shedFraction(double backlog) noexcept
{
    return std::clamp((backlog - NormalBacklog) / (FullSheddingBacklog - NormalBacklog), 0.0, 1.0);
}

Duration LoadShedding::retryAfter(const JobId &job, double backlog, Duration minimum)
{
    const std::size_t steps = 1 + static_cast<std::size_t>(shedFraction(backlog) * static_cast<double>(MaxRetrySteps - 1));
    return minimum * static_cast<std::int64_t>(1 + JobIdHash()(job) % steps);
}

void LoadShedding::decay(TimePoint now)
{
    for (std::map<std::string, Queue>::iterator it = m_queues.begin(); it != m_queues.end();) {
        Queue &queue = it->second;
        const double elapsedTimeConstants =
            static_cast<double>((now - queue.updatedAt).count()) / static_cast<double>(DemandTimeConstant.count());
        queue.recentWork *= std::exp(-elapsedTimeConstants);
        queue.updatedAt = now;
        it = queue.recentWork < NegligibleWork ? m_queues.erase(it) : std::next(it);
    }
}

double LoadShedding::fairLevel(std::vector<double> demands, double toShed)
{
    std::sort(demands.begin(), demands.end(), std::greater<double>());
    // Cutting the n largest queues to the level of the next one sheds their demand above that level.
    double sum = 0;
    for (std::size_t n = 1; n <= demands.size(); ++n) {
        sum += demands[n - 1];
        const double next = n < demands.size() ? demands[n] : 0.0;
        if (sum - static_cast<double>(n) * next >= toShed) {
            return (sum - toShed) / static_cast<double>(n);
        }
    }
    return 0.0;
}

double LoadShedding::refusalFraction(TimePoint now, const std::string &queue, std::uint32_t urgency, double work, double backlog)
{
    // Jobs of the most urgent queues are refused only if they can't meet their objective.
    if (urgency == MostUrgent) {
        return 0.0;
    }
    decay(now);
    Queue &demand = m_queues[queue];
    demand.updatedAt = now;
    demand.recentWork += work;
    const double share = shedFraction(backlog);
    if (share <= 0.0 || demand.recentWork <= 0.0) {
        return 0.0;
    }
    std::vector<double> recentWork;
    double totalWork = 0;
    for (const std::pair<const std::string, Queue> &item : m_queues) {
        recentWork.push_back(item.second.recentWork);
        totalWork += item.second.recentWork;
    }
    const double level = fairLevel(std::move(recentWork), share * totalWork);
    return std::max(demand.recentWork - level, 0.0) / demand.recentWork;
}

bool LoadShedding::addRefusalCredit(const std::string &queue, double fraction)
{
    double &credit = m_queues[queue].refusalCredit;
    credit += fraction;
    if (credit < 1.0) {
        return false;
    }
    credit -= 1.0;
    return true;
}

bool LoadShedding::shouldShed(TimePoint now, const std::string &queue, std::uint32_t urgency, double work, double backlog)
{
    const double fraction = refusalFraction(now, queue, urgency, work, backlog);
    return fraction > 0.0 && addRefusalCredit(queue, fraction);
}

} // namespace cuminscale::dispatch
