#include "core/pending_calls.h"

#include "core/refusal.h"
#include "core/tracing.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

/// Grace period after a call's deadline: a reply within it is still delivered, since its work has already been done.
constexpr Duration ReplyGrace = milliseconds(500);
/// Retry-After of a refusal; keeps callers from retrying in a tight loop while there is no capacity.
constexpr Duration RefusedRetryAfter = seconds(1);
constexpr Duration MaxRetransmissionTimeout = seconds(2);
/// How long a caller that requests ids waits when none are in stock.
constexpr Duration IdsTimeout = seconds(2);
/// Attempts of one single request, hedged ones included; each uses an id of its own.
constexpr std::uint32_t MaxAttempts = 3;
/// A hedged request is sent after this multiple of the 95th percentile of response times.
constexpr int HedgeFactor = 2;
/// Timeout of cancellations, of queries that don't wait, and of jobs that the entry refuses.
constexpr Duration QueryTimeout = seconds(5);
/// Timeout of queries that wait for the end of the job.
constexpr Duration WaitingQueryTimeout = seconds(60);

/// The reply to a caller when no coordinator has replied: the outcome is unknown.
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
    , m_idStock(settings, policies)
{ }

PendingCalls::Call &PendingCalls::add(CallerTag tag, Call call)
{
    Call &kept = m_calls.emplace(tag, std::move(call)).first->second;
    if (kept.id != SubmissionId()) {
        m_byId.emplace(kept.id, tag);
    }
    return kept;
}

bool PendingCalls::refuseIfFull(Step &step, CallerTag tag)
{
    if (m_calls.size() < m_settings.limits.maxPendingCalls) {
        return false;
    }
    refuse(step, tag, CallerReply::Kind::Refused, "This entry has reached its limit of pending calls.");
    return true;
}

void PendingCalls::refuse(Step &step, CallerTag tag, CallerReply::Kind kind, std::string reason)
{
    step.count(Counter::CallsRefused);
    CallerReply reply;
    reply.kind = kind;
    reply.text = reason;
    reply.outcome = Refusal::beforeSending(std::move(reason), RefusedRetryAfter);
    finish(step, tag, std::move(reply));
}

void PendingCalls::mintIds(Step &step, CallerTag tag, const call::MintIds &call)
{
    if (refuseIfFull(step, tag)) {
        return;
    }
    Call pending;
    pending.kind = Kind::Ids;
    pending.service = call.service;
    pending.count = call.count;
    pending.deadline = step.now() + IdsTimeout;
    Call &kept = add(tag, std::move(pending));
    if (!tryAnswerWithIds(step, tag, kept)) {
        m_waitingForIds.push_back(tag);
        m_idStock.refill(step, m_peers);
    }
}

bool PendingCalls::tryAnswerWithIds(Step &step, CallerTag tag, Call &call)
{
    CallerReply reply;
    reply.kind = CallerReply::Kind::Ids;
    while (reply.ids.size() < call.count) {
        const std::optional<SubmissionId> id = m_idStock.take(step, m_peers, call.service);
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
    pending.spanId = step.randomId();
    pending.trace = call.spec->trace;
    return pending;
}

void PendingCalls::submitJob(Step &step, CallerTag tag, const call::SubmitJob &call, Duration deadline)
{
    if (m_calls.size() >= m_settings.limits.maxPendingCalls) {
        answerOverloaded(step, tag, call.id);
        return;
    }
    sendSubmit(step, add(tag, newJob(step, call, deadline)));
}

void PendingCalls::refuseJob(Step &step, CallerTag tag, const call::SubmitJob &call, std::string reason)
{
    if (m_calls.size() >= m_settings.limits.maxPendingCalls) {
        answerOverloaded(step, tag, call.id);
        return;
    }
    Call pending = newJob(step, call, QueryTimeout);
    pending.refuseWith = std::move(reason);
    sendSubmit(step, add(tag, std::move(pending)));
}

void PendingCalls::answerOverloaded(Step &step, CallerTag tag, const SubmissionId &id)
{
    // The same job may have been submitted through another entry, so this entry can't state that it has not run.
    step.count(Counter::CallsRefused);
    step.add(effect::ReplyCaller{tag, unknownReply(id, "This entry has reached its limit of pending calls.")});
}

void PendingCalls::submitRequest(Step &step, CallerTag tag, const call::SubmitRequest &call, Duration deadline)
{
    if (refuseIfFull(step, tag)) {
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
    pending.spanId = step.randomId();
    pending.trace = call.spec->trace;
    startAttempt(step, tag, add(tag, std::move(pending)), ProcessId());
}

void PendingCalls::startAttempt(Step &step, CallerTag tag, Call &call, const ProcessId &avoid)
{
    const std::optional<SubmissionId> id = m_idStock.take(step, m_peers, call.service, avoid);
    if (!id) {
        m_waitingForIds.push_back(tag);
        m_idStock.refill(step, m_peers);
        return;
    }
    call.id = *id;
    call.submitsSent = 0;
    ++call.attempts;
    m_byId.emplace(call.id, tag);
    sendSubmit(step, call);
}

void PendingCalls::sendSubmit(Step &step, Call &call)
{
    ++call.submitsSent;
    call.lastSentAt = step.now();
    call.retransmissionTimeout = std::max(call.retransmissionTimeout, m_settings.timing.resendAfter);
    sendSubmitMessage(step, call, call.id);
}

void PendingCalls::sendSubmitMessage(Step &step, const Call &call, const SubmissionId &id)
{
    step.send(m_policies.locator->locate(id),
              msg::Submit{id, call.spec, call.deadline - step.now(), childContext(call.trace, call.spanId), call.refuseWith});
}

void PendingCalls::hedgeIfSlow(Step &step, CallerTag tag, Call &call)
{
    const std::optional<Duration> percentile = m_responseTimes.percentile95(call.service + "/" + call.spec->kind);
    if (!percentile || step.now() - call.started < *percentile * HedgeFactor || !m_retryBudget.tryWithdraw(call.member)) {
        return;
    }
    const std::optional<SubmissionId> id = m_idStock.take(step, m_peers, call.service, call.id.coordinator);
    if (!id) {
        return;
    }
    step.count(Counter::RequestHedges);
    call.hedgeId = *id;
    call.hedgeSubmitsSent = 1;
    ++call.attempts;
    m_byId.emplace(call.hedgeId, tag);
    sendSubmitMessage(step, call, call.hedgeId);
}

bool PendingCalls::continueWithOtherAttempt(Call &call, CallerTag tag, const msg::JobReply &reply)
{
    if (call.hedgeId == SubmissionId()) {
        return false;
    }
    const std::uint32_t submitsSent = reply.id == call.id ? call.submitsSent : call.hedgeSubmitsSent;
    // A copy that was sent again may have run and its record may have been evicted before the reply.
    const bool expiredCopy = reply.state == JobState::Expired && submitsSent > 1;
    call.mayHaveRun = call.mayHaveRun || reply.state == JobState::Failed || expiredCopy;
    unlink(reply.id, tag);
    if (reply.id == call.id) {
        call.id = call.hedgeId;
        call.submitsSent = call.hedgeSubmitsSent;
    }
    call.hedgeId = SubmissionId();
    return true;
}

void PendingCalls::queryJob(Step &step, CallerTag tag, const call::QueryJob &call)
{
    if (refuseIfFull(step, tag)) {
        return;
    }
    Call pending;
    pending.kind = Kind::Query;
    pending.id = call.id;
    pending.wait = call.wait;
    pending.deadline = step.now() + (call.wait ? WaitingQueryTimeout : QueryTimeout);
    pending.lastSentAt = step.now();
    pending.retransmissionTimeout = m_settings.timing.resendAfter;
    add(tag, std::move(pending));
    step.send(m_policies.locator->locate(call.id), msg::Await{call.id});
}

void PendingCalls::cancelJob(Step &step, CallerTag tag, const call::CancelJob &call)
{
    if (refuseIfFull(step, tag)) {
        return;
    }
    Call pending;
    pending.kind = Kind::Cancel;
    pending.id = call.id;
    pending.member = call.member;
    pending.deadline = step.now() + QueryTimeout;
    pending.lastSentAt = step.now();
    pending.retransmissionTimeout = m_settings.timing.resendAfter;
    add(tag, std::move(pending));
    step.send(m_policies.locator->locate(call.id), msg::Cancel{call.id, call.member});
}

void PendingCalls::onCallerDisconnected(Step &step, CallerTag tag)
{
    const auto it = m_calls.find(tag);
    if (it == m_calls.end()) {
        return;
    }
    const Call &call = it->second;
    cancelAttempts(step, call);
    unlink(call.id, tag);
    unlink(call.hedgeId, tag);
    m_calls.erase(it);
}

void PendingCalls::cancelAttempts(Step &step, const Call &call)
{
    if (call.kind != Kind::Request) {
        return;
    }
    for (const SubmissionId &id : {call.id, call.hedgeId}) {
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
    // Only the coordinator that the id names, or its successor, knows the state of the submission.
    if (reply.id.coordinator != from && m_policies.locator->locate(reply.id) != from) {
        return;
    }
    m_peers.correctFreeSlots(from, reply.freeSlots);
    m_idStock.onReported(from);
    std::vector<CallerTag> tags;
    const auto range = m_byId.equal_range(reply.id);
    for (auto it = range.first; it != range.second; ++it) {
        tags.push_back(it->second);
    }
    for (const CallerTag &tag : tags) {
        handleReply(step, tag, reply);
    }
}

void PendingCalls::handleReply(Step &step, CallerTag tag, const msg::JobReply &reply)
{
    Call &call = m_calls.at(tag);
    call.lastReplyAt = step.now();
    switch (reply.state) {
    case JobState::Accepted:
        if (!call.wait) {
            answerJob(step, tag, reply, Ran{});
        }
        return;
    case JobState::NotKnown:
        if (call.spec && reply.id == call.hedgeId) {
            ++call.hedgeSubmitsSent;
            sendSubmitMessage(step, call, call.hedgeId);
        } else if (call.spec) {
            sendSubmit(step, call);
        } else if (call.kind == Kind::Query) {
            answerJob(step, tag, reply, Unknown{reply.reason});
        }
        return;
    case JobState::Complete:
        m_retryBudget.deposit(call.member);
        if (call.kind == Kind::Request) {
            m_responseTimes.add(call.service + "/" + call.spec->kind, step.now() - call.started);
        }
        if (call.hedgeId != SubmissionId()) {
            const SubmissionId otherId = reply.id == call.id ? call.hedgeId : call.id;
            step.send(m_policies.locator->locate(otherId), msg::Cancel{otherId, call.member});
        }
        answerJob(step, tag, reply, Ran{});
        return;
    case JobState::Failed:
        if (!continueWithOtherAttempt(call, tag, reply) && !tryRetry(step, tag, call, reply)) {
            answerJob(step, tag, reply, reply.outcomeUnknown ? Outcome(Unknown{reply.reason}) : Outcome(Ran{}));
        }
        return;
    case JobState::Refused:
        if (!continueWithOtherAttempt(call, tag, reply) && !tryRetry(step, tag, call, reply)) {
            // This attempt has not run, but one under another id may have.
            answerJob(step, tag, reply, call.mayHaveRun ? Outcome(Unknown{reply.reason}) : Outcome(Refusal::tombstoned(reply)));
        }
        return;
    case JobState::Conflict:
    case JobState::Expired:
        if (call.kind == Kind::Request) {
            m_idStock.discardIds(reply.id.coordinator);
        }
        if (!continueWithOtherAttempt(call, tag, reply) && !tryRetry(step, tag, call, reply)) {
            answerJob(step, tag, reply,
                      provesNotRun(call, reply) ? Outcome(Refusal::expiredOrConflicting(reply)) : Outcome(Unknown{reply.reason}));
        }
        return;
    }
}

bool PendingCalls::provesNotRun(const Call &call, const msg::JobReply &reply) const
{
    if (call.mayHaveRun) {
        return false;
    }
    // The coordinator compares the digest of every copy with the one on record, so a conflicting body never runs under this
    // id, however many copies of it are in transit.
    if (reply.state == JobState::Conflict) {
        return call.kind == Kind::Job;
    }
    // This entry chose the id of a single request and has sent it once, so no other copy can have run whose record has been
    // evicted since.
    return reply.state == JobState::Expired && call.kind == Kind::Request && call.submitsSent == 1;
}

bool PendingCalls::tryRetry(Step &step, CallerTag tag, Call &call, const msg::JobReply &reply)
{
    if (call.kind != Kind::Request || call.attempts >= MaxAttempts || step.now() >= call.deadline) {
        return false;
    }
    const bool neverRan = reply.state == JobState::Refused || provesNotRun(call, reply);
    if (!neverRan && !call.spec->repeatable) {
        return false;
    }
    if (!m_retryBudget.tryWithdraw(call.member)) {
        return false;
    }
    step.count(Counter::RequestRetries);
    call.mayHaveRun = call.mayHaveRun || !neverRan;
    unlink(call.id, tag);
    const ProcessId avoid = call.id.coordinator;
    call.id = SubmissionId();
    call.submitsSent = 0;
    startAttempt(step, tag, call, avoid);
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
        reply.trace = childContext(call.trace, call.spanId);
        if (call.trace.sampled) {
            step.add(effect::SpanEnded{makeSpan(step, call.trace, call.spanId, "entry", call.started, toString(reply.outcome))});
            if (reply.job) {
                for (const Span &span : reply.job->spans) {
                    step.add(effect::SpanEnded{span});
                }
            }
        }
        unlink(call.id, tag);
        unlink(call.hedgeId, tag);
        m_calls.erase(it);
    }
    step.add(effect::ReplyCaller{tag, std::move(reply)});
}

void PendingCalls::onMinted(Step &step, const ProcessId &from, const msg::Minted &minted)
{
    m_idStock.onMinted(step, from, minted);
    serveCallsWaitingForIds(step);
}

void PendingCalls::serveCallsWaitingForIds(Step &step)
{
    std::deque<CallerTag> waiting;
    waiting.swap(m_waitingForIds);
    for (const CallerTag &tag : waiting) {
        const auto it = m_calls.find(tag);
        if (it == m_calls.end()) {
            continue;
        }
        if (it->second.kind == Kind::Request) {
            startAttempt(step, tag, it->second, ProcessId());
        } else if (!tryAnswerWithIds(step, tag, it->second)) {
            m_waitingForIds.push_back(tag);
        }
    }
}

void PendingCalls::onProcessEnded(Step &step, const ProcessId &ended)
{
    m_idStock.forgetCoordinator(ended);
    std::vector<std::pair<CallerTag, SubmissionId>> affected;
    for (const std::pair<const CallerTag, Call> &call : m_calls) {
        for (const SubmissionId &id : {call.second.id, call.second.hedgeId}) {
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
        lost.reason = "The coordinator of this submission has terminated.";
        handleReply(step, attempt.first, lost);
    }
}

void PendingCalls::onSuccessorAnnounced(Step &step, const ProcessId &coordinator, const ProcessId &successor)
{
    if (!m_policies.locator->onSuccessorAnnounced(coordinator, successor, step.now())) {
        return;
    }
    m_idStock.forgetCoordinator(coordinator);
    for (std::pair<const CallerTag, Call> &call : m_calls) {
        if (call.second.id.coordinator == coordinator) {
            // Makes the next tick retransmit to the successor.
            call.second.lastSentAt = TimePoint();
        }
    }
}

void PendingCalls::tick(Step &step)
{
    m_policies.locator->removeExpired(step.now(), m_settings.timing.answerRetention);
    m_idStock.refill(step, m_peers);
    serveCallsWaitingForIds(step);
    std::vector<CallerTag> overdue;
    std::vector<CallerTag> slow;
    for (std::pair<const CallerTag, Call> &entry : m_calls) {
        Call &call = entry.second;
        const bool submitted = call.submitsSent > 0;
        const TimePoint limit = submitted ? call.deadline + ReplyGrace : call.deadline;
        if (step.now() >= limit) {
            overdue.push_back(entry.first);
            continue;
        }
        if (submitted && call.kind == Kind::Request && call.spec->repeatable && call.attempts == 1 && call.id != SubmissionId()) {
            slow.push_back(entry.first);
        }
        if (call.id != SubmissionId() && step.now() - call.lastSentAt >= call.retransmissionTimeout) {
            if (call.retransmissionTimeout > m_settings.timing.resendAfter && call.lastReplyAt < call.lastSentAt) {
                step.replaceConnection(m_policies.locator->locate(call.id).endpoint);
            }
            call.lastSentAt = step.now();
            call.retransmissionTimeout = std::min(call.retransmissionTimeout * 2, MaxRetransmissionTimeout);
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
        hedgeIfSlow(step, tag, m_calls.at(tag));
    }
    std::sort(overdue.begin(), overdue.end());
    for (const CallerTag &tag : overdue) {
        const Call &call = m_calls.at(tag);
        const bool neverSent =
            call.submitsSent == 0 && (call.kind == Kind::Ids || call.kind == Kind::Request) && call.attempts == 0;
        if (neverSent) {
            refuse(step, tag, CallerReply::Kind::Refused, "No coordinator issued a submission id in time.");
            continue;
        }
        cancelAttempts(step, call);
        answerUnknown(step, tag, "The coordinator did not answer in time.");
    }
}

} // namespace cuminscale
