#include "core/executor.h"

#include "core/tracing.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

constexpr const char *LogComponent = "executor";
/// Limit of held offers. Offers beyond it are dropped; their coordinators offer again while tasks wait.
constexpr std::size_t MaxOffers = 8192;
/// Time after which an offer that was not renewed is dropped; its coordinator offers again while tasks wait.
constexpr Duration OfferLifetime = seconds(10);
constexpr Duration MaxRetransmissionTimeout = seconds(2);
/// Time without new tasks after a failure to connect to the backend server.
constexpr Duration ConnectBackoff = milliseconds(500);
/// An unacknowledged result is dropped after this multiple of Timing::goneAfter.
constexpr int ResultExpiryFactor = 4;

} // namespace

Executor::Executor(const CoreSettings &settings, Policies &policies)
    : m_settings(settings)
    , m_policies(policies)
{ }

bool Executor::onAnnounced(Step &step, const event::BackendAnnounced &announced)
{
    const bool wasAccepting = accepting(step.now());
    const std::uint32_t slots = std::min(announced.slots, announced.connections);
    const bool changed = slots != m_slots || announced.service != m_service;
    m_service = announced.service;
    m_backend = announced.endpoint;
    m_slots = slots;
    m_backendLeaving = announced.leaving;
    m_backendValidUntil = step.now() + announced.validFor;
    if (m_backendLeaving) {
        m_offers.clear();
    }
    const bool nowAccepting = accepting(step.now());
    if (wasAccepting != nowAccepting) {
        const std::string where = toString(m_backend);
        step.log(LogLevel::Info, LogComponent,
                 nowAccepting ? "Backend server " + where + " accepts work."
                              : "Backend server " + where + " does not accept work.");
    }
    return changed || wasAccepting != nowAccepting;
}

bool Executor::accepting(TimePoint now) const noexcept
{
    return !m_leaving && !m_backendLeaving && m_slots > 0 && now < m_backendValidUntil && now >= m_backoffUntil;
}

std::uint32_t Executor::freeSlots(TimePoint now) const noexcept
{
    const std::size_t taken = m_runs.size() + m_claimedSlots;
    return accepting(now) && taken < m_slots ? m_slots - static_cast<std::uint32_t>(taken) : 0;
}

std::uint32_t Executor::spareSlots(TimePoint now) const noexcept
{
    std::uint32_t spare = freeSlots(now);
    for (const std::pair<const SubmissionId, HeldOffer> &offer : m_offers) {
        const std::uint32_t unclaimed = offer.second.view.waiting - std::min(offer.second.view.waiting, offer.second.claimed);
        if (unclaimed >= spare) {
            return 0;
        }
        spare -= unclaimed;
    }
    return spare;
}

void Executor::onOffer(Step &step, const ProcessId &from, const msg::Offer &offer)
{
    const auto it = m_offers.find(offer.job);
    if (it != m_offers.end()) {
        it->second.view.waiting = offer.waiting;
        it->second.view.received = step.now();
        return;
    }
    if (!accepting(step.now()) || m_offers.size() >= MaxOffers) {
        return;
    }
    HeldOffer held;
    held.coordinator = from;
    held.view = OfferInfo{offer.job, offer.member, offer.kind, offer.waiting, step.now()};
    m_offers.emplace(offer.job, std::move(held));
}

void Executor::onWithdraw(const ProcessId &from, const msg::Withdraw &withdraw)
{
    const auto it = m_offers.find(withdraw.job);
    if (it != m_offers.end() && it->second.coordinator == from) {
        m_offers.erase(it);
    }
}

std::map<SubmissionId, Executor::HeldOffer>::iterator Executor::bestOffer()
{
    auto best = m_offers.end();
    for (auto it = m_offers.begin(); it != m_offers.end(); ++it) {
        if (it->second.view.waiting <= it->second.claimed) {
            continue;
        }
        if (best == m_offers.end() || m_policies.order->before(it->second.view, best->second.view)) {
            best = it;
        }
    }
    return best;
}

void Executor::claimForFreeSlots(Step &step)
{
    std::uint32_t free = freeSlots(step.now());
    while (free > 0) {
        const auto best = bestOffer();
        if (best == m_offers.end()) {
            return;
        }
        HeldOffer &offer = best->second;
        const std::uint32_t want = std::min(free, offer.view.waiting - offer.claimed);
        const ClaimId claim = m_nextClaim;
        m_nextClaim = ClaimId(claim.value() + 1);
        offer.claimed += want;
        m_claimedSlots += want;
        m_claims.emplace(claim, OpenClaim{best->first, offer.coordinator, want, step.now(), step.now()});
        step.count(Counter::ClaimsSent);
        step.send(offer.coordinator, msg::Claim{claim, best->first, want});
        free -= want;
    }
}

void Executor::closeClaim(std::map<ClaimId, OpenClaim>::iterator it)
{
    m_claimedSlots -= it->second.want;
    const auto offer = m_offers.find(it->second.job);
    if (offer != m_offers.end()) {
        offer->second.claimed -= std::min(offer->second.claimed, it->second.want);
    }
    m_claims.erase(it);
}

void Executor::onGrant(Step &step, const ProcessId &from, const msg::Grant &grant)
{
    const auto it = m_claims.find(grant.claim);
    if (it == m_claims.end() || it->second.coordinator != from || it->second.job != grant.job) {
        step.count(Counter::LateGrantsDropped);
        return;
    }
    const OpenClaim claim = it->second;
    closeClaim(it);
    const auto offer = m_offers.find(grant.job);
    if (offer != m_offers.end()) {
        offer->second.view.waiting = grant.waiting;
        offer->second.view.received = step.now();
        if (grant.waiting == 0) {
            m_offers.erase(offer);
        }
    }
    // The age is measured from the creation of the claim on this process's own clock, so a grant that was delayed by a pause
    // of either process is recognized as late.
    if (step.now() - claim.createdAt > m_settings.timing.claimLifetime) {
        step.count(Counter::LateGrantsDropped);
        return;
    }
    if (grant.tasks.size() > claim.want) {
        step.count(Counter::LateGrantsDropped);
        step.log(LogLevel::Error, LogComponent, "Dropped a grant with more tasks than its claim requested.");
        return;
    }
    for (const msg::GrantedTask &task : grant.tasks) {
        start(step, TaskRef{grant.job, grant.claim, task.index}, claim, grant, task);
    }
}

void Executor::start(Step &step, const TaskRef &ref, const OpenClaim &claim, const msg::Grant &grant,
                     const msg::GrantedTask &task)
{
    TaskRecord record;
    record.coordinator = claim.coordinator;
    record.grantedAt = step.now();
    record.retransmissionTimeout = m_settings.timing.resendAfter;
    record.trace = grant.trace;
    const TimePoint deadline = claim.createdAt + grant.budget;
    if (!accepting(step.now()) || step.now() >= deadline) {
        record.ended = true;
        record.endedAt = step.now();
        record.result.status = TaskStatus::NotStarted;
        TaskRecord &kept = m_tasks.emplace(ref, std::move(record)).first->second;
        queueResult(step, ref, kept);
        return;
    }
    const bool firstStart = m_startedTasks.insert({ref.job, ref.index}).second;
    CUMINSCALE_INVARIANT(firstStart, "an agent starts a task once");
    record.run = m_nextRun;
    m_nextRun = RunId(record.run.value() + 1);
    record.spanId = step.randomId();
    m_runs.emplace(record.run, ref);
    CUMINSCALE_INVARIANT(m_runs.size() + m_claimedSlots <= m_slots, "running and claimed tasks fit the slots");
    step.count(Counter::TasksStarted);
    effect::StartTask effect;
    effect.run = record.run;
    effect.backend = m_backend;
    effect.payload = task.payload;
    effect.job = ref.job;
    effect.index = ref.index;
    effect.trace = childContext(grant.trace, record.spanId);
    effect.timeout = deadline - step.now();
    step.add(std::move(effect));
    m_tasks.emplace(ref, std::move(record));
}

void Executor::onBackendFinished(Step &step, event::BackendFinished &&finished)
{
    const auto run = m_runs.find(finished.run);
    if (run == m_runs.end()) {
        return;
    }
    const TaskRef ref = run->second;
    m_runs.erase(run);
    const auto it = m_tasks.find(ref);
    CUMINSCALE_INVARIANT(it != m_tasks.end(), "a running task has a record");
    TaskRecord &record = it->second;
    constexpr Counter ByStatus[] = {Counter::TasksSucceeded, Counter::TasksFailed, Counter::TasksUnknown, Counter::TasksAborted};
    step.count(record.cancelled ? Counter::TasksAborted : ByStatus[static_cast<std::size_t>(finished.result.status)]);
    if (record.cancelled) {
        eraseTask(it);
        return;
    }
    if (finished.result.status == TaskStatus::NotStarted) {
        // The backend server did not receive the task, so it may be granted again, to this agent as well.
        m_startedTasks.erase({ref.job, ref.index});
        m_backoffUntil = step.now() + ConnectBackoff;
    }
    record.ended = true;
    record.endedAt = step.now();
    record.result = std::move(finished.result);
    queueResult(step, ref, record);
}

void Executor::queueResult(Step &step, const TaskRef &ref, TaskRecord &record)
{
    msg::ResultItem item;
    item.job = ref.job;
    item.claim = ref.claim;
    item.index = ref.index;
    item.result = record.result;
    if (record.trace.sampled && record.run != RunId()) {
        item.spans.push_back(makeSpan(step, record.trace, record.spanId, "agent", record.grantedAt, "ended"));
        Span backend =
            makeSpan(step, childContext(record.trace, record.spanId), step.randomId(), "backend",
                     record.endedAt - record.result.ran, record.result.status == TaskStatus::Succeeded ? "succeeded" : "failed");
        backend.end = record.endedAt;
        item.spans.push_back(std::move(backend));
    }
    record.lastSentAt = step.now();
    m_outgoing[record.coordinator].items.push_back(std::move(item));
}

void Executor::flush(Step &step)
{
    claimForFreeSlots(step);
    for (std::pair<const ProcessId, msg::Results> &outgoing : m_outgoing) {
        outgoing.second.freeSlots = freeSlots(step.now());
        step.send(outgoing.first, std::move(outgoing.second));
    }
    m_outgoing.clear();
}

void Executor::onQuery(Step &step, const ProcessId &from, const msg::Query &query)
{
    msg::QueryReply reply;
    reply.claim = query.claim;
    reply.job = query.job;
    const auto claim = m_claims.find(query.claim);
    if (claim != m_claims.end()) {
        closeClaim(claim);
    }
    for (auto it = m_tasks.lower_bound(TaskRef{query.job, query.claim, TaskIndex(0)}); it != m_tasks.end(); ++it) {
        if (it->first.job != query.job || it->first.claim != query.claim) {
            break;
        }
        if (it->second.result.status != TaskStatus::NotStarted || !it->second.ended) {
            reply.started.push_back(it->first.index);
        }
        if (it->second.ended) {
            queueResult(step, it->first, it->second);
        }
    }
    reply.forgotten = query.claim <= m_resultsLostUpTo;
    step.send(from, std::move(reply));
}

void Executor::cancelTask(Step &step, TaskRecords::iterator it)
{
    if (it->second.ended) {
        eraseTask(it);
        return;
    }
    it->second.cancelled = true;
    step.add(effect::AbortTask{it->second.run});
}

Executor::TaskRecords::iterator Executor::eraseTask(TaskRecords::iterator it)
{
    const bool started = it->second.run != RunId() && !(it->second.ended && it->second.result.status == TaskStatus::NotStarted);
    if (started) {
        m_startedTasks.erase({it->first.job, it->first.index});
    }
    return m_tasks.erase(it);
}

void Executor::onCancelClaim(Step &step, const ProcessId & /*from*/, const msg::CancelClaim &cancel)
{
    const auto claim = m_claims.find(cancel.claim);
    if (claim != m_claims.end() && claim->second.job == cancel.job) {
        closeClaim(claim);
    }
    m_offers.erase(cancel.job);
    auto it = m_tasks.lower_bound(TaskRef{cancel.job, cancel.claim, TaskIndex(0)});
    while (it != m_tasks.end() && it->first.job == cancel.job && it->first.claim == cancel.claim) {
        const auto current = it++;
        cancelTask(step, current);
    }
}

void Executor::onResultsAck(const ProcessId &from, const msg::ResultsAck &ack)
{
    for (const TaskRef &ref : ack.items) {
        const auto it = m_tasks.find(ref);
        if (it != m_tasks.end() && it->second.coordinator == from && it->second.ended) {
            eraseTask(it);
        }
    }
}

void Executor::onProcessEnded(Step &step, const ProcessId &ended)
{
    for (auto it = m_offers.begin(); it != m_offers.end();) {
        it = it->second.coordinator == ended ? m_offers.erase(it) : std::next(it);
    }
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        const auto current = it++;
        if (current->second.coordinator == ended) {
            closeClaim(current);
        }
    }
    for (auto it = m_tasks.begin(); it != m_tasks.end();) {
        const auto current = it++;
        if (current->second.coordinator == ended) {
            cancelTask(step, current);
        }
    }
}

void Executor::tick(Step &step)
{
    const Timing &timing = m_settings.timing;
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        const auto current = it++;
        OpenClaim &claim = current->second;
        if (step.now() - claim.createdAt > timing.claimLifetime) {
            step.replaceConnection(claim.coordinator.endpoint);
            m_offers.erase(claim.job);
            closeClaim(current);
        } else if (step.now() - claim.lastSentAt >= timing.resendAfter) {
            claim.lastSentAt = step.now();
            step.count(Counter::Resends);
            step.send(claim.coordinator, msg::Claim{current->first, claim.job, claim.want});
        }
    }
    for (auto it = m_tasks.begin(); it != m_tasks.end();) {
        const auto current = it++;
        TaskRecord &record = current->second;
        if (!record.ended) {
            continue;
        }
        if (step.now() - record.endedAt > timing.goneAfter * ResultExpiryFactor) {
            m_resultsLostUpTo = std::max(m_resultsLostUpTo, current->first.claim);
            step.log(LogLevel::Warning, LogComponent,
                     "Coordinator " + toString(record.coordinator)
                         + " did not acknowledge a task result in time; the result is dropped.");
            eraseTask(current);
        } else if (step.now() - record.lastSentAt >= record.retransmissionTimeout) {
            if (record.retransmissionTimeout > timing.resendAfter) {
                step.replaceConnection(record.coordinator.endpoint);
            }
            record.retransmissionTimeout = std::min(record.retransmissionTimeout * 2, MaxRetransmissionTimeout);
            step.count(Counter::Resends);
            queueResult(step, current->first, record);
        }
    }
    for (auto it = m_offers.begin(); it != m_offers.end();) {
        const bool stale = step.now() - it->second.view.received > OfferLifetime || !accepting(step.now());
        it = stale ? m_offers.erase(it) : std::next(it);
    }
}

} // namespace cuminscale
