#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Minimum interval of the log lines that say why admission is closed.
constexpr Duration ClosedLogInterval = milliseconds(500);

} // namespace

bool EntryDispatch::mayAdmit(TimePoint now) const
{
    return admissionState(now).open;
}

EntryDispatch::AdmissionState EntryDispatch::admissionState(TimePoint now) const
{
    AdmissionState state;
    const bool limitsPassed = !m_coordination.mayLackLists(now);
    state.evidence = limitsPassed ? AdmissionEvidence::Time : AdmissionEvidence::Lists;
    const auto close = [&state](const char *reason, const Endpoint *entry) {
        state.open = false;
        state.reason = reason;
        state.entry = entry;
        return state;
    };
    if (m_settings.followsEvacuations && !m_evacuations.isKnown()) {
        return close("evacuations-unknown", nullptr);
    }
    for (const std::pair<const Endpoint, EntryPeer> &item : m_entries) {
        const EntryPeer &entry = item.second;
        if (mayLackCancelledJobs(now, entry)) {
            return close("cancelled-jobs-missing", &item.first);
        }
        if (m_coordination.mayAdmit(now, entry.lists, false)) {
            continue;
        }
        state.evidence = AdmissionEvidence::Agents;
        if (!entry.session.hasReceivedMessage()) {
            if (!m_evidence.isUnheard(now, item.first)) {
                return close("entry-not-heard", &item.first);
            }
        } else if (!m_coordination.mayAdmit(now, entry.lists, true)) {
            return close("no-recent-list", &item.first);
        } else if (!m_evidence.excludesFormerRuns(now, ProcessId{item.first, entry.session.incarnation()})) {
            return close("former-runs-not-excluded", &item.first);
        }
    }
    // Lists of entries that have been running for long contain the jobs of this entry's former incarnation; others need not.
    const bool ownRunsEnded = now - m_startedAt >= m_settings.timing.coordination.formerRunsTimeout;
    if (state.evidence == AdmissionEvidence::Agents && !ownRunsEnded && !m_evidence.excludesFormerRuns(now, m_settings.self)) {
        return close("own-former-runs-not-excluded", nullptr);
    }
    return state;
}

bool EntryDispatch::mayHaveFormerRunsAtAgents(TimePoint now, const JobId &id) const
{
    return m_coordination.mayLackLists(now) && m_evidence.listsFormerJob(now, id.key())
        && admissionState(now).evidence == AdmissionEvidence::Agents;
}

void EntryDispatch::logAdmission(TimePoint now)
{
    // Without these, nothing has to be shown, and the state can't have changed.
    if (m_admissionLog.open && !m_coordination.mayLackLists(now)) {
        return;
    }
    const AdmissionState state = admissionState(now);
    const bool closedLogDue = !state.open && now - m_admissionLog.closedLoggedAt >= ClosedLogInterval;
    if ((!state.open || m_admissionLog.open) && !closedLogDue) {
        return;
    }
    m_admissionLog.open = state.open;
    const std::string fields = " up_ms=" + ms(now - m_startedAt) + " agents=" + std::to_string(m_evidence.expectedAgents())
        + " agents_reported=" + std::to_string(m_evidence.reportedAgents(now));
    if (state.open) {
        constexpr const char *Names[] = {"lists", "agents", "time"};
        m_admissionLog.evidenceAgents = state.evidence == AdmissionEvidence::Agents ? m_evidence.reportedAgents(now) : 0;
        m_log.write(LogLevel::Info, "admission-open",
                    std::string("evidence=") + Names[static_cast<std::size_t>(state.evidence)] + fields);
        return;
    }
    m_admissionLog.closedLoggedAt = now;
    std::string missing = m_evidence.isFleetKnown() ? "" : " fleet=unknown";
    if (const FleetEvidence::Missing agent = m_evidence.firstMissing(now); agent.agent != nullptr) {
        missing += std::string(agent.examining ? " agent_examining=" : " agent_silent=") + toString(*agent.agent);
    }
    m_log.write(LogLevel::Info, "admission-closed",
                std::string("reason=") + state.reason + (state.entry == nullptr ? "" : " entry=" + toString(*state.entry))
                    + fields + missing);
}

void EntryDispatch::recordAgentEvidence(TimePoint now, const Envelope &envelope, const AgentReport &report)
{
    const std::optional<Duration> age = PeerSession::maxAge(envelope, now);
    if (age && m_coordination.mayLackLists(now)) {
        m_evidence.recordReport(envelope.from.endpoint, now - *age, report);
    }
}

void EntryDispatch::addListedAgents(TimePoint now, const std::vector<Endpoint> &agents)
{
    m_agentList.recordRead();
    m_evidence.addListedAgents(agents);
    for (const Endpoint &agent : agents) {
        m_fleet.findOrAdd(agent, now);
    }
    m_log.write(LogLevel::Info, "agents-listed", "agents=" + std::to_string(agents.size()) + " up_ms=" + ms(now - m_startedAt));
}

std::optional<std::vector<Endpoint>> EntryDispatch::agentListDue(TimePoint now)
{
    std::vector<Endpoint> agents;
    agents.reserve(m_fleet.agents().size());
    for (const FleetView::Agents::value_type &agent : m_fleet.agents()) {
        if (agent.second.session.silence(now) < m_settings.timing.listedAgentTimeout) {
            agents.push_back(agent.first);
        }
    }
    return m_agentList.due(now, std::move(agents));
}

} // namespace cuminscale::dispatch
