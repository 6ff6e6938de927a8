#include "core/pending_calls.h"

#include "core/refusal.h"
#include "core/tracing.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

/// Answers may be this much later than the deadline; they have been paid for.
constexpr Duration AnswerGrace = milliseconds(500);
/// A caller that finds no capacity had better not be back sooner.
constexpr Duration NoAgentRetryAfter = seconds(1);
constexpr Duration MaxResendAfter = seconds(2);
/// Callers wait this long for ids when none are in stock.
constexpr Duration IdsDeadline = seconds(2);
/// Ids that one single request may use up.
constexpr std::uint32_t MaxAttempts = 3;
/// A second attempt is made once a request has taken this many times what 95 of 100 take.
constexpr int HedgeFactor = 2;
/// Questions about a job that take no part in it.
constexpr Duration QueryDeadline = seconds(5);
/// With a wait, a question is held this long.
constexpr Duration LongQueryDeadline = seconds(60);

/// The answer when no coordinator has spoken.
CallerReply unknownReply(const SubmissionId &id, std::string reason)
{
    CallerReply answer;
    answer.kind = CallerReply::Kind::Job;
    answer.undecided = true;
    answer.text = reason;
    answer.job = msg::JobReply();
    answer.job->id = id;
    answer.job->state = JobState::Failed;
    answer.job->outcomeUnknown = true;
    answer.job->reason = reason;
    answer.outcome = Unknown{std::move(reason)};
    return answer;
}

} // namespace

PendingCalls::PendingCalls(const CoreSettings &settings, Policies &policies, PeerTable &peers)
    : m_settings(settings)
    , m_policies(policies)
    , m_peers(peers)
    , m_stock(settings, policies)
{ }

PendingCalls::Call &PendingCalls::add(CallerTag tag, Call call)
{
    Call &kept = m_calls.emplace(tag, std::move(call)).first->second;
    if (kept.id != SubmissionId()) {
        m_byId.emplace(kept.id, tag);
    }
    return kept;
}

bool PendingCalls::full(Step &step, CallerTag tag)
{
    if (m_calls.size() < m_settings.limits.maxPendingCalls) {
        return false;
    }
    refuse(step, tag, CallerReply::Kind::Refused, "This entry has as many callers waiting as it may hold.");
    return true;
}

void PendingCalls::refuse(Step &step, CallerTag tag, CallerReply::Kind kind, std::string reason)
{
    step.count(Counter::CallsRefused);
    CallerReply reply;
    reply.kind = kind;
    reply.text = reason;
    reply.outcome = Refusal::beforeSending(std::move(reason), NoAgentRetryAfter);
    finish(step, tag, std::move(reply));
}

void PendingCalls::mintIds(Step &step, CallerTag tag, const call::MintIds &call)
{
    if (full(step, tag)) {
        return;
    }
    Call pending;
    pending.kind = Kind::Ids;
    pending.service = call.service;
    pending.count = call.count;
    pending.deadline = step.now() + IdsDeadline;
    Call &kept = add(tag, std::move(pending));
    if (!tryToGiveIds(step, tag, kept)) {
        m_waitingForIds.push_back(tag);
        m_stock.refill(step, m_peers);
    }
}

bool PendingCalls::tryToGiveIds(Step &step, CallerTag tag, Call &call)
{
    CallerReply reply;
    reply.kind = CallerReply::Kind::Ids;
    while (reply.ids.size() < call.count) {
        const std::optional<SubmissionId> id = m_stock.take(step, m_peers, call.service);
        if (!id) {
            break;
        }
        reply.ids.push_back(*id);
    }
    if (reply.ids.empty()) {
        return false;
    }
    finish(step, tag, std::move(reply));
    return true;
}

PendingCalls::Call PendingCalls::newJob(Step &step, const call::SubmitJob &call, Duration deadline) const
{
    Call pending;
    pending.kind = Kind::Job;
    pending.id = call.id;
    pending.spec = call.spec;
    pending.service = call.spec->service;
    pending.member = call.spec->member;
    pending.wait = call.wait;
    pending.started = step.now();
    pending.deadline = step.now() + deadline;
    pending.spanId = step.drawId();
    pending.trace = call.spec->trace;
    return pending;
}

void PendingCalls::submitJob(Step &step, CallerTag tag, const call::SubmitJob &call, Duration deadline)
{
    if (m_calls.size() >= m_settings.limits.maxPendingCalls) {
        answerBusy(step, tag, call.id);
        return;
    }
    sendSubmit(step, add(tag, newJob(step, call, deadline)));
}

void PendingCalls::refuseJob(Step &step, CallerTag tag, const call::SubmitJob &call, std::string reason)
{
    if (m_calls.size() >= m_settings.limits.maxPendingCalls) {
        answerBusy(step, tag, call.id);
        return;
    }
    Call pending = newJob(step, call, QueryDeadline);
    pending.refuseWith = std::move(reason);
    sendSubmit(step, add(tag, std::move(pending)));
}

void PendingCalls::answerBusy(Step &step, CallerTag tag, const SubmissionId &id)
{
    // The same job may have come through another entry, so this one can't speak for it.
    step.count(Counter::CallsRefused);
    step.add(effect::ReplyCaller{tag, unknownReply(id, "This entry has as many callers waiting as it may hold.")});
}

void PendingCalls::submitRequest(Step &step, CallerTag tag, const call::SubmitRequest &call, Duration deadline)
{
    if (full(step, tag)) {
        return;
    }
    if (m_peers.usableAgents(step.now(), m_peers.suspectAfter(), call.spec->service).empty()) {
        refuse(step, tag, CallerReply::Kind::Refused, "No backend server of this service is known.");
        return;
    }
    Call pending;
    pending.kind = Kind::Request;
    pending.spec = call.spec;
    pending.service = call.spec->service;
    pending.member = call.spec->member;
    pending.started = step.now();
    pending.deadline = step.now() + deadline;
    pending.spanId = step.drawId();
    pending.trace = call.spec->trace;
    sendFirstAttempt(step, tag, add(tag, std::move(pending)), ProcessId());
}

void PendingCalls::sendFirstAttempt(Step &step, CallerTag tag, Call &call, const ProcessId &avoid)
{
    const std::optional<SubmissionId> id = m_stock.take(step, m_peers, call.service, avoid);
    if (!id) {
        m_waitingForIds.push_back(tag);
        m_stock.refill(step, m_peers);
        return;
    }
    call.id = *id;
    call.bodiesSent = 0;
    ++call.attempts;
    m_byId.emplace(call.id, tag);
    sendSubmit(step, call);
}

void PendingCalls::sendSubmit(Step &step, Call &call)
{
    ++call.bodiesSent;
    call.lastSent = step.now();
    call.resendAfter = std::max(call.resendAfter, m_settings.timing.resendAfter);
    sendBody(step, call, call.id);
}

void PendingCalls::sendBody(Step &step, const Call &call, const SubmissionId &id)
{
    step.send(m_policies.locator->locate(id),
              msg::Submit{id, call.spec, call.deadline - step.now(), childOf(call.trace, call.spanId), call.refuseWith});
}

void PendingCalls::hedge(Step &step, CallerTag tag, Call &call)
{
    const std::optional<Duration> usual = m_responseTimes.ninetyFifth(call.service + "/" + call.spec->kind);
    if (!usual || step.now() - call.started < *usual * HedgeFactor || !m_budget.spend(call.member)) {
        return;
    }
    const std::optional<SubmissionId> id = m_stock.take(step, m_peers, call.service, call.id.coordinator);
    if (!id) {
        return;
    }
    step.count(Counter::RequestHedges);
    call.hedge = *id;
    ++call.attempts;
    m_byId.emplace(call.hedge, tag);
    sendBody(step, call, call.hedge);
}

bool PendingCalls::otherAttemptGoesOn(Call &call, CallerTag tag, const msg::JobReply &reply)
{
    if (call.hedge == SubmissionId()) {
        return false;
    }
    call.mayHaveRun = call.mayHaveRun || reply.state == JobState::Failed;
    unlink(reply.id, tag);
    if (reply.id == call.id) {
        call.id = call.hedge;
    }
    call.hedge = SubmissionId();
    return true;
}

void PendingCalls::queryJob(Step &step, CallerTag tag, const call::QueryJob &call)
{
    if (full(step, tag)) {
        return;
    }
    Call pending;
    pending.kind = Kind::Query;
    pending.id = call.id;
    pending.wait = call.wait;
    pending.deadline = step.now() + (call.wait ? LongQueryDeadline : QueryDeadline);
    pending.lastSent = step.now();
    pending.resendAfter = m_settings.timing.resendAfter;
    add(tag, std::move(pending));
    step.send(m_policies.locator->locate(call.id), msg::Await{call.id});
}

void PendingCalls::cancelJob(Step &step, CallerTag tag, const call::CancelJob &call)
{
    if (full(step, tag)) {
        return;
    }
    Call pending;
    pending.kind = Kind::Cancel;
    pending.id = call.id;
    pending.member = call.member;
    pending.deadline = step.now() + QueryDeadline;
    pending.lastSent = step.now();
    pending.resendAfter = m_settings.timing.resendAfter;
    add(tag, std::move(pending));
    step.send(m_policies.locator->locate(call.id), msg::Cancel{call.id, call.member});
}

void PendingCalls::callerGone(Step &step, CallerTag tag)
{
    const auto it = m_calls.find(tag);
    if (it == m_calls.end()) {
        return;
    }
    const Call &call = it->second;
    cancelAttempts(step, call);
    unlink(call.id, tag);
    unlink(call.hedge, tag);
    m_calls.erase(it);
}

void PendingCalls::cancelAttempts(Step &step, const Call &call)
{
    if (call.kind != Kind::Request) {
        return;
    }
    for (const SubmissionId &id : {call.id, call.hedge}) {
        if (id != SubmissionId()) {
            step.send(m_policies.locator->locate(id), msg::Cancel{id, call.member});
        }
    }
}

void PendingCalls::unlink(const SubmissionId &id, CallerTag tag)
{
    const auto range = m_byId.equal_range(id);
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second == tag) {
            m_byId.erase(it);
            return;
        }
    }
}

void PendingCalls::onJobReply(Step &step, const ProcessId &from, const msg::JobReply &reply)
{
    // Only the coordinator that the id names, or its successor, may speak of it.
    if (reply.id.coordinator != from && m_policies.locator->locate(reply.id) != from) {
        return;
    }
    m_peers.correctFreeSlots(from, reply.freeSlots);
    m_stock.onReported(from);
    std::vector<CallerTag> tags;
    const auto range = m_byId.equal_range(reply.id);
    for (auto it = range.first; it != range.second; ++it) {
        tags.push_back(it->second);
    }
    for (const CallerTag &tag : tags) {
        take(step, tag, reply);
    }
}

void PendingCalls::take(Step &step, CallerTag tag, const msg::JobReply &reply)
{
    Call &call = m_calls.at(tag);
    call.lastHeard = step.now();
    switch (reply.state) {
    case JobState::Accepted:
        if (!call.wait) {
            answerJob(step, tag, reply, Ran{});
        }
        return;
    case JobState::NotKnown:
        if (call.spec && reply.id == call.hedge) {
            sendBody(step, call, call.hedge);
        } else if (call.spec) {
            sendSubmit(step, call);
        } else if (call.kind == Kind::Query) {
            answerJob(step, tag, reply, Unknown{reply.reason});
        }
        return;
    case JobState::Complete:
        m_budget.earn(call.member);
        if (call.kind == Kind::Request) {
            m_responseTimes.add(call.service + "/" + call.spec->kind, step.now() - call.started);
        }
        if (call.hedge != SubmissionId()) {
            const SubmissionId loser = reply.id == call.id ? call.hedge : call.id;
            step.send(m_policies.locator->locate(loser), msg::Cancel{loser, call.member});
        }
        answerJob(step, tag, reply, Ran{});
        return;
    case JobState::Failed:
        if (!otherAttemptGoesOn(call, tag, reply) && !retry(step, tag, call, reply)) {
            answerJob(step, tag, reply, reply.outcomeUnknown ? Outcome(Unknown{reply.reason}) : Outcome(Ran{}));
        }
        return;
    case JobState::Refused:
        if (!otherAttemptGoesOn(call, tag, reply) && !retry(step, tag, call, reply)) {
            // The last attempt was never started; an earlier one under another id may have been.
            answerJob(step, tag, reply, call.mayHaveRun ? Outcome(Unknown{reply.reason}) : Outcome(Refusal::barred(reply)));
        }
        return;
    case JobState::Conflict:
    case JobState::Expired:
        if (call.kind == Kind::Request) {
            m_stock.drop(reply.id.coordinator);
        }
        if (!otherAttemptGoesOn(call, tag, reply) && !retry(step, tag, call, reply)) {
            answerJob(step, tag, reply,
                      finalRefusal(call, reply) ? Outcome(Refusal::onlyCopyTurnedAway(reply)) : Outcome(Unknown{reply.reason}));
        }
        return;
    }
}

bool PendingCalls::finalRefusal(const Call &call, const msg::JobReply &reply) const
{
    // A conflicting body is never run under the id, whatever its other copies meet: the id belongs to another body.
    if (call.mayHaveRun) {
        return false;
    }
    if (reply.state == JobState::Conflict) {
        return call.kind == Kind::Job;
    }
    // The id of a single request was drawn here, so nobody else can have sent a copy that ran and was forgotten.
    return reply.state == JobState::Expired && call.kind == Kind::Request && call.bodiesSent == 1;
}

bool PendingCalls::retry(Step &step, CallerTag tag, Call &call, const msg::JobReply &reply)
{
    if (call.kind != Kind::Request || call.attempts >= MaxAttempts || step.now() >= call.deadline) {
        return false;
    }
    const bool neverRan = reply.state == JobState::Refused || finalRefusal(call, reply);
    if (!neverRan && !call.spec->repeatable) {
        return false;
    }
    if (!m_budget.spend(call.member)) {
        return false;
    }
    step.count(Counter::RequestRetries);
    call.mayHaveRun = call.mayHaveRun || !neverRan;
    unlink(call.id, tag);
    const ProcessId avoid = call.id.coordinator;
    call.id = SubmissionId();
    call.bodiesSent = 0;
    sendFirstAttempt(step, tag, call, avoid);
    return true;
}

void PendingCalls::answerJob(Step &step, CallerTag tag, const msg::JobReply &reply, Outcome outcome)
{
    CallerReply answer;
    answer.kind = CallerReply::Kind::Job;
    answer.outcome = std::move(outcome);
    answer.text = reply.reason;
    answer.job = reply;
    finish(step, tag, std::move(answer));
}

void PendingCalls::answerUnknown(Step &step, CallerTag tag, std::string reason)
{
    step.count(Counter::CallsUnknown);
    const Call &call = m_calls.at(tag);
    finish(step, tag, unknownReply(call.id, std::move(reason)));
}

void PendingCalls::finish(Step &step, CallerTag tag, CallerReply reply)
{
    const auto it = m_calls.find(tag);
    if (it != m_calls.end()) {
        const Call &call = it->second;
        reply.trace = childOf(call.trace, call.spanId);
        if (call.trace.sampled) {
            step.add(effect::SpanEnded{endedSpan(step, call.trace, call.spanId, "entry", call.started, toString(reply.outcome))});
            if (reply.job) {
                for (const Span &span : reply.job->spans) {
                    step.add(effect::SpanEnded{span});
                }
            }
        }
        unlink(call.id, tag);
        unlink(call.hedge, tag);
        m_calls.erase(it);
    }
    step.add(effect::ReplyCaller{tag, std::move(reply)});
}

void PendingCalls::onMinted(Step &step, const ProcessId &from, const msg::Minted &minted)
{
    m_stock.onMinted(step, from, minted);
    serveWaiting(step);
}

void PendingCalls::serveWaiting(Step &step)
{
    std::deque<CallerTag> waiting;
    waiting.swap(m_waitingForIds);
    for (const CallerTag &tag : waiting) {
        const auto it = m_calls.find(tag);
        if (it == m_calls.end()) {
            continue;
        }
        if (it->second.kind == Kind::Request) {
            sendFirstAttempt(step, tag, it->second, ProcessId());
        } else if (!tryToGiveIds(step, tag, it->second)) {
            m_waitingForIds.push_back(tag);
        }
    }
}

void PendingCalls::onProcessEnded(Step &step, const ProcessId &ended)
{
    m_stock.erase(ended);
    std::vector<std::pair<CallerTag, SubmissionId>> affected;
    for (const std::pair<const CallerTag, Call> &call : m_calls) {
        for (const SubmissionId &id : {call.second.id, call.second.hedge}) {
            if (id != SubmissionId() && m_policies.locator->locate(id) == ended) {
                affected.emplace_back(call.first, id);
            }
        }
    }
    std::sort(affected.begin(), affected.end());
    for (const std::pair<CallerTag, SubmissionId> &attempt : affected) {
        if (m_calls.count(attempt.first) == 0) {
            continue;
        }
        msg::JobReply lost;
        lost.id = attempt.second;
        lost.state = JobState::Failed;
        lost.outcomeUnknown = true;
        lost.reason = "The coordinator of this submission is gone.";
        take(step, attempt.first, lost);
    }
}

void PendingCalls::onSucceeded(Step &step, const ProcessId &coordinator, const ProcessId &successor)
{
    if (!m_policies.locator->onSucceeded(coordinator, successor, step.now())) {
        return;
    }
    m_stock.erase(coordinator);
    for (std::pair<const CallerTag, Call> &call : m_calls) {
        if (call.second.id.coordinator == coordinator) {
            // Whoever answers now is asked at once.
            call.second.lastSent = TimePoint();
        }
    }
}

void PendingCalls::tick(Step &step)
{
    m_policies.locator->forgetOld(step.now(), m_settings.timing.rememberAnswers);
    m_stock.refill(step, m_peers);
    serveWaiting(step);
    std::vector<CallerTag> overdue;
    std::vector<CallerTag> slow;
    for (std::pair<const CallerTag, Call> &entry : m_calls) {
        Call &call = entry.second;
        const bool submitted = call.bodiesSent > 0;
        const TimePoint limit = submitted ? call.deadline + AnswerGrace : call.deadline;
        if (step.now() >= limit) {
            overdue.push_back(entry.first);
            continue;
        }
        if (submitted && call.kind == Kind::Request && call.spec->repeatable && call.attempts == 1 && call.id != SubmissionId()) {
            slow.push_back(entry.first);
        }
        if (call.id != SubmissionId() && step.now() - call.lastSent >= call.resendAfter) {
            if (call.resendAfter > m_settings.timing.resendAfter && call.lastHeard < call.lastSent) {
                step.replaceConnection(m_policies.locator->locate(call.id).endpoint);
            }
            call.lastSent = step.now();
            call.resendAfter = std::min(call.resendAfter * 2, MaxResendAfter);
            step.count(Counter::Resends);
            if (call.kind == Kind::Cancel) {
                step.send(m_policies.locator->locate(call.id), msg::Cancel{call.id, call.member});
            } else {
                step.send(m_policies.locator->locate(call.id), msg::Await{call.id});
            }
        }
    }
    std::sort(slow.begin(), slow.end());
    for (const CallerTag &tag : slow) {
        hedge(step, tag, m_calls.at(tag));
    }
    std::sort(overdue.begin(), overdue.end());
    for (const CallerTag &tag : overdue) {
        const Call &call = m_calls.at(tag);
        const bool neverSent =
            call.bodiesSent == 0 && (call.kind == Kind::Ids || call.kind == Kind::Request) && call.attempts == 0;
        if (neverSent) {
            refuse(step, tag, CallerReply::Kind::Refused, "No coordinator handed out an id in time.");
            continue;
        }
        cancelAttempts(step, call);
        answerUnknown(step, tag, "The coordinator did not answer in time.");
    }
}

} // namespace cuminscale
