#include "core/dispatch/held_jobs.h"

namespace cuminscale::dispatch
{

namespace
{

/// One interval of the agents' reports, so that each running agent has reported.
constexpr Duration ArrivalTimeout = milliseconds(200);
/// In a large fleet, reports at random times of that interval leave no such gap before all agents have reported.
constexpr Duration ArrivalGap = milliseconds(45);
constexpr std::size_t LargeFleet = 32;

} // namespace

HeldJobs::Added HeldJobs::add(TimePoint now, HeldJob &&job)
{
    Added result;
    if (m_maxJobs == 0) {
        return result;
    }
    if (m_jobs.size() >= m_maxJobs) {
        if (m_order.begin()->first >= now) {
            return result;
        }
        result.removed = take(m_jobs.find(m_order.begin()->second));
    }
    m_order.emplace(job.latestStart, job.id);
    const JobId id = job.id;
    m_jobs.insert_or_assign(id, std::move(job));
    result.held = true;
    return result;
}

HeldJob *HeldJobs::find(const JobId &id)
{
    const Jobs::iterator it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

void HeldJobs::join(HeldJob &job, const WaitingClient &client, TimePoint usefulUntil)
{
    job.clients.push_back(client);
    job.usefulUntil = std::max(job.usefulUntil, usefulUntil);
}

HeldJob HeldJobs::take(const Jobs::iterator &it)
{
    HeldJob job = std::move(it->second);
    m_order.erase({job.latestStart, job.id});
    m_jobs.erase(it);
    return job;
}

std::optional<HeldJob> HeldJobs::remove(const JobId &id)
{
    const Jobs::iterator it = m_jobs.find(id);
    return it == m_jobs.end() ? std::nullopt : std::optional(take(it));
}

std::vector<HeldJob> HeldJobs::takeExpired(TimePoint now)
{
    std::vector<HeldJob> expired;
    for (Jobs::iterator it = m_jobs.begin(); it != m_jobs.end();) {
        const Jobs::iterator current = it++;
        if (current->second.usefulUntil < now) {
            expired.push_back(take(current));
        }
    }
    return expired;
}

std::vector<HeldJob> HeldJobs::takeAll()
{
    std::vector<HeldJob> all;
    while (!m_jobs.empty()) {
        all.push_back(take(m_jobs.begin()));
    }
    return all;
}

std::optional<HeldJob> HeldJobs::takeNext(TimePoint now)
{
    if (m_order.empty()) {
        return std::nullopt;
    }
    std::set<std::pair<TimePoint, JobId>>::const_iterator first = m_order.lower_bound({now, JobId()});
    first = first == m_order.end() ? m_order.begin() : first;
    return take(m_jobs.find(first->second));
}

bool HeldJobs::isAheadOf(TimePoint now, TimePoint latestStart) const
{
    const std::set<std::pair<TimePoint, JobId>>::const_iterator first = m_order.lower_bound({now, JobId()});
    return first != m_order.end() && first->first <= latestStart;
}

void HeldJobs::limitDeadlines(TimePoint deadline)
{
    for (Jobs::value_type &item : m_jobs) {
        HeldJob &job = item.second;
        TimePoint latest{};
        for (WaitingClient &client : job.clients) {
            latest = std::max(latest, client.deadline);
            client.deadline = std::min(client.deadline, deadline);
        }
        // The time that its run needs before the deadline stays the same.
        job.usefulUntil -= std::max(latest - deadline, Duration(0));
    }
}

std::vector<JobKey> HeldJobs::keys() const
{
    std::vector<JobKey> keys;
    keys.reserve(m_jobs.size());
    for (const Jobs::value_type &item : m_jobs) {
        keys.push_back(item.first.key());
    }
    return keys;
}

void AgentArrival::record(TimePoint now, std::size_t agents) noexcept
{
    if (agents > 0 && m_firstAt == TimePoint()) {
        m_firstAt = now;
    }
    if (agents > m_agents) {
        m_lastIncreaseAt = now;
    }
    m_agents = agents;
}

bool AgentArrival::settled(TimePoint now) const noexcept
{
    if (m_firstAt == TimePoint()) {
        return false;
    }
    return now - m_firstAt >= ArrivalTimeout || (m_agents >= LargeFleet && now - m_lastIncreaseAt >= ArrivalGap);
}

} // namespace cuminscale::dispatch
