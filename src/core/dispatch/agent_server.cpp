#include "core/dispatch/agent_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// A lease counts as expired this long after its limit, because both the limit and the clock are rounded to milliseconds.
constexpr std::int64_t LeaseMarginMs = 5;
/// A former agent may have extended the lease by up to this, the platform's limit and a margin for the rates of the clocks.
constexpr Duration MaxForeignLease = milliseconds(1100);
/// The first token derives from the wall clock, so it can be too low after the clock has been set back. Each rejection doubles
/// the increment, up from this minimum, which is the size of a usual clock correction.
constexpr std::int64_t MinTokenIncrementMs = 1000;
/// Highest token. A server that has seen a higher one, from another program, can't be used until it restarts.
constexpr FencingToken MaxToken(std::int64_t(1) << 62U);

/// A deadly task crashes its server within milliseconds of its start, and the agent notices that a little later. A run that was
/// started this long before another one has not caused a crash under that one.
constexpr Duration CrashDelay = milliseconds(15);

/// Sorts the tasks of a crashed server's runs by whether they may have caused the crash. A run that the server has listed as
/// running has survived its start, so it is a suspect only if the latest suspect was started hardly later, or if there is no
/// other. Start requests that are still outstanding are suspects only in the latter case, as they may not have reached the
/// server.
ServerCrash analyzeCrash(std::vector<RunRecord> runs)
{
    // Reports are limited in size, so the likeliest suspects come first.
    std::sort(runs.begin(), runs.end(), [](const RunRecord &a, const RunRecord &b) { return a.startedAt > b.startedAt; });
    std::vector<RunRecord>::iterator suspectsEnd = std::stable_partition(
        runs.begin(), runs.end(), [](const RunRecord &run) { return !run.listed && run.state != RunRecord::State::Starting; });
    if (suspectsEnd == runs.begin()) {
        suspectsEnd = runs.end();
    } else {
        const TimePoint survivedSince = runs.front().startedAt - CrashDelay;
        suspectsEnd = std::stable_partition(suspectsEnd, runs.end(), [survivedSince](const RunRecord &run) {
            return run.listed && run.startedAt > survivedSince;
        });
    }
    ServerCrash crash;
    std::set<TaskRef> tasks;
    std::set<QueueKey> queues;
    for (std::vector<RunRecord>::const_iterator it = runs.begin(); it != runs.end(); ++it) {
        if (!tasks.insert(it->ref.task).second) {
            continue;
        }
        const bool suspected = it < suspectsEnd;
        const bool answered = it->state != RunRecord::State::StartUnknown && it->state != RunRecord::State::Starting;
        (!suspected ? crash.bystanders : (answered ? crash.suspects : crash.unanswered)).push_back(it->ref.task);
        // Entries of former versions don't name the queue.
        if (suspected && it->queue != QueueKey()) {
            queues.insert(it->queue);
        }
    }
    // The only suspect must have begun, as nothing else explains the crash.
    if (crash.suspects.empty() && crash.unanswered.size() == 1) {
        std::swap(crash.suspects, crash.unanswered);
    }
    crash.suspectQueues.assign(queues.begin(), queues.end());
    return crash;
}

} // namespace

bool AgentDispatch::onAnnouncement(TimePoint now, const ServerAnnouncement &announcement)
{
    if (announcement.service != m_settings.service) {
        m_log.write(LogLevel::Warning, "announcement-ignored", "service=" + announcement.service + " reason=other-service");
        return false;
    }
    if (m_serverIncarnation && *m_serverIncarnation != announcement.incarnation) {
        handleOtherIncarnation(now, announcement);
    } else if (!m_serverIncarnation) {
        useIncarnation(now, announcement);
    } else if (!isOutdated(now, announcement)) {
        applyAnnouncement(now, announcement);
    }
    return true;
}

void AgentDispatch::onInvalidAnnouncement(const std::string &serverId)
{
    m_log.write(LogLevel::Warning, "announcement-ignored", "id=" + serverId + " reason=invalid");
}

void AgentDispatch::handleOtherIncarnation(TimePoint now, const ServerAnnouncement &announcement)
{
    if (!m_incarnationConfirmed) {
        useIncarnation(now, announcement);
        return;
    }
    if (announcement.incarnation.startTimeMs < m_serverIncarnation->startTimeMs) {
        m_log.write(LogLevel::Warning, "announcement-ignored", "id=" + announcement.incarnation.id + " reason=former-life");
        return;
    }
    // Other programs can write announcements too, and a wrong one must not end the lease of the runs. Which incarnation runs is
    // known from the server: it rejects a poll that names another id, and reports its start time.
    const bool checked = m_announcedIncarnation && m_pollInFlight && m_pollNumber >= m_announcedIncarnationPoll;
    m_announcedIncarnation = announcement;
    if (!checked) {
        m_announcedIncarnationPoll = m_pollNumber + 1;
        pollServer(now, false);
    }
}

bool AgentDispatch::adoptAnnouncedIncarnation(TimePoint now, const std::optional<Inventory> &inventory, PollFailure failure)
{
    if (!inventory && failure != PollFailure::IncarnationMismatch) {
        return false; // The next poll decides.
    }
    const ServerAnnouncement announced = *m_announcedIncarnation;
    m_announcedIncarnation.reset();
    bool runs = true;
    if (inventory) {
        const std::int64_t startTimeMs = inventory->startTimeMs;
        const bool sameId = announced.incarnation.id == m_serverIncarnation->id;
        runs = startTimeMs == 0 ? sameId : startTimeMs == announced.incarnation.startTimeMs;
    }
    if (!runs) {
        m_log.write(LogLevel::Warning, "announcement-ignored",
                    "id=" + announced.incarnation.id + " reason=another-server-answers");
        return false;
    }
    useIncarnation(now, announced);
    return true;
}

bool AgentDispatch::isOutdated(TimePoint now, const ServerAnnouncement &announcement)
{
    if (announcement.sequence > m_announcementSequence) {
        return false;
    }
    const bool rises = m_outdatedSequence && announcement.sequence > *m_outdatedSequence;
    m_outdatedSequence = announcement.sequence;
    if (!rises || now - m_announcedAt < m_settings.timing.sequenceTimeout) {
        return true;
    }
    m_log.write(LogLevel::Warning, "sequence-reset",
                "id=" + announcement.incarnation.id + " from=" + std::to_string(m_announcementSequence)
                    + " to=" + std::to_string(announcement.sequence));
    return false;
}

void AgentDispatch::useIncarnation(TimePoint now, const ServerAnnouncement &announcement)
{
    if (m_serverIncarnation) {
        recordCrash(now);
        endServerIncarnation(now, "the backend server restarted");
    }
    m_serverIncarnation = announcement.incarnation;
    m_draining = false;
    m_endsSeen = 0;
    m_examined = false;
    m_reconciled = false;
    // The response to a poll of the former incarnation is ignored, because the next poll has a higher number.
    m_pollInFlight = false;
    m_log.write(LogLevel::Info, "server-life",
                "id=" + announcement.incarnation.id + " born_ms=" + std::to_string(announcement.incarnation.startTimeMs));
    applyAnnouncement(now, announcement);
}

void AgentDispatch::applyAnnouncement(TimePoint now, const ServerAnnouncement &announcement)
{
    if (!m_clock.known()) {
        m_clock.observe(announcement.clock, now);
    }
    m_announcementSequence = announcement.sequence;
    m_outdatedSequence.reset();
    m_announcedAt = now;
    const bool wasCold = m_coldStart.remaining(now) > Duration(0);
    if (announcement.cold) {
        m_coldStart.announce(now, *announcement.cold);
    }
    recordColdTime(now, announcement, wasCold);
    const bool becameCold = !wasCold && m_coldStart.remaining(now) > Duration(0);
    const bool capacityChanged = becameCold || announcement.capacity != m_announcedCapacity;
    m_announcedCapacity = announcement.capacity;
    updateCapacity(now);
    m_capacityValidUntil = ServerTime(announcement.clock.value() + toMs(m_settings.timing.capacityValidity));
    if (announcement.labels != m_labels) {
        m_labels = announcement.labels;
        m_labelsChangedAt = now;
    }
    if (!m_reachable) {
        m_reachable = true;
        m_reconciled = false;
    }
    if (announcement.draining != m_draining) {
        m_draining = announcement.draining;
        m_log.write(LogLevel::Info, "server-draining", std::string("draining=") + (m_draining ? "1" : "0"));
        if (m_draining) {
            refuseQueuedRuns(now, RefusalReason::Draining);
        }
        reportToAll(now);
    }
    // They could not start even on an idle server, and would keep the runs behind them waiting.
    refuseQueuedRuns(now, RefusalReason::NoRoom,
                     [this](const RunRecord &record) { return !record.need.fits(m_ledger.capacity()); });
    if (!m_reconciled && !m_pollInFlight) {
        pollServer(now, false);
    }
    startQueuedRuns(now);
    if (capacityChanged) {
        reportToAll(now);
    }
    sendDueReports(now);
}

void AgentDispatch::recordColdTime(TimePoint now, const ServerAnnouncement &announcement, bool wasCold)
{
    if (!wasCold && m_coldStart.remaining(now) > Duration(0)) {
        m_log.write(LogLevel::Info, "server-cold",
                    "id=" + announcement.incarnation.id + " cold_ms=" + ms(m_coldStart.remaining(now)));
    }
    m_counters.coldTimesInvalid += announcement.cold ? 0 : 1;
    if (!announcement.cold && !m_coldTimeInvalid) {
        m_log.write(LogLevel::Warning, "announcement-odd", "id=" + announcement.incarnation.id + " field=cold_ms");
    }
    m_coldTimeInvalid = !announcement.cold;
}

void AgentDispatch::updateCapacity(TimePoint now) noexcept
{
    m_ledger.setCapacity(m_coldStart.usable(now, m_announcedCapacity));
}

void AgentDispatch::onServerLeft(TimePoint now, const std::string &serverId)
{
    if (!m_serverIncarnation || m_serverIncarnation->id != serverId) {
        return;
    }
    m_draining = true;
    if (m_ledger.booked() > 0) {
        // The deregistration names no start time, and may be that of a former incarnation with the same id. The runs end with
        // their lease, or once the server's address refuses connections.
        refuseQueuedRuns(now, RefusalReason::NoServer);
        m_leftServer = true;
        pollServer(now, false);
        reportToAll(now);
        return;
    }
    const bool examined = m_examined;
    endServerIncarnation(now, "the backend server has left");
    // No run is left, and without a server none can start.
    m_examined = examined;
    refuseQueuedRuns(now, RefusalReason::NoServer);
    m_serverIncarnation.reset();
    m_reconciled = false;
    sendDueReports(now);
}

void AgentDispatch::endServerIncarnation(TimePoint now, const char *cause)
{
    m_log.write(LogLevel::Warning, "server-life-over",
                "reason=\"" + std::string(cause) + "\" runs=" + std::to_string(m_ledger.booked()));
    m_clock.reset();
    m_leaseUntil = ServerTime();
    // Entries placed them by the labels of this incarnation.
    refuseQueuedRuns(now, RefusalReason::NoServer);
    m_incarnationSeenAt = TimePoint();
    m_incarnationConfirmed = false;
    m_announcedIncarnation.reset();
    m_announcementSequence = 0;
    m_capacityValidUntil.reset();
    m_outdatedSequence.reset();
    m_endsSeen = 0;
    m_endsUnacknowledged = false;
    m_examined = false;
    m_reconciled = false;
    m_crashRecorded = false;
    m_leftServer = false;
    m_unresponsiveRuns.clear();
    m_progress = ServerProgress();
    m_coldStart = ColdStart();
    m_speed = ServerSpeed();
    // A start request may have reached the new incarnation before this agent noticed the restart. Requests that are still in
    // flight carry the old fencing token; the new incarnation rejects them once it has been polled with the raised one.
    raiseToken(now, cause);
    for (RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state != RunRecord::State::Queued) {
            entry.second.serverRestarted = true;
            entry.second.stopAcknowledged = false;
            entry.second.conclusiveFromPoll = m_pollNumber + 1;
        }
    }
}

void AgentDispatch::recordCrash(TimePoint now)
{
    std::vector<RunRecord> runs = m_unresponsiveRuns;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        const RunRecord &run = entry.second;
        // Runs of which a former incarnation was lost have been reported with it.
        if (run.state != RunRecord::State::Queued && !run.serverRestarted && run.coordinator.incarnation != Incarnation()) {
            runs.push_back(run);
        }
    }
    // A draining server ends without a crash, and its deregistration may be lost. Servers of an evacuated domain are shut down.
    if (m_crashRecorded || m_draining || evacuated() || runs.empty()) {
        return;
    }
    m_crashRecorded = true;
    ++m_counters.serverCrashes;
    ServerCrash crash = analyzeCrash(runs);
    std::string suspects;
    for (const std::vector<TaskRef> *tasks : {&crash.suspects, &crash.unanswered}) {
        for (const TaskRef &task : *tasks) {
            suspects += (suspects.empty() ? "" : ",") + toString(task);
        }
    }
    m_log.write(LogLevel::Warning, "server-crashed",
                "id=" + m_serverIncarnation->id + " runs=" + std::to_string(runs.size()) + " suspects=" + suspects);
    m_crashReports.add(now, std::move(crash));
    // Clients may resubmit the jobs to any entry.
    for (Coordinators::value_type &entry : m_coordinators) {
        if (entry.second.session.hasReceivedMessage()) {
            sendReport(now, entry.first, entry.second, false, !entry.second.reporting);
        }
    }
}

void AgentDispatch::recordAllRunsLost(TimePoint now, const char *cause)
{
    std::vector<RunRecord> lost;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state != RunRecord::State::Queued) {
            lost.push_back(entry.second);
        }
    }
    m_log.write(LogLevel::Warning, "server-gone", "reason=\"" + std::string(cause) + "\" runs=" + std::to_string(lost.size()));
    for (RunRecord &record : lost) {
        m_ledger.remove(record.ref.task);
        recordEnd(now, record, RunEnd::Lost, RefusalReason::None, true);
    }
}

void AgentDispatch::raiseToken(TimePoint now, const char *cause)
{
    m_token = FencingToken(m_token.value() + std::min(m_tokenIncrement, MaxToken.value() - m_token.value()));
    m_log.write(LogLevel::Info, "token-raised", "token=" + std::to_string(m_token.value()) + " reason=\"" + cause + "\"");
    m_nextPollAt = now;
}

void AgentDispatch::raiseTokenFurther(TimePoint now)
{
    m_tokenIncrement = std::clamp(m_tokenIncrement * 2, MinTokenIncrementMs, MaxToken.value() / 2);
    raiseToken(now, "the server has seen a higher one");
}

void AgentDispatch::onStartAnswered(TimePoint now, const RunRef &run, StartAnswer answer)
{
    if (m_startsInFlight > 0) {
        --m_startsInFlight;
    }
    RunRecord *record = m_ledger.find(run.task);
    if (record == nullptr || record->ref != run || record->state != RunRecord::State::Starting) {
        startQueuedRuns(now);
        return;
    }
    record->startsInFlight -= record->startsInFlight > 0 ? 1 : 0;
    const bool retransmitted = record->startAttempts > 1;
    if (retransmitted && answer == StartAnswer::RunNumberUsed) {
        // An earlier request started the run, and it has ended since: the next poll reports its end.
        answer = StartAnswer::Accepted;
    } else if (retransmitted && answer != StartAnswer::Accepted) {
        // An earlier request may have started the run or may still start it, so its state is unknown until the server
        // acknowledges a stop or the start deadline has passed.
        if (record->startsInFlight > 0) {
            return;
        }
        answer = StartAnswer::Unknown;
    }
    RefusalReason refused = RefusalReason::None;
    switch (answer) {
    case StartAnswer::Accepted: {
        ++m_counters.runsStarted;
        record->state = RunRecord::State::Running;
        record->conclusiveFromPoll = m_pollNumber + 1;
        RunEvent event;
        event.run = run;
        event.kind = RunEvent::Kind::Started;
        queueEvent(now, record->coordinator.endpoint, event, false);
        if (record->stopRequested) {
            requestStop(now, *record);
        }
        if (!m_pollInFlight) {
            pollServer(now, true);
        }
        break;
    }
    case StartAnswer::Unknown:
        ++m_counters.startsUnanswered;
        record->state = RunRecord::State::StartUnknown;
        m_log.write(LogLevel::Warning, "start-unanswered",
                    describe(run) + " waited_ms=" + ms(now - record->startedAt)
                        + " not_after=" + std::to_string(record->notAfter.value()));
        requestStop(now, *record);
        if (!m_pollInFlight) {
            // An idle server is not polled: this poll shows whether it has crashed under the start.
            pollServer(now, false);
        }
        break;
    case StartAnswer::StaleToken:
        raiseTokenFurther(now);
        refused = RefusalReason::ServerUnhealthy;
        break;
    case StartAnswer::RunNumberUsed:
        refused = RefusalReason::RunNumberUsed;
        break;
    case StartAnswer::StartDeadlinePassed:
        refused = RefusalReason::TooOld;
        break;
    case StartAnswer::NoRoom:
        refused = RefusalReason::NoRoom;
        break;
    case StartAnswer::IncarnationMismatch:
        refused = RefusalReason::NoServer;
        break;
    case StartAnswer::Unhealthy:
        refused = RefusalReason::ServerUnhealthy;
        break;
    case StartAnswer::Invalid:
        refused = RefusalReason::Invalid;
        break;
    case StartAnswer::NotSent:
    case StartAnswer::Refused:
        refused = RefusalReason::Unreachable;
        m_reachable = false;
        // After a refused connection, a poll shows whether the server has crashed with runs on it.
        m_nextPollAt = answer == StartAnswer::Refused ? now : now + m_settings.timing.probeInterval;
        refuseQueuedRuns(now, RefusalReason::Unreachable);
        break;
    }
    if (refused != RefusalReason::None) {
        RunRecord endedRecord = *record;
        m_ledger.remove(run.task);
        ++m_counters.runsRefused;
        recordEnd(now, endedRecord, RunEnd::NeverStarted, refused, false);
    }
    startAndReport(now);
    forgetIdleIncarnation();
}

void AgentDispatch::onStopAnswered(TimePoint now, const RunRef &run, bool acknowledged)
{
    m_stopsInFlight -= m_stopsInFlight > 0 ? 1 : 0;
    if (!acknowledged) {
        // Repeated by the next tick: the call may not have been sent because all connections are in use.
        return;
    }
    RunRecord *record = m_ledger.find(run.task);
    const bool current = record != nullptr && record->ref == run;
    if (current) {
        record->stopAcknowledged = true;
        record->conclusiveFromPoll = m_pollNumber + 1;
    }
    sendWaitingStops(now);
    if (current && !m_pollInFlight) {
        pollServer(now, true);
    }
}

ServerTime AgentDispatch::serverTimeAt(const std::optional<TimePoint> &time) const noexcept
{
    return time ? m_clock.lowerBound(*time) : ServerTime(INT64_MAX);
}

std::int64_t AgentDispatch::remainingLeaseMs(TimePoint now) const noexcept
{
    return m_clock.known() ? m_leaseUntil.value() - m_clock.lowerBound(now).value() : 0;
}

void AgentDispatch::checkForServer(TimePoint now)
{
    const bool starting = now - m_startedAt < m_settings.timing.startReportPeriod;
    if (m_examined || m_pollInFlight || !starting || now < m_nextServerCheckAt) {
        return;
    }
    m_nextServerCheckAt = now + m_settings.timing.probeInterval;
    m_pollInFlight = true;
    PollRequest poll;
    poll.token = m_token;
    m_server.poll(++m_pollNumber, poll);
}

void AgentDispatch::pollServer(TimePoint now, bool longPoll)
{
    if (!m_serverIncarnation) {
        return;
    }
    PollRequest poll;
    poll.server = *m_serverIncarnation;
    poll.token = m_token;
    poll.acknowledgedEnd = m_endsSeen;
    // The lease is not renewed between a failed poll and the next response, so that the runs of an unreachable server end when it
    // expires.
    if (m_clock.known() && m_reconciled && m_ledger.booked() > 0 && !m_lastPollUnanswered) {
        const ServerTime until(m_clock.lowerBound(now).value() + toMs(m_settings.timing.leaseDuration));
        const ServerTime limit = serverTimeAt(leaseLimit());
        m_counters.leasesLimited += limit < until ? 1 : 0;
        if (limit > m_clock.lowerBound(now)) {
            poll.leaseUntil = std::min(until, limit);
            m_leaseUntil = std::max(m_leaseUntil, *poll.leaseUntil);
        }
    }
    // Once the server has acknowledged the stop of a run in unknown state, the next response shows what became of the run. No
    // long poll then, to get that response at once.
    bool resolving = false;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        resolving = resolving || (entry.second.state == RunRecord::State::StartUnknown && entry.second.stopAcknowledged);
    }
    poll.maxWait = longPoll && !resolving ? m_settings.timing.pollHoldTime : Duration(0);
    ++m_pollNumber;
    m_pollInFlight = true;
    m_pollSentAt = now;
    m_pollDeadline = now + poll.maxWait + m_settings.timing.callRetryTimeout;
    m_server.poll(m_pollNumber, poll);
}

void AgentDispatch::onPollAnswered(TimePoint now, std::uint64_t number, const std::optional<Inventory> &inventory,
                                   PollFailure failure)
{
    if (number != m_pollNumber) {
        return;
    }
    m_pollInFlight = false;
    if (!m_serverIncarnation) {
        if (failure == PollFailure::Refused && !m_examined) {
            m_examined = true;
            m_log.write(LogLevel::Info, "server-absent", "reason=connection-refused");
            reportToAll(now);
        }
        return;
    }
    if (m_announcedIncarnation && number >= m_announcedIncarnationPoll && adoptAnnouncedIncarnation(now, inventory, failure)) {
        return;
    }
    if (!inventory) {
        m_incarnationSeenAt = TimePoint();
        m_incarnationConfirmed = m_incarnationConfirmed && failure != PollFailure::IncarnationMismatch;
        ++m_counters.pollsFailed;
        m_pollFailedAt = now;
        m_lastPollUnanswered = true;
        if (failure == PollFailure::StaleToken && m_token < MaxToken) {
            raiseTokenFurther(now);
            pollServer(now, false);
            return;
        }
        if (failure == PollFailure::Refused) {
            recordCrash(now);
            if (m_leftServer) {
                recordAllRunsLost(now, "the backend server has left");
            }
        }
        const bool absent =
            failure == PollFailure::NotSent || failure == PollFailure::Refused || failure == PollFailure::IncarnationMismatch;
        if (absent && m_reachable) {
            m_reachable = false;
            m_log.write(LogLevel::Warning, "server-unreachable", "id=" + m_serverIncarnation->id);
            refuseQueuedRuns(now, RefusalReason::Unreachable);
        }
        m_nextPollAt = now + (m_ledger.records().empty() ? m_settings.timing.probeInterval : m_settings.timing.callRetryTimeout);
        sendDueReports(now);
        return;
    }
    if (inventory->startTimeMs != 0 && m_serverIncarnation->startTimeMs != 0
        && inventory->startTimeMs != m_serverIncarnation->startTimeMs) {
        recordCrash(now);
        endServerIncarnation(now, "the backend server restarted");
        m_serverIncarnation->startTimeMs = inventory->startTimeMs;
        m_incarnationConfirmed = true;
        m_clock.observe(inventory->clock, now);
        pollServer(now, false);
        sendDueReports(now);
        return;
    }
    m_incarnationConfirmed = inventory->startTimeMs == m_serverIncarnation->startTimeMs;
    m_leftServer = false;
    m_reachable = true;
    m_lastPollUnanswered = false;
    m_crashRecorded = false;
    m_unresponsiveRuns.clear();
    m_inventoryAt = now;
    m_incarnationSeenAt = m_pollSentAt;
    m_clock.observe(inventory->clock, now);
    reconcile(now, number, *inventory);
    // Runs that start on an idle server are polled for once their start has been answered.
    const bool idle = m_ledger.booked() == 0;
    startAndReport(now);
    const bool busy = !idle && m_ledger.booked() > 0;
    if (!m_pollInFlight && (busy || m_endsUnacknowledged || !m_reconciled)) {
        pollServer(now, m_reconciled && m_ledger.booked() > 0);
    }
    forgetIdleIncarnation();
}

bool AgentDispatch::incarnationSeen(TimePoint now) const noexcept
{
    return m_incarnationSeenAt != TimePoint() && now - m_incarnationSeenAt <= m_settings.timing.incarnationValidity;
}

bool AgentDispatch::confirmIncarnation(TimePoint now)
{
    if (incarnationSeen(now)) {
        return true;
    }
    if (!m_pollInFlight) {
        pollServer(now, false);
    }
    return false;
}

void AgentDispatch::forgetIdleIncarnation() noexcept
{
    if (m_ledger.booked() == 0 && !m_pollInFlight) {
        m_incarnationSeenAt = TimePoint();
    }
}

void AgentDispatch::reconcile(TimePoint now, std::uint64_t number, const Inventory &inventory)
{
    m_endsUnacknowledged = false;
    for (const FinishedRun &ended : inventory.ended) {
        if (ended.number <= m_endsSeen) {
            continue;
        }
        m_endsSeen = ended.number;
        m_endsUnacknowledged = true;
        RunRecord *record = m_ledger.find(ended.run.task);
        if (record == nullptr || record->ref != ended.run) {
            continue;
        }
        RunRecord endedRecord = *record;
        m_ledger.remove(ended.run.task);
        const bool noticedLate = m_pollFailedAt >= endedRecord.startedAt;
        recordEnd(now, endedRecord, ended.end, RefusalReason::None,
                  noticedLate || endedRecord.state == RunRecord::State::StartUnknown);
    }
    std::map<TaskRef, RunNumber> running;
    bool foreignRunListed = false;
    bool unrecordedRunListed = false;
    for (const ListedRun &listed : inventory.running) {
        running[listed.run.task] = listed.run.run;
        RunRecord *record = m_ledger.find(listed.run.task);
        if (record == nullptr) {
            m_log.write(LogLevel::Warning, "foreign-run", describe(listed.run));
            record = &m_ledger.adopt(listed.run);
            record->queuedAt = now;
            requestStop(now, *record);
        } else if (record->ref != listed.run) {
            // It counts as ended or never started, and another run of the task is recorded: that one must not start beside it.
            m_log.write(LogLevel::Warning, "foreign-run", describe(listed.run));
            // The next poll repeats it if too many are in progress.
            if (m_stopsInFlight < m_settings.timing.maxStopsInFlight) {
                ++m_stopsInFlight;
                m_server.stop(RunStop{*m_serverIncarnation, listed.run, m_token});
            }
            foreignRunListed = true;
            unrecordedRunListed = true;
            continue;
        }
        record->listed = true;
        if (record != nullptr && record->serverRestarted && record->ref == listed.run) {
            record->serverRestarted = false;
            record->state = RunRecord::State::Running;
        }
        foreignRunListed = foreignRunListed || (record != nullptr && record->coordinator.incarnation == Incarnation());
    }
    std::vector<RunRecord> absent;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        const RunRecord &record = entry.second;
        const std::map<TaskRef, RunNumber>::const_iterator it = running.find(entry.first);
        const bool listed = it != running.end() && it->second == record.ref.run;
        if (!listed && record.serverRestarted && number >= record.conclusiveFromPoll && inventory.complete) {
            absent.push_back(record);
            continue;
        }
        if (listed || !inventory.complete || record.state == RunRecord::State::Queued
            || record.state == RunRecord::State::Starting) {
            continue;
        }
        const bool conclusive = record.conclusiveFromPoll != 0 && number >= record.conclusiveFromPoll;
        const bool tooLateToBegin = record.state == RunRecord::State::StartUnknown && inventory.clock > record.notAfter;
        if ((record.state == RunRecord::State::Running && conclusive) || (record.stopAcknowledged && conclusive)
            || tooLateToBegin) {
            absent.push_back(record);
        }
    }
    for (RunRecord &record : absent) {
        m_ledger.remove(record.ref.task);
        const bool startUnknown = record.state == RunRecord::State::StartUnknown && !record.serverRestarted;
        recordEnd(now, record, startUnknown ? RunEnd::NeverStarted : RunEnd::Lost,
                  startUnknown ? RefusalReason::Unreachable : RefusalReason::None, startUnknown);
    }
    const bool examinedBefore = m_examined;
    m_examined = (inventory.complete || m_examined) && !unrecordedRunListed;
    if (m_examined && !examinedBefore) {
        // Entries that have just started wait for it.
        nameEntriesToAll(now);
    }
    if (foreignRunListed && m_reconciled) {
        // The resources that the foreign run uses are unknown, so no other run is started until it has ended.
        m_reconciled = false;
    }
    if (!m_reconciled && inventory.complete && !foreignRunListed) {
        m_reconciled = true;
        m_log.write(LogLevel::Info, "server-listed",
                    "id=" + m_serverIncarnation->id + " clock_ms=" + std::to_string(inventory.clock.value())
                        + " free_cpu=" + std::to_string(m_ledger.free().cpuMilli));
        for (Coordinators::value_type &entry : m_coordinators) {
            sendReport(now, entry.first, entry.second, false);
        }
    }
}

void AgentDispatch::checkProgress(TimePoint now)
{
    if (now - m_progressCheckedAt < m_settings.timing.progressCheckInterval) {
        return;
    }
    m_progressCheckedAt = now;
    if (!m_lastPollUnanswered) {
        std::vector<RunProgress> runs;
        std::vector<RunProgress> baselines;
        for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
            const RunRecord &record = entry.second;
            if (record.state == RunRecord::State::Running && !record.stopRequested) {
                runs.push_back(RunProgress{record.ref.task.job, record.startedAt, record.estimate});
                baselines.push_back(RunProgress{record.ref.task.job, record.startedAt, record.baseline});
            }
        }
        m_progress.check(now, runs);
        m_speed.check(now, baselines);
    }
    const bool suspect = m_progress.suspect(now);
    if (suspect != m_reportedSuspect) {
        m_reportedSuspect = suspect;
        m_log.write(LogLevel::Info, "server-suspect",
                    std::string("suspect=") + (suspect ? "1" : "0") + " runs=" + std::to_string(m_ledger.booked()));
        reportToAll(now);
    }
}

void AgentDispatch::checkServer(TimePoint now)
{
    if (!m_serverIncarnation) {
        checkForServer(now);
        return;
    }
    const bool leaseExpired = m_clock.known() && remainingLeaseMs(now) < -LeaseMarginMs;
    std::vector<RunRecord> lost;
    for (RunLedger::Records::value_type &entry : m_ledger.records()) {
        RunRecord &record = entry.second;
        if (record.state == RunRecord::State::Queued || record.state == RunRecord::State::Starting) {
            continue;
        }
        const bool foreign = record.coordinator.incarnation == Incarnation();
        // This process does not know the lease under which a former agent started a run.
        const bool mayHaveLease = foreign && now - record.queuedAt < MaxForeignLease;
        if (leaseExpired && !record.serverRestarted && !mayHaveLease) {
            lost.push_back(record);
        } else if (record.stopRequested && !record.stopAcknowledged
                   && now - record.stopSentAt > m_settings.timing.callRetryTimeout) {
            requestStop(now, record);
        }
    }
    for (RunRecord &record : lost) {
        m_ledger.remove(record.ref.task);
        if (!m_crashRecorded) {
            m_unresponsiveRuns.push_back(record);
        }
        recordEnd(now, record, RunEnd::Lost, RefusalReason::Unreachable, true);
    }
    const bool hasWork = !m_ledger.records().empty();
    // Runs that wait for the first poll of an idle server have not started, and can still be in time elsewhere.
    const bool silent = now - m_inventoryAt > m_settings.timing.serverTimeout || m_ledger.booked() == 0;
    if (m_lastPollUnanswered && m_reachable && silent && hasWork) {
        m_reachable = false;
        m_log.write(LogLevel::Warning, "server-unreachable",
                    "id=" + m_serverIncarnation->id + " silent_ms=" + ms(now - m_inventoryAt)
                        + " runs=" + std::to_string(m_ledger.booked()));
        refuseQueuedRuns(now, RefusalReason::Unreachable);
    }
    if (now - m_announcedAt > m_settings.timing.announcementTimeout && m_reachable && m_ledger.booked() == 0) {
        m_reachable = false;
        m_log.write(LogLevel::Warning, "server-silent",
                    "id=" + m_serverIncarnation->id + " silent_ms=" + ms(now - m_announcedAt));
        refuseQueuedRuns(now, RefusalReason::Unreachable);
        m_nextPollAt = now;
    }
    if (m_capacityValidUntil && m_reachable && m_clock.known() && !capacityKnown(now)) {
        m_capacityValidUntil.reset();
        m_log.write(LogLevel::Warning, "capacity-outdated",
                    "id=" + m_serverIncarnation->id + " silent_ms=" + ms(now - m_announcedAt));
        refuseQueuedRuns(now, RefusalReason::NoServer);
        reportToAll(now);
    }
    if (m_pollInFlight && now > m_pollDeadline && hasWork) {
        // A late response to this poll is ignored, because the next poll has a higher number.
        m_pollFailedAt = now;
        m_lastPollUnanswered = true;
        ++m_counters.pollsFailed;
        pollServer(now, false);
    }
    const bool due = m_nextPollAt != TimePoint() && now >= m_nextPollAt;
    if (due && !m_pollInFlight) {
        m_nextPollAt = TimePoint();
        pollServer(now, false);
    }
}

} // namespace cuminscale::dispatch
