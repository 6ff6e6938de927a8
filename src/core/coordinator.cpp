#include "core/coordinator.h"

#include "core/tracing.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

constexpr const char *LogComponent = "coordinator";
/// Retry-After of a refusal because of load or shutdown; gives the load time to change.
constexpr Duration RefusedRetryAfter = seconds(1);
/// Spans kept for one job, so that the trace of a job of 2,000 tasks does not displace those of other jobs.
constexpr std::size_t MaxSpansPerJob = 64;
/// Records are handed off in messages of about this size.
constexpr std::size_t HandoffPartBytes = 1U << 20U;
/// Fixed memory cost of a record, counted towards Limits::maxAnswerBytes.
constexpr std::size_t RecordOverheadBytes = 400;

std::size_t memorySize(const msg::JobReply &reply)
{
    std::size_t n = RecordOverheadBytes + reply.reason.size();
    for (const TaskResult &result : reply.results) {
        n += sizeof(TaskResult) + result.body.size();
    }
    return n;
}

void appendSpan(std::vector<Span> &spans, Span span)
{
    if (spans.size() < MaxSpansPerJob) {
        spans.push_back(std::move(span));
    }
}

} // namespace

Coordinator::Coordinator(const CoreSettings &settings, Policies &policies)
    : m_settings(settings)
    , m_policies(policies)
{ }

SubmissionId Coordinator::idOf(Sequence sequence) const
{
    return SubmissionId{m_settings.identity.self, sequence};
}

void Coordinator::onMint(Step &step, const ProcessId &from, const msg::Mint &mint)
{
    if (m_leaving) {
        return;
    }
    const std::uint32_t n = std::min(mint.count, m_settings.limits.idPrefetchCount);
    const Sequence first = m_nextSequence;
    m_nextSequence = Sequence(first.value() + n);
    step.sendControl(from, msg::Minted{first, n});
}

void Coordinator::reply(Step &step, const ProcessId &to, const msg::JobReply &reply)
{
    msg::JobReply copy = reply;
    copy.freeSlots = m_freeSlots;
    step.send(to, std::move(copy));
}

void Coordinator::replyState(Step &step, const ProcessId &to, SubmissionId id, JobState state, std::string reason)
{
    msg::JobReply answer;
    answer.id = id;
    answer.state = state;
    answer.reason = std::move(reason);
    reply(step, to, answer);
}

bool Coordinator::replyIfExpired(Step &step, const ProcessId &from, const SubmissionId &id)
{
    if (id.sequence >= m_nextSequence) {
        replyState(step, from, id, JobState::Expired, "This id was never issued.");
        return true;
    }
    if (id.sequence < m_lowWater) {
        step.count(Counter::Expired);
        replyState(step, from, id, JobState::Expired, "This id has expired; whether its submission was run is no longer known.");
        return true;
    }
    return false;
}

msg::JobReply Coordinator::currentReply(const SubmissionId &id, const Record &record) const
{
    if (!record.job) {
        return record.finalReply;
    }
    msg::JobReply progress;
    progress.id = id;
    progress.state = JobState::Accepted;
    progress.done = record.job->done;
    progress.total = static_cast<std::uint32_t>(record.job->spec->tasks.size());
    return progress;
}

void Coordinator::onSubmit(Step &step, const ProcessId &from, const msg::Submit &submit, std::optional<Duration> age,
                           const PeerTable &peers)
{
    const auto it = m_records.find(submit.id.sequence);
    if (it != m_records.end()) {
        Record &record = it->second;
        const bool refused = !record.job && record.finalReply.state == JobState::Refused;
        if (!refused && record.digest != submit.spec->digest) {
            step.count(Counter::Conflicts);
            replyState(step, from, submit.id, JobState::Conflict, "This id was already used for a different submission.");
            return;
        }
        step.count(Counter::Resubmissions);
        if (record.job) {
            record.job->waiters.insert(from);
        }
        reply(step, from, currentReply(submit.id, record));
        return;
    }
    if (replyIfExpired(step, from, submit.id)) {
        return;
    }
    if (!submit.refuseWith.empty()) {
        recordRefusal(step, from, submit.id, submit.refuseWith, Duration::zero(), submit.spec->digest);
        return;
    }
    if (!age) {
        replyState(step, from, submit.id, JobState::NotKnown, "The age of the submission cannot be determined.");
        return;
    }
    const Duration budget = submit.budget - *age;
    if (m_closed) {
        recordRefusal(step, from, submit.id, "The coordinator is shutting down.", RefusedRetryAfter, submit.spec->digest);
        return;
    }
    if (budget <= Duration::zero()) {
        step.count(Counter::StaleDropped);
        recordRefusal(step, from, submit.id, "The deadline had passed before the submission arrived.", Duration::zero(),
                      submit.spec->digest);
        return;
    }
    const CoordinatorLoad load{static_cast<std::uint32_t>(m_active.size()), m_waitingTasks};
    const std::optional<std::string> reason = m_policies.admission->refuse(*submit.spec, load);
    if (reason) {
        recordRefusal(step, from, submit.id, *reason, RefusedRetryAfter, submit.spec->digest);
        return;
    }
    accept(step, from, submit, budget, peers);
}

void Coordinator::recordRefusal(Step &step, const ProcessId &from, const SubmissionId &id, std::string reason,
                                Duration retryAfter, Digest digest)
{
    CUMINSCALE_INVARIANT(m_records.find(id.sequence) == m_records.end(), "only an id without a record can be refused");
    Record record;
    record.digest = digest;
    record.finalReply.id = id;
    record.finalReply.state = JobState::Refused;
    record.finalReply.reason = std::move(reason);
    record.finalReply.retryAfter = retryAfter;
    record.bytes = RecordOverheadBytes;
    m_answerBytes += record.bytes;
    step.count(Counter::JobsRefused);
    reply(step, from, record.finalReply);
    m_ended.push_back(EndedRecord{step.now(), id.sequence});
    m_records.emplace(id.sequence, std::move(record));
}

void Coordinator::accept(Step &step, const ProcessId &from, const msg::Submit &submit, Duration budget, const PeerTable &peers)
{
    CUMINSCALE_INVARIANT(submit.id.sequence >= m_lowWater, "an expired id is never accepted");
    std::unique_ptr<Job> job = std::make_unique<Job>();
    job->spec = submit.spec;
    job->accepted = step.now();
    job->deadline = step.now() + budget;
    const std::size_t n = submit.spec->tasks.size();
    for (std::size_t i = 0; i < n; ++i) {
        job->waiting.push_back(TaskIndex(static_cast<std::uint32_t>(i)));
    }
    job->results.resize(n);
    job->ended.resize(n, false);
    job->waiters.insert(from);
    job->trace = submit.trace;
    job->spanId = step.randomId();
    job->lastOfferReset = step.now();
    m_waitingTasks += static_cast<std::uint32_t>(n);
    step.count(Counter::JobsAccepted);
    Record record;
    record.digest = submit.spec->digest;
    record.member = submit.spec->member;
    record.job = std::move(job);
    m_active.insert(submit.id.sequence);
    Record &kept = m_records.emplace(submit.id.sequence, std::move(record)).first->second;
    // A single request gets only its final reply; the submitter of a job with several tasks also learns that it was accepted.
    if (n > 1) {
        reply(step, from, currentReply(submit.id, kept));
    }
    offer(step, submit.id, *kept.job, peers);
}

void Coordinator::offer(Step &step, const SubmissionId &id, Job &job, const PeerTable &peers)
{
    const msg::Offer message{id, job.spec->member, job.spec->kind, static_cast<std::uint32_t>(job.waiting.size())};
    job.lastOfferAt = step.now();
    const bool offeredToSelf = job.offeredTo.insert(step.self()).second;
    if (offeredToSelf) {
        step.send(step.self(), message);
    }
    // This agent claims tasks for its own free slots in this same step, so others get an offer only if tasks remain.
    if (offeredToSelf && job.waiting.size() <= m_freeSlots) {
        return;
    }
    std::vector<AgentSummary> candidates;
    for (const AgentSummary &summary : peers.usableAgents(step.now(), peers.suspectAfter(), job.spec->service)) {
        if (summary.agent != step.self() && job.offeredTo.count(summary.agent) == 0) {
            candidates.push_back(summary);
        }
    }
    const std::uint32_t fanOut = m_settings.limits.offerFanOut;
    for (const ProcessId &target :
         m_policies.offers->choose(candidates, message.waiting, fanOut, m_settings.identity.domain, step.random())) {
        job.offeredTo.insert(target);
        step.count(Counter::OffersSent);
        step.send(target, message);
    }
}

void Coordinator::onAwait(Step &step, const ProcessId &from, const msg::Await &await)
{
    const auto it = m_records.find(await.id.sequence);
    if (it == m_records.end()) {
        if (!replyIfExpired(step, from, await.id)) {
            replyState(step, from, await.id, JobState::NotKnown, "Nothing was submitted under this id.");
        }
        return;
    }
    if (it->second.job) {
        it->second.job->waiters.insert(from);
    }
    reply(step, from, currentReply(await.id, it->second));
}

void Coordinator::onCancel(Step &step, const ProcessId &from, const msg::Cancel &cancel)
{
    const auto it = m_records.find(cancel.id.sequence);
    if (it == m_records.end()) {
        if (!replyIfExpired(step, from, cancel.id)) {
            recordRefusal(step, from, cancel.id, "Cancelled before it was submitted.", Duration::zero(), Digest());
        }
        return;
    }
    Record &record = it->second;
    if (record.job && record.member != cancel.member) {
        replyState(step, from, cancel.id, JobState::Conflict, "This job belongs to another member.");
        return;
    }
    if (record.job) {
        record.job->waiters.insert(from);
        fail(step, cancel.id.sequence, record, "The job was cancelled.");
        return;
    }
    reply(step, from, record.finalReply);
}

void Coordinator::onClaim(Step &step, const ProcessId &from, const msg::Claim &claim)
{
    msg::Grant grant;
    grant.claim = claim.claim;
    grant.job = claim.job;
    const auto it = m_records.find(claim.job.sequence);
    if (it == m_records.end() || !it->second.job) {
        step.count(Counter::EmptyGrants);
        step.send(from, std::move(grant));
        return;
    }
    Job &job = *it->second.job;
    const GrantKey key{from, claim.claim};
    const auto live = job.grants.find(key);
    std::vector<TaskIndex> granted;
    if (live != job.grants.end()) {
        granted = live->second.openTasks;
    } else if (job.lastClaimId[from] < claim.claim && step.now() < job.deadline) {
        // A claim id not above the last one seen from this agent belongs to a repeated message: its grant, if any, has ended.
        job.lastClaimId[from] = claim.claim;
        job.lastClaimAt = step.now();
        const std::size_t n = std::min<std::size_t>(claim.want, job.waiting.size());
        for (std::size_t i = 0; i < n; ++i) {
            CUMINSCALE_INVARIANT(!job.ended[job.waiting.front().value()], "a task that has ended is never granted");
            granted.push_back(job.waiting.front());
            job.waiting.pop_front();
        }
        m_waitingTasks -= static_cast<std::uint32_t>(n);
        if (n > 0) {
            job.grants.emplace(key, LiveGrant{granted, step.now(), step.now()});
        }
    }
    if (job.trace.sampled && !granted.empty()) {
        appendSpan(job.spans,
                   makeSpan(step, childContext(job.trace, job.spanId), step.randomId(), "queue", job.accepted, "granted"));
    }
    for (const TaskIndex &index : granted) {
        grant.tasks.push_back(msg::GrantedTask{index, job.spec->tasks[index.value()].payload});
    }
    grant.waiting = static_cast<std::uint32_t>(job.waiting.size());
    grant.budget = job.deadline - step.now();
    grant.trace = childContext(job.trace, job.spanId);
    if (grant.tasks.empty()) {
        // Zero waiting tasks make the agent drop the offer, also when tasks wait that may no longer be granted.
        grant.waiting = 0;
        step.count(Counter::EmptyGrants);
    }
    step.send(from, std::move(grant));
}

void Coordinator::onResults(Step &step, const ProcessId &from, const msg::Results &results)
{
    for (const msg::ResultItem &item : results.items) {
        m_acks[from].push_back(TaskRef{item.job, item.claim, item.index});
        recordResult(step, from, item);
    }
}

void Coordinator::recordResult(Step &step, const ProcessId &from, const msg::ResultItem &item)
{
    const auto it = m_records.find(item.job.sequence);
    if (it == m_records.end() || !it->second.job) {
        return;
    }
    Record &record = it->second;
    Job &job = *record.job;
    const auto live = job.grants.find(GrantKey{from, item.claim});
    if (live == job.grants.end()) {
        return;
    }
    std::vector<TaskIndex> &openTasks = live->second.openTasks;
    const auto position = std::find(openTasks.begin(), openTasks.end(), item.index);
    if (position == openTasks.end()) {
        return;
    }
    CUMINSCALE_INVARIANT(!job.ended[item.index.value()], "a task ends once");
    live->second.lastUpdate = step.now();
    openTasks.erase(position);
    if (openTasks.empty()) {
        job.grants.erase(live);
    }
    for (const Span &span : item.spans) {
        appendSpan(job.spans, span);
    }
    if (item.result.status == TaskStatus::NotStarted) {
        requeue(job, item.index);
        return;
    }
    job.anyStarted = true;
    switch (item.result.status) {
    case TaskStatus::Failed:
        fail(step, item.job.sequence, record,
             "Task " + std::to_string(item.index.value()) + " failed with status " + std::to_string(item.result.httpStatus)
                 + ".");
        return;
    case TaskStatus::Unknown:
        fail(step, item.job.sequence, record, "The outcome of task " + std::to_string(item.index.value()) + " is unknown.", true);
        return;
    case TaskStatus::Succeeded:
    case TaskStatus::NotStarted:
        break;
    }
    job.ended[item.index.value()] = true;
    job.results[item.index.value()] = item.result;
    ++job.done;
    if (job.done == job.results.size()) {
        complete(step, item.job.sequence, record);
    }
}

void Coordinator::requeue(Job &job, TaskIndex index)
{
    job.waiting.push_front(index);
    ++m_waitingTasks;
    // Agents that got an offer may have dropped it since, so every agent may be offered the job again.
    job.offeredTo.clear();
}

void Coordinator::onQueryReply(Step &step, const ProcessId &from, const msg::QueryReply &reply)
{
    const auto it = m_records.find(reply.job.sequence);
    if (it == m_records.end() || !it->second.job) {
        return;
    }
    Job &job = *it->second.job;
    const auto live = job.grants.find(GrantKey{from, reply.claim});
    if (live == job.grants.end()) {
        return;
    }
    live->second.lastUpdate = step.now();
    if (reply.forgotten) {
        job.anyStarted = true;
        fail(step, reply.job.sequence, it->second, "An agent no longer knows whether a granted task was started or how it ended.",
             true);
        return;
    }
    std::vector<TaskIndex> startedTasks;
    for (const TaskIndex &index : live->second.openTasks) {
        const bool started = std::find(reply.started.begin(), reply.started.end(), index) != reply.started.end();
        if (started) {
            job.anyStarted = true;
            startedTasks.push_back(index);
        } else {
            step.count(Counter::ClaimsBarred);
            requeue(job, index);
        }
    }
    live->second.openTasks = std::move(startedTasks);
    if (live->second.openTasks.empty()) {
        job.grants.erase(live);
    }
}

void Coordinator::onProcessEnded(Step &step, const ProcessId &ended)
{
    std::vector<Sequence> affected;
    for (const Sequence &sequence : m_active) {
        const Job &job = *m_records.at(sequence).job;
        const auto it = job.grants.lower_bound(GrantKey{ended, ClaimId()});
        if (it != job.grants.end() && it->first.first == ended) {
            affected.push_back(sequence);
        }
    }
    for (const Sequence &sequence : affected) {
        fail(step, sequence, m_records.at(sequence), "An agent with a granted task has terminated.");
    }
    m_acks.erase(ended);
}

void Coordinator::complete(Step &step, Sequence sequence, Record &record)
{
    Job &job = *record.job;
    CUMINSCALE_INVARIANT(job.grants.empty() && job.waiting.empty(), "a complete job has nothing outstanding");
    CUMINSCALE_INVARIANT(std::find(job.ended.begin(), job.ended.end(), false) == job.ended.end(),
                         "every task of a complete job has ended");
    step.count(Counter::JobsComplete);
    msg::JobReply finalReply;
    finalReply.id = idOf(sequence);
    finalReply.state = JobState::Complete;
    finalReply.total = static_cast<std::uint32_t>(job.results.size());
    finalReply.done = finalReply.total;
    finalReply.results = std::move(job.results);
    finish(step, sequence, record, std::move(finalReply));
}

void Coordinator::fail(Step &step, Sequence sequence, Record &record, std::string reason, bool outcomeUnknown)
{
    Job &job = *record.job;
    // Without a live grant and without a report of a start, no task has been started. None will be either, because the record
    // stays as a tombstone.
    const bool neverStarted = !job.anyStarted && job.grants.empty();
    step.count(neverStarted ? Counter::JobsRefused : Counter::JobsFailed);
    msg::JobReply finalReply;
    finalReply.id = idOf(sequence);
    finalReply.state = neverStarted ? JobState::Refused : JobState::Failed;
    finalReply.reason = std::move(reason);
    finalReply.outcomeUnknown = !job.grants.empty() || outcomeUnknown;
    finalReply.total = static_cast<std::uint32_t>(job.results.size());
    finalReply.done = job.done;
    for (const std::pair<const GrantKey, LiveGrant> &live : job.grants) {
        step.send(live.first.first, msg::CancelClaim{live.first.second, finalReply.id});
    }
    if (!job.waiting.empty()) {
        for (const ProcessId &agent : job.offeredTo) {
            step.send(agent, msg::Withdraw{finalReply.id});
        }
    }
    m_waitingTasks -= static_cast<std::uint32_t>(job.waiting.size());
    finish(step, sequence, record, std::move(finalReply));
}

void Coordinator::finish(Step &step, Sequence sequence, Record &record, msg::JobReply &&finalReply)
{
    Job &job = *record.job;
    record.bytes = memorySize(finalReply);
    m_answerBytes += record.bytes;
    record.finalReply = std::move(finalReply);
    msg::JobReply answer = record.finalReply;
    if (job.trace.sampled) {
        const char *outcome = answer.state == JobState::Complete ? "complete" : "failed";
        job.spans.push_back(makeSpan(step, job.trace, job.spanId, "coordinator", job.accepted, outcome));
        answer.spans = std::move(job.spans);
    }
    for (const ProcessId &waiter : job.waiters) {
        reply(step, waiter, answer);
    }
    record.job.reset();
    m_active.erase(sequence);
    m_ended.push_back(EndedRecord{step.now(), sequence});
}

void Coordinator::queryStaleGrants(Step &step, Sequence sequence, Record &record)
{
    Job &job = *record.job;
    for (std::pair<const GrantKey, LiveGrant> &live : job.grants) {
        const ProcessId &agent = live.first.first;
        LiveGrant &grant = live.second;
        if (step.now() - grant.lastUpdate > m_settings.timing.goneAfter && agent != step.self()) {
            fail(step, sequence, record, "An agent with a granted task sent no update about it within the time limit.");
            return;
        }
        const TimePoint last = std::max(grant.lastUpdate, grant.lastQuery);
        if (step.now() - last >= m_settings.timing.queryAfter) {
            if (grant.lastQuery > grant.lastUpdate) {
                step.replaceConnection(agent.endpoint);
            }
            grant.lastQuery = step.now();
            step.count(Counter::QueriesSent);
            step.send(agent, msg::Query{live.first.second, idOf(sequence)});
        }
    }
}

void Coordinator::tick(Step &step, const PeerTable &peers)
{
    const std::vector<Sequence> active(m_active.begin(), m_active.end());
    for (const Sequence &sequence : active) {
        Record &record = m_records.at(sequence);
        Job &job = *record.job;
        if (step.now() >= job.deadline) {
            fail(step, sequence, record, "The deadline passed.");
            continue;
        }
        if (!job.waiting.empty() && step.now() - job.lastOfferAt >= m_settings.timing.reofferInterval) {
            // Offers and claims can be lost: when no agent has claimed for queryAfter, all agents may be offered the job again.
            if (step.now() - std::max(job.lastClaimAt, job.lastOfferReset) >= m_settings.timing.queryAfter) {
                job.lastOfferReset = step.now();
                job.offeredTo.clear();
            }
            offer(step, idOf(sequence), job, peers);
        }
        queryStaleGrants(step, sequence, record);
    }
    evictOldRecords(step);
}

void Coordinator::flush(Step &step)
{
    for (std::pair<const ProcessId, std::vector<TaskRef>> &acks : m_acks) {
        step.send(acks.first, msg::ResultsAck{std::move(acks.second)});
    }
    m_acks.clear();
}

std::vector<msg::Handoff> Coordinator::closeAndExportRecords()
{
    CUMINSCALE_INVARIANT(m_active.empty(), "a coordinator with jobs in progress does not hand off its records");
    m_closed = true;
    std::vector<msg::Handoff> parts(1);
    std::size_t bytes = 0;
    for (std::pair<const Sequence, Record> &record : m_records) {
        bytes += record.second.bytes;
        if (bytes > HandoffPartBytes) {
            parts.emplace_back();
            bytes = record.second.bytes;
        }
        parts.back().items.push_back(msg::HandoffItem{record.second.finalReply, record.second.digest});
    }
    for (msg::Handoff &part : parts) {
        part.coordinator = m_settings.identity.self;
        part.lowWater = m_lowWater;
    }
    parts.back().last = true;
    return parts;
}

void Coordinator::evictOldRecords(Step &step)
{
    while (!m_ended.empty()) {
        const EndedRecord oldest = m_ended.front();
        const bool tooOld = step.now() - oldest.endedAt > m_settings.timing.answerRetention;
        const bool tooMany = m_records.size() > m_settings.limits.maxJobs || m_answerBytes > m_settings.limits.maxAnswerBytes;
        if (!tooOld && !tooMany) {
            return;
        }
        const auto it = m_records.find(oldest.sequence);
        m_answerBytes -= it->second.bytes;
        m_records.erase(it);
        m_lowWater = std::max(m_lowWater, Sequence(oldest.sequence.value() + 1));
        m_ended.pop_front();
    }
}

} // namespace cuminscale
