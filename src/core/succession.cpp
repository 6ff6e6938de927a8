#include "core/succession.h"

namespace cuminscale
{

namespace
{

/// Time without an acknowledgement after which another successor is chosen, so that a silent one cannot block the shutdown.
constexpr Duration AcknowledgementTimeout = seconds(5);

} // namespace

void TakenOverRecords::onHandoff(Step &step, const ProcessId &from, const msg::Handoff &handoff, bool leaving)
{
    if (leaving) {
        step.sendControl(from, msg::HandoffAck{handoff.part, true});
        return;
    }
    CoordinatorRecords &records = m_records[handoff.coordinator];
    records.lowWater = handoff.lowWater;
    records.received = step.now();
    // A part is sent only after the one before it has been acknowledged, so with the last part all have been received.
    records.complete = records.complete || handoff.last;
    for (const msg::HandoffItem &item : handoff.items) {
        records.items[item.end.id.sequence] = item;
    }
    step.sendControl(from, msg::HandoffAck{handoff.part, false});
}

bool TakenOverRecords::answer(Step &step, const ProcessId &from, const SubmissionId &id, const Digest *digest)
{
    const auto records = m_records.find(id.coordinator);
    if (records == m_records.end() || !records->second.complete) {
        return false;
    }
    msg::JobReply reply;
    reply.id = id;
    const auto it = records->second.items.find(id.sequence);
    if (it != records->second.items.end()) {
        const msg::HandoffItem &item = it->second;
        const bool conflict = digest != nullptr && item.end.state != JobState::Refused && item.digest != *digest;
        reply = item.end;
        if (conflict) {
            reply = msg::JobReply();
            reply.id = id;
            reply.state = JobState::Conflict;
            reply.reason = "This id was already used for a different submission.";
        }
    } else if (id.sequence < records->second.lowWater) {
        reply.state = JobState::Expired;
        reply.reason = "This id has expired; whether its submission was run is no longer known.";
    } else {
        reply.state = JobState::Refused;
        reply.reason = "The coordinator of this id shut down without having received the submission; request a new id.";
        // Not zero, because a retry under a new id can succeed.
        reply.retryAfter = milliseconds(1);
    }
    step.send(from, std::move(reply));
    return true;
}

void TakenOverRecords::tick(TimePoint now, Duration retention)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        it = now - it->second.received > retention ? m_records.erase(it) : std::next(it);
    }
}

std::vector<msg::Handoff> TakenOverRecords::toHandoffs() const
{
    std::vector<msg::Handoff> handoffs;
    for (const std::pair<const ProcessId, CoordinatorRecords> &entry : m_records) {
        if (!entry.second.complete) {
            continue;
        }
        msg::Handoff handoff;
        handoff.last = true;
        handoff.coordinator = entry.first;
        handoff.lowWater = entry.second.lowWater;
        for (const std::pair<const Sequence, msg::HandoffItem> &item : entry.second.items) {
            handoff.items.push_back(item.second);
        }
        handoffs.push_back(std::move(handoff));
    }
    return handoffs;
}

std::vector<ProcessId> TakenOverRecords::coordinators() const
{
    std::vector<ProcessId> result;
    for (const std::pair<const ProcessId, CoordinatorRecords> &entry : m_records) {
        if (entry.second.complete) {
            result.push_back(entry.first);
        }
    }
    return result;
}

void HandoffSender::add(msg::Handoff handoff)
{
    handoff.part = m_parts.size();
    m_parts.push_back(std::move(handoff));
}

void HandoffSender::start(const ProcessId &successor, TimePoint now)
{
    m_successor = successor;
    m_nextPart = 0;
    m_lastSent = TimePoint();
    m_lastProgress = now;
}

bool HandoffSender::onAck(Step &step, const ProcessId &from, const msg::HandoffAck &ack)
{
    if (from != m_successor || finished() || ack.part != m_nextPart) {
        return true;
    }
    if (ack.refused) {
        return false;
    }
    ++m_nextPart;
    m_lastSent = TimePoint();
    m_lastProgress = step.now();
    tick(step);
    return true;
}

void HandoffSender::tick(Step &step)
{
    if (started() && !finished() && step.now() - m_lastSent >= step.settings().timing.resendAfter) {
        m_lastSent = step.now();
        step.send(m_successor, m_parts[m_nextPart]);
    }
}

bool HandoffSender::timedOut(TimePoint now) const noexcept
{
    return !finished() && now - m_lastProgress > AcknowledgementTimeout;
}

} // namespace cuminscale
