#include "core/dispatch/agent_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Ended runs are kept for longer than a start order can be retransmitted, so that a retransmitted one does not start a run
/// again.
constexpr Duration EndedRunRetention = seconds(5);
/// Bounds their memory to about 16 MB. A full queue of wide jobs makes an agent refuse some 25,000 runs a second.
constexpr std::size_t MaxEndedRuns = 65536;

} // namespace

AgentDispatch::AgentDispatch(AgentSettings settings, ServerPort &server, LinkPort &links, DecisionLog &log, TimePoint now)
    : m_settings(std::move(settings))
    , m_server(server)
    , m_links(links)
    , m_log(log)
    , m_startedAt(now)
    , m_token(m_settings.firstToken)
{
    for (const Endpoint &entry : m_settings.entries) {
        m_coordinators.emplace(entry, Coordinator(now)).first->second.fromSettings = true;
    }
}

void AgentDispatch::addEntries(TimePoint now, const std::vector<Endpoint> &entries)
{
    for (const Endpoint &entry : entries) {
        if (m_coordinators.size() < MaxCoordinators) {
            addCoordinator(now, entry);
        }
    }
}

bool AgentDispatch::accepting(TimePoint now) const
{
    return serverUsable(now) && !evacuated();
}

bool AgentDispatch::serverUsable(TimePoint now) const noexcept
{
    return m_serverIncarnation && m_reconciled && m_reachable && !m_draining && !m_shuttingDown && capacityKnown(now);
}

bool AgentDispatch::capacityKnown(TimePoint now) const noexcept
{
    return m_capacityValidUntil && m_clock.known() && m_clock.lowerBound(now) < *m_capacityValidUntil;
}

RefusalReason AgentDispatch::refusalFor(TimePoint now, const Resources &need) const
{
    if (m_draining || m_shuttingDown || evacuated()) {
        return RefusalReason::Draining;
    }
    if (!m_serverIncarnation || !m_reconciled || !capacityKnown(now)) {
        return RefusalReason::NoServer;
    }
    if (!m_reachable) {
        return RefusalReason::Unreachable;
    }
    if (!need.fits(m_ledger.capacity()) || m_ledger.waiting() >= m_settings.timing.maxWaiting) {
        return RefusalReason::NoRoom;
    }
    return RefusalReason::None;
}

void AgentDispatch::handleStartOrder(TimePoint now, Coordinator &coordinator, const Envelope &envelope, const StartOrder &order)
{
    coordinator.ordersSeen = std::max(coordinator.ordersSeen, order.number);
    ++m_counters.ordersTaken;
    const std::optional<Duration> age = PeerSession::maxAge(envelope, now);
    const bool incarnationMatches = envelope.toIncarnation == m_settings.self.incarnation;
    // The entry chose this server by labels that it had been told before.
    const bool outdatedLabels = envelope.echoOf < m_labelsChangedAt;
    const bool requestedBeforeContact =
        order.requestedAt != TimePoint() && order.requestedAt + m_settings.timing.maxJobAgeAtContact < coordinator.liveSince;
    for (const OrderedRun &run : order.runs) {
        if (!incarnationMatches || !age || *age > m_settings.timing.maxOrderAge || outdatedLabels || requestedBeforeContact) {
            RunEvent event;
            event.run = RunRef{TaskRef{order.job, 0, order.step, run.index}, run.run};
            event.kind = RunEvent::Kind::Ended;
            event.end = RunEnd::NeverStarted;
            event.reason = RefusalReason::TooOld;
            const RunRecord *record = m_ledger.find(event.run.task);
            const bool alreadyHandled = (record != nullptr && record->ref == event.run && record->coordinator == envelope.from)
                || m_endedRuns.count({event.run, envelope.from}) > 0;
            if (!alreadyHandled) {
                m_endedRuns[{event.run, envelope.from}] = event;
                m_endedRunsByTime.emplace_back(now, std::pair(event.run, envelope.from));
                m_log.write(LogLevel::Warning, "order-refused",
                            describe(event.run) + " reason=" + (requestedBeforeContact ? "before-contact" : "too-old")
                                + " age_ms=" + (age ? ms(*age) : std::string("unknown")));
                queueEvent(now, envelope.from.endpoint, event, true);
                continue;
            }
        }
        handleOrderedRun(now, envelope.from, order, run, age.value_or(Duration(0)));
    }
}

void AgentDispatch::handleOrderedRun(TimePoint now, const ProcessId &from, const StartOrder &order, const OrderedRun &run,
                                     Duration age)
{
    const RunRef ref{TaskRef{order.job, 0, order.step, run.index}, run.run};
    const std::map<std::pair<RunRef, ProcessId>, RunEvent>::const_iterator ended = m_endedRuns.find({ref, from});
    if (ended != m_endedRuns.end()) {
        queueEvent(now, from.endpoint, ended->second, true);
        return;
    }
    RunEvent event;
    event.run = ref;
    RunRecord *existing = m_ledger.find(ref.task);
    if (existing != nullptr && existing->ref == ref && existing->coordinator == from) {
        event.kind = existing->state == RunRecord::State::Running ? RunEvent::Kind::Started : RunEvent::Kind::Queued;
        queueEvent(now, from.endpoint, event, false);
        return;
    }
    const RefusalReason reason = existing != nullptr ? RefusalReason::Duplicate : refusalFor(now, order.need);
    RunRecord record;
    record.ref = ref;
    record.coordinator = from;
    record.need = order.need;
    record.queue = order.queue;
    record.urgency = order.urgency;
    record.estimate = order.estimate;
    record.baseline = order.baseline;
    record.requestedAt = order.requestedAt;
    record.admittedAt = order.admittedAt;
    record.payload = order.payload;
    record.queuedAt = now;
    record.inTimeBy = now + order.inTimeWithin - age;
    record.startBy = now + order.startWithin - age;
    record.waitUntil = order.waitWithin > Duration(0) ? now + order.waitWithin - age : TimePoint();
    if (reason != RefusalReason::None) {
        refuseRun(now, record, reason);
        return;
    }
    const bool canStartNow =
        m_ledger.waiting() == 0 && m_ledger.hasFreeResources(order.need) && m_ledger.leavesUrgentReserve(record);
    m_ledger.enqueue(std::move(record));
    if (!canStartNow) {
        event.kind = RunEvent::Kind::Queued;
        queueEvent(now, from.endpoint, event, false);
    }
}

void AgentDispatch::handleStopOrder(TimePoint now, const ProcessId &from, const StopOrder &order)
{
    for (const RunRef &ref : order.runs) {
        RunRecord *record = m_ledger.find(ref.task);
        if (record == nullptr || record->ref != ref || record->coordinator != from) {
            // The stop order may have overtaken the start order. The run is recorded as ended, so that the start order is refused
            // when it arrives.
            const std::map<std::pair<RunRef, ProcessId>, RunEvent>::const_iterator ended = m_endedRuns.find({ref, from});
            if (ended != m_endedRuns.end()) {
                queueEvent(now, from.endpoint, ended->second, true);
                continue;
            }
            RunRecord cancelled;
            cancelled.ref = ref;
            cancelled.coordinator = from;
            recordEnd(now, cancelled, RunEnd::NeverStarted, RefusalReason::Cancelled, false);
            continue;
        }
        if (record->state == RunRecord::State::Queued) {
            const RunRecord waiting = *record;
            m_ledger.remove(ref.task);
            refuseRun(now, waiting, RefusalReason::Cancelled);
            continue;
        }
        requestStop(now, *record);
    }
}

void AgentDispatch::startQueuedRuns(TimePoint now)
{
    while (accepting(now) && m_startsInFlight < m_settings.timing.maxStartsInFlight) {
        RunRecord *record = m_ledger.nextWaiting(now);
        if (record == nullptr) {
            return;
        }
        // After a stall of this process, a stop order may have arrived and not been read yet. Queued runs are therefore refused
        // if their coordinator is not known to have been running recently.
        // The lease that the server already has must not outlast the new run either.
        const bool tooOld = !coordinatorAlive(now, record->coordinator) || serverTimeAt(runLimit(*record)) < m_leaseUntil;
        if (record->startBy < now || tooOld) {
            const RunRecord expired = *record;
            m_ledger.remove(expired.ref.task);
            refuseRun(now, expired, tooOld ? RefusalReason::TooOld : RefusalReason::Expired);
            continue;
        }
        if (!m_ledger.hasFreeResources(record->need)) {
            return;
        }
        if (!confirmIncarnation(now)) {
            return;
        }
        const std::optional<ServerTime> notAfter = startDeadline(now, *record);
        if (!notAfter) {
            return;
        }
        m_ledger.book(*record);
        record->startedAt = now;
        m_waitTimes.record(now - record->queuedAt);
        sendStart(now, *record, *notAfter);
    }
}

bool AgentDispatch::coordinatorAlive(TimePoint now, const ProcessId &process) const
{
    const Coordinators::const_iterator it = m_coordinators.find(process.endpoint);
    return it != m_coordinators.end() && it->second.session.incarnation() == process.incarnation
        && now - it->second.lastKnownAliveAt < m_settings.timing.coordinatorTimeout;
}

std::optional<ServerTime> AgentDispatch::startDeadline(TimePoint now, const RunRecord &record) const
{
    const std::int64_t clockMs = m_clock.lowerBound(now).value();
    const ServerTime validUntil(clockMs + toMs(m_settings.timing.startValidity));
    // The server extends the lease of all its runs to the deadline.
    const ServerTime deadline =
        std::min({validUntil, *m_capacityValidUntil, serverTimeAt(leaseLimit()), serverTimeAt(runLimit(record))});
    return deadline.value() - clockMs < toMs(m_settings.timing.minStartValidity) ? std::nullopt : std::optional(deadline);
}

void AgentDispatch::sendStart(TimePoint now, RunRecord &record, ServerTime notAfter)
{
    // The estimate of the server's clock may have fallen back, and an earlier request may still be executed until its own
    // deadline.
    record.notAfter = std::max(record.notAfter, notAfter);
    m_leaseUntil = std::max(m_leaseUntil, notAfter);
    record.startSentAt = now;
    ++record.startAttempts;
    ++record.startsInFlight;
    ++m_startsInFlight;
    m_server.start(RunStart{*m_serverIncarnation, record.ref, record.payload, notAfter, m_token});
}

void AgentDispatch::retransmitStarts(TimePoint now)
{
    bool unanswered = false;
    for (RunLedger::Records::value_type &entry : m_ledger.records()) {
        RunRecord &record = entry.second;
        const bool overdue =
            record.state == RunRecord::State::Starting && now - record.startSentAt > m_settings.timing.callRetryTimeout;
        unanswered = unanswered || overdue;
        const bool mayRetransmit =
            capacityKnown(now) && !record.stopRequested && !record.serverRestarted && coordinatorAlive(now, record.coordinator);
        if (overdue && mayRetransmit && record.startAttempts < m_settings.timing.maxStartAttempts && m_serverIncarnation
            && incarnationSeen(now)) {
            if (const std::optional<ServerTime> notAfter = startDeadline(now, record)) {
                ++m_counters.startsRepeated;
                sendStart(now, record, *notAfter);
            }
        }
    }
    if (unanswered && !m_pollInFlight) {
        // The poll shows whether only a response was lost, or the server has stopped responding and must not get further work.
        pollServer(now, false);
    }
}

void AgentDispatch::refuseExpiredRuns(TimePoint now)
{
    refuseQueuedRuns(now, RefusalReason::Expired, [now](const RunRecord &record) { return record.startBy < now; });
    refuseQueuedRuns(now, RefusalReason::WaitExpired,
                     [now](const RunRecord &record) { return record.waitUntil != TimePoint() && record.waitUntil < now; });
}

void AgentDispatch::refuseQueuedRuns(TimePoint now, RefusalReason reason)
{
    refuseQueuedRuns(now, reason, [](const RunRecord &) { return true; });
}

void AgentDispatch::refuseQueuedRuns(TimePoint now, RefusalReason reason, const std::function<bool(const RunRecord &)> &which)
{
    std::vector<RunRecord> refused;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state == RunRecord::State::Queued && which(entry.second)) {
            refused.push_back(entry.second);
        }
    }
    for (const RunRecord &record : refused) {
        m_ledger.remove(record.ref.task);
        refuseRun(now, record, reason);
    }
}

void AgentDispatch::refuseRun(TimePoint now, const RunRecord &record, RefusalReason reason)
{
    RunRecord copy = record;
    ++m_counters.runsRefused;
    m_counters.runsRefusedEvacuated += reason == RefusalReason::Draining && evacuated() ? 1 : 0;
    recordEnd(now, copy, RunEnd::NeverStarted, reason, false);
}

void AgentDispatch::recordEnd(TimePoint now, RunRecord &record, RunEnd outcome, RefusalReason reason, bool serverUnresponsive)
{
    RunEvent event;
    event.run = record.ref;
    event.kind = RunEvent::Kind::Ended;
    event.end = outcome;
    event.reason = reason;
    event.ran = outcome == RunEnd::NeverStarted ? Duration(0) : now - record.startedAt;
    event.serverUnresponsive = serverUnresponsive;
    m_endedRuns[{record.ref, record.coordinator}] = event;
    m_endedRunsByTime.emplace_back(now, std::pair(record.ref, record.coordinator));
    while (m_endedRunsByTime.size() > MaxEndedRuns
           || (!m_endedRunsByTime.empty() && now - m_endedRunsByTime.front().first > EndedRunRetention)) {
        m_endedRuns.erase(m_endedRunsByTime.front().second);
        m_endedRunsByTime.pop_front();
    }
    std::uint64_t *const counters[] = {&m_counters.runsDone,   &m_counters.runsFailed, &m_counters.runsStopped,
                                       &m_counters.runsLapsed, &m_counters.runsLost,   nullptr};
    if (std::uint64_t *counter = counters[static_cast<std::size_t>(outcome)]) {
        ++*counter;
    }
    if (outcome == RunEnd::Failed) {
        m_progress.recordFailure(now, record.ref.task.job);
    }
    if (outcome == RunEnd::Stopped) {
        m_progress.recordStopped(now, RunProgress{record.ref.task.job, record.startedAt, record.estimate});
    }
    if (outcome == RunEnd::Done) {
        m_progress.recordDone(now);
        if (!serverUnresponsive) {
            m_speed.recordDone(now, record.ref.task.job, event.ran, record.baseline);
        }
        m_runTimes.record(event.ran);
    } else {
        m_log.write(LogLevel::Info, "run-ended",
                    describe(record.ref) + " how=" + toString(outcome) + " reason=" + toString(reason) + " ran_ms="
                        + ms(event.ran) + (record.stopRequested ? " stopping_ms=" + ms(now - record.stopRequestedAt) : "")
                        + " waiting=" + std::to_string(m_ledger.waiting()) + " free_cpu="
                        + std::to_string(m_ledger.free().cpuMilli) + " coordinator=" + toString(record.coordinator.endpoint));
    }
    if (record.coordinator.incarnation != Incarnation()) {
        queueEvent(now, record.coordinator.endpoint, event, true);
    }
}

void AgentDispatch::requestStop(TimePoint now, RunRecord &record)
{
    if (!record.stopRequested) {
        record.stopRequested = true;
        record.stopRequestedAt = now;
    }
    if (record.state == RunRecord::State::Starting || !m_serverIncarnation || record.stopAcknowledged) {
        return;
    }
    sendStop(now, record);
}

void AgentDispatch::sendStop(TimePoint now, RunRecord &record)
{
    if (record.stopWaiting) {
        return;
    }
    if (m_stopsInFlight >= m_settings.timing.maxStopsInFlight) {
        record.stopWaiting = true;
        m_waitingStops.push_back(record.ref);
        return;
    }
    record.stopSentAt = now;
    ++m_stopsInFlight;
    m_server.stop(RunStop{*m_serverIncarnation, record.ref, m_token});
}

void AgentDispatch::sendWaitingStops(TimePoint now)
{
    while (m_serverIncarnation && m_stopsInFlight < m_settings.timing.maxStopsInFlight && !m_waitingStops.empty()) {
        const RunRef run = m_waitingStops.front();
        m_waitingStops.pop_front();
        RunRecord *record = m_ledger.find(run.task);
        if (record == nullptr || record->ref != run || !record->stopWaiting) {
            continue;
        }
        record->stopWaiting = false;
        if (!record->stopAcknowledged) {
            sendStop(now, *record);
        }
    }
}

void AgentDispatch::stopRunsOf(TimePoint now, const Endpoint &coordinator, const char *cause)
{
    std::vector<TaskRef> tasks;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.coordinator.endpoint == coordinator) {
            tasks.push_back(entry.first);
        }
    }
    const Coordinator &lost = m_coordinators.at(coordinator);
    const TimePoint aliveAt = lost.lastKnownAliveAt;
    if (!tasks.empty()) {
        m_log.write(LogLevel::Warning, "coordinator-lost",
                    "coordinator=" + toString(coordinator) + " reason=\"" + cause + "\" runs=" + std::to_string(tasks.size())
                        + " silent_ms=" + ms(now - aliveAt) + " lease_ms=" + std::to_string(remainingLeaseMs(now)));
    }
    for (const TaskRef &task : tasks) {
        RunRecord &record = *m_ledger.find(task);
        if (record.state == RunRecord::State::Queued) {
            const RunRecord waiting = record;
            m_ledger.remove(task);
            refuseRun(now, waiting, RefusalReason::Cancelled);
        } else {
            limitRun(record, std::min(aliveAt + m_settings.timing.coordinatorRunLimit, confirmationLimit(record, lost)));
            requestStop(now, record);
        }
    }
}

void AgentDispatch::limitRun(RunRecord &record, TimePoint limit)
{
    record.limit = record.limit == TimePoint() ? limit : std::min(record.limit, limit);
}

TimePoint AgentDispatch::confirmationLimit(const RunRecord &record, const Coordinator &coordinator) const
{
    if (record.requestedAt == TimePoint()) {
        return TimePoint::max();
    }
    const TimePoint endBy =
        runsEndBy(m_settings.timing.coordination, record.requestedAt, record.admittedAt, coordinator.confirmedLists);
    return endBy - coordinator.clockOffset;
}

TimePoint AgentDispatch::runLimit(const RunRecord &record) const
{
    const AgentTiming &timing = m_settings.timing;
    const Coordinators::const_iterator it = m_coordinators.find(record.coordinator.endpoint);
    if (record.limit != TimePoint()) {
        return record.limit;
    }
    if (it == m_coordinators.end() || it->second.session.incarnation() != record.coordinator.incarnation) {
        return TimePoint();
    }
    const Coordinator &coordinator = it->second;
    const TimePoint limit = coordinator.lastKnownAliveAt + timing.coordinatorRunLimit;
    return std::min(limit, confirmationLimit(record, coordinator));
}

std::optional<TimePoint> AgentDispatch::leaseLimit() const
{
    std::optional<TimePoint> earliest;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state != RunRecord::State::Queued) {
            const TimePoint limit = runLimit(entry.second);
            earliest = earliest ? std::min(*earliest, limit) : limit;
        }
    }
    return earliest;
}

void AgentDispatch::onTick(TimePoint now)
{
    updateCapacity(now);
    m_ledger.sampleUrgentCpu(now);
    refuseExpiredRuns(now);
    checkServer(now);
    sendWaitingStops(now);
    stopUnconfirmedRuns(now);
    retransmitStarts(now);
    startQueuedRuns(now);
    checkProgress(now);
    checkCoordinators(now);
}

void AgentDispatch::shutDown(TimePoint now)
{
    m_shuttingDown = true;
    refuseQueuedRuns(now, RefusalReason::Draining);
    reportToAll(now);
}

bool AgentDispatch::drained(TimePoint now) const
{
    const bool acknowledged =
        std::all_of(m_coordinators.begin(), m_coordinators.end(), [&](const Coordinators::value_type &entry) {
            return entry.second.unacknowledged.empty()
                || now - entry.second.lastKnownAliveAt > m_settings.timing.coordinatorTimeout;
        });
    return m_ledger.records().empty() && acknowledged && !(m_endsUnacknowledged && m_reachable);
}

void AgentDispatch::reportToAll(TimePoint now)
{
    for (Coordinators::value_type &entry : m_coordinators) {
        if (entry.second.reporting) {
            sendReport(now, entry.first, entry.second, false);
        }
    }
}

void AgentDispatch::startAndReport(TimePoint now)
{
    startQueuedRuns(now);
    sendDueReports(now);
}

} // namespace cuminscale::dispatch
