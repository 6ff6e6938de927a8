#include "core/dispatch/agent_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// A lease is taken as over this long after its limit, for the rounding of both clocks to milliseconds.
constexpr std::int64_t LeaseMarginMs = 5;
/// A refused token grows by steps that double, from the size of an ordinary clock correction.
constexpr std::int64_t FirstTokenStepMs = 1000;

} // namespace

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

} // namespace cuminscale::dispatch
