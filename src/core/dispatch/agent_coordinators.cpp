#include "core/dispatch/agent_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>
#include <set>

namespace cuminscale::dispatch
{

namespace
{

/// Maximum number of unacknowledged events per entry; beyond it the oldest are dropped. Only an entry that has failed leaves so
/// many unacknowledged.
constexpr std::size_t MaxUnacknowledged = 4096;
/// Limits the time that decoding one message takes.
constexpr std::size_t MaxEventsPerReport = 128;

} // namespace

void AgentDispatch::onMessage(TimePoint now, const Envelope &envelope)
{
    if (!envelope.fromEntry) {
        return;
    }
    const Endpoint from = envelope.from.endpoint;
    if (m_coordinators.count(from) == 0 && m_coordinators.size() >= MaxCoordinators) {
        return;
    }
    Coordinator &coordinator = addCoordinator(now, from);
    const PeerSession::Arrival arrival = coordinator.session.receive(envelope, m_settings.self.incarnation, now);
    if (arrival == PeerSession::Arrival::Outdated) {
        return;
    }
    if (arrival == PeerSession::Arrival::NewIncarnation) {
        stopRunsOf(now, from, "its coordinator restarted");
        coordinator.lastKnownAliveAt = TimePoint();
        coordinator.confirmedLists = TimePoint();
        coordinator.unacknowledged.clear();
        coordinator.sentUpTo = 0;
        coordinator.lastEventNumber = m_removedEventNumber;
        coordinator.ordersSeen = 0;
        coordinator.evacuationsSent = 0;
        coordinator.named = false;
        coordinator.reportUntil = now + m_settings.timing.startReportPeriod;
        coordinator.reportDueAt = now;
        coordinator.liveEntriesSentAt = TimePoint();
    }
    if (const std::optional<Duration> age = PeerSession::maxAge(envelope, now)) {
        recordAlive(now, coordinator, envelope, *age);
    }
    coordinator.confirmedLists = std::max(coordinator.confirmedLists, envelope.confirmedLists);
    while (!coordinator.unacknowledged.empty() && coordinator.unacknowledged.front().number <= envelope.eventsSeen) {
        coordinator.unacknowledged.pop_front();
        coordinator.retransmissionTimerStart = now;
    }
    if (const StartOrder *start = std::get_if<StartOrder>(&envelope.message)) {
        handleStartOrder(now, coordinator, envelope, *start);
    } else if (const StopOrder *stop = std::get_if<StopOrder>(&envelope.message)) {
        handleStopOrder(now, envelope.from, *stop);
    } else if (const EntryReport *report = std::get_if<EntryReport>(&envelope.message)) {
        coordinator.domain = report->domain;
        adoptEvacuations(now, from, report->evacuations);
        for (const EntryAddress &entry : report->entries) {
            addEntries(now, {entry.endpoint});
            const Coordinators::iterator known = m_coordinators.find(entry.endpoint);
            if (known != m_coordinators.end() && known->second.domain.empty()) {
                known->second.domain = entry.domain;
            }
        }
    } else if (const ConfigBlob *config = std::get_if<ConfigBlob>(&envelope.message)) {
        if (config->version > m_config.version) {
            m_config = *config;
        }
    } else if (std::holds_alternative<ConfigRequest>(envelope.message) && m_config.version > envelope.configVersion) {
        sendConfig(now, from, coordinator);
    }
    startAndReport(now);
}

void AgentDispatch::recordAlive(TimePoint now, Coordinator &coordinator, const Envelope &envelope, Duration age)
{
    const auto isLive = [&]() {
        return coordinator.lastKnownAliveAt != TimePoint()
            && now - coordinator.lastKnownAliveAt < m_settings.timing.coordinatorTimeout;
    };
    const bool wasLive = isLive();
    coordinator.lastKnownAliveAt = std::max(coordinator.lastKnownAliveAt, now - age);
    coordinator.clockOffset = envelope.sentAt + age - now;
    // It may start runs again. If this process is paused until they have to be stopped, no tick notices that it was live.
    coordinator.runsStopped =
        coordinator.runsStopped && now - coordinator.lastKnownAliveAt > m_settings.timing.coordinatorTimeout;
    if (wasLive || !isLive()) {
        return;
    }
    coordinator.liveSince = now + coordinator.clockOffset;
    if (coordinator.named) {
        return;
    }
    // Entries that have just started wait for reports of all agents that name it.
    coordinator.named = true;
    nameEntriesToAll(now + m_settings.timing.newEntryReportDelay);
}

void AgentDispatch::nameEntriesToAll(TimePoint due)
{
    for (Coordinators::value_type &entry : m_coordinators) {
        if (entry.second.reporting) {
            entry.second.liveEntriesSentAt = TimePoint();
            entry.second.reportDueAt = entry.second.reportDueAt == TimePoint() ? due : std::min(entry.second.reportDueAt, due);
        }
    }
}

AgentDispatch::Coordinator &AgentDispatch::addCoordinator(TimePoint now, const Endpoint &entry)
{
    const std::pair<Coordinators::iterator, bool> added = m_coordinators.try_emplace(entry, now);
    if (added.second) {
        added.first->second.lastEventNumber = m_removedEventNumber;
    }
    return added.first->second;
}

bool AgentDispatch::hasLiveEntry(TimePoint now) const
{
    return std::any_of(m_coordinators.begin(), m_coordinators.end(), [&](const Coordinators::value_type &entry) {
        return entry.second.session.hasReceivedMessage()
            && entry.second.session.silence(now) < m_settings.timing.coordinatorTimeout;
    });
}

void AgentDispatch::selectCoordinators(TimePoint now)
{
    if (now - m_entriesSelectedAt < m_settings.timing.entrySelectionInterval) {
        return;
    }
    m_entriesSelectedAt = now;
    std::vector<EntryCandidate> candidates;
    for (Coordinators::value_type &entry : m_coordinators) {
        Coordinator &coordinator = entry.second;
        const bool live =
            coordinator.session.hasReceivedMessage() && coordinator.session.silence(now) < m_settings.timing.entryLiveness;
        candidates.push_back(EntryCandidate{entry.first, coordinator.domain, live});
        coordinator.attached = false;
        coordinator.probed = false;
    }
    const EntrySelection selection =
        selectEntries(m_settings.self.endpoint, m_settings.domain, std::move(candidates), m_settings.attachedEntries);
    for (const Endpoint &entry : selection.attached) {
        m_coordinators.at(entry).attached = true;
    }
    for (const Endpoint &entry : selection.probed) {
        m_coordinators.at(entry).probed = true;
    }
}

void AgentDispatch::maintainReports(TimePoint now, const Endpoint &to, Coordinator &coordinator)
{
    const bool retransmissionDue = !coordinator.unacknowledged.empty()
        && now - coordinator.retransmissionTimerStart > m_settings.timing.eventRetransmissionTimeout;
    const bool eventsDue = coordinator.reportDueAt != TimePoint() && now >= coordinator.reportDueAt;
    const bool inUse = coordinator.attached || coordinator.hasRuns || !coordinator.unacknowledged.empty()
        || coordinator.startProbed || now < coordinator.reportUntil;
    if (!inUse && !coordinator.probed) {
        if (coordinator.reporting) {
            sendReport(now, to, coordinator, false, true);
        }
        return;
    }
    // Runs that wait for a poll of an idle server are no queue: an additional report would delay the next one that names entries.
    const bool queued = m_ledger.waiting() > 0 && m_ledger.booked() > 0;
    const Duration interval = queued ? m_settings.timing.queuedReportInterval : m_settings.timing.heartbeatInterval;
    const bool heartbeatDue = now - coordinator.session.lastSentAt() >= (inUse ? interval : m_settings.timing.entryProbeInterval);
    if (eventsDue || retransmissionDue || heartbeatDue) {
        sendReport(now, to, coordinator, retransmissionDue);
    }
    if (coordinator.session.outgoingTimedOut(now)) {
        ++m_counters.connectionsReplaced;
        m_links.replaceConnection(to);
    }
}

void AgentDispatch::checkCoordinators(TimePoint now)
{
    selectCoordinators(now);
    for (Coordinators::value_type &entry : m_coordinators) {
        entry.second.hasRuns = false;
    }
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        const Coordinators::iterator it = m_coordinators.find(entry.second.coordinator.endpoint);
        if (it != m_coordinators.end()) {
            it->second.hasRuns = true;
        }
    }
    std::size_t startProbes = 0;
    for (Coordinators::iterator it = m_coordinators.begin(); it != m_coordinators.end();) {
        Coordinator &coordinator = it->second;
        coordinator.startProbed = now - m_startedAt < m_settings.timing.startReportPeriod
            && !coordinator.session.hasReceivedMessage() && startProbes++ < m_settings.timing.maxStartProbes;
        const Duration silence = coordinator.session.silence(now);
        const bool timedOut =
            coordinator.session.hasReceivedMessage() && now - coordinator.lastKnownAliveAt > m_settings.timing.coordinatorTimeout;
        if (!timedOut) {
            coordinator.runsStopped = false;
        } else if (!coordinator.runsStopped) {
            coordinator.runsStopped = true;
            ++m_counters.coordinatorsSilent;
            stopRunsOf(now, it->first, "no message from its coordinator");
        }
        if (silence > m_settings.timing.coordinatorRetention && !coordinator.fromSettings) {
            m_removedEventNumber = std::max(m_removedEventNumber, coordinator.lastEventNumber);
            m_links.forgetConnection(it->first);
            it = m_coordinators.erase(it);
            continue;
        }
        maintainReports(now, it->first, coordinator);
        ++it;
    }
}

void AgentDispatch::stopUnconfirmedRuns(TimePoint now)
{
    std::vector<TaskRef> unconfirmed;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        const RunRecord &record = entry.second;
        const Coordinators::const_iterator it = m_coordinators.find(record.coordinator.endpoint);
        if (record.requestedAt == TimePoint() || record.stopRequested || it == m_coordinators.end()) {
            continue;
        }
        const TimePoint coordinatorNow = now + it->second.clockOffset;
        if (!isConfirmed(m_settings.timing.coordination, coordinatorNow, record.requestedAt, record.admittedAt,
                         it->second.confirmedLists)) {
            unconfirmed.push_back(entry.first);
        }
    }
    for (const TaskRef &task : unconfirmed) {
        ++m_counters.runsUnconfirmed;
        RunRecord &record = *m_ledger.find(task);
        m_log.write(LogLevel::Warning, "run-unconfirmed",
                    describe(record.ref) + " coordinator=" + toString(record.coordinator.endpoint));
        if (record.state == RunRecord::State::Queued) {
            const RunRecord waiting = record;
            m_ledger.remove(task);
            refuseRun(now, waiting, RefusalReason::Cancelled);
        } else {
            limitRun(record, runLimit(record));
            requestStop(now, record);
        }
    }
}

void AgentDispatch::queueEvent(TimePoint now, const Endpoint &to, RunEvent event, bool urgent)
{
    const Coordinators::iterator it = m_coordinators.find(to);
    if (it == m_coordinators.end()) {
        return;
    }
    Coordinator &coordinator = it->second;
    event.number = ++coordinator.lastEventNumber;
    coordinator.unacknowledged.push_back(event);
    if (coordinator.unacknowledged.size() > MaxUnacknowledged) {
        coordinator.unacknowledged.pop_front();
    }
    const TimePoint by = urgent ? now : now + m_settings.timing.eventBatchDelay;
    coordinator.reportDueAt = coordinator.reportDueAt == TimePoint() ? by : std::min(coordinator.reportDueAt, by);
}

void AgentDispatch::sendDueReports(TimePoint now)
{
    for (Coordinators::value_type &entry : m_coordinators) {
        if (entry.second.reportDueAt != TimePoint() && entry.second.reportDueAt <= now) {
            sendReport(now, entry.first, entry.second, false);
        }
    }
}

void AgentDispatch::sendReport(TimePoint now, const Endpoint &to, Coordinator &coordinator, bool retransmit, bool detached)
{
    coordinator.reporting = !detached;
    AgentReport report;
    report.detached = detached;
    report.service = m_settings.service;
    report.domain = m_settings.domain;
    report.ordersSeen = coordinator.ordersSeen;
    report.load.accepting = accepting(now);
    report.load.draining = m_draining || m_shuttingDown;
    report.load.evacuated = evacuated() && serverUsable(now);
    report.load.suspect = m_progress.suspect(now);
    report.load.onProbation = m_progress.onProbation();
    report.load.cold = m_coldStart.remaining(now);
    report.load.slowness = m_speed.slowness();
    report.load.slownessWeight = m_speed.weight(now);
    report.load.labels = m_labels;
    m_ledger.fillLoad(now, report.load);
    for (const RunEvent &event : coordinator.unacknowledged) {
        if ((retransmit || event.number > coordinator.sentUpTo) && report.events.size() < MaxEventsPerReport) {
            report.events.push_back(event);
        }
    }
    if (now - coordinator.liveEntriesSentAt >= m_settings.timing.liveEntriesInterval) {
        coordinator.liveEntriesSentAt = now;
        describeEntries(now, report);
    }
    // A report may be lost, so the set is repeated with the live entries.
    if (report.liveEntries || coordinator.evacuationsSent != m_evacuations.valid().revision) {
        coordinator.evacuationsSent = m_evacuations.valid().revision;
        report.evacuations = m_evacuations.valid();
    }
    report.crashes = m_crashReports.unconfirmed(now, coordinator.session.echoed());
    if (!report.events.empty()) {
        coordinator.sentUpTo = std::max(coordinator.sentUpTo, report.events.back().number);
        if (report.events.front().number == coordinator.unacknowledged.front().number) {
            coordinator.retransmissionTimerStart = now;
        }
    }
    if (coordinator.lastEventNumber > 0) {
        report.oldestEvent =
            coordinator.unacknowledged.empty() ? coordinator.lastEventNumber + 1 : coordinator.unacknowledged.front().number;
    }
    coordinator.reportDueAt = TimePoint();
    Envelope envelope = coordinator.session.makeEnvelope(m_settings.self, false, now, std::move(report));
    envelope.configVersion = m_config.version;
    m_links.send(to, envelope);
}

std::vector<LiveEntry> AgentDispatch::liveEntries(TimePoint now) const
{
    std::vector<LiveEntry> entries;
    for (const Coordinators::value_type &entry : m_coordinators) {
        const Coordinator &coordinator = entry.second;
        if (coordinator.session.hasReceivedMessage()
            && now - coordinator.lastKnownAliveAt < m_settings.timing.coordinatorTimeout) {
            entries.push_back(LiveEntry{entry.first, coordinator.session.incarnation()});
        }
    }
    return entries;
}

void AgentDispatch::describeEntries(TimePoint now, AgentReport &report) const
{
    report.liveEntries = liveEntries(now);
    std::set<JobKey> jobs;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        const ProcessId &coordinator = entry.second.coordinator;
        const Coordinators::const_iterator it = m_coordinators.find(coordinator.endpoint);
        const bool named = it != m_coordinators.end() && it->second.session.incarnation() == coordinator.incarnation
            && now - it->second.lastKnownAliveAt < m_settings.timing.coordinatorTimeout;
        if (!named) {
            jobs.insert(entry.first.job.key());
        }
    }
    report.examined = m_examined && jobs.size() <= m_settings.timing.maxFormerJobs;
    if (report.examined) {
        report.formerJobs.assign(jobs.begin(), jobs.end());
    }
}

void AgentDispatch::sendConfig(TimePoint now, const Endpoint &to, Coordinator &coordinator)
{
    Envelope envelope = coordinator.session.makeEnvelope(m_settings.self, false, now, m_config);
    envelope.configVersion = m_config.version;
    m_links.send(to, envelope);
}

} // namespace cuminscale::dispatch
