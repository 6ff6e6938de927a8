#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"
#include "core/dispatch/run_limits.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Added to a run number that a backend server rejects as used: an earlier submission of the job used it, and may have used the
/// next ones too.
constexpr std::uint64_t RunNumberSkip = 1000;
/// A job is given up when one of its tasks has been assigned this many times.
constexpr std::uint32_t MaxPlacements = 12;
constexpr Duration StopRetransmissionTimeout = milliseconds(150);

} // namespace

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

bool EntryDispatch::placeStep(TimePoint now, Job &job, std::uint32_t stepIndex)
{
    StepState &step = job.steps[stepIndex];
    const StepSpec &spec = job.spec->steps[stepIndex];
    const std::vector<std::uint32_t> waiting = tasksToPlace(job, stepIndex);
    PlacementRequest request;
    request.service = job.queue->service;
    request.domain = m_settings.domain;
    request.need = spec.need;
    request.expectedRun = step.expectedRun;
    request.timeToObjective = job.objectiveDeadline - now - NetworkTime;
    request.requiredLabel = spec.requiredLabel;
    request.preferredRack = spec.preferredRack;
    request.remoteDataFactor = m_settings.remoteDataFactor;
    request.locality = m_settings.decidesDataLocality ? &m_locality : nullptr;
    request.maxPerServer = spec.maxPerServer;
    for (const std::uint32_t i : waiting) {
        const std::vector<Endpoint> &avoid = step.tasks[i].avoid;
        request.avoid.insert(request.avoid.end(), avoid.begin(), avoid.end());
        request.handedBack = request.handedBack || step.tasks[i].handedBack;
    }
    for (const TaskState &task : step.tasks) {
        if (task.isOutstanding() || task.phase == TaskState::Phase::Done) {
            ++request.stepTasksByAgent[task.agent];
        }
    }
    if (waiting.empty()) {
        return true;
    }
    request.isolation = isolationOf(now, job, stepIndex, waiting);
    if (request.isolation != Isolation::None) {
        request.isolationServers = isolationServers(m_fleet, job.queue->service, spec);
    }
    request.urgency = job.queue->urgency;
    request.tasks = static_cast<std::uint32_t>(waiting.size());
    const std::vector<Placement> places = m_placement.place(m_fleet, request, now);
    if (places.empty()) {
        job.reason = "no-usable-server";
        return false;
    }
    // A job that was held until it was late only gets capacity that is free: jobs that can be in time come first.
    const bool mustNotWait = job.lateAllowed && !job.started;
    if (mustNotWait
        && std::any_of(places.begin(), places.end(), [](const Placement &place) { return place.wait > Duration(0); })) {
        job.reason = "held-until-late";
        return false;
    }
    Duration slowest{0};
    for (const Placement &place : places) {
        slowest = std::max(slowest, place.finish + std::max(place.roundTrip, NetworkTime));
    }
    // A job that has not started is refused if it would miss its objective: the capacity can serve another job in time. A job
    // that has started continues for as long as its client waits.
    const bool mayBeLate = job.started || job.lateAllowed;
    const TimePoint limit = mayBeLate ? job.clientDeadline : std::min(job.objectiveDeadline, job.clientDeadline);
    if (now + slowest > limit) {
        job.reason = job.started ? "no-time-left" : "overloaded";
        return false;
    }
    if (unconfirmedBy(now, job.requestedAt, job.receivedAt) != nullptr) {
        job.heldBack = !job.admitted;
        job.reason = "unconfirmed";
        return false;
    }
    if (!job.admitted && !mayAdmit(now)) {
        job.heldBack = true;
        job.reason = m_settings.followsEvacuations && !m_evacuations.isKnown() ? "evacuations-unknown" : "entries-not-heard";
        return false;
    }
    if (!job.admitted && mayHaveFormerRunsAtAgents(now, job.id)) {
        job.heldBack = true;
        job.reason = "former-runs";
        return false;
    }
    job.admitted = true;
    assignTasks(now, job, stepIndex, waiting, places);
    return true;
}

void EntryDispatch::placeWaitingTasks(TimePoint now, Job &job)
{
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        if (!placeStep(now, job, i)) {
            finish(now, job, JobOutcome::NotRun, job.reason);
            return;
        }
    }
}

void EntryDispatch::assignTasks(TimePoint now, Job &job, std::uint32_t stepIndex, const std::vector<std::uint32_t> &tasks,
                                const std::vector<Placement> &places)
{
    recordLocality(now, job, stepIndex, tasks, places);
    std::map<Endpoint, std::vector<OrderedRun>> byAgent;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        TaskState &task = job.steps[stepIndex].tasks[tasks[i]];
        AgentView &agent = *places[i].agent;
        task.phase = TaskState::Phase::Ordered;
        task.agent = agent.endpoint;
        task.run = RunNumber(task.run.value() + 1);
        task.orderedAt = now;
        task.lastRequestAt = now;
        task.stopSent = false;
        ++task.placements;
        ++agent.outstandingRuns;
        ++m_counters.runsOrdered;
        byAgent[agent.endpoint].push_back(OrderedRun{tasks[i], task.run});
    }
    for (const std::pair<const Endpoint, std::vector<OrderedRun>> &item : byAgent) {
        AgentView &agent = *m_fleet.find(item.first);
        const Resources &need = job.spec->steps[stepIndex].need;
        const std::int64_t n = static_cast<std::int64_t>(item.second.size());
        const Duration inTimeWithin = sendStartOrder(now, agent, job, stepIndex, item.second);
        agent.unreportedOrders.push_back(AgentView::UnreportedOrder{agent.lastOrder, n * need.cpuMilli, n * need.memoryMb,
                                                                    n * need.accelerators, now + inTimeWithin});
    }
}

Duration EntryDispatch::sendStartOrder(TimePoint now, AgentView &agent, Job &job, std::uint32_t stepIndex,
                                       const std::vector<OrderedRun> &runs)
{
    StartOrder start;
    start.number = ++agent.lastOrder;
    start.job = job.id;
    start.queue = queueKey(job.queue->name);
    start.step = stepIndex;
    start.need = job.spec->steps[stepIndex].need;
    start.urgency = job.queue->urgency;
    // The tasks of an order are on one server and were placed together.
    const StepState &step = job.steps[stepIndex];
    const TaskState &task = step.tasks[runs.front().index];
    start.baseline = scaled(step.expectedRun, dataFactor(job, step, agent));
    start.estimate = scaled(start.baseline, agent.health.slowness(now));
    start.waitWithin = task.waitUntil == TimePoint() ? Duration(0) : std::max(task.waitUntil - now, Duration(1));
    start.inTimeWithin = std::max(job.objectiveDeadline - now - start.estimate - NetworkTime, Duration(0));
    start.startWithin = std::max(job.clientDeadline - now - start.estimate, Duration(0));
    start.payload = job.payload;
    start.runs = runs;
    start.requestedAt = job.requestedAt;
    start.admittedAt = job.receivedAt;
    const Duration inTimeWithin = start.inTimeWithin;
    sendToAgent(now, agent, std::move(start));
    return inTimeWithin;
}

void EntryDispatch::handleRunEvent(TimePoint now, AgentView &agent, const RunEvent &event)
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
    if (task.run != event.run.run || task.agent != agent.endpoint || !task.isOutstanding()) {
        return;
    }
    switch (event.kind) {
    case RunEvent::Kind::Queued:
        if (task.phase == TaskState::Phase::Ordered) {
            task.phase = TaskState::Phase::Queued;
        }
        break;
    case RunEvent::Kind::Started:
        recordWait(now, job, event.run.task, task, true);
        job.started = true;
        task.phase = TaskState::Phase::Running;
        task.startedAt = now;
        break;
    case RunEvent::Kind::Ended:
        handleRunEnd(now, agent, job, task, event);
        break;
    }
}

void EntryDispatch::handleRunEnd(TimePoint now, AgentView &agent, Job &job, TaskState &task, const RunEvent &event)
{
    StepState &step = job.steps[event.run.task.step];
    const JobId id = job.id;
    if (event.end == RunEnd::Stopped || event.end == RunEnd::Lapsed || event.end == RunEnd::Lost) {
        const std::int64_t cpuMilli = job.spec->steps[event.run.task.step].need.cpuMilli;
        m_counters.discardedMilliCoreMs += static_cast<std::uint64_t>(std::max<std::int64_t>(cpuMilli * toMs(event.ran), 0));
    }
    agent.outstandingRuns -= agent.outstandingRuns > 0 ? 1 : 0;
    job.started = job.started || event.end != RunEnd::NeverStarted;
    task.phase = TaskState::Phase::Waiting;
    switch (event.end) {
    case RunEnd::Done: {
        task.phase = TaskState::Phase::Done;
        ++step.done;
        const Duration ordinary = scaled(event.ran, 1.0 / runTimeFactor(now, job, step, task.agent));
        step.longestRunTime = std::max(step.longestRunTime, ordinary);
        task.runTime = event.ran;
        step.runTimesValid = step.runTimesValid && !event.serverUnresponsive;
        agent.health.recordDone(now);
        if (ratio(ordinary, step.expectedRun) < SlowServerFactor) {
            agent.ordinaryRunStartedAt = task.startedAt;
            agent.ordinaryRunEndedAt = now;
        }
        // While a server is slow for some seconds, its speed during a run is not known well enough to correct the run time.
        if (!event.serverUnresponsive && agent.health.slowness(now) < SlowServerFactor) {
            m_estimates[job.queue->name].record(job.spec->steps[event.run.task.step].estimate, ordinary);
        }
        if (step.done == step.tasks.size() && step.runTimesValid) {
            recordStepRunTime(now, job, step);
            compareRunTimes(now, job, step);
        }
        break;
    }
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
        if (!job.answer && !event.serverUnresponsive) {
            // The elapsed time is a lower bound of the run time, so it counts as evidence of the server's speed.
            const bool hasSiblings = step.longestRunTime > Duration(0);
            const Duration expected = scaled(hasSiblings ? step.longestRunTime : step.expectedRun, dataFactor(job, step, agent));
            agent.health.recordRunTimeRatio(now, ratio(event.ran, expected),
                                            hasSiblings ? evidence::SiblingRunWeight : evidence::DeclaredTimeWeight);
        }
        task.avoid.push_back(agent.endpoint);
        break;
    case RunEnd::NeverStarted:
        ++m_counters.runsHandedBack;
        task.avoid.push_back(agent.endpoint);
        if (event.reason == RefusalReason::WaitExpired) {
            recordWait(now, job, event.run.task, task, false);
        }
        if (event.reason == RefusalReason::RunNumberUsed) {
            task.run = RunNumber(task.run.value() + RunNumberSkip);
            task.avoid.pop_back();
        }
        if (event.serverUnresponsive || event.reason == RefusalReason::ServerUnhealthy
            || event.reason == RefusalReason::Unreachable) {
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
        closeIfNoRunsLeft(now, id);
        return;
    }
    const bool allDone =
        std::all_of(job.steps.begin(), job.steps.end(), [](const StepState &state) { return state.done == state.tasks.size(); });
    if (allDone) {
        finish(now, job, JobOutcome::Succeeded, "done");
        return;
    }
    if (event.reason == RefusalReason::Duplicate) {
        // Another coordinator has runs of the job, maybe on other servers too.
        job.runsElsewhere = true;
        finish(now, job, JobOutcome::GivenUp, "runs-elsewhere");
        return;
    }
    if (task.failures >= job.queue->maxAttempts) {
        finish(now, job, JobOutcome::Failed, "task-failed");
        return;
    }
    if (task.placements >= MaxPlacements) {
        finish(now, job, JobOutcome::NotRun, "no-server-took-it");
        return;
    }
    unblockSteps(job);
    placeWaitingTasks(now, job);
}

void EntryDispatch::stopRun(TimePoint now, Job &job, const RunRef &ref, TaskState &task)
{
    AgentView *agent = m_fleet.find(task.agent);
    if (agent == nullptr || !task.isOutstanding() || task.phase == TaskState::Phase::Orphaned) {
        return;
    }
    task.stopSent = true;
    task.lastRequestAt = now;
    m_log.write(LogLevel::Debug, "stop-asked", "job=" + idText(job.id) + " task=" + toString(ref.task));
    sendToAgent(now, *agent, StopOrder{{ref}});
}

void EntryDispatch::orphanRuns(TimePoint now, const Endpoint &agent)
{
    for (Jobs::value_type &item : m_jobs) {
        for (StepState &step : item.second.steps) {
            for (TaskState &task : step.tasks) {
                if (task.isOutstanding() && task.agent == agent) {
                    task.phase = TaskState::Phase::Orphaned;
                    task.lastRequestAt = now;
                }
            }
        }
    }
}

void EntryDispatch::rescheduleOrphanedTasks(TimePoint now, AgentView &agent)
{
    std::vector<JobId> affected;
    for (Jobs::value_type &item : m_jobs) {
        bool released = false;
        for (StepState &step : item.second.steps) {
            for (TaskState &task : step.tasks) {
                if (task.phase == TaskState::Phase::Orphaned && task.agent == agent.endpoint) {
                    // The agent's new incarnation accepts work again, or would but for an evacuation, so no run of the previous
                    // one is left on its server.
                    task.phase = TaskState::Phase::Waiting;
                    item.second.started = true;
                    released = true;
                }
            }
        }
        if (released) {
            affected.push_back(item.first);
        }
    }
    for (const JobId &id : affected) {
        const Jobs::iterator it = m_jobs.find(id);
        if (it != m_jobs.end() && !it->second.answer) {
            placeWaitingTasks(now, it->second);
        }
        closeIfNoRunsLeft(now, id);
    }
}

bool EntryDispatch::orderMayBeLost(TimePoint now, const AgentView &agent, const TaskState &task) const
{
    // An order carries the whole payload of its job. While a link or a process lags, orders are late and not lost, and repeating
    // them would add to the lag: so the agent must have received later messages, or the connection must have been replaced.
    const PeerSession &session = agent.session;
    const bool laterMessagesArrived = session.echoed() >= task.lastRequestAt;
    return now - task.lastRequestAt > m_settings.timing.retransmissionTimeout
        && (laterMessagesArrived || session.connectionReplacedAt() > task.lastRequestAt);
}

void EntryDispatch::checkRuns(TimePoint now, Job &job)
{
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        std::map<Endpoint, std::vector<OrderedRun>> repeated;
        for (std::uint32_t k = 0; k < job.steps[i].tasks.size(); ++k) {
            TaskState &task = job.steps[i].tasks[k];
            if (!task.isOutstanding()) {
                continue;
            }
            AgentView *agent = m_fleet.find(task.agent);
            if (agent == nullptr || agent->session.silence(now) > m_settings.timing.agentTimeout) {
                job.started = true;
                if (!job.answer) {
                    finish(now, job, JobOutcome::GivenUp, "agent-silent");
                    return;
                }
                // The agent may have been heard until shortly before, with the run still active.
                const bool expired = agent == nullptr || agent->session.silence(now) > m_settings.timing.peerExpiry;
                if (expired && now - job.answerDecidedAt > m_settings.timing.peerExpiry) {
                    task.phase = TaskState::Phase::Waiting;
                } else if (now - task.lastRequestAt > StopRetransmissionTimeout) {
                    // The connection may have failed in one direction only, so the agent may still receive messages.
                    stopRun(now, job, RunRef{TaskRef{job.id, 0, i, k}, task.run}, task);
                }
                continue;
            }
            const RunRef ref{TaskRef{job.id, 0, i, k}, task.run};
            if (task.stopSent && now - task.lastRequestAt > StopRetransmissionTimeout) {
                stopRun(now, job, ref, task);
            } else if (task.phase == TaskState::Phase::Ordered && orderMayBeLost(now, *agent, task)) {
                if (agent->evacuated) {
                    // The agent may not know of the evacuation yet and would start the run. After a stop order it records that
                    // the run never started, so that the task can be placed elsewhere.
                    stopRun(now, job, ref, task);
                    continue;
                }
                if (!job.answer && giveUpIfUnconfirmed(now, job)) {
                    return;
                }
                task.lastRequestAt = now;
                repeated[task.agent].push_back(OrderedRun{k, task.run});
            }
        }
        for (const std::pair<const Endpoint, std::vector<OrderedRun>> &order : repeated) {
            ++m_counters.ordersRepeated;
            sendStartOrder(now, *m_fleet.find(order.first), job, i, order.second);
        }
        if (!job.answer) {
            restartStragglers(now, job, i);
        }
    }
}

} // namespace cuminscale::dispatch
