#include "core/dispatch/crash_history.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Crashes that a task is suspected of after which it is not started again. One may be a coincidence. Runs whose start had no
/// answer don't count here, as they may not have begun.
constexpr std::int32_t MaxSuspectedCrashes = 2;
/// The same for all crashes of servers that had a run of the task, since the wrong tasks may have been suspected.
constexpr std::int32_t MaxCrashes = 3;
/// Clients resubmit a job for as long as they wait for its answer, and seconds after it.
constexpr Duration CrashRetention = seconds(30);
constexpr std::size_t MaxTasksPerCrash = 64; ///< Limits the size of a report.
constexpr std::size_t MaxRecords = 4096;

} // namespace

void CrashReports::add(TimePoint now, ServerCrash &&crash)
{
    while (!m_records.empty() && now - m_records.front().at > CrashRetention) {
        m_records.pop_front();
    }
    crash.number = ++m_lastNumber;
    crash.suspects.resize(std::min(crash.suspects.size(), MaxTasksPerCrash));
    crash.unanswered.resize(std::min(crash.unanswered.size(), MaxTasksPerCrash - crash.suspects.size()));
    const std::size_t suspects = crash.suspects.size() + crash.unanswered.size();
    crash.bystanders.resize(std::min(crash.bystanders.size(), MaxTasksPerCrash - suspects));
    m_records.push_back(Record{now, std::move(crash)});
}

std::vector<ServerCrash> CrashReports::unconfirmed(TimePoint now, TimePoint confirmedUpTo) const
{
    std::vector<ServerCrash> crashes;
    for (const Record &record : m_records) {
        if (record.at >= confirmedUpTo && now - record.at <= CrashRetention) {
            crashes.push_back(record.crash);
        }
    }
    return crashes;
}

bool CrashHistory::record(TimePoint now, const ProcessId &agent, const ServerCrash &crash)
{
    const CrashId id{agent, crash.number};
    if (!m_known.insert(id).second) {
        return false;
    }
    m_records.push_back(Record{now, id, crash, isConfirming(crash)});
    updateAll(m_records.back(), true);
    return true;
}

bool CrashHistory::isConfirming(const ServerCrash &crash) const
{
    if (crash.suspects.size() != 1 || !crash.unanswered.empty()) {
        return false;
    }
    const std::unordered_map<TaskRef, TaskCrashes, TaskRefHash>::const_iterator it = m_crashesByTask.find(crash.suspects.front());
    return it != m_crashesByTask.end() && it->second.unanswered > 0;
}

void CrashHistory::updateAll(const Record &record, bool add)
{
    for (const TaskRef &task : record.crash.suspects) {
        update(task, &TaskCrashes::suspected, record.confirming, add);
    }
    for (const TaskRef &task : record.crash.unanswered) {
        update(task, &TaskCrashes::unanswered, false, add);
    }
    for (const TaskRef &task : record.crash.bystanders) {
        update(task, nullptr, false, add);
    }
}

void CrashHistory::update(const TaskRef &task, std::int32_t TaskCrashes::*counter, bool confirming, bool add)
{
    TaskCrashes &crashes = m_crashesByTask[task];
    JobCrashes &job = m_crashesByJob[task.job];
    const auto addToJob = [&](std::int32_t sign) {
        job.tasks += crashes.all > 0 ? sign : 0;
        job.suspects += crashes.suspected + crashes.unanswered > 0 ? sign : 0;
        job.overLimit += exceedsLimit(crashes) ? sign : 0;
    };
    // The task leaves the counts of its job with its old numbers and enters them with the new ones.
    addToJob(-1);
    const std::int32_t step = add ? 1 : -1;
    crashes.all += step;
    if (counter != nullptr) {
        crashes.*counter += step;
    }
    crashes.confirming += confirming ? step : 0;
    addToJob(1);
    if (crashes.all == 0) {
        m_crashesByTask.erase(task);
    }
    if (job.tasks == 0) {
        m_crashesByJob.erase(task.job);
    }
}

bool CrashHistory::exceedsLimit(const TaskCrashes &crashes) noexcept
{
    const std::int32_t confirmed = std::min(crashes.confirming, crashes.unanswered);
    return crashes.suspected + confirmed >= MaxSuspectedCrashes || crashes.all >= MaxCrashes;
}

bool CrashHistory::isSuspect(const TaskRef &task) const
{
    const std::unordered_map<TaskRef, TaskCrashes, TaskRefHash>::const_iterator it = m_crashesByTask.find(task);
    return it != m_crashesByTask.end() && it->second.suspected + it->second.unanswered > 0;
}

bool CrashHistory::hasSuspect(const JobId &job) const
{
    const std::unordered_map<JobId, JobCrashes, JobIdHash>::const_iterator it = m_crashesByJob.find(job);
    return it != m_crashesByJob.end() && it->second.suspects > 0;
}

bool CrashHistory::exceedsLimit(const JobId &job) const
{
    const std::unordered_map<JobId, JobCrashes, JobIdHash>::const_iterator it = m_crashesByJob.find(job);
    return it != m_crashesByJob.end() && it->second.overLimit > 0;
}

void CrashHistory::expire(TimePoint now)
{
    while (!m_records.empty() && (now - m_records.front().at > CrashRetention || m_records.size() > MaxRecords)) {
        updateAll(m_records.front(), false);
        m_known.erase(m_records.front().id);
        m_records.pop_front();
    }
}

} // namespace cuminscale::dispatch
