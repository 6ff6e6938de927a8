#include "core/dispatch/agent_dispatch.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Ended runs are remembered for longer than an order can be repeated.
constexpr Duration RememberEnded = seconds(5);
constexpr std::size_t MaxRemembered = 4096;
/// News kept for one entry; an entry that takes none for this long is gone.
constexpr std::size_t MaxUnacknowledged = 4096;
/// News in one message, well under the size at which a message takes long to read.
constexpr std::size_t MaxEventsPerReport = 128;
constexpr std::size_t MaxCoordinators = 128;
/// A lease is taken as over this long after its limit, for the rounding of both clocks to milliseconds.
constexpr std::int64_t LeaseMarginMs = 5;
/// A refused token grows by steps that double, from the size of an ordinary clock correction.
constexpr std::int64_t FirstTokenStepMs = 1000;

std::string describe(const RunRef &run)
{
    return "task=" + toString(run.task) + " run=" + std::to_string(run.run.value());
}

std::string ms(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::int64_t toMs(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

AgentDispatch::AgentDispatch(AgentSettings settings, ServerPort &server, LinkPort &links, DecisionLog &log, TimePoint now)
    : m_settings(std::move(settings))
    , m_server(server)
    , m_links(links)
    , m_log(log)
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
            m_coordinators.try_emplace(entry, now);
        }
    }
}

bool AgentDispatch::accepting() const noexcept
{
    return m_life && m_listed && m_reachable && !m_draining && !m_shuttingDown;
}

void AgentDispatch::onMessage(TimePoint now, const Envelope &envelope)
{
    if (!envelope.fromEntry) {
        return;
    }
    const Endpoint from = envelope.from.endpoint;
    if (m_coordinators.count(from) == 0 && m_coordinators.size() >= MaxCoordinators) {
        return;
    }
    Coordinator &coordinator = m_coordinators.try_emplace(from, now).first->second;
    const PeerSession::Arrival arrival = coordinator.session.receive(envelope, m_settings.self.incarnation, now);
    if (arrival == PeerSession::Arrival::Outdated) {
        return;
    }
    if (arrival == PeerSession::Arrival::NewLife) {
        stopRunsOf(now, from, "its coordinator restarted");
        coordinator.confirmedAt = TimePoint();
        coordinator.unacknowledged.clear();
        coordinator.sentUpTo = 0;
        coordinator.lastEvent = 0;
        coordinator.ordersSeen = 0;
    }
    if (const std::optional<Duration> age = PeerSession::maxAge(envelope, now)) {
        coordinator.confirmedAt = std::max(coordinator.confirmedAt, now - *age);
    }
    while (!coordinator.unacknowledged.empty() && coordinator.unacknowledged.front().number <= envelope.eventsSeen) {
        coordinator.unacknowledged.pop_front();
        coordinator.waitingSince = now;
    }
    if (const StartOrder *start = std::get_if<StartOrder>(&envelope.message)) {
        takeOrder(now, coordinator, envelope, *start);
    } else if (const StopOrder *stopped = std::get_if<StopOrder>(&envelope.message)) {
        takeStop(now, envelope.from, *stopped);
    } else if (const EntryReport *report = std::get_if<EntryReport>(&envelope.message)) {
        addEntries(now, report->entries);
    } else if (const ConfigBlob *config = std::get_if<ConfigBlob>(&envelope.message)) {
        if (config->version > m_config.version) {
            m_config = *config;
        }
    }
    settle(now);
}

void AgentDispatch::takeOrder(TimePoint now, Coordinator &coordinator, const Envelope &envelope, const StartOrder &order)
{
    coordinator.ordersSeen = std::max(coordinator.ordersSeen, order.number);
    ++m_counters.ordersTaken;
    const std::optional<Duration> age = PeerSession::maxAge(envelope, now);
    const bool known = envelope.toIncarnation == m_settings.self.incarnation;
    for (const OrderedRun &run : order.runs) {
        if (!known || !age || *age > m_settings.timing.maxOrderAge) {
            RunEvent event;
            event.run = RunRef{TaskRef{order.job, 0, order.step, run.index}, run.run};
            event.kind = RunEvent::Kind::Ended;
            event.end = RunEnd::NeverStarted;
            event.reason = RefusalReason::TooOld;
            const RunRecord *record = m_ledger.find(event.run.task);
            const bool given = (record != nullptr && record->ref == event.run) || m_ended.count(event.run) > 0;
            if (!given) {
                m_ended[event.run] = Remembered{event, envelope.from.endpoint};
                m_endedOrder.emplace_back(now, event.run);
                m_log.write(LogLevel::Warning, "order-refused",
                            describe(event.run) + " reason=too-old age_ms=" + (age ? ms(*age) : std::string("unknown")));
                tell(now, envelope.from.endpoint, event, true);
                continue;
            }
        }
        takeRun(now, envelope.from, order, run, age.value_or(Duration(0)));
    }
}

RefusalReason AgentDispatch::whyNot(const Resources &need) const noexcept
{
    if (m_draining || m_shuttingDown) {
        return RefusalReason::Draining;
    }
    if (!m_life || !m_listed) {
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

void AgentDispatch::takeRun(TimePoint now, const ProcessId &from, const StartOrder &order, const OrderedRun &run, Duration age)
{
    const RunRef ref{TaskRef{order.job, 0, order.step, run.index}, run.run};
    const std::map<RunRef, Remembered>::const_iterator ended = m_ended.find(ref);
    if (ended != m_ended.end()) {
        tell(now, from.endpoint, ended->second.event, true);
        return;
    }
    RunEvent event;
    event.run = ref;
    RunRecord *existing = m_ledger.find(ref.task);
    if (existing != nullptr && existing->ref == ref && existing->coordinator == from) {
        event.kind = existing->state == RunRecord::State::Running ? RunEvent::Kind::Started : RunEvent::Kind::Queued;
        tell(now, from.endpoint, event, false);
        return;
    }
    const RefusalReason reason = existing != nullptr ? RefusalReason::Duplicate : whyNot(order.need);
    RunRecord record;
    record.ref = ref;
    record.coordinator = from;
    record.need = order.need;
    record.estimate = order.estimate;
    record.payload = order.payload;
    record.inTimeBy = now + order.inTimeWithin - age;
    record.startBy = now + order.startWithin - age;
    if (reason != RefusalReason::None) {
        handBack(now, record, reason);
        return;
    }
    const bool roomNow = m_ledger.waiting() == 0 && m_ledger.hasRoomFor(order.need);
    m_ledger.enqueue(std::move(record));
    if (!roomNow) {
        event.kind = RunEvent::Kind::Queued;
        tell(now, from.endpoint, event, false);
    }
}

void AgentDispatch::startWaiting(TimePoint now)
{
    while (accepting() && m_clock.known() && m_startsUnderWay < m_settings.timing.maxStartsUnderWay) {
        RunRecord *record = m_ledger.nextWaiting(now);
        if (record == nullptr) {
            return;
        }
        // After this process has stood still, a stop may wait unread behind whatever is handled first.
        const bool orphaned = !confirmed(now, record->coordinator);
        if (record->startBy < now || orphaned) {
            const RunRecord expired = *record;
            m_ledger.remove(expired.ref.task);
            handBack(now, expired, orphaned ? RefusalReason::TooOld : RefusalReason::Expired);
            continue;
        }
        if (!m_ledger.hasRoomFor(record->need)) {
            return;
        }
        m_ledger.book(*record);
        record->startedAt = now;
        sendStart(now, *record);
    }
}

bool AgentDispatch::confirmed(TimePoint now, const ProcessId &process) const
{
    const Coordinators::const_iterator it = m_coordinators.find(process.endpoint);
    return it != m_coordinators.end() && it->second.session.incarnation() == process.incarnation
        && now - it->second.confirmedAt < m_settings.timing.coordinatorSilence;
}

void AgentDispatch::sendStart(TimePoint now, RunRecord &record)
{
    record.notAfter = ServerTime(m_clock.atLeast(now).value() + toMs(m_settings.timing.startValid));
    m_leaseUntil = std::max(m_leaseUntil, record.notAfter);
    record.orderSentAt = now;
    ++record.orders;
    ++record.ordersUnderWay;
    ++m_startsUnderWay;
    m_server.start(RunStart{*m_life, record.ref, record.payload, record.notAfter, m_token});
}

void AgentDispatch::repeatStarts(TimePoint now)
{
    for (RunLedger::Records::value_type &entry : m_ledger.records()) {
        RunRecord &record = entry.second;
        const bool overdue = record.state == RunRecord::State::Starting && now - record.orderSentAt > m_settings.timing.retryCall;
        const bool wanted = !record.stopWanted && !record.lifeChanged && confirmed(now, record.coordinator);
        if (overdue && wanted && record.orders < m_settings.timing.maxOrders && m_life && m_clock.known()) {
            ++m_counters.startsRepeated;
            sendStart(now, record);
        }
    }
}

void AgentDispatch::expireWaiting(TimePoint now)
{
    std::vector<RunRecord> expired;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state == RunRecord::State::Queued && entry.second.startBy < now) {
            expired.push_back(entry.second);
        }
    }
    for (const RunRecord &record : expired) {
        m_ledger.remove(record.ref.task);
        handBack(now, record, RefusalReason::Expired);
    }
}

void AgentDispatch::handBackWaiting(TimePoint now, RefusalReason reason)
{
    std::vector<RunRecord> waiting;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state == RunRecord::State::Queued) {
            waiting.push_back(entry.second);
        }
    }
    for (const RunRecord &record : waiting) {
        m_ledger.remove(record.ref.task);
        handBack(now, record, reason);
    }
}

void AgentDispatch::handBack(TimePoint now, const RunRecord &record, RefusalReason reason)
{
    RunRecord copy = record;
    ++m_counters.handedBack;
    end(now, copy, RunEnd::NeverStarted, reason, false);
}

void AgentDispatch::end(TimePoint now, RunRecord &record, RunEnd how, RefusalReason reason, bool lateServer)
{
    RunEvent event;
    event.run = record.ref;
    event.kind = RunEvent::Kind::Ended;
    event.end = how;
    event.reason = reason;
    event.ran = how == RunEnd::NeverStarted ? Duration(0) : now - record.startedAt;
    event.lateServer = lateServer;
    m_ended[record.ref] = Remembered{event, record.coordinator.endpoint};
    m_endedOrder.emplace_back(now, record.ref);
    while (m_endedOrder.size() > MaxRemembered || (!m_endedOrder.empty() && now - m_endedOrder.front().first > RememberEnded)) {
        m_ended.erase(m_endedOrder.front().second);
        m_endedOrder.pop_front();
    }
    std::uint64_t *const counters[] = {&m_counters.runsDone,   &m_counters.runsFailed, &m_counters.runsStopped,
                                       &m_counters.runsLapsed, &m_counters.runsLost,   nullptr};
    if (std::uint64_t *counter = counters[static_cast<std::size_t>(how)]) {
        ++*counter;
    }
    if (how != RunEnd::Done) {
        m_log.write(LogLevel::Info, "run-ended",
                    describe(record.ref) + " how=" + toString(how) + " reason=" + toString(reason) + " ran_ms=" + ms(event.ran)
                        + " waiting=" + std::to_string(m_ledger.waiting()) + " free_cpu="
                        + std::to_string(m_ledger.free().cpuMilli) + " coordinator=" + toString(record.coordinator.endpoint));
    }
    if (record.coordinator.incarnation != Incarnation()) {
        tell(now, record.coordinator.endpoint, event, true);
    }
}

void AgentDispatch::takeStop(TimePoint now, const ProcessId &from, const StopOrder &order)
{
    for (const RunRef &ref : order.runs) {
        RunRecord *record = m_ledger.find(ref.task);
        if (record == nullptr || record->ref != ref) {
            // Bars the run: a start order that the stop has overtaken finds it here.
            const std::map<RunRef, Remembered>::const_iterator ended = m_ended.find(ref);
            if (ended != m_ended.end()) {
                tell(now, from.endpoint, ended->second.event, true);
                continue;
            }
            RunRecord barred;
            barred.ref = ref;
            barred.coordinator = from;
            end(now, barred, RunEnd::NeverStarted, RefusalReason::Cancelled, false);
            continue;
        }
        if (record->state == RunRecord::State::Queued) {
            const RunRecord waiting = *record;
            m_ledger.remove(ref.task);
            handBack(now, waiting, RefusalReason::Cancelled);
            continue;
        }
        stop(now, *record);
    }
}

void AgentDispatch::stop(TimePoint now, RunRecord &record)
{
    record.stopWanted = true;
    if (record.state == RunRecord::State::Starting || !m_life || record.stopAcknowledged) {
        return;
    }
    record.stopSentAt = now;
    m_server.stop(RunStop{*m_life, record.ref, m_token});
}

void AgentDispatch::stopRunsOf(TimePoint now, const Endpoint &coordinator, const char *why)
{
    std::vector<TaskRef> tasks;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.coordinator.endpoint == coordinator) {
            tasks.push_back(entry.first);
        }
    }
    if (!tasks.empty()) {
        m_log.write(LogLevel::Warning, "coordinator-lost",
                    "coordinator=" + toString(coordinator) + " reason=\"" + why + "\" runs=" + std::to_string(tasks.size()));
    }
    for (const TaskRef &task : tasks) {
        RunRecord &record = *m_ledger.find(task);
        if (record.state == RunRecord::State::Queued) {
            const RunRecord waiting = record;
            m_ledger.remove(task);
            handBack(now, waiting, RefusalReason::Cancelled);
        } else {
            stop(now, record);
        }
    }
}

bool AgentDispatch::onAnnouncement(TimePoint now, const ServerAnnouncement &announcement)
{
    if (announcement.service != m_settings.service) {
        m_log.write(LogLevel::Warning, "announcement-ignored", "service=" + announcement.service + " reason=other-service");
        return false;
    }
    const bool sameLife = m_life && *m_life == announcement.life;
    if (m_life && announcement.life.bornMs < m_life->bornMs) {
        m_log.write(LogLevel::Warning, "announcement-ignored", "id=" + announcement.life.id + " reason=former-life");
        return true;
    }
    if (sameLife && announcement.sequence <= m_announcementSequence) {
        return true;
    }
    if (!sameLife) {
        if (m_life) {
            changeLife(now, "the backend server restarted");
        }
        m_life = announcement.life;
        m_draining = false;
        m_endsSeen = 0;
        m_listed = false;
        m_log.write(LogLevel::Info, "server-life",
                    "id=" + announcement.life.id + " born_ms=" + std::to_string(announcement.life.bornMs));
    }
    if (!m_clock.known()) {
        m_clock.observe(announcement.clock, now);
    }
    m_announcementSequence = announcement.sequence;
    m_announcedAt = now;
    m_ledger.setCapacity(announcement.capacity);
    m_labels = announcement.labels;
    if (!m_reachable) {
        m_reachable = true;
        m_listed = false;
    }
    if (announcement.draining != m_draining) {
        m_draining = announcement.draining;
        m_log.write(LogLevel::Info, "server-draining", std::string("draining=") + (m_draining ? "1" : "0"));
        if (m_draining) {
            handBackWaiting(now, RefusalReason::Draining);
        }
        for (Coordinators::value_type &entry : m_coordinators) {
            flush(now, entry.first, entry.second, false);
        }
    }
    if (!m_listed && !m_lookUnderWay) {
        look(now, false);
    }
    settle(now);
    return true;
}

void AgentDispatch::onServerLeft(TimePoint now, const std::string &serverId)
{
    if (!m_life || m_life->id != serverId) {
        return;
    }
    m_draining = true;
    loseAll(now, "the backend server has left");
    changeLife(now, "the backend server has left");
    handBackWaiting(now, RefusalReason::NoServer);
    m_life.reset();
    m_listed = false;
    flushDue(now);
}

void AgentDispatch::changeLife(TimePoint now, const char *why)
{
    m_log.write(LogLevel::Warning, "server-life-over",
                "reason=\"" + std::string(why) + "\" runs=" + std::to_string(m_ledger.booked()));
    m_clock.reset();
    m_leaseUntil = ServerTime();
    m_announcementSequence = 0;
    m_endsSeen = 0;
    m_endsUnacknowledged = false;
    m_listed = false;
    // An order can have reached the new life before this agent knew of it. Those that are still under way carry the former token,
    // which the new life refuses once it has been looked at with the raised one.
    raiseToken(now, why);
    for (RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state != RunRecord::State::Queued) {
            entry.second.lifeChanged = true;
            entry.second.certainFrom = m_lookNumber + 1;
        }
    }
}

void AgentDispatch::loseAll(TimePoint now, const char *why)
{
    std::vector<RunRecord> lost;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        if (entry.second.state != RunRecord::State::Queued) {
            lost.push_back(entry.second);
        }
    }
    m_log.write(LogLevel::Warning, "server-gone", "reason=\"" + std::string(why) + "\" runs=" + std::to_string(lost.size()));
    for (RunRecord &record : lost) {
        m_ledger.remove(record.ref.task);
        end(now, record, RunEnd::Lost, RefusalReason::None, true);
    }
}

void AgentDispatch::raiseToken(TimePoint now, const char *why)
{
    m_token = FencingToken(m_token.value() + m_tokenStep);
    m_log.write(LogLevel::Info, "token-raised", "token=" + std::to_string(m_token.value()) + " reason=\"" + why + "\"");
    m_lookAgainAt = now;
}

void AgentDispatch::onStartAnswered(TimePoint now, const RunRef &run, StartAnswer answer, std::optional<ServerTime> clock)
{
    if (m_startsUnderWay > 0) {
        --m_startsUnderWay;
    }
    RunRecord *record = m_ledger.find(run.task);
    if (record == nullptr || record->ref != run || record->state != RunRecord::State::Starting) {
        startWaiting(now);
        return;
    }
    if (clock) {
        m_clock.observe(*clock, now);
    }
    record->ordersUnderWay -= record->ordersUnderWay > 0 ? 1 : 0;
    const bool repeated = record->orders > 1;
    if (repeated && answer == StartAnswer::RunNumberUsed) {
        // An earlier sending has begun the run and it has ended: the next look lists it.
        answer = StartAnswer::Accepted;
    } else if (repeated && answer != StartAnswer::Accepted) {
        // Another sending may still begin it: only a stop settles that.
        if (record->ordersUnderWay > 0) {
            return;
        }
        answer = StartAnswer::Unknown;
    }
    RefusalReason refused = RefusalReason::None;
    switch (answer) {
    case StartAnswer::Accepted: {
        ++m_counters.runsStarted;
        record->state = RunRecord::State::Running;
        record->certainFrom = m_lookNumber + 1;
        RunEvent event;
        event.run = run;
        event.kind = RunEvent::Kind::Started;
        tell(now, record->coordinator.endpoint, event, false);
        if (record->stopWanted) {
            stop(now, *record);
        }
        if (!m_lookUnderWay) {
            look(now, true);
        }
        break;
    }
    case StartAnswer::Unknown:
        ++m_counters.startsUnanswered;
        record->state = RunRecord::State::Doubtful;
        m_log.write(LogLevel::Warning, "start-unanswered",
                    describe(run) + " waited_ms=" + ms(now - record->startedAt)
                        + " not_after=" + std::to_string(record->notAfter.value()));
        stop(now, *record);
        break;
    case StartAnswer::FencedOff:
        m_tokenStep = std::max<std::int64_t>(m_tokenStep * 2, FirstTokenStepMs);
        raiseToken(now, "the server has seen a higher one");
        refused = RefusalReason::ServerUnhealthy;
        break;
    case StartAnswer::RunNumberUsed:
        refused = RefusalReason::RunNumberUsed;
        break;
    case StartAnswer::TooLate:
        refused = RefusalReason::TooOld;
        break;
    case StartAnswer::NoRoom:
        refused = RefusalReason::NoRoom;
        break;
    case StartAnswer::WrongLife:
        refused = RefusalReason::NoServer;
        break;
    case StartAnswer::Unhealthy:
        refused = RefusalReason::ServerUnhealthy;
        break;
    case StartAnswer::Invalid:
        refused = RefusalReason::Invalid;
        break;
    case StartAnswer::NotSent:
        refused = RefusalReason::Unreachable;
        m_reachable = false;
        m_lookAgainAt = now + m_settings.timing.probeEvery;
        handBackWaiting(now, RefusalReason::Unreachable);
        break;
    }
    if (refused != RefusalReason::None) {
        RunRecord over = *record;
        m_ledger.remove(run.task);
        ++m_counters.handedBack;
        end(now, over, RunEnd::NeverStarted, refused, false);
    }
    settle(now);
}

void AgentDispatch::onStopAnswered(TimePoint now, const RunRef &run, bool acknowledged, std::optional<ServerTime> clock)
{
    if (clock) {
        m_clock.observe(*clock, now);
    }
    RunRecord *record = m_ledger.find(run.task);
    if (record == nullptr || record->ref != run || !acknowledged) {
        return;
    }
    record->stopAcknowledged = true;
    record->certainFrom = m_lookNumber + 1;
    if (!m_lookUnderWay) {
        look(now, true);
    }
}

void AgentDispatch::look(TimePoint now, bool wait)
{
    if (!m_life) {
        return;
    }
    Look order;
    order.server = *m_life;
    order.token = m_token;
    order.endsSeen = m_endsSeen;
    // A server that owes an answer gets no further lease: only so do its runs come to an end for certain.
    if (m_clock.known() && m_listed && m_ledger.booked() > 0 && !m_lookUnanswered) {
        order.leaseUntil = ServerTime(m_clock.atLeast(now).value() + toMs(m_settings.timing.leaseFor));
        m_leaseUntil = std::max(m_leaseUntil, *order.leaseUntil);
    }
    // While a run's state has to be settled, an answer is wanted at once.
    bool settling = false;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        settling = settling || (entry.second.state == RunRecord::State::Doubtful && entry.second.stopAcknowledged);
    }
    order.waitForEnd = wait && !settling ? m_settings.timing.lookWait : Duration(0);
    ++m_lookNumber;
    m_lookUnderWay = true;
    m_lookDueAt = now + order.waitForEnd + m_settings.timing.retryCall;
    m_server.look(m_lookNumber, order);
}

void AgentDispatch::onLookAnswered(TimePoint now, std::uint64_t number, const std::optional<Inventory> &inventory,
                                   LookFailure failure)
{
    if (number != m_lookNumber) {
        return;
    }
    m_lookUnderWay = false;
    if (!m_life) {
        return;
    }
    if (!inventory) {
        ++m_counters.looksFailed;
        m_lookFailedAt = now;
        m_lookUnanswered = true;
        if (failure == LookFailure::FencedOff) {
            m_tokenStep = std::max<std::int64_t>(m_tokenStep * 2, FirstTokenStepMs);
            raiseToken(now, "the server has seen a higher one");
            look(now, false);
            return;
        }
        if (failure == LookFailure::NotSent && m_reachable) {
            m_reachable = false;
            m_log.write(LogLevel::Warning, "server-unreachable", "id=" + m_life->id);
            handBackWaiting(now, RefusalReason::Unreachable);
        }
        m_lookAgainAt = now + (m_ledger.booked() > 0 ? m_settings.timing.retryCall : m_settings.timing.probeEvery);
        flushDue(now);
        return;
    }
    if (inventory->bornMs != 0 && m_life->bornMs != 0 && inventory->bornMs != m_life->bornMs) {
        changeLife(now, "the backend server restarted");
        m_life->bornMs = inventory->bornMs;
        m_clock.observe(inventory->clock, now);
        look(now, false);
        flushDue(now);
        return;
    }
    m_reachable = true;
    m_lookUnanswered = false;
    m_inventoryAt = now;
    m_clock.observe(inventory->clock, now);
    reconcile(now, number, *inventory);
    settle(now);
    if (m_ledger.booked() > 0 || m_endsUnacknowledged || !m_listed) {
        look(now, m_listed && m_ledger.booked() > 0);
    }
}

void AgentDispatch::reconcile(TimePoint now, std::uint64_t number, const Inventory &inventory)
{
    m_endsUnacknowledged = false;
    for (const ListedEnd &ended : inventory.ended) {
        if (ended.number <= m_endsSeen) {
            continue;
        }
        m_endsSeen = ended.number;
        m_endsUnacknowledged = true;
        RunRecord *record = m_ledger.find(ended.run.task);
        if (record == nullptr || record->ref != ended.run) {
            continue;
        }
        RunRecord over = *record;
        m_ledger.remove(ended.run.task);
        const bool noticedLate = m_lookFailedAt >= over.startedAt;
        end(now, over, ended.end, RefusalReason::None, noticedLate || over.state == RunRecord::State::Doubtful);
    }
    std::map<TaskRef, RunNumber> running;
    bool foreign = false;
    for (const ListedRun &listed : inventory.running) {
        running[listed.run.task] = listed.run.run;
        RunRecord *record = m_ledger.find(listed.run.task);
        if (record == nullptr) {
            m_log.write(LogLevel::Warning, "foreign-run", describe(listed.run));
            record = &m_ledger.adopt(listed.run);
            stop(now, *record);
        }
        if (record != nullptr && record->lifeChanged && record->ref == listed.run) {
            record->lifeChanged = false;
            record->state = RunRecord::State::Running;
        }
        foreign = foreign || (record != nullptr && record->coordinator.incarnation == Incarnation());
    }
    std::vector<RunRecord> absent;
    for (const RunLedger::Records::value_type &entry : m_ledger.records()) {
        const RunRecord &record = entry.second;
        const std::map<TaskRef, RunNumber>::const_iterator it = running.find(entry.first);
        const bool listed = it != running.end() && it->second == record.ref.run;
        if (!listed && record.lifeChanged && number >= record.certainFrom && inventory.whole) {
            absent.push_back(record);
            continue;
        }
        if (listed || !inventory.whole || record.state == RunRecord::State::Queued
            || record.state == RunRecord::State::Starting) {
            continue;
        }
        const bool certain = record.certainFrom != 0 && number >= record.certainFrom;
        const bool tooLateToBegin = record.state == RunRecord::State::Doubtful && inventory.clock > record.notAfter;
        if ((record.state == RunRecord::State::Running && certain) || (record.stopAcknowledged && certain) || tooLateToBegin) {
            absent.push_back(record);
        }
    }
    for (RunRecord &record : absent) {
        m_ledger.remove(record.ref.task);
        const bool doubtful = record.state == RunRecord::State::Doubtful && !record.lifeChanged;
        end(now, record, doubtful ? RunEnd::NeverStarted : RunEnd::Lost,
            doubtful ? RefusalReason::Unreachable : RefusalReason::None, doubtful);
    }
    if (foreign && m_listed) {
        // Its size is not known, so there may be no room for anything else.
        m_listed = false;
    }
    if (!m_listed && inventory.whole && !foreign) {
        m_listed = true;
        m_log.write(LogLevel::Info, "server-listed",
                    "id=" + m_life->id + " clock_ms=" + std::to_string(inventory.clock.value())
                        + " free_cpu=" + std::to_string(m_ledger.free().cpuMilli));
        for (Coordinators::value_type &entry : m_coordinators) {
            flush(now, entry.first, entry.second, false);
        }
    }
}

void AgentDispatch::keepServer(TimePoint now)
{
    if (!m_life) {
        return;
    }
    const bool leaseOver = m_clock.known() && m_clock.atLeast(now).value() > m_leaseUntil.value() + LeaseMarginMs;
    std::vector<RunRecord> lost;
    for (RunLedger::Records::value_type &entry : m_ledger.records()) {
        RunRecord &record = entry.second;
        if (record.state == RunRecord::State::Queued || record.state == RunRecord::State::Starting) {
            continue;
        }
        if (leaseOver && !record.lifeChanged) {
            lost.push_back(record);
        } else if (record.stopWanted && !record.stopAcknowledged && now - record.stopSentAt > m_settings.timing.retryCall) {
            stop(now, record);
        }
    }
    for (RunRecord &record : lost) {
        m_ledger.remove(record.ref.task);
        end(now, record, RunEnd::Lost, RefusalReason::Unreachable, true);
    }
    if (m_lookUnanswered && m_reachable && now - m_inventoryAt > m_settings.timing.serverSilence && m_ledger.booked() > 0) {
        m_reachable = false;
        m_log.write(LogLevel::Warning, "server-unreachable",
                    "id=" + m_life->id + " silent_ms=" + ms(now - m_inventoryAt) + " runs=" + std::to_string(m_ledger.booked()));
        handBackWaiting(now, RefusalReason::Unreachable);
    }
    if (now - m_announcedAt > m_settings.timing.announcementsGone && m_reachable && m_ledger.booked() == 0) {
        m_reachable = false;
        m_log.write(LogLevel::Warning, "server-silent", "id=" + m_life->id + " silent_ms=" + ms(now - m_announcedAt));
        handBackWaiting(now, RefusalReason::Unreachable);
        m_lookAgainAt = now;
    }
    if (m_lookUnderWay && now > m_lookDueAt && m_ledger.booked() > 0) {
        // Its answer would no longer be taken: a look with a higher number follows.
        m_lookFailedAt = now;
        m_lookUnanswered = true;
        ++m_counters.looksFailed;
        look(now, false);
    }
    const bool due = m_lookAgainAt != TimePoint() && now >= m_lookAgainAt;
    if (due && !m_lookUnderWay) {
        m_lookAgainAt = TimePoint();
        look(now, false);
    }
}

bool AgentDispatch::hearsEntries(TimePoint now) const
{
    return std::any_of(m_coordinators.begin(), m_coordinators.end(), [&](const Coordinators::value_type &entry) {
        return entry.second.session.heard() && entry.second.session.silence(now) < m_settings.timing.coordinatorSilence;
    });
}

void AgentDispatch::keepCoordinators(TimePoint now)
{
    for (Coordinators::iterator it = m_coordinators.begin(); it != m_coordinators.end();) {
        Coordinator &coordinator = it->second;
        const Duration silence = coordinator.session.silence(now);
        const bool orphaned = coordinator.session.heard() && now - coordinator.confirmedAt > m_settings.timing.coordinatorSilence;
        if (!orphaned) {
            coordinator.runsStopped = false;
        } else if (!coordinator.runsStopped) {
            coordinator.runsStopped = true;
            ++m_counters.coordinatorsSilent;
            stopRunsOf(now, it->first, "no message from its coordinator");
        }
        if (silence > m_settings.timing.forgetCoordinator && !coordinator.fromSettings) {
            m_links.forgetConnection(it->first);
            it = m_coordinators.erase(it);
            continue;
        }
        if (coordinator.session.outgoingLooksDead(now)) {
            ++m_counters.connectionsReplaced;
            m_links.replaceConnection(it->first);
        }
        const bool newsDue = coordinator.flushBy != TimePoint() && now >= coordinator.flushBy;
        const bool resendDue =
            !coordinator.unacknowledged.empty() && now - coordinator.waitingSince > m_settings.timing.resendEvery;
        if (newsDue || resendDue || now - coordinator.session.lastSentAt() >= m_settings.timing.heartbeatEvery) {
            flush(now, it->first, coordinator, resendDue);
        }
        passConfig(now, it->first, coordinator);
        ++it;
    }
}

void AgentDispatch::onTick(TimePoint now)
{
    expireWaiting(now);
    keepServer(now);
    repeatStarts(now);
    startWaiting(now);
    keepCoordinators(now);
}

void AgentDispatch::shutDown(TimePoint now)
{
    m_shuttingDown = true;
    handBackWaiting(now, RefusalReason::Draining);
    for (Coordinators::value_type &entry : m_coordinators) {
        flush(now, entry.first, entry.second, false);
    }
}

void AgentDispatch::tell(TimePoint now, const Endpoint &to, RunEvent event, bool urgent)
{
    const Coordinators::iterator it = m_coordinators.find(to);
    if (it == m_coordinators.end()) {
        return;
    }
    Coordinator &coordinator = it->second;
    event.number = ++coordinator.lastEvent;
    coordinator.unacknowledged.push_back(event);
    if (coordinator.unacknowledged.size() > MaxUnacknowledged) {
        coordinator.unacknowledged.pop_front();
    }
    const TimePoint by = urgent ? now : now + m_settings.timing.lazyFlush;
    coordinator.flushBy = coordinator.flushBy == TimePoint() ? by : std::min(coordinator.flushBy, by);
}

void AgentDispatch::flushDue(TimePoint now)
{
    for (Coordinators::value_type &entry : m_coordinators) {
        if (entry.second.flushBy != TimePoint() && entry.second.flushBy <= now) {
            flush(now, entry.first, entry.second, false);
        }
    }
}

void AgentDispatch::settle(TimePoint now)
{
    startWaiting(now);
    flushDue(now);
}

void AgentDispatch::passConfig(TimePoint now, const Endpoint &to, Coordinator &coordinator)
{
    constexpr std::size_t Turns = 8;
    const std::size_t turn = IdHash()(m_settings.self.endpoint) % Turns;
    const Duration patience =
        m_settings.timing.configPatience + static_cast<std::int64_t>(turn) * m_settings.timing.configStagger;
    if (!coordinator.session.heard()
        || !coordinator.configLag.overdue(now, coordinator.session.configVersion(), m_config.version, patience)) {
        return;
    }
    Envelope envelope = coordinator.session.seal(m_settings.self, false, now, m_config);
    envelope.configVersion = m_config.version;
    m_links.send(to, envelope);
}

void AgentDispatch::flush(TimePoint now, const Endpoint &to, Coordinator &coordinator, bool resend)
{
    AgentReport report;
    report.service = m_settings.service;
    report.domain = m_settings.domain;
    report.ordersSeen = coordinator.ordersSeen;
    report.load.accepting = accepting();
    report.load.draining = m_draining || m_shuttingDown;
    report.load.labels = m_labels;
    m_ledger.describe(now, report.load);
    for (const RunEvent &event : coordinator.unacknowledged) {
        if ((resend || event.number > coordinator.sentUpTo) && report.events.size() < MaxEventsPerReport) {
            report.events.push_back(event);
        }
    }
    if (!report.events.empty()) {
        coordinator.sentUpTo = std::max(coordinator.sentUpTo, report.events.back().number);
        if (report.events.front().number == coordinator.unacknowledged.front().number) {
            coordinator.waitingSince = now;
        }
    }
    coordinator.flushBy = TimePoint();
    Envelope envelope = coordinator.session.seal(m_settings.self, false, now, std::move(report));
    envelope.configVersion = m_config.version;
    m_links.send(to, envelope);
}

} // namespace cuminscale::dispatch
