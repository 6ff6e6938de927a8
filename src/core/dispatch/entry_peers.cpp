#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

void EntryDispatch::onMessage(TimePoint now, const Envelope &envelope)
{
    detectPause(now);
    if (envelope.fromEntry) {
        handleEntryMessage(now, envelope);
        return;
    }
    AgentView *agent = m_fleet.findOrAdd(envelope.from.endpoint, now);
    if (agent == nullptr) {
        return;
    }
    const PeerSession::Arrival arrival = agent->session.receive(envelope, m_settings.self.incarnation, now);
    if (arrival == PeerSession::Arrival::Outdated) {
        return;
    }
    m_evidence.recordAgent(agent->endpoint);
    if (arrival == PeerSession::Arrival::NewIncarnation) {
        agent->answerDue = true;
        agent->eventsSeen = 0;
        agent->lastOrder = 0;
        agent->outstandingRuns = 0;
        agent->unreportedOrders.clear();
        agent->load = ServerLoad();
        agent->hasOrphanedRuns = true;
        agent->entryList = EntryListState();
        orphanRuns(now, agent->endpoint);
    }
    if (const AgentReport *report = std::get_if<AgentReport>(&envelope.message)) {
        handleAgentReport(now, envelope, *report);
    } else if (const ConfigBlob *config = std::get_if<ConfigBlob>(&envelope.message)) {
        handleConfig(*config);
    }
}

void EntryDispatch::handleAgentReport(TimePoint now, const Envelope &envelope, const AgentReport &report)
{
    AgentView &agent = *m_fleet.find(envelope.from.endpoint);
    if (agent.session.latestWasNewest()) {
        FleetView::applyReport(agent, report);
        agent.evacuated = m_evacuations.isEvacuated(agent.domain);
    }
    // Before the events: tasks that are handed back must not be placed in a domain that the agent knows to be evacuated.
    adoptEvacuations(now, report.evacuations, &agent.endpoint);
    // The agent counts the orders of this incarnation also after this entry has removed its state.
    agent.lastOrder = std::max(agent.lastOrder, report.ordersSeen);
    // The agent no longer has the events before `oldestEvent`, so waiting for them would block all later ones.
    if (report.oldestEvent > agent.eventsSeen + 1) {
        if (agent.eventsSeen > 0) {
            m_log.write(LogLevel::Warning, "events-lost",
                        "agent=" + toString(agent.endpoint)
                            + " events=" + std::to_string(report.oldestEvent - agent.eventsSeen - 1));
        }
        agent.eventsSeen = report.oldestEvent - 1;
    }
    if (report.liveEntries) {
        receiveLiveEntries(now, *report.liveEntries);
        recordAgentEvidence(now, envelope, report);
    }
    for (const ServerCrash &crash : report.crashes) {
        handleServerCrash(now, envelope.from, report.service, crash);
    }
    for (const RunEvent &event : report.events) {
        if (event.number != agent.eventsSeen + 1) {
            continue; // A duplicate, or an event after a gap: the agent retransmits it with the missing ones.
        }
        agent.eventsSeen = event.number;
        agent.acknowledgementPending = true;
        handleRunEvent(now, agent, event);
    }
    if ((agent.load.accepting || agent.load.evacuated) && agent.hasOrphanedRuns) {
        agent.hasOrphanedRuns = false;
        rescheduleOrphanedTasks(now, agent);
    }
    if (report.detached && agent.outstandingRuns == 0 && !agent.hasOrphanedRuns && !agent.acknowledgementPending) {
        m_links.forgetConnection(agent.endpoint);
        m_fleet.agents().erase(agent.endpoint);
    }
}

void EntryDispatch::receiveLiveEntries(TimePoint now, const std::vector<LiveEntry> &entries)
{
    bool named = false;
    for (const LiveEntry &live : entries) {
        addEntries(now, {live.endpoint});
        named = named || live.endpoint == m_settings.self.endpoint;
        const std::map<Endpoint, EntryPeer>::iterator it = m_entries.find(live.endpoint);
        if (it != m_entries.end()) {
            m_coordination.recordName(now, it->second.lists);
        }
    }
    m_coordination.recordNames(now, named);
}

void EntryDispatch::receiveActiveJobs(TimePoint now, const Envelope &envelope, const EntryReport &report, EntryPeer &entry)
{
    ListExchange &lists = entry.lists;
    lists.confirms = report.uptime > Duration(0);
    lists.confirmed = std::max(lists.confirmed, std::min(report.confirmedList, now));
    if (envelope.sentAt < lists.sentAt) {
        return;
    }
    entry.activeJobs = std::unordered_set<JobKey, IdHash>(report.activeJobs.begin(), report.activeJobs.end());
    entry.ownFormerJobs = std::unordered_set<JobKey, IdHash>(report.formerJobs.begin(), report.formerJobs.end());
    lists.sentAt = envelope.sentAt;
    lists.receivedAt = now;
    const std::optional<Duration> age = PeerSession::maxAge(envelope, now);
    if (age) {
        lists.latestNotOlderThan = std::max(lists.latestNotOlderThan, now - *age);
    }
    if (age && report.uptime >= m_settings.timing.coordination.formerRunsTimeout) {
        lists.notOlderThan = std::max(lists.notOlderThan, now - *age);
    }
}

void EntryDispatch::handleEntryMessage(TimePoint now, const Envelope &envelope)
{
    const Endpoint from = envelope.from.endpoint;
    if (from == m_settings.self.endpoint) {
        return;
    }
    addEntries(now, {from});
    const std::map<Endpoint, EntryPeer>::iterator it = m_entries.find(from);
    if (it == m_entries.end()) {
        return;
    }
    EntryPeer &entry = it->second;
    const TimePoint lastHeardAt = now - entry.session.silence(now);
    const bool wasKnown = entry.session.hasReceivedMessage();
    const PeerSession::Arrival arrival = entry.session.receive(envelope, m_settings.self.incarnation, now);
    if (arrival == PeerSession::Arrival::Outdated) {
        return;
    }
    if (arrival == PeerSession::Arrival::NewIncarnation) {
        keepFormerJobs(now, lastHeardAt, entry);
        entry.lists.sentAt = TimePoint();
        entry.lists.receivedAt = TimePoint();
        entry.lists.notOlderThan = TimePoint();
        entry.lists.latestNotOlderThan = TimePoint();
        // The new incarnation admits no job until it has heard the other entries, so it gets a list at the next tick.
        entry.heartbeatSentAt = TimePoint();
        entry.entryList = EntryListState();
        entry.cancelledJobsSentAt = TimePoint();
        entry.demandsSentAt = TimePoint();
        if (wasKnown) {
            ++m_counters.connectionsReplaced;
            m_links.replaceConnection(from);
        }
    }
    if (now - lastHeardAt > m_settings.timing.cancellationSilenceTimeout) {
        // Others may have acknowledged cancellations without this entry, and have restarted since.
        entry.cancelledJobsReceived = false;
    }
    if (const EntryReport *report = std::get_if<EntryReport>(&envelope.message)) {
        receiveActiveJobs(now, envelope, *report, entry);
        receiveCancelledJobs(now, *report, entry);
        adoptEvacuations(now, report->evacuations, &from);
        if (entry.session.latestWasNewest()) {
            receiveDemands(now, from, *report);
        }
        entry.domain = report->domain;
        for (const EntryAddress &known : report->entries) {
            addEntries(now, {known.endpoint});
        }
    } else if (const JoinJob *join = std::get_if<JoinJob>(&envelope.message)) {
        sendToEntry(now, from, entry, JobStatus{join->job, handleJoin(now, from, join->job)});
    } else if (const JobStatus *status = std::get_if<JobStatus>(&envelope.message)) {
        handleJobStatus(now, from, *status);
        confirmCancellation(now, envelope, *status);
    } else if (const CancelJob *cancel = std::get_if<CancelJob>(&envelope.message)) {
        handleCancel(now, from, entry, cancel->job);
    } else if (const ConfigBlob *config = std::get_if<ConfigBlob>(&envelope.message)) {
        handleConfig(*config);
    } else if (std::holds_alternative<ConfigRequest>(envelope.message) && m_config.version > entry.session.configVersion()) {
        sendToEntry(now, from, entry, ConfigBlob(m_config));
    }
}

void EntryDispatch::receiveDemands(TimePoint now, const Endpoint &from, const EntryReport &report)
{
    constexpr Duration LogInterval = seconds(60);
    if (report.demands.empty() || m_admission->receiveDigest(now, from, report.demands)
        || now - m_invalidDemandsLoggedAt < LogInterval) {
        return;
    }
    m_invalidDemandsLoggedAt = now;
    m_log.write(LogLevel::Warning, "demand-digest-invalid",
                "entry=" + toString(from) + " ignored_figures=" + std::to_string(m_admission->malformedFigures()));
}

std::string EntryDispatch::describePeers(TimePoint now) const
{
    std::size_t heard = 0;
    Duration oldest{0};
    for (const std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        if (entry.second.lists.receivedAt != TimePoint()) {
            ++heard;
            oldest = std::max(oldest, now - entry.second.lists.receivedAt);
        }
    }
    return "entries_heard=" + std::to_string(heard) + " entries_known=" + std::to_string(m_entries.size())
        + " oldest_list_ms=" + ms(oldest) + " up_ms=" + ms(now - m_startedAt);
}

TimePoint EntryDispatch::confirmedLists(TimePoint now) const
{
    TimePoint confirmed = now;
    for (const std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        if (m_coordination.mustConfirm(now, entry.second.lists)) {
            confirmed = std::min(confirmed, entry.second.lists.confirmed);
        }
    }
    return confirmed;
}

void EntryDispatch::sendToAgent(TimePoint now, AgentView &agent, Message &&message)
{
    Envelope envelope = agent.session.makeEnvelope(m_settings.self, true, now, std::move(message));
    envelope.eventsSeen = agent.eventsSeen;
    envelope.configVersion = m_config.version;
    envelope.confirmedLists = confirmedLists(now);
    agent.acknowledgementPending = false;
    agent.answerDue = false;
    m_links.send(agent.endpoint, envelope);
}

void EntryDispatch::sendToEntry(TimePoint now, const Endpoint &to, EntryPeer &entry, Message &&message)
{
    Envelope envelope = entry.session.makeEnvelope(m_settings.self, true, now, std::move(message));
    envelope.configVersion = m_config.version;
    m_links.send(to, envelope);
}

std::vector<EntryAddress> EntryDispatch::knownEntries() const
{
    std::vector<EntryAddress> entries{EntryAddress{m_settings.self.endpoint, m_settings.domain}};
    for (const std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        if (entry.second.session.hasReceivedMessage()) {
            entries.push_back(EntryAddress{entry.first, entry.second.domain});
        }
    }
    return entries;
}

std::vector<JobKey> EntryDispatch::activeJobs() const
{
    // Held jobs are listed as well, so that a client's second request joins them however long they have been held.
    std::vector<JobKey> jobs = m_held.keys();
    jobs.reserve(jobs.size() + m_jobs.size());
    for (const Jobs::value_type &item : m_jobs) {
        jobs.push_back(item.first.key());
    }
    return jobs;
}

EntryReport EntryDispatch::makeHeartbeat(TimePoint now, EntryListState &sentList, const std::vector<EntryAddress> &entries) const
{
    EntryReport report;
    report.domain = m_settings.domain;
    report.evacuations = m_evacuations.valid();
    if (sentList.length != entries.size() || now - sentList.sentAt >= m_settings.timing.entryListInterval) {
        sentList = EntryListState{now, entries.size()};
        report.entries = entries;
    }
    return report;
}

Duration EntryDispatch::replicaLagTimeout() const
{
    const std::ptrdiff_t lowerEntries =
        std::count_if(m_entries.begin(), m_entries.end(), [this](const std::pair<const Endpoint, EntryPeer> &entry) {
            return entry.second.session.hasReceivedMessage() && entry.first < m_settings.self.endpoint;
        });
    return m_settings.timing.replicaLagTimeout + lowerEntries * m_settings.timing.replicaStagger;
}

void EntryDispatch::fetchConfig(TimePoint now)
{
    std::vector<ConfigSource> sources;
    for (const std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        if (entry.second.session.silence(now) < m_settings.timing.agentTimeout) {
            sources.push_back(
                ConfigSource{entry.first, entry.second.session.configVersion(), entry.second.domain == m_settings.domain});
        }
    }
    for (const FleetView::Agents::value_type &agent : m_fleet.agents()) {
        if (agent.second.session.silence(now) < m_settings.timing.agentTimeout) {
            sources.push_back(
                ConfigSource{agent.first, agent.second.session.configVersion(), agent.second.domain == m_settings.domain});
        }
    }
    const std::optional<Endpoint> source = m_configFetch.next(now, m_config.version, sources, IdHash()(m_settings.self.endpoint));
    if (!source) {
        return;
    }
    m_log.write(LogLevel::Info, "config-requested", "peer=" + toString(*source) + " version=" + std::to_string(m_config.version));
    const std::map<Endpoint, EntryPeer>::iterator entry = m_entries.find(*source);
    if (entry != m_entries.end()) {
        sendToEntry(now, *source, entry->second, ConfigRequest());
    } else {
        sendToAgent(now, *m_fleet.find(*source), ConfigRequest());
    }
}

void EntryDispatch::maintainAgents(TimePoint now)
{
    const std::vector<EntryAddress> entries = knownEntries();
    std::size_t copies = 0;
    for (FleetView::Agents::iterator it = m_fleet.agents().begin(); it != m_fleet.agents().end();) {
        AgentView &agent = it->second;
        if (agent.session.silence(now) > m_settings.timing.peerExpiry) {
            m_links.forgetConnection(it->first);
            it = m_fleet.agents().erase(it);
            continue;
        }
        if (agent.session.outgoingTimedOut(now)) {
            ++m_counters.connectionsReplaced;
            m_links.replaceConnection(it->first);
        }
        const Duration sinceLastSent = now - agent.session.lastSentAt();
        if (sinceLastSent >= m_settings.timing.heartbeatInterval || agent.answerDue
            || (agent.acknowledgementPending && sinceLastSent >= m_settings.timing.maxAcknowledgementDelay)) {
            sendToAgent(now, agent, makeHeartbeat(now, agent.entryList, entries));
        }
        if (agent.domain == m_settings.domain && copies < m_settings.timing.configReplicas) {
            ++copies;
            if (agent.configLag.shouldPush(now, agent.session.configVersion(), m_config.version, replicaLagTimeout())) {
                sendToAgent(now, agent, ConfigBlob(m_config));
            }
        }
        ++it;
    }
}

void EntryDispatch::maintainEntries(TimePoint now)
{
    const std::vector<EntryAddress> entries = knownEntries();
    const std::vector<JobKey> jobs = activeJobs();
    const DemandLedger::Digest digest = m_admission->demandDigest(now);
    for (std::map<Endpoint, EntryPeer>::iterator it = m_entries.begin(); it != m_entries.end();) {
        EntryPeer &entry = it->second;
        // An entry that is cut off keeps the others: it must not take itself for the only one.
        if (entry.session.silence(now) > m_settings.timing.peerExpiry && !entry.fromSettings && !mayRunJobs(now, entry)) {
            m_links.forgetConnection(it->first);
            it = m_entries.erase(it);
            continue;
        }
        if (entry.session.outgoingTimedOut(now)) {
            ++m_counters.connectionsReplaced;
            m_links.replaceConnection(it->first);
        }
        if (now - entry.heartbeatSentAt >= m_settings.timing.heartbeatInterval) {
            entry.heartbeatSentAt = now;
            EntryReport heartbeat = makeHeartbeat(now, entry.entryList, entries);
            heartbeat.activeJobs = jobs;
            heartbeat.formerJobs = formerJobs(now, entry);
            heartbeat.confirmedList = entry.lists.sentAt;
            // An uptime of zero would stand for an entry of a version that does not confirm lists.
            heartbeat.uptime = std::max(now - m_startedAt, Duration(milliseconds(1)));
            heartbeat.sharesCancelledJobs = true;
            heartbeat.wantsCancelledJobs = !entry.cancelledJobsReceived;
            if (entry.cancelledJobsRequested && now - entry.cancelledJobsSentAt >= m_settings.timing.cancelledJobsInterval) {
                entry.cancelledJobsRequested = false;
                entry.cancelledJobsSentAt = now;
                heartbeat.cancelledJobs = cancelledJobs(now);
            }
            if (!digest.demands.empty()
                && (digest.changedAt > entry.demandsSentAt
                    || now - entry.demandsSentAt >= m_settings.timing.demandDigestInterval)) {
                entry.demandsSentAt = now;
                heartbeat.demands = digest.demands;
            }
            sendToEntry(now, it->first, entry, std::move(heartbeat));
        }
        ++it;
    }
}

} // namespace cuminscale::dispatch
