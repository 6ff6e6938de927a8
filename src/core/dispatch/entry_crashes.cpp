#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

void EntryDispatch::handleServerCrash(TimePoint now, const ProcessId &agent, const ServerCrash &crash)
{
    if (!m_crashes.record(now, agent, crash)) {
        return;
    }
    m_log.write(LogLevel::Info, "server-crash-reported",
                "agent=" + toString(agent.endpoint) + " suspects=" + std::to_string(crash.suspects.size())
                    + " bystanders=" + std::to_string(crash.bystanders.size()));
    std::set<JobId> jobs;
    for (const std::vector<TaskRef> *tasks : {&crash.suspects, &crash.bystanders}) {
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

bool EntryDispatch::refuseCrashingJob(ClientTag client, const JobId &id, const QueueRule &queue)
{
    if (!m_crashes.exceedsLimit(id)) {
        return false;
    }
    ++m_counters.crashingJobs;
    m_log.write(LogLevel::Warning, "job-ended",
                "job=" + idText(id) + " queue=" + queue.name + " answer=failed reason=crashes-servers");
    m_clients.answer(client, JobOutcome::Failed, "crashes-servers", Duration(0));
    return true;
}

} // namespace cuminscale::dispatch
