#include "core/succession.h"

namespace cuminscale
{

namespace
{

/// A successor that does not answer for this long is given up: its silence must not keep a process from ending.
constexpr Duration GiveUpAfter = seconds(5);

} // namespace

void Inheritance::onHandoff(Step &step, const ProcessId &from, const msg::Handoff &handoff, bool leaving)
{
    if (leaving) {
        step.sendControl(from, msg::HandoffAck{handoff.part, true});
        return;
    }
    Estate &estate = m_estates[handoff.coordinator];
    estate.lowWater = handoff.lowWater;
    estate.received = step.now();
    // Parts come in order, each sent only once the one before was acknowledged.
    estate.complete = estate.complete || handoff.last;
    for (const msg::HandoffItem &item : handoff.items) {
        estate.items[item.end.id.sequence] = item;
    }
    step.sendControl(from, msg::HandoffAck{handoff.part, false});
}

bool Inheritance::answer(Step &step, const ProcessId &from, const SubmissionId &id, const Digest *digest)
{
    const auto estate = m_estates.find(id.coordinator);
    if (estate == m_estates.end() || !estate->second.complete) {
        return false;
    }
    msg::JobReply reply;
    reply.id = id;
    const auto it = estate->second.items.find(id.sequence);
    if (it != estate->second.items.end()) {
        const msg::HandoffItem &item = it->second;
        const bool conflict = digest != nullptr && item.end.state != JobState::Refused && item.digest != *digest;
        reply = item.end;
        if (conflict) {
            reply = msg::JobReply();
            reply.id = id;
            reply.state = JobState::Conflict;
            reply.reason = "This id belongs to another submission.";
        }
    } else if (id.sequence < estate->second.lowWater) {
        reply.state = JobState::Expired;
        reply.reason = "This id is too old to be told apart from one that has run.";
    } else {
        reply.state = JobState::Refused;
        reply.reason = "The coordinator of this id has shut down without seeing the submission; fetch a new id.";
        reply.retryAfter = milliseconds(1);
    }
    step.send(from, std::move(reply));
    return true;
}

void Inheritance::tick(TimePoint now, Duration remember)
{
    for (auto it = m_estates.begin(); it != m_estates.end();) {
        it = now - it->second.received > remember ? m_estates.erase(it) : std::next(it);
    }
}

std::vector<msg::Handoff> Inheritance::all() const
{
    std::vector<msg::Handoff> handoffs;
    for (const std::pair<const ProcessId, Estate> &estate : m_estates) {
        if (!estate.second.complete) {
            continue;
        }
        msg::Handoff handoff;
        handoff.last = true;
        handoff.coordinator = estate.first;
        handoff.lowWater = estate.second.lowWater;
        for (const std::pair<const Sequence, msg::HandoffItem> &item : estate.second.items) {
            handoff.items.push_back(item.second);
        }
        handoffs.push_back(std::move(handoff));
    }
    return handoffs;
}

std::vector<ProcessId> Inheritance::coordinators() const
{
    std::vector<ProcessId> result;
    for (const std::pair<const ProcessId, Estate> &estate : m_estates) {
        if (estate.second.complete) {
            result.push_back(estate.first);
        }
    }
    return result;
}

void Handover::add(msg::Handoff handoff)
{
    handoff.part = m_parts.size();
    m_parts.push_back(std::move(handoff));
}

void Handover::start(const ProcessId &successor, TimePoint now)
{
    m_successor = successor;
    m_next = 0;
    m_lastSent = TimePoint();
    m_lastProgress = now;
}

bool Handover::onAck(Step &step, const ProcessId &from, const msg::HandoffAck &ack)
{
    if (from != m_successor || finished() || ack.part != m_next) {
        return true;
    }
    if (ack.refused) {
        return false;
    }
    ++m_next;
    m_lastSent = TimePoint();
    m_lastProgress = step.now();
    tick(step);
    return true;
}

void Handover::tick(Step &step)
{
    if (started() && !finished() && step.now() - m_lastSent >= step.settings().timing.resendAfter) {
        m_lastSent = step.now();
        step.send(m_successor, m_parts[m_next]);
    }
}

bool Handover::stuck(TimePoint now) const noexcept
{
    return !finished() && now - m_lastProgress > GiveUpAfter;
}

} // namespace cuminscale
