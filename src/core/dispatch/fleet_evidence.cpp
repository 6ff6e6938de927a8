#include "core/dispatch/fleet_evidence.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

constexpr std::size_t MaxAgents = 4096;

} // namespace

void FleetEvidence::addListedAgents(const std::vector<Endpoint> &agents)
{
    for (const Endpoint &agent : agents) {
        recordAgent(agent);
    }
    m_listed = m_listed || !agents.empty();
}

void FleetEvidence::recordAgent(const Endpoint &agent)
{
    if (m_agents.size() < MaxAgents) {
        m_agents.try_emplace(agent);
    } else {
        m_overflow = m_overflow || m_agents.count(agent) == 0;
    }
}

void FleetEvidence::recordReport(const Endpoint &agent, TimePoint notOlderThan, const AgentReport &report)
{
    const std::map<Endpoint, Statement>::iterator it = m_agents.find(agent);
    if (it == m_agents.end() || !report.liveEntries || notOlderThan < it->second.notOlderThan) {
        return;
    }
    it->second = Statement{notOlderThan, report.examined, *report.liveEntries, report.formerJobs};
}

bool FleetEvidence::excludesFormerRuns(TimePoint now, const ProcessId &entry) const
{
    return entry.incarnation != Incarnation() && namesOnly(now, entry.endpoint, entry.incarnation);
}

bool FleetEvidence::isUnheard(TimePoint now, const Endpoint &entry) const
{
    return namesOnly(now, entry, Incarnation());
}

bool FleetEvidence::namesOnly(TimePoint now, const Endpoint &entry, Incarnation incarnation) const
{
    return isComplete(now)
        && std::all_of(m_agents.begin(), m_agents.end(), [&](const std::pair<const Endpoint, Statement> &agent) {
               const std::vector<LiveEntry> &named = agent.second.liveEntries;
               return std::all_of(named.begin(), named.end(), [&](const LiveEntry &live) {
                   return live.endpoint != entry || (incarnation != Incarnation() && live.incarnation == incarnation);
               });
           });
}

bool FleetEvidence::listsFormerJob(TimePoint now, const JobKey &job) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const std::pair<const Endpoint, Statement> &agent) {
        const std::vector<JobKey> &jobs = agent.second.formerJobs;
        return isRecent(now, agent.second) && std::find(jobs.begin(), jobs.end(), job) != jobs.end();
    });
}

std::size_t FleetEvidence::reportedAgents(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_agents.begin(), m_agents.end(), [&](const std::pair<const Endpoint, Statement> &agent) {
            return isRecent(now, agent.second) && agent.second.examined;
        }));
}

FleetEvidence::Missing FleetEvidence::firstMissing(TimePoint now) const
{
    for (const std::pair<const Endpoint, Statement> &agent : m_agents) {
        const bool recent = isRecent(now, agent.second);
        if (!recent || !agent.second.examined) {
            return Missing{&agent.first, recent};
        }
    }
    return Missing{};
}

} // namespace cuminscale::dispatch
