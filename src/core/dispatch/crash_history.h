/// Crashes of backend servers, and the tasks that may have caused them.
#pragma once

#include "core/dispatch/messages.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cuminscale::dispatch
{

/// Crashes that an agent has noticed, kept for the entries. The agent outlives both its server and the entry that ordered the
/// runs, so what it saw is still known when the client resubmits the job to another entry.
class CrashReports
{
public:
    /// Adds a crash and numbers it.
    void add(TimePoint now, ServerCrash &&crash);

    /// The crashes to include in a report to an entry that has confirmed a message sent at `confirmedUpTo`. Every report contains
    /// those that are not confirmed yet, so a confirmed message contained all crashes before it.
    std::vector<ServerCrash> unconfirmed(TimePoint now, TimePoint confirmedUpTo) const;

private:
    struct Record
    {
        TimePoint at;
        ServerCrash crash;
    };

    std::uint64_t m_lastNumber = 0;
    std::deque<Record> m_records; ///< Oldest first.
};

/// What an entry has learned about crashes from all agents.
class CrashHistory
{
public:
    /// Records a crash that an agent has reported. Returns false if it was known already.
    bool record(TimePoint now, const ProcessId &agent, const ServerCrash &crash);

    /// Whether the task is suspected of having crashed a server.
    bool isSuspect(const TaskRef &task) const;

    /// Whether that holds for any task of the job.
    bool hasSuspect(const JobId &job) const;

    /// Whether so many servers have crashed under a task of the job that the job must not be run again.
    bool exceedsLimit(const JobId &job) const;

    /// Forgets what is older than the retention.
    void expire(TimePoint now);

private:
    /// The number of a crash is unique within an incarnation of its agent.
    using CrashId = std::pair<ProcessId, std::uint64_t>;

    struct Record
    {
        TimePoint at;
        CrashId id;
        ServerCrash crash;
        bool confirming = false; ///< See TaskCrashes::confirming.
    };

    /// Crashes of servers that had a run of one task.
    struct TaskCrashes
    {
        std::int32_t suspected = 0; ///< With a start that the server had confirmed.
        std::int32_t unanswered = 0; ///< As a suspect whose start had no answer.
        /// As the only suspect, after a crash as a suspect without an answer: most likely the task caused that one as well.
        std::int32_t confirming = 0;
        std::int32_t all = 0;
    };

    /// Numbers of tasks of one job.
    struct JobCrashes
    {
        std::int32_t tasks = 0; ///< All tasks that had a run on a server that crashed.
        std::int32_t suspects = 0;
        std::int32_t overLimit = 0;
    };

    static bool exceedsLimit(const TaskCrashes &crashes) noexcept;
    /// Whether the only suspect is a task that was suspected before, with a start that had no answer.
    bool isConfirming(const ServerCrash &crash) const;
    /// Adds a crash under one task, or removes it.
    void update(const TaskRef &task, std::int32_t TaskCrashes::*counter, bool confirming, bool add);
    void updateAll(const Record &record, bool add);

    std::deque<Record> m_records; ///< Oldest first.
    std::set<CrashId> m_known;
    std::unordered_map<TaskRef, TaskCrashes, TaskRefHash> m_crashesByTask;
    std::unordered_map<JobId, JobCrashes, JobIdHash> m_crashesByJob;
};

} // namespace cuminscale::dispatch
