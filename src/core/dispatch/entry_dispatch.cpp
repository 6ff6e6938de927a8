#include "core/dispatch/entry_dispatch.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// A run number that a server refuses as used belongs to an earlier submission of the job: numbers of that one are skipped.
constexpr std::uint64_t RunNumberSkip = 1000;
constexpr std::uint32_t MaxPlacements = 12;
/// A run is given up for another start only when that is expected to save this part of what is left of it.
constexpr double RestartGain = 0.7;
constexpr double RestartMargin = 1.1;
/// A run is overdue from this multiple of its siblings' time on, which differ by a sixth or so, or of the expected time, which
/// may be off by a factor of two.
constexpr double OverdueAmongSiblings = 1.6;
constexpr double OverdueAlone = 3.0;
/// A server this much slower than expected loses its runs when another would end them sooner.
constexpr double SlowServer = 2.0;
constexpr Duration OverdueSlack = milliseconds(30);
/// A run this far overdue stands still.
constexpr double StallRatio = 5.0;
constexpr Duration StallAtLeast = milliseconds(350);
constexpr Duration OverduePeriod = milliseconds(40);
constexpr Duration StopAgain = milliseconds(150);
/// Travel to the agent and back, and the answer's own way.
constexpr Duration TravelTime = milliseconds(6);
constexpr std::size_t MaxEntries = 256;

std::string ms(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string idText(const JobId &id)
{
    return std::string(id.text());
}

double ratio(Duration a, Duration b)
{
    return static_cast<double>(a.count()) / static_cast<double>(std::max<Duration::rep>(b.count(), 1));
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

const char *toString(JobAnswer answer) noexcept
{
    constexpr const char *Names[] = {"succeeded", "failed", "cancelled", "not-run", "given-up"};
    return Names[static_cast<std::size_t>(answer)];
}

/// How an ended job stands for whoever asks later. One that was given up may be submitted again like one that was refused.
JobStanding::State standingAfter(JobAnswer answer) noexcept
{
    switch (answer) {
    case JobAnswer::Succeeded:
        return JobStanding::State::Succeeded;
    case JobAnswer::Failed:
        return JobStanding::State::Failed;
    case JobAnswer::Cancelled:
        return JobStanding::State::Cancelled;
    case JobAnswer::NotRun:
    case JobAnswer::GivenUp:
        break;
    }
    return JobStanding::State::Refused;
}

bool anyOut(const Job &job)
{
    for (const StepState &step : job.steps) {
        if (std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskState &task) { return task.out(); })) {
            return true;
        }
    }
    return false;
}

/// The longest chain of expected run times through the steps.
Duration longestChain(const JobSpec &spec, const std::vector<StepState> &steps)
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

void EntryDispatch::takeConfig(const ConfigBlob &config)
{
    if (config.version > m_config.version && onNewerConfig) {
        ++m_counters.configsFromPeers;
        onNewerConfig(config);
    }
}

std::size_t EntryDispatch::unanswered() const noexcept
{
    return m_clientJobs.size();
}

std::size_t EntryDispatch::pending(const std::string &queue) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&queue](const Jobs::value_type &entry) {
        return entry.second.queue->name == queue && !entry.second.started && !entry.second.answer;
    }));
}

JobStanding::State EntryDispatch::standing(const JobId &id) const
{
    const Jobs::const_iterator job = m_jobs.find(id);
    if (job != m_jobs.end() && !job->second.answered) {
        return JobStanding::State::Active;
    }
    const std::unordered_map<JobId, JobStanding::State, JobIdHash>::const_iterator it = m_ended.find(id);
    return it == m_ended.end() ? JobStanding::State::Unknown : it->second;
}

void EntryDispatch::refuse(TimePoint now, ClientTag client, const JobId &id, const QueueRule &queue, const char *reason)
{
    ++m_counters.refusedAtOnce;
    m_log.write(LogLevel::Info, "job-refused",
                "job=" + idText(id) + " queue=" + queue.name + " reason=" + reason + " " + m_fleet.summary(now));
    m_clients.answer(client, JobAnswer::NotRun, reason, m_settings.timing.retryAfter);
}

const Endpoint *EntryDispatch::coordinatorElsewhere(TimePoint now, const JobId &id) const
{
    for (const std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        const bool live = entry.second.session.silence(now) < m_settings.timing.entrySilence;
        if (live && entry.second.activeJobs.count(id) > 0) {
            return &entry.first;
        }
    }
    return nullptr;
}

bool EntryDispatch::mayStart(TimePoint now, const Job &job) const
{
    if (now - job.receivedAt < m_settings.timing.lateStart) {
        return true;
    }
    // A message sent this long after the job came in was preceded by a heartbeat that names the job.
    const TimePoint named = job.receivedAt + m_settings.timing.heartbeatEvery;
    return std::all_of(m_entries.begin(), m_entries.end(), [&](const std::pair<const Endpoint, EntryPeer> &entry) {
        const PeerSession &session = entry.second.session;
        return !session.heard() || session.silence(now) > m_settings.timing.entryAlive || session.echoed() >= named;
    });
}

void EntryDispatch::submit(TimePoint now, ClientTag client, const std::shared_ptr<const QueueRule> &queue, const JobId &id,
                           const std::shared_ptr<const JobSpec> &spec, Duration patience)
{
    noteTime(now);
    ++m_counters.submitted;
    const Jobs::iterator existing = m_jobs.find(id);
    if (existing != m_jobs.end()) {
        ++m_counters.joined;
        (existing->second.answered ? existing->second.resubmitted : existing->second.clients).push_back(client);
        m_clientJobs[client] = id;
        return;
    }
    switch (standing(id)) {
    case JobStanding::State::Succeeded:
        m_clients.answer(client, JobAnswer::Succeeded, "ended before", Duration(0));
        return;
    case JobStanding::State::Failed:
        m_clients.answer(client, JobAnswer::Failed, "ended before", Duration(0));
        return;
    case JobStanding::State::Cancelled:
        m_clients.answer(client, JobAnswer::Cancelled, "ended before", Duration(0));
        return;
    default:
        break;
    }
    if (patience <= Duration(0)) {
        patience = m_settings.defaultDeadline;
    }
    const TimePoint giveUpAt = now + patience - m_settings.timing.answerMargin;
    if (const Endpoint *elsewhere = coordinatorElsewhere(now, id)) {
        ++m_counters.joined;
        Joined &joined = m_joined[id];
        joined.clients.push_back(client);
        joined.coordinator = *elsewhere;
        joined.giveUpAt = giveUpAt;
        joined.askedAt = now;
        joined.queue = queue;
        joined.spec = spec;
        m_clientJobs[client] = id;
        EntryPeer &entry = m_entries.find(*elsewhere)->second;
        m_log.write(LogLevel::Info, "job-joined", "job=" + idText(id) + " coordinator=" + toString(*elsewhere));
        sendToEntry(now, *elsewhere, entry, JoinJob{id});
        return;
    }
    if (now - m_thawedAt < m_settings.timing.thawWindow) {
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
    job.receivedAt = now;
    job.giveUpAt = giveUpAt;
    for (const StepSpec &step : spec->steps) {
        StepState state;
        state.expectedRun = m_estimates[queue->name].expected(step.estimate);
        state.tasks.resize(step.count);
        job.steps.push_back(std::move(state));
    }
    job.objectiveAt = now + scaled(longestChain(*spec, job.steps), queue->workFactor) + queue->latencyObjective;
    begin(now, std::move(job));
}

void EntryDispatch::begin(TimePoint now, Job &&job)
{
    const JobId id = job.id;
    const ClientTag client = job.clients.front();
    Job &kept = m_jobs.insert_or_assign(id, std::move(job)).first->second;
    m_clientJobs[client] = id;
    unblockSteps(kept);
    for (std::uint32_t i = 0; i < kept.steps.size(); ++i) {
        if (kept.spec->steps[i].after.empty() && !placeStep(now, kept, i, true)) {
            const char *reason = kept.reason;
            if (anyOut(kept)) {
                finish(now, kept, JobAnswer::NotRun, reason);
                return;
            }
            const std::shared_ptr<const QueueRule> queue = kept.queue;
            m_clientJobs.erase(client);
            m_jobs.erase(id);
            refuse(now, client, id, *queue, reason);
            return;
        }
    }
}

void EntryDispatch::unblockSteps(Job &job)
{
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const std::vector<std::uint32_t> &after = job.spec->steps[i].after;
        const bool ready = std::all_of(after.begin(), after.end(), [&job](std::uint32_t earlier) {
            return job.steps[earlier].done == job.steps[earlier].tasks.size();
        });
        if (!ready) {
            continue;
        }
        for (TaskState &task : job.steps[i].tasks) {
            if (task.phase == TaskState::Phase::Blocked) {
                task.phase = TaskState::Phase::Waiting;
            }
        }
    }
}

bool EntryDispatch::placeStep(TimePoint now, Job &job, std::uint32_t stepIndex, bool first)
{
    StepState &step = job.steps[stepIndex];
    const StepSpec &spec = job.spec->steps[stepIndex];
    std::vector<std::uint32_t> waiting;
    PlacementRequest request;
    request.service = job.queue->service;
    request.domain = m_settings.domain;
    request.need = spec.need;
    request.expectedRun = step.expectedRun;
    request.requiredLabel = spec.requiredLabel;
    request.preferredRack = spec.preferredRack;
    request.maxPerServer = spec.maxPerServer;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const TaskState &task = step.tasks[i];
        if (task.phase == TaskState::Phase::Waiting) {
            waiting.push_back(i);
            request.avoid.insert(request.avoid.end(), task.avoid.begin(), task.avoid.end());
        }
        if (task.out() || task.phase == TaskState::Phase::Done) {
            ++request.alreadyThere[task.agent];
        }
    }
    if (waiting.empty()) {
        return true;
    }
    if (!mayStart(now, job)) {
        job.reason = "cut-off";
        return false;
    }
    request.tasks = static_cast<std::uint32_t>(waiting.size());
    const std::vector<Place> places = m_placement.place(m_fleet, request, now);
    if (places.empty()) {
        job.reason = "no-usable-server";
        return false;
    }
    Duration slowest{0};
    for (const Place &place : places) {
        slowest = std::max(slowest, place.finish + TravelTime);
    }
    // A job that has not begun is turned away when it can only be late: its room serves another one in time. One that has begun
    // goes on for as long as its client waits.
    const TimePoint limit = first ? std::min(job.objectiveAt, job.giveUpAt) : job.giveUpAt;
    if (now + slowest > limit) {
        job.reason = first ? "overloaded" : "no-time-left";
        return false;
    }
    order(now, job, stepIndex, waiting, places);
    return true;
}

void EntryDispatch::order(TimePoint now, Job &job, std::uint32_t stepIndex, const std::vector<std::uint32_t> &tasks,
                          const std::vector<Place> &places)
{
    std::map<Endpoint, std::vector<OrderedRun>> byAgent;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        TaskState &task = job.steps[stepIndex].tasks[tasks[i]];
        AgentView &agent = *places[i].agent;
        task.phase = TaskState::Phase::Ordered;
        task.agent = agent.endpoint;
        task.run = RunNumber(task.run.value() + 1);
        task.orderedAt = now;
        task.askedAgainAt = now;
        task.stopSent = false;
        ++task.placements;
        ++agent.runsHere;
        ++m_counters.runsOrdered;
        byAgent[agent.endpoint].push_back(OrderedRun{tasks[i], task.run});
    }
    for (const std::pair<const Endpoint, std::vector<OrderedRun>> &entry : byAgent) {
        AgentView &agent = *m_fleet.find(entry.first);
        const Resources &need = job.spec->steps[stepIndex].need;
        const std::int64_t n = static_cast<std::int64_t>(entry.second.size());
        sendOrder(now, agent, job, stepIndex, entry.second);
        agent.unreported.push_back(
            AgentView::Unreported{agent.lastOrder, n * need.cpuMilli, n * need.memoryMb, n * need.accelerators});
    }
}

void EntryDispatch::sendOrder(TimePoint now, AgentView &agent, Job &job, std::uint32_t stepIndex,
                              const std::vector<OrderedRun> &runs)
{
    StartOrder start;
    start.number = ++agent.lastOrder;
    start.job = job.id;
    start.step = stepIndex;
    start.need = job.spec->steps[stepIndex].need;
    start.estimate = scaled(job.steps[stepIndex].expectedRun, agent.health.slowness(now));
    start.inTimeWithin = std::max(job.objectiveAt - now - start.estimate - TravelTime, Duration(0));
    start.startWithin = std::max(job.giveUpAt - now - start.estimate, Duration(0));
    start.payload = job.payload;
    start.runs = runs;
    sendToAgent(now, agent, std::move(start));
}

void EntryDispatch::sendToAgent(TimePoint now, AgentView &agent, Message &&message)
{
    Envelope envelope = agent.session.seal(m_settings.self, true, now, std::move(message));
    envelope.eventsSeen = agent.eventsSeen;
    envelope.configVersion = m_config.version;
    agent.owesAcknowledgement = false;
    m_links.send(agent.endpoint, envelope);
}

void EntryDispatch::sendToEntry(TimePoint now, const Endpoint &to, EntryPeer &entry, Message &&message)
{
    Envelope envelope = entry.session.seal(m_settings.self, true, now, std::move(message));
    envelope.configVersion = m_config.version;
    m_links.send(to, envelope);
}

void EntryDispatch::onMessage(TimePoint now, const Envelope &envelope)
{
    if (envelope.fromEntry) {
        takeEntryMessage(now, envelope);
        return;
    }
    AgentView *agent = m_fleet.findOrAdd(envelope.from.endpoint, now);
    if (agent == nullptr) {
        return;
    }
    const PeerSession::Arrival arrival = agent->session.receive(envelope, m_settings.self.incarnation, now);
    if (arrival == PeerSession::Arrival::Outdated) {
        return;
    }
    if (arrival == PeerSession::Arrival::NewLife) {
        agent->eventsSeen = 0;
        agent->lastOrder = 0;
        agent->unreported.clear();
        agent->load = ServerLoad();
        strand(now, agent->endpoint);
    }
    if (const AgentReport *report = std::get_if<AgentReport>(&envelope.message)) {
        takeAgentReport(now, envelope, *report);
    } else if (const ConfigBlob *config = std::get_if<ConfigBlob>(&envelope.message)) {
        takeConfig(*config);
    }
}

void EntryDispatch::takeAgentReport(TimePoint now, const Envelope &envelope, const AgentReport &report)
{
    AgentView &agent = *m_fleet.find(envelope.from.endpoint);
    if (agent.session.latestWasYoungest()) {
        FleetView::takeReport(agent, report);
    }
    for (const RunEvent &event : report.events) {
        if (event.number != agent.eventsSeen + 1) {
            continue; // Known already, or after a gap that will be sent again.
        }
        agent.eventsSeen = event.number;
        agent.owesAcknowledgement = true;
        takeRunEvent(now, agent, event);
    }
    if (agent.load.accepting) {
        releaseStranded(now, agent);
    }
}

void EntryDispatch::takeRunEvent(TimePoint now, AgentView &agent, const RunEvent &event)
{
    const Jobs::iterator it = m_jobs.find(event.run.task.job);
    if (it == m_jobs.end()) {
        return;
    }
    Job &job = it->second;
    if (event.run.task.step >= job.steps.size() || event.run.task.index >= job.steps[event.run.task.step].tasks.size()) {
        return;
    }
    TaskState &task = job.steps[event.run.task.step].tasks[event.run.task.index];
    if (task.run != event.run.run || task.agent != agent.endpoint || !task.out()) {
        return;
    }
    switch (event.kind) {
    case RunEvent::Kind::Queued:
        if (task.phase == TaskState::Phase::Ordered) {
            task.phase = TaskState::Phase::Queued;
        }
        break;
    case RunEvent::Kind::Started:
        job.started = true;
        task.phase = TaskState::Phase::Running;
        task.startedAt = now;
        break;
    case RunEvent::Kind::Ended:
        takeRunEnd(now, agent, job, task, event);
        break;
    }
}

void EntryDispatch::takeRunEnd(TimePoint now, AgentView &agent, Job &job, TaskState &task, const RunEvent &event)
{
    StepState &step = job.steps[event.run.task.step];
    const JobId id = job.id;
    agent.runsHere -= agent.runsHere > 0 ? 1 : 0;
    job.started = job.started || event.end != RunEnd::NeverStarted;
    task.phase = TaskState::Phase::Waiting;
    switch (event.end) {
    case RunEnd::Done:
        task.phase = TaskState::Phase::Done;
        ++step.done;
        step.longestDone = std::max(step.longestDone, event.ran);
        if (event.lateServer) {
            break;
        }
        if (agent.health.slowness(now) < SlowServer) {
            m_estimates[job.queue->name].record(job.spec->steps[event.run.task.step].estimate, event.ran);
        }
        agent.health.recordDone(now, ratio(event.ran, step.expectedRun));
        break;
    case RunEnd::Failed:
        ++task.failures;
        ++m_counters.runsFailed;
        agent.health.recordFailure(now);
        task.avoid.push_back(agent.endpoint);
        break;
    case RunEnd::Lapsed:
    case RunEnd::Lost:
        agent.health.recordStall(now);
        task.avoid.push_back(agent.endpoint);
        break;
    case RunEnd::Stopped:
        if (!job.answer && !event.lateServer) {
            agent.health.recordOverdue(now, ratio(event.ran, std::max(step.expectedRun, step.longestDone)));
        }
        task.avoid.push_back(agent.endpoint);
        break;
    case RunEnd::NeverStarted:
        ++m_counters.runsHandedBack;
        task.avoid.push_back(agent.endpoint);
        if (event.reason == RefusalReason::RunNumberUsed) {
            task.run = RunNumber(task.run.value() + RunNumberSkip);
            task.avoid.pop_back();
        }
        if (event.lateServer || event.reason == RefusalReason::ServerUnhealthy || event.reason == RefusalReason::Unreachable) {
            agent.health.recordStall(now);
        }
        break;
    }
    if (event.end != RunEnd::Done) {
        m_log.write(LogLevel::Info, "run-over",
                    "job=" + idText(id) + " task=" + std::to_string(event.run.task.step) + "."
                        + std::to_string(event.run.task.index) + " run=" + std::to_string(event.run.run.value())
                        + " agent=" + toString(agent.endpoint) + " how=" + cuminscale::dispatch::toString(event.end)
                        + " reason=" + cuminscale::dispatch::toString(event.reason) + " ran_ms=" + ms(event.ran)
                        + " age_ms=" + ms(now - job.receivedAt));
    }
    if (job.answer) {
        concludeIfQuiet(now, id);
        return;
    }
    const bool all =
        std::all_of(job.steps.begin(), job.steps.end(), [](const StepState &state) { return state.done == state.tasks.size(); });
    if (all) {
        finish(now, job, JobAnswer::Succeeded, "done");
        return;
    }
    if (task.failures >= job.queue->maxAttempts) {
        finish(now, job, JobAnswer::Failed, "task-failed");
        return;
    }
    if (task.placements >= MaxPlacements) {
        finish(now, job, JobAnswer::NotRun, "no-server-took-it");
        return;
    }
    unblockSteps(job);
    placeWaiting(now, job);
}

void EntryDispatch::placeWaiting(TimePoint now, Job &job)
{
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        if (!placeStep(now, job, i, false)) {
            finish(now, job, JobAnswer::NotRun, job.reason);
            return;
        }
    }
}

void EntryDispatch::stopRun(TimePoint now, Job &job, const RunRef &ref, TaskState &task)
{
    AgentView *agent = m_fleet.find(task.agent);
    if (agent == nullptr || !task.out() || task.phase == TaskState::Phase::Stranded) {
        return;
    }
    task.stopSent = true;
    task.askedAgainAt = now;
    m_log.write(LogLevel::Debug, "run-stop", "job=" + idText(job.id) + " task=" + toString(ref.task));
    sendToAgent(now, *agent, StopOrder{{ref}});
}

void EntryDispatch::finish(TimePoint now, Job &job, JobAnswer answer, const char *reason)
{
    if (job.answer) {
        return;
    }
    job.answer = answer;
    job.reason = reason;
    job.endingSince = now;
    std::map<Endpoint, StopOrder> stops;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        for (std::uint32_t k = 0; k < job.steps[i].tasks.size(); ++k) {
            TaskState &task = job.steps[i].tasks[k];
            if (task.out() && task.phase != TaskState::Phase::Stranded) {
                task.stopSent = true;
                task.askedAgainAt = now;
                stops[task.agent].runs.push_back(RunRef{TaskRef{job.id, 0, i, k}, task.run});
            }
        }
    }
    for (std::pair<const Endpoint, StopOrder> &stop : stops) {
        if (AgentView *agent = m_fleet.find(stop.first)) {
            sendToAgent(now, *agent, std::move(stop.second));
        }
    }
    if (answer != JobAnswer::NotRun || job.started || !anyOut(job)) {
        answerClients(now, job);
    }
    concludeIfQuiet(now, job.id);
}

void EntryDispatch::answerClients(TimePoint now, Job &job)
{
    if (job.answered) {
        return;
    }
    JobAnswer answer = *job.answer;
    if (answer == JobAnswer::NotRun && (job.started || anyOut(job))) {
        // What is not confirmed as never started may have run.
        answer = JobAnswer::GivenUp;
    }
    job.answer = answer;
    job.answered = true;
    const bool late = now > job.objectiveAt;
    switch (answer) {
    case JobAnswer::Succeeded:
        ++(late ? m_counters.succeededLate : m_counters.succeeded);
        break;
    case JobAnswer::NotRun:
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
    m_log.write(answer == JobAnswer::Succeeded ? LogLevel::Info : LogLevel::Warning, "job-ended",
                "job=" + idText(job.id) + " queue=" + job.queue->name + " answer=" + toString(answer) + " reason=" + job.reason
                    + " took_ms=" + ms(now - job.receivedAt) + " objective_ms=" + ms(job.objectiveAt - job.receivedAt) + " late="
                    + (late ? "1" : "0") + " runs=" + std::to_string(placements) + " config=" + std::to_string(m_config.version));
    for (const ClientTag client : job.clients) {
        m_clientJobs.erase(client);
        m_clients.answer(client, answer, job.reason, answer == JobAnswer::NotRun ? m_settings.timing.retryAfter : Duration(0));
    }
    job.clients.clear();
    const JobStanding::State state = standingAfter(answer);
    if (state != JobStanding::State::Refused) {
        remember(now, job.id, state);
    }
    for (const Endpoint &joiner : job.joiners) {
        const std::map<Endpoint, EntryPeer>::iterator entry = m_entries.find(joiner);
        if (entry != m_entries.end()) {
            sendToEntry(now, joiner, entry->second, JobStanding{job.id, state});
        }
    }
    job.joiners.clear();
}

void EntryDispatch::remember(TimePoint now, const JobId &id, JobStanding::State state)
{
    m_ended[id] = state;
    m_endedOrder.emplace_back(now, id);
    while (m_endedOrder.size() > m_settings.timing.maxRemembered) {
        m_ended.erase(m_endedOrder.front().second);
        m_endedOrder.pop_front();
    }
}

void EntryDispatch::concludeIfQuiet(TimePoint now, JobId id)
{
    const Jobs::iterator it = m_jobs.find(id);
    if (it == m_jobs.end() || !it->second.answer || anyOut(it->second)) {
        return;
    }
    answerClients(now, it->second);
    const Job over = std::move(it->second);
    m_jobs.erase(it);
    for (const ClientTag client : over.resubmitted) {
        m_clientJobs.erase(client);
        submit(now, client, over.queue, id, over.spec, over.giveUpAt - over.receivedAt);
    }
}

void EntryDispatch::onClientGone(TimePoint now, ClientTag client)
{
    const std::unordered_map<ClientTag, JobId, IdHash>::iterator it = m_clientJobs.find(client);
    if (it == m_clientJobs.end()) {
        return;
    }
    const JobId id = it->second;
    m_clientJobs.erase(it);
    const std::unordered_map<JobId, Joined, JobIdHash>::iterator joined = m_joined.find(id);
    if (joined != m_joined.end()) {
        std::vector<ClientTag> &clients = joined->second.clients;
        clients.erase(std::remove(clients.begin(), clients.end(), client), clients.end());
        if (clients.empty()) {
            m_joined.erase(joined);
        }
        return;
    }
    const Jobs::iterator job = m_jobs.find(id);
    if (job == m_jobs.end()) {
        return;
    }
    std::vector<ClientTag> &again = job->second.resubmitted;
    again.erase(std::remove(again.begin(), again.end(), client), again.end());
    std::vector<ClientTag> &clients = job->second.clients;
    clients.erase(std::remove(clients.begin(), clients.end(), client), clients.end());
    if (clients.empty() && job->second.joiners.empty()) {
        ++m_counters.clientsGone;
        finish(now, job->second, JobAnswer::GivenUp, "client-gone");
    }
}

bool EntryDispatch::cancel(TimePoint now, const JobId &id)
{
    const Jobs::iterator it = m_jobs.find(id);
    if (it != m_jobs.end()) {
        ++m_counters.cancelled;
        finish(now, it->second, JobAnswer::Cancelled, "cancelled");
        return true;
    }
    if (const Endpoint *elsewhere = coordinatorElsewhere(now, id)) {
        sendToEntry(now, *elsewhere, m_entries.find(*elsewhere)->second, CancelJob{id});
        return true;
    }
    return m_ended.count(id) > 0;
}

void EntryDispatch::takeEntryMessage(TimePoint now, const Envelope &envelope)
{
    const Endpoint from = envelope.from.endpoint;
    if (from == m_settings.self.endpoint) {
        return;
    }
    addEntries(now, {from});
    const std::map<Endpoint, EntryPeer>::iterator it = m_entries.find(from);
    if (it == m_entries.end()) {
        return;
    }
    EntryPeer &entry = it->second;
    if (entry.session.receive(envelope, m_settings.self.incarnation, now) == PeerSession::Arrival::Outdated) {
        return;
    }
    if (const EntryReport *report = std::get_if<EntryReport>(&envelope.message)) {
        entry.activeJobs = std::unordered_set<JobId, JobIdHash>(report->activeJobs.begin(), report->activeJobs.end());
        addEntries(now, report->entries);
    } else if (const JoinJob *join = std::get_if<JoinJob>(&envelope.message)) {
        const Jobs::iterator job = m_jobs.find(join->job);
        JobStanding::State state = standing(join->job);
        if (job != m_jobs.end() && !job->second.answered) {
            std::vector<Endpoint> &joiners = job->second.joiners;
            if (std::find(joiners.begin(), joiners.end(), from) == joiners.end()) {
                joiners.push_back(from);
            }
        } else if (job != m_jobs.end() && state != JobStanding::State::Succeeded) {
            // Given up, but runs of it may not be over: the other entry asks again until they are.
            state = JobStanding::State::Active;
        }
        sendToEntry(now, from, entry, JobStanding{join->job, state});
    } else if (const JobStanding *state = std::get_if<JobStanding>(&envelope.message)) {
        takeStanding(now, *state);
    } else if (const CancelJob *cancelled = std::get_if<CancelJob>(&envelope.message)) {
        const Jobs::iterator job = m_jobs.find(cancelled->job);
        if (job != m_jobs.end()) {
            ++m_counters.cancelled;
            finish(now, job->second, JobAnswer::Cancelled, "cancelled");
        }
    } else if (const ConfigBlob *config = std::get_if<ConfigBlob>(&envelope.message)) {
        takeConfig(*config);
    }
}

void EntryDispatch::takeStanding(TimePoint now, const JobStanding &standing)
{
    const std::unordered_map<JobId, Joined, JobIdHash>::iterator it = m_joined.find(standing.job);
    if (it == m_joined.end() || standing.state == JobStanding::State::Active) {
        return;
    }
    const Joined joined = std::move(it->second);
    m_joined.erase(it);
    for (const ClientTag client : joined.clients) {
        m_clientJobs.erase(client);
        switch (standing.state) {
        case JobStanding::State::Succeeded:
            m_clients.answer(client, JobAnswer::Succeeded, "joined", Duration(0));
            break;
        case JobStanding::State::Failed:
            m_clients.answer(client, JobAnswer::Failed, "joined", Duration(0));
            break;
        case JobStanding::State::Cancelled:
            m_clients.answer(client, JobAnswer::Cancelled, "joined", Duration(0));
            break;
        default:
            // The coordinator has never had it, or has certified that nothing of it ran.
            m_entries.at(joined.coordinator).activeJobs.erase(standing.job);
            submit(now, client, joined.queue, standing.job, joined.spec, joined.giveUpAt - now);
        }
    }
}

void EntryDispatch::keepJoined(TimePoint now)
{
    std::vector<JobId> over;
    for (std::pair<const JobId, Joined> &entry : m_joined) {
        Joined &joined = entry.second;
        const std::map<Endpoint, EntryPeer>::iterator peer = m_entries.find(joined.coordinator);
        if (now >= joined.giveUpAt || peer == m_entries.end()) {
            over.push_back(entry.first);
        } else if (now - joined.askedAt > m_settings.timing.askAgain) {
            joined.askedAt = now;
            sendToEntry(now, joined.coordinator, peer->second, JoinJob{entry.first});
        }
    }
    for (const JobId &id : over) {
        const Joined joined = std::move(m_joined[id]);
        m_joined.erase(id);
        for (const ClientTag client : joined.clients) {
            m_clientJobs.erase(client);
            m_clients.answer(client, JobAnswer::GivenUp, "coordinator-silent", Duration(0));
        }
    }
}

void EntryDispatch::strand(TimePoint now, const Endpoint &agent)
{
    for (Jobs::value_type &entry : m_jobs) {
        for (StepState &step : entry.second.steps) {
            for (TaskState &task : step.tasks) {
                if (task.out() && task.agent == agent) {
                    task.phase = TaskState::Phase::Stranded;
                    task.askedAgainAt = now;
                }
            }
        }
    }
}

void EntryDispatch::releaseStranded(TimePoint now, AgentView &agent)
{
    std::vector<JobId> touched;
    for (Jobs::value_type &entry : m_jobs) {
        bool released = false;
        for (StepState &step : entry.second.steps) {
            for (TaskState &task : step.tasks) {
                if (task.phase == TaskState::Phase::Stranded && task.agent == agent.endpoint) {
                    // The new life of the agent has listed its server and nothing of its former life runs there.
                    task.phase = TaskState::Phase::Waiting;
                    entry.second.started = true;
                    released = true;
                }
            }
        }
        if (released) {
            touched.push_back(entry.first);
        }
    }
    for (const JobId &id : touched) {
        const Jobs::iterator it = m_jobs.find(id);
        if (it != m_jobs.end() && !it->second.answer) {
            placeWaiting(now, it->second);
        }
        concludeIfQuiet(now, id);
    }
}

void EntryDispatch::watchRuns(TimePoint now, Job &job)
{
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        for (std::uint32_t k = 0; k < job.steps[i].tasks.size(); ++k) {
            TaskState &task = job.steps[i].tasks[k];
            if (!task.out()) {
                continue;
            }
            AgentView *agent = m_fleet.find(task.agent);
            if (agent == nullptr || agent->session.silence(now) > m_settings.timing.agentLost) {
                job.started = true;
                if (!job.answer) {
                    finish(now, job, JobAnswer::GivenUp, "agent-silent");
                    return;
                }
                if (now - job.endingSince > m_settings.timing.forgetPeer) {
                    task.phase = TaskState::Phase::Waiting;
                } else if (now - task.askedAgainAt > StopAgain) {
                    // Silence may have one direction only.
                    stopRun(now, job, RunRef{TaskRef{job.id, 0, i, k}, task.run}, task);
                }
                continue;
            }
            const RunRef ref{TaskRef{job.id, 0, i, k}, task.run};
            if (task.stopSent && now - task.askedAgainAt > StopAgain) {
                stopRun(now, job, ref, task);
            } else if (task.phase == TaskState::Phase::Ordered && now - task.askedAgainAt > m_settings.timing.askAgain) {
                if (!job.answer && !mayStart(now, job)) {
                    finish(now, job, JobAnswer::NotRun, "cut-off");
                    return;
                }
                task.askedAgainAt = now;
                ++m_counters.ordersRepeated;
                sendOrder(now, *agent, job, i, {OrderedRun{k, task.run}});
            }
        }
        if (!job.answer) {
            restartStragglers(now, job, i);
        }
    }
}

void EntryDispatch::restartStragglers(TimePoint now, Job &job, std::uint32_t stepIndex)
{
    StepState &step = job.steps[stepIndex];
    // Tasks of a step are much alike: once half of them have ended, their time is the better guess.
    const bool halfDone = step.done * 2 >= step.tasks.size() && step.done > 0;
    for (std::uint32_t k = 0; k < step.tasks.size(); ++k) {
        TaskState &task = step.tasks[k];
        if (task.phase != TaskState::Phase::Running || task.stopSent) {
            continue;
        }
        const AgentView *agent = m_fleet.find(task.agent);
        const Duration elapsed = now - task.startedAt;
        const Duration expected = std::max(halfDone ? step.longestDone : step.expectedRun, task.atLeast);
        const double limit = halfDone ? OverdueAmongSiblings : OverdueAlone;
        const bool overdue = elapsed > scaled(expected, limit) + OverdueSlack;
        const double slowness = agent == nullptr ? 1.0 : agent->health.slowness(now);
        if (!overdue && slowness < SlowServer) {
            continue;
        }
        const Duration total = std::max(scaled(expected, slowness), overdue ? elapsed * 2 : elapsed);
        const Duration left = total - elapsed;
        const Duration again = scaled(expected, RestartMargin) + 2 * TravelTime;
        if (now + again > job.giveUpAt || ratio(again, left) > RestartGain) {
            continue;
        }
        if (slowness < SlowServer) {
            task.atLeast = elapsed;
        }
        ++m_counters.runsRestarted;
        m_log.write(LogLevel::Info, "run-restarted",
                    "job=" + idText(job.id) + " task=" + std::to_string(stepIndex) + "." + std::to_string(k)
                        + " agent=" + toString(task.agent) + " elapsed_ms=" + ms(elapsed) + " expected_ms=" + ms(expected)
                        + " slowness=" + std::to_string(slowness));
        stopRun(now, job, RunRef{TaskRef{job.id, 0, stepIndex, k}, task.run}, task);
    }
}

void EntryDispatch::noteOverdueRuns(TimePoint now)
{
    if (now - m_overdueNotedAt < OverduePeriod) {
        return;
    }
    m_overdueNotedAt = now;
    std::map<Endpoint, double> worst;
    for (Jobs::value_type &entry : m_jobs) {
        for (StepState &step : entry.second.steps) {
            for (TaskState &task : step.tasks) {
                if (task.phase != TaskState::Phase::Running || task.stopSent) {
                    continue;
                }
                const Duration elapsed = now - task.startedAt;
                const double over = ratio(elapsed, step.expectedRun);
                double &most = worst[task.agent];
                most = std::max(most, over);
                if (over > StallRatio && elapsed > StallAtLeast) {
                    if (AgentView *agent = m_fleet.find(task.agent)) {
                        agent->health.recordStall(now);
                    }
                }
            }
        }
    }
    for (FleetView::Agents::value_type &entry : m_fleet.agents()) {
        const std::map<Endpoint, double>::const_iterator it = worst.find(entry.first);
        entry.second.health.setOverdue(it == worst.end() ? 0.0 : it->second);
    }
}

void EntryDispatch::noteTime(TimePoint now)
{
    if (m_tickedAt != TimePoint() && now - m_tickedAt > m_settings.timing.stoodStill) {
        m_log.write(LogLevel::Warning, "stood-still", "for_ms=" + ms(now - m_tickedAt));
        m_thawedAt = now;
        m_tickedAt = now;
    }
}

void EntryDispatch::onTick(TimePoint now)
{
    noteTime(now);
    m_tickedAt = now;
    noteOverdueRuns(now);
    std::vector<JobId> ids;
    ids.reserve(m_jobs.size());
    for (const Jobs::value_type &entry : m_jobs) {
        ids.push_back(entry.first);
    }
    for (const JobId &id : ids) {
        Jobs::iterator it = m_jobs.find(id);
        if (it == m_jobs.end()) {
            continue;
        }
        if (!it->second.answer && now >= it->second.giveUpAt) {
            finish(now, it->second, JobAnswer::NotRun, "deadline");
        }
        it = m_jobs.find(id);
        if (it == m_jobs.end()) {
            continue;
        }
        if (it->second.answer && !it->second.answered && now - it->second.endingSince > m_settings.timing.confirmWithin) {
            answerClients(now, it->second);
        }
        watchRuns(now, it->second);
        concludeIfQuiet(now, id);
    }
    while (!m_endedOrder.empty() && now - m_endedOrder.front().first > m_settings.timing.rememberEnded) {
        m_ended.erase(m_endedOrder.front().second);
        m_endedOrder.pop_front();
    }
    keepJoined(now);
    keepAgents(now);
    keepEntries(now);
}

std::vector<Endpoint> EntryDispatch::knownEntries() const
{
    std::vector<Endpoint> entries{m_settings.self.endpoint};
    for (const std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        if (entry.second.session.heard()) {
            entries.push_back(entry.first);
        }
    }
    return entries;
}

EntryReport EntryDispatch::heartbeat(bool toEntry) const
{
    EntryReport report;
    report.entries = knownEntries();
    if (toEntry) {
        for (const Jobs::value_type &entry : m_jobs) {
            report.activeJobs.push_back(entry.first);
        }
    }
    return report;
}

Duration EntryDispatch::configPatience(const PeerSession &session) const
{
    const std::vector<Endpoint> entries = knownEntries();
    const std::ptrdiff_t before =
        std::count_if(entries.begin(), entries.end(), [this](const Endpoint &entry) { return entry < m_settings.self.endpoint; });
    const bool isNew = session.configVersion() == 0;
    const Duration patience = isNew ? m_settings.timing.configPatienceNew : m_settings.timing.configPatience;
    return patience + before * m_settings.timing.configStagger;
}

void EntryDispatch::passConfig(TimePoint now, PeerSession &session, ConfigLag &lag, const Endpoint &to, std::uint64_t eventsSeen)
{
    if (!session.heard() || !lag.overdue(now, session.configVersion(), m_config.version, configPatience(session))) {
        return;
    }
    Envelope envelope = session.seal(m_settings.self, true, now, m_config);
    envelope.eventsSeen = eventsSeen;
    envelope.configVersion = m_config.version;
    m_links.send(to, envelope);
}

void EntryDispatch::keepAgents(TimePoint now)
{
    std::size_t copies = 0;
    for (FleetView::Agents::iterator it = m_fleet.agents().begin(); it != m_fleet.agents().end();) {
        AgentView &agent = it->second;
        if (agent.session.silence(now) > m_settings.timing.forgetPeer) {
            m_links.forgetConnection(it->first);
            it = m_fleet.agents().erase(it);
            continue;
        }
        if (agent.session.outgoingLooksDead(now)) {
            ++m_counters.connectionsReplaced;
            m_links.replaceConnection(it->first);
        }
        const Duration quiet = now - agent.session.lastSentAt();
        if (quiet >= m_settings.timing.heartbeatEvery
            || (agent.owesAcknowledgement && quiet >= m_settings.timing.acknowledgeWithin)) {
            sendToAgent(now, agent, heartbeat(false));
        }
        if (agent.domain == m_settings.domain && copies < m_settings.timing.configCopies) {
            ++copies;
            passConfig(now, agent.session, agent.configLag, it->first, agent.eventsSeen);
        }
        ++it;
    }
}

void EntryDispatch::keepEntries(TimePoint now)
{
    for (std::map<Endpoint, EntryPeer>::iterator it = m_entries.begin(); it != m_entries.end();) {
        EntryPeer &entry = it->second;
        if (entry.session.silence(now) > m_settings.timing.forgetPeer && !entry.fromSettings) {
            m_links.forgetConnection(it->first);
            it = m_entries.erase(it);
            continue;
        }
        if (entry.session.outgoingLooksDead(now)) {
            ++m_counters.connectionsReplaced;
            m_links.replaceConnection(it->first);
        }
        if (now - entry.session.lastSentAt() >= m_settings.timing.heartbeatEvery) {
            sendToEntry(now, it->first, entry, heartbeat(true));
        }
        passConfig(now, entry.session, entry.configLag, it->first, 0);
        ++it;
    }
}

} // namespace cuminscale::dispatch
