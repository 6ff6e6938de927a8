/// Jobs that wait until their entry may admit jobs.
#pragma once

#include "core/dispatch/job.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cuminscale::dispatch
{

/// A job that is not admitted yet. No run of it has been ordered.
struct HeldJob
{
    JobId id;
    std::vector<WaitingClient> clients; ///< The first one has submitted the job, the others have joined it.
    TimePoint heldSince; ///< Its objective counts from then, and it is on the list of active jobs since then.
    TimePoint latestStart; ///< Latest start that meets its objective.
    TimePoint usefulUntil; ///< Latest start that leaves time for its run before its client's deadline.
    std::uint32_t tasks = 1; ///< Tasks that are placed when it is admitted.
};

/// A bounded queue of jobs that arrive before an entry may admit jobs, ordered by latest start.
///
/// Load pattern: all processes have restarted, and clients submit jobs at the usual rate for the 0.3 s to 2 s until entries have
/// heard each other. Urgent jobs can no longer be in time after a tenth of a second, long ones after half a second. When
/// admission opens, the waiting work may exceed the capacity, and an entry has the processor time for few jobs in a tick.
class HeldJobs
{
public:
    explicit HeldJobs(std::size_t maxJobs)
        : m_maxJobs(maxJobs)
    { }

    /// Result of add(): whether the job is held, and the job that has left the full queue for it.
    struct Added
    {
        bool held = false;
        std::optional<HeldJob> removed;
    };

    /// Adds a job that is not in the queue. A full queue drops the job with the earliest latest start if that has passed, and
    /// otherwise does not take the new one.
    Added add(TimePoint now, HeldJob &&job);

    HeldJob *find(const JobId &id);
    bool contains(const JobId &id) const
    {
        return m_jobs.count(id) > 0;
    }

    /// Adds a client that has submitted a held job as well. The job stays until the last one's deadline.
    void join(HeldJob &job, const WaitingClient &client, TimePoint usefulUntil);

    std::optional<HeldJob> remove(const JobId &id);

    /// Removes the jobs that can no longer end before their clients' deadlines.
    std::vector<HeldJob> takeExpired(TimePoint now);

    std::vector<HeldJob> takeAll();

    /// Removes and returns the job to admit next: those that can be in time come first, by latest start, then the late ones in
    /// the same order.
    std::optional<HeldJob> takeNext(TimePoint now);

    /// Whether a new job has to wait behind a held one.
    bool isAheadOf(TimePoint now, TimePoint latestStart) const;

    /// Limits the deadlines of all clients.
    void limitDeadlines(TimePoint deadline);

    std::vector<JobKey> keys() const;

    std::size_t size() const noexcept
    {
        return m_jobs.size();
    }

    bool empty() const noexcept
    {
        return m_jobs.empty();
    }

private:
    using Jobs = std::unordered_map<JobId, HeldJob, JobIdHash>;

    HeldJob take(const Jobs::iterator &it);

    std::size_t m_maxJobs;
    Jobs m_jobs;
    std::set<std::pair<TimePoint, JobId>> m_order; ///< By latest start.
};

/// Tells when an entry that has just started has heard the agents.
///
/// Load pattern: agents report to a new entry one after another within an interval of their reports. Held jobs that are released
/// as soon as the first one has reported would all be placed there, and be refused for lack of capacity. The reports also tell of
/// tasks that have crashed servers, which must not be started again.
class AgentArrival
{
public:
    /// Records the number of agents heard. To be called every tick.
    void record(TimePoint now, std::size_t agents) noexcept;

    bool settled(TimePoint now) const noexcept;

private:
    std::size_t m_agents = 0;
    TimePoint m_firstAt;
    TimePoint m_lastIncreaseAt;
};

} // namespace cuminscale::dispatch
