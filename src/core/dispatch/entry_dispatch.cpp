#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"
#include "core/dispatch/usual_share_admission.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

constexpr std::size_t MaxEntries = 1024;

const char *toString(JobOutcome answer) noexcept
{
    constexpr const char *Names[] = {"succeeded", "failed", "cancelled", "not-run", "no-queue", "given-up"};
    return Names[static_cast<std::size_t>(answer)];
}

bool anyOutstanding(const Job &job)
{
    for (const StepState &step : job.steps) {
        if (std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskState &task) { return task.isOutstanding(); })) {
            return true;
        }
    }
    return false;
}

void eraseClient(std::vector<WaitingClient> &clients, ClientTag tag)
{
    clients.erase(
        std::remove_if(clients.begin(), clients.end(), [tag](const WaitingClient &client) { return client.tag == tag; }),
        clients.end());
}

std::unique_ptr<AdmissionControl> makeAdmissionControl(const EntrySettings &settings)
{
    if (settings.admission == AdmissionPolicy::UsualShare) {
        return std::make_unique<UsualShareAdmission>(settings.queueWeights);
    }
    return std::make_unique<LargestFirstAdmission>();
}

/// Expected CPU time of a job.
double coreSeconds(const Job &job)
{
    constexpr double MilliCoreUsPerCoreSecond = 1e9;
    double work = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const StepSpec &step = job.spec->steps[i];
        work += static_cast<double>(step.count) * static_cast<double>(step.need.cpuMilli)
            * static_cast<double>(job.steps[i].expectedRun.count()) / MilliCoreUsPerCoreSecond;
    }
    return work;
}

/// Length of the longest path through the dependencies of the steps, in expected run time.
Duration criticalPath(const JobSpec &spec, const std::vector<StepState> &steps)
{
    std::vector<Duration> ends(steps.size(), Duration(0));
    Duration longest{0};
    for (std::size_t i = 0; i < steps.size(); ++i) {
        Duration begin{0};
        for (const std::uint32_t earlier : spec.steps[i].after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends[i] = begin + steps[i].expectedRun;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

} // namespace

EntryDispatch::EntryDispatch(EntrySettings settings, LinkPort &links, ClientPort &clients, DecisionLog &log, TimePoint now)
    : m_settings(std::move(settings))
    , m_links(links)
    , m_clients(clients)
    , m_log(log)
    , m_admission(makeAdmissionControl(m_settings))
    , m_held(m_settings.maxHeldJobs)
    , m_coordination(m_settings.timing.coordination, now)
    , m_agentList(now)
    , m_startedAt(now)
    , m_lastTickAt(now)
{
    for (const Endpoint &entry : m_settings.entries) {
        if (entry != m_settings.self.endpoint) {
            m_entries.try_emplace(entry, now).first->second.fromSettings = true;
        }
    }
}

void EntryDispatch::addEntries(TimePoint now, const std::vector<Endpoint> &entries)
{
    for (const Endpoint &entry : entries) {
        if (entry != m_settings.self.endpoint && m_entries.size() < MaxEntries) {
            m_entries.try_emplace(entry, now);
        }
    }
}

void EntryDispatch::setConfig(const ConfigBlob &config)
{
    if (config.version > m_config.version) {
        m_config = config;
    }
}

void EntryDispatch::setQueues(std::shared_ptr<const QueueConfig> queues)
{
    if (queues) {
        m_admission->setQueues(*queues);
    }
    m_queues = std::move(queues);
}

void EntryDispatch::handleConfig(const ConfigBlob &config)
{
    if (config.version > m_config.version && onNewerConfig) {
        ++m_counters.configsFromPeers;
        onNewerConfig(config);
    }
}

bool EntryDispatch::shouldRefuseUnread(TimePoint now, const JobId &id)
{
    const bool known = m_jobs.count(id) > 0 || m_joinedJobs.count(id) > 0 || m_endedJobs.count(id) > 0 || m_held.contains(id);
    if (known || !m_cpuOverload.shouldRefuseNext() || remoteCoordinator(now, id) != nullptr) {
        return false;
    }
    ++m_counters.refusedUnread;
    m_log.write(LogLevel::Info, "job-refused",
                "job=" + idText(id) + " reason=busy refused_share=" + std::to_string(m_cpuOverload.refusalFraction()));
    return true;
}

std::size_t EntryDispatch::unanswered() const noexcept
{
    std::size_t cancellations = 0;
    for (const std::pair<const JobId, Cancellation> &cancellation : m_cancellations) {
        cancellations += cancellation.second.waiting.size();
    }
    return m_clientJobs.size() + cancellations;
}

std::size_t EntryDispatch::pending(const std::string &queue) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&queue](const Jobs::value_type &item) {
        return item.second.queue->name == queue && !item.second.started && !item.second.answer;
    }));
}

JobStatus::State EntryDispatch::jobState(const JobId &id) const
{
    const Jobs::const_iterator job = m_jobs.find(id);
    if (job != m_jobs.end() && !job->second.answered) {
        return JobStatus::State::Active;
    }
    const std::unordered_map<JobId, EndedJob, JobIdHash>::const_iterator it = m_endedJobs.find(id);
    const bool known = it != m_endedJobs.end() && it->second.state != JobStatus::State::Refused;
    return known ? it->second.state : JobStatus::State::Unknown;
}

const Endpoint *EntryDispatch::unconfirmedBy(TimePoint now, TimePoint requestedAt, TimePoint listedSince) const
{
    const std::map<Endpoint, EntryPeer>::const_iterator it =
        std::find_if(m_entries.begin(), m_entries.end(), [&](const std::pair<const Endpoint, EntryPeer> &entry) {
            return !m_coordination.mayContinue(now, requestedAt, listedSince, entry.second.lists);
        });
    return it == m_entries.end() ? nullptr : &it->first;
}

bool EntryDispatch::giveUpIfUnconfirmed(TimePoint now, Job &job)
{
    const Endpoint *const other = unconfirmedBy(now, job.requestedAt, job.receivedAt);
    if (other == nullptr) {
        return false;
    }
    ++m_counters.unconfirmed;
    m_log.write(LogLevel::Warning, "job-unconfirmed",
                "job=" + idText(job.id) + " entry=" + toString(*other) + " age_ms=" + ms(now - job.receivedAt) + " "
                    + describePeers(now));
    finish(now, job, JobOutcome::GivenUp, "unconfirmed");
    return true;
}

void EntryDispatch::submit(TimePoint now, ClientTag client, const std::shared_ptr<const QueueRule> &queue, const JobId &id,
                           const std::shared_ptr<const JobSpec> &spec, Duration clientTimeout, TimePoint requestedAt)
{
    detectPause(now);
    ++m_counters.submitted;
    if (clientTimeout <= Duration(0)) {
        clientTimeout = m_settings.defaultDeadline;
    }
    const TimePoint deadline = std::min(requestedAt + clientTimeout - m_settings.timing.answerMargin, m_shutdownDeadline);
    submitUntil(now, WaitingClient{client, deadline, requestedAt, queue, spec}, id);
}

void EntryDispatch::submitUntil(TimePoint now, const WaitingClient &waiting, const JobId &id, const HeldJob *held)
{
    const ClientTag client = waiting.tag;
    const std::shared_ptr<const QueueRule> &queue = waiting.queue;
    const std::shared_ptr<const JobSpec> &spec = waiting.spec;
    const Jobs::iterator existing = m_jobs.find(id);
    if (existing != m_jobs.end()) {
        Job &job = existing->second;
        ++m_counters.joined;
        if (job.answered && stateAfter(*job.answer) != JobStatus::State::Refused) {
            m_clients.answer(client, *job.answer, "ended before", Duration(0));
            return;
        }
        if (job.answered) {
            job.resubmittedClients.push_back(waiting);
        } else {
            job.clients.push_back(client);
            job.clientDeadline = std::max(job.clientDeadline, waiting.deadline);
        }
        m_clientJobs[client] = id;
        return;
    }
    if (HeldJob *const waitingHere = m_held.find(id)) {
        joinHeldJob(*waitingHere, waiting);
        return;
    }
    switch (jobState(id)) {
    case JobStatus::State::Succeeded:
        m_clients.answer(client, JobOutcome::Succeeded, "ended before", Duration(0));
        return;
    case JobStatus::State::Failed:
        m_clients.answer(client, JobOutcome::Failed, "ended before", Duration(0));
        return;
    case JobStatus::State::Cancelled:
        m_clients.answer(client, JobOutcome::Cancelled, "ended before", Duration(0));
        return;
    default:
        break;
    }
    if (m_cancelledJobs.count(id) > 0) {
        m_clients.answer(client, JobOutcome::Cancelled, "cancelled", Duration(0));
        return;
    }
    if (refuseCrashingJob(now, client, id, *queue)) {
        return;
    }
    if (mayHaveOwnFormerRuns(now, id)) {
        m_clients.answer(client, JobOutcome::GivenUp, "former-runs", Duration(0));
        return;
    }
    if (const Endpoint *remote = remoteCoordinator(now, id)) {
        joinRemoteJob(now, *remote, waiting, id);
        return;
    }
    const std::unordered_map<JobId, Transfer, JobIdHash>::const_iterator transferred = m_transfers.find(id);
    if (transferred != m_transfers.end() && m_entries.count(transferred->second.successor) > 0) {
        joinRemoteJob(now, transferred->second.successor, waiting, id);
        return;
    }
    if (now - m_resumedAt < m_settings.timing.pauseRecoveryWindow) {
        refuse(now, client, id, *queue, "stood-still");
        return;
    }
    if (queue->needsAdvice) {
        refuse(now, client, id, *queue, "advice-not-supported");
        return;
    }
    if (m_jobs.size() >= m_settings.timing.maxJobs) {
        refuse(now, client, id, *queue, "too-many-jobs");
        return;
    }
    Job job;
    job.id = id;
    job.queue = queue;
    job.spec = spec;
    job.payload = std::shared_ptr<const std::string>(spec, &spec->payload);
    job.clients.push_back(client);
    job.receivedAt = held == nullptr ? now : held->heldSince;
    job.lateAllowed = held != nullptr && held->latestStart < now;
    job.requestedAt = waiting.requestedAt;
    job.clientDeadline = waiting.deadline;
    const std::unordered_map<JobId, EndedJob, JobIdHash>::const_iterator ended = m_endedJobs.find(id);
    for (const StepSpec &step : spec->steps) {
        StepState state;
        state.expectedRun = m_estimates[queue->name].expected(step.estimate);
        TaskState task;
        task.run = ended == m_endedJobs.end() ? RunNumber() : ended->second.highestRun;
        state.tasks.resize(step.count, task);
        job.steps.push_back(std::move(state));
    }
    const Duration path = criticalPath(*spec, job.steps);
    job.objectiveDeadline = job.receivedAt + scaled(path, queue->workFactor) + queue->latencyObjective;
    if (held == nullptr && hold(now, waiting, job, path)) {
        return;
    }
    // A refusal says that the job has not run, which is not known while an agent lists a run of it, or before an entry that has
    // just started has heard the others.
    if (mayHaveFormerRunsAtAgents(now, id)) {
        holdBack(now, client, id, "former-runs");
        return;
    }
    if (starting(now) && !mayAdmit(now)) {
        holdBack(now, client, id, "entries-not-heard");
        return;
    }
    // The servers for later steps may be busy or draining now, but a step that no server can hold would waste the earlier ones.
    const bool servable = std::all_of(spec->steps.begin(), spec->steps.end(), [&](const StepSpec &step) {
        return m_fleet.hasServerFor(queue->service, step.need, step.requiredLabel);
    });
    if (!servable) {
        refuse(now, client, id, *queue, "no-server-fits");
        return;
    }
    m_isolation.recordDemand(now, queue->service, queue->name, coreSeconds(job));
    const AdmissionDecision decision = m_admission->decide(now, *queue, coreSeconds(job), m_fleet.backlog(queue->service, now));
    if (decision != AdmissionDecision::Admit) {
        refuse(now, client, id, *queue, decision == AdmissionDecision::RefuseSurge ? "surge" : "shed", decision);
        return;
    }
    admit(now, std::move(job));
}

void EntryDispatch::refuse(TimePoint now, ClientTag client, const JobId &id, const QueueRule &queue, const char *reason,
                           AdmissionDecision decision)
{
    ++m_counters.refusedAtOnce;
    m_counters.refusedSurge += decision == AdmissionDecision::RefuseSurge ? 1 : 0;
    m_log.write(LogLevel::Info, "job-refused",
                "job=" + idText(id) + " queue=" + queue.name + " reason=" + reason + " " + m_fleet.summary(now));
    m_clients.answer(client, JobOutcome::NotRun, reason, retryAfter(now, id, queue, decision));
}

Duration EntryDispatch::retryAfter(TimePoint now, const JobId &id, const QueueRule &queue, AdmissionDecision decision) const
{
    return m_admission->retryAfter(id, queue, decision, m_fleet.backlog(queue.service, now),
                                   m_fleet.usableCores(queue.service, now), m_settings.timing.retryAfter);
}

void EntryDispatch::admit(TimePoint now, Job &&job)
{
    const JobId id = job.id;
    const ClientTag client = job.clients.front();
    Job &stored = m_jobs.insert_or_assign(id, std::move(job)).first->second;
    m_clientJobs[client] = id;
    unblockSteps(stored);
    for (std::uint32_t i = 0; i < stored.steps.size(); ++i) {
        if (stored.spec->steps[i].after.empty() && !placeStep(now, stored, i)) {
            const char *reason = stored.reason;
            if (anyOutstanding(stored)) {
                finish(now, stored, JobOutcome::NotRun, reason);
                return;
            }
            const std::shared_ptr<const QueueRule> queue = stored.queue;
            const bool heldBack = stored.heldBack;
            m_clientJobs.erase(client);
            m_jobs.erase(id);
            if (heldBack) {
                holdBack(now, client, id, reason);
            } else {
                refuse(now, client, id, *queue, reason);
            }
            return;
        }
    }
    m_log.write(LogLevel::Info, "job-admitted",
                "job=" + idText(id) + " patience_ms=" + ms(stored.clientDeadline - now) + " " + describePeers(now));
}

void EntryDispatch::holdBack(TimePoint now, ClientTag client, const JobId &id, const char *reason)
{
    ++m_counters.notAdmitted;
    m_log.write(LogLevel::Info, "job-not-admitted", "job=" + idText(id) + " reason=" + reason + " " + describePeers(now));
    m_clients.answer(client, JobOutcome::GivenUp, reason, Duration(0));
}

void EntryDispatch::finish(TimePoint now, Job &job, JobOutcome answer, const char *reason)
{
    if (job.answer) {
        return;
    }
    job.answer = answer;
    job.reason = reason;
    job.answerDecidedAt = now;
    std::map<Endpoint, StopOrder> stops;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        for (std::uint32_t k = 0; k < job.steps[i].tasks.size(); ++k) {
            TaskState &task = job.steps[i].tasks[k];
            if (task.isOutstanding() && task.phase != TaskState::Phase::Orphaned) {
                task.stopSent = true;
                task.lastRequestAt = now;
                stops[task.agent].runs.push_back(RunRef{TaskRef{job.id, 0, i, k}, task.run});
            }
        }
    }
    for (std::pair<const Endpoint, StopOrder> &stop : stops) {
        if (AgentView *agent = m_fleet.find(stop.first)) {
            sendToAgent(now, *agent, std::move(stop.second));
        }
    }
    if (answer != JobOutcome::NotRun || job.started || !anyOutstanding(job)) {
        answerClients(now, job);
    }
    closeIfNoRunsLeft(now, job.id);
}

void EntryDispatch::answerClients(TimePoint now, Job &job)
{
    if (job.answered) {
        return;
    }
    JobOutcome answer = *job.answer;
    if (answer == JobOutcome::NotRun && (job.started || anyOutstanding(job))) {
        // It is not confirmed that no run has started, so a part of the job may have run.
        answer = JobOutcome::GivenUp;
    }
    job.answer = answer;
    job.answered = true;
    const bool late = now > job.objectiveDeadline;
    switch (answer) {
    case JobOutcome::Succeeded:
        ++(late ? m_counters.succeededLate : m_counters.succeeded);
        m_jobTimes.record(job.queue->name, now - job.receivedAt);
        break;
    case JobOutcome::NotRun:
        ++m_counters.refusedLater;
        break;
    default:
        ++m_counters.failed;
    }
    std::uint32_t placements = 0;
    for (const StepState &step : job.steps) {
        for (const TaskState &task : step.tasks) {
            placements += task.placements;
        }
    }
    m_log.write(answer == JobOutcome::Succeeded ? LogLevel::Info : LogLevel::Warning, "job-ended",
                "job=" + idText(job.id) + " queue=" + job.queue->name + " answer=" + toString(answer) + " reason=" + job.reason
                    + " took_ms=" + ms(now - job.receivedAt) + " objective_ms=" + ms(job.objectiveDeadline - job.receivedAt)
                    + " patience_ms=" + ms(job.clientDeadline - job.receivedAt) + " late=" + (late ? "1" : "0")
                    + " runs=" + std::to_string(placements) + " config=" + std::to_string(m_config.version));
    for (const ClientTag client : job.clients) {
        m_clientJobs.erase(client);
        const Duration wait = answer == JobOutcome::NotRun ? retryAfter(now, job.id, *job.queue) : Duration(0);
        m_clients.answer(client, answer, job.reason, wait);
    }
    job.clients.clear();
    const JobStatus::State state = stateAfter(answer);
    EndedJob &ended = recordEndedJob(now, job.id, state);
    for (const StepState &step : job.steps) {
        for (const TaskState &task : step.tasks) {
            ended.highestRun = std::max(ended.highestRun, task.run);
        }
    }
    // Entries that are told of a refusal submit the job anew, so they must not learn of it before its runs have stopped.
    if (state != JobStatus::State::Refused || !anyOutstanding(job)) {
        notifyJoinedEntries(now, job);
    }
}

EntryDispatch::EndedJob &EntryDispatch::recordEndedJob(TimePoint now, const JobId &id, JobStatus::State state)
{
    while (m_endedOrder.size() >= m_settings.timing.maxEndedJobs) {
        evictOldestEndedJob();
    }
    m_endedOrder.emplace_back(now, id);
    EndedJob &ended = m_endedJobs[id];
    ended.state = state;
    ended.endedAt = now;
    return ended;
}

void EntryDispatch::evictOldestEndedJob()
{
    const std::unordered_map<JobId, EndedJob, JobIdHash>::const_iterator it = m_endedJobs.find(m_endedOrder.front().second);
    if (it != m_endedJobs.end() && it->second.endedAt == m_endedOrder.front().first) {
        m_endedJobs.erase(it);
    }
    m_endedOrder.pop_front();
}

void EntryDispatch::closeIfNoRunsLeft(TimePoint now, JobId id)
{
    const Jobs::iterator it = m_jobs.find(id);
    if (it == m_jobs.end() || !it->second.answer || anyOutstanding(it->second)) {
        return;
    }
    answerClients(now, it->second);
    Job closed = std::move(it->second);
    m_jobs.erase(it);
    for (const WaitingClient &client : closed.resubmittedClients) {
        if (closed.runsElsewhere) {
            m_clientJobs.erase(client.tag);
            m_clients.answer(client.tag, JobOutcome::GivenUp, closed.reason, Duration(0));
        } else {
            resubmit(now, client, id);
        }
    }
    const Jobs::iterator resubmitted = m_jobs.find(id);
    if (resubmitted == m_jobs.end()) {
        notifyJoinedEntries(now, closed);
    } else {
        resubmitted->second.joinedEntries = std::move(closed.joinedEntries);
    }
}

void EntryDispatch::onClientDisconnected(TimePoint now, ClientTag client)
{
    const std::unordered_map<ClientTag, JobId, IdHash>::iterator it = m_clientJobs.find(client);
    if (it == m_clientJobs.end()) {
        return;
    }
    const JobId id = it->second;
    m_clientJobs.erase(it);
    const std::unordered_map<JobId, JoinedJob, JobIdHash>::iterator joined = m_joinedJobs.find(id);
    if (joined != m_joinedJobs.end()) {
        std::vector<WaitingClient> &clients = joined->second.clients;
        eraseClient(clients, client);
        if (clients.empty()) {
            m_joinedJobs.erase(joined);
        }
        return;
    }
    if (removeHeldClient(id, client)) {
        return;
    }
    const Jobs::iterator job = m_jobs.find(id);
    if (job == m_jobs.end()) {
        return;
    }
    eraseClient(job->second.resubmittedClients, client);
    std::vector<ClientTag> &clients = job->second.clients;
    clients.erase(std::remove(clients.begin(), clients.end(), client), clients.end());
    if (clients.empty() && job->second.joinedEntries.empty()) {
        ++m_counters.clientsGone;
        finish(now, job->second, JobOutcome::GivenUp, "client-gone");
    }
}

void EntryDispatch::recordAbandoned(const JobId &id)
{
    ++m_counters.abandoned;
    m_log.write(LogLevel::Info, "job-abandoned", "job=" + idText(id) + " reason=connection-ended-before-reading");
}

void EntryDispatch::setShutdownDeadline(TimePoint deadline)
{
    m_shutdownDeadline = deadline;
    m_held.limitDeadlines(deadline);
    for (Jobs::value_type &item : m_jobs) {
        item.second.clientDeadline = std::min(item.second.clientDeadline, deadline);
        for (WaitingClient &client : item.second.resubmittedClients) {
            client.deadline = std::min(client.deadline, deadline);
        }
    }
    for (std::pair<const JobId, JoinedJob> &item : m_joinedJobs) {
        for (WaitingClient &client : item.second.clients) {
            client.deadline = std::min(client.deadline, deadline);
        }
    }
}

void EntryDispatch::giveUpUnanswered(TimePoint now)
{
    answerUnconfirmedCancellations();
    for (const HeldJob &held : m_held.takeAll()) {
        answerHeldJob(now, held, JobOutcome::GivenUp, "shutdown");
    }
    std::vector<JobId> ids;
    std::vector<ClientTag> others;
    for (Jobs::value_type &item : m_jobs) {
        ids.push_back(item.first);
        for (const WaitingClient &client : item.second.resubmittedClients) {
            others.push_back(client.tag);
        }
        item.second.resubmittedClients.clear();
    }
    for (const std::pair<const JobId, JoinedJob> &item : m_joinedJobs) {
        for (const WaitingClient &client : item.second.clients) {
            others.push_back(client.tag);
        }
    }
    m_joinedJobs.clear();
    for (const ClientTag client : others) {
        m_clientJobs.erase(client);
        m_clients.answer(client, JobOutcome::GivenUp, "shutdown", Duration(0));
    }
    for (const JobId &id : ids) {
        const Jobs::iterator it = m_jobs.find(id);
        if (it == m_jobs.end()) {
            continue;
        }
        if (it->second.answer) {
            answerClients(now, it->second);
        } else {
            finish(now, it->second, JobOutcome::GivenUp, "shutdown");
        }
    }
}

void EntryDispatch::detectPause(TimePoint now)
{
    if (now - m_lastTickAt > m_settings.timing.pauseThreshold) {
        m_log.write(LogLevel::Warning, "stood-still", "for_ms=" + ms(now - m_lastTickAt));
        m_resumedAt = now;
        m_lastTickAt = now;
        m_coordination.recordPause(now);
    }
    m_coordination.checkOwnName(now);
}

void EntryDispatch::onTick(TimePoint now)
{
    detectPause(now);
    m_lastTickAt = now;
    updateOverdueRuns(now);
    std::vector<JobId> ids;
    ids.reserve(m_jobs.size());
    for (const Jobs::value_type &item : m_jobs) {
        ids.push_back(item.first);
    }
    for (const JobId &id : ids) {
        Jobs::iterator it = m_jobs.find(id);
        if (it == m_jobs.end()) {
            continue;
        }
        if (!it->second.answer && now >= it->second.clientDeadline) {
            recordUnfinishedSteps(now, it->second);
            finish(now, it->second, JobOutcome::NotRun, "deadline");
        } else if (!it->second.answer) {
            giveUpIfUnconfirmed(now, it->second);
        }
        it = m_jobs.find(id);
        if (it == m_jobs.end()) {
            continue;
        }
        if (it->second.answer && !it->second.answered
            && now - it->second.answerDecidedAt > m_settings.timing.notRunConfirmationTimeout) {
            answerClients(now, it->second);
        }
        answerExpiredClients(now, it->second);
        checkRuns(now, it->second);
        closeIfNoRunsLeft(now, id);
    }
    releaseHeldJobs(now);
    while (!m_endedOrder.empty() && now - m_endedOrder.front().first > m_settings.timing.endedJobRetention) {
        evictOldestEndedJob();
    }
    std::erase_if(m_transfers, [&](const std::pair<const JobId, Transfer> &item) {
        return now - item.second.at > m_settings.timing.transferRetention;
    });
    m_crashes.expire(now);
    m_isolation.expire(now);
    maintainJoinedJobs(now);
    maintainCancellations(now);
    maintainAgents(now);
    maintainEntries(now);
    fetchConfig(now);
    checkUnknownDomains(now);
    logAdmission(now);
}

} // namespace cuminscale::dispatch
