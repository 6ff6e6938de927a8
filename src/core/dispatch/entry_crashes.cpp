#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

void EntryDispatch::handleServerCrash(TimePoint now, const ProcessId &agent, const std::string &service, const ServerCrash &crash)
{
    if (!m_crashes.record(now, agent, crash)) {
        return;
    }
    m_log.write(LogLevel::Info, "server-crash-reported",
                "agent=" + toString(agent.endpoint)
                    + " suspects=" + std::to_string(crash.suspects.size() + crash.unanswered.size())
                    + " bystanders=" + std::to_string(crash.bystanders.size()));
    const std::ptrdiff_t servers =
        std::count_if(m_fleet.agents().begin(), m_fleet.agents().end(),
                      [&service](const FleetView::Agents::value_type &item) { return item.second.service == service; });
    const std::optional<std::string> isolated =
        m_isolation.recordCrash(now, service, static_cast<std::size_t>(servers), agent.endpoint, crash.suspectQueues);
    if (isolated) {
        ++m_counters.queuesIsolated;
        m_log.write(LogLevel::Warning, "queue-isolated",
                    "service=" + service + " queue=" + *isolated + " servers=" + std::to_string(servers));
    }
    std::set<JobId> jobs;
    for (const std::vector<TaskRef> *tasks : {&crash.suspects, &crash.unanswered, &crash.bystanders}) {
        for (const TaskRef &task : *tasks) {
            jobs.insert(task.job);
        }
    }
    for (const JobId &id : jobs) {
        const Jobs::iterator it = m_jobs.find(id);
        if (it != m_jobs.end() && !it->second.answer && m_crashes.exceedsLimit(id)) {
            ++m_counters.crashingJobs;
            finish(now, it->second, JobOutcome::Failed, "crashes-servers");
        }
    }
}

bool EntryDispatch::refuseCrashingJob(TimePoint now, ClientTag client, const JobId &id, const QueueRule &queue)
{
    if (!m_crashes.exceedsLimit(id)) {
        return false;
    }
    ++m_counters.crashingJobs;
    m_log.write(LogLevel::Warning, "job-ended",
                "job=" + idText(id) + " queue=" + queue.name + " answer=failed reason=crashes-servers");
    recordEndedJob(now, id, JobStatus::State::Failed);
    m_clients.answer(client, JobOutcome::Failed, "crashes-servers", Duration(0));
    return true;
}

std::vector<std::uint32_t> EntryDispatch::tasksToPlace(const Job &job, std::uint32_t stepIndex) const
{
    const std::vector<TaskState> &tasks = job.steps[stepIndex].tasks;
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase == TaskState::Phase::Waiting) {
            waiting.push_back(i);
        }
    }
    if (!m_crashes.hasSuspect(job.id)) {
        return waiting;
    }
    bool suspectWaits = false;
    bool suspectRuns = false;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        for (std::uint32_t k = 0; k < job.steps[i].tasks.size(); ++k) {
            const TaskState &task = job.steps[i].tasks[k];
            if (!m_crashes.isSuspect(TaskRef{job.id, 0, i, k})) {
                continue;
            }
            if (task.phase == TaskState::Phase::Done) {
                return waiting;
            }
            suspectRuns = suspectRuns || task.isOutstanding();
            suspectWaits = suspectWaits || task.phase == TaskState::Phase::Waiting;
        }
    }
    if (!suspectRuns && !suspectWaits) {
        return waiting;
    }
    const std::vector<std::uint32_t>::const_iterator first =
        std::find_if(waiting.begin(), waiting.end(), [&](std::uint32_t index) {
            return m_crashes.isSuspect(TaskRef{job.id, 0, stepIndex, index});
        });
    return suspectRuns || first == waiting.end() ? std::vector<std::uint32_t>() : std::vector<std::uint32_t>{*first};
}

Isolation EntryDispatch::isolationOf(TimePoint now, const Job &job, std::uint32_t stepIndex,
                                     const std::vector<std::uint32_t> &tasks) const
{
    if (m_isolation.isIsolated(now, job.queue->service, queueKey(job.queue->name))) {
        return Isolation::Confined;
    }
    const bool serversCrash = m_isolation.affectsService(now, job.queue->service);
    for (const std::uint32_t task : tasks) {
        if (m_crashes.isSuspect(TaskRef{job.id, 0, stepIndex, task})) {
            return serversCrash ? Isolation::Confined : Isolation::Preferred;
        }
    }
    return serversCrash ? Isolation::Outside : Isolation::None;
}

} // namespace cuminscale::dispatch
