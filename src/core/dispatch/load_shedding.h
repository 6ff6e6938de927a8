/// Load shedding: refuses part of the less urgent jobs while the fleet is overloaded.
#pragma once

#include "core/dispatch/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminscale::dispatch
{

/// Refuses a growing fraction of the less urgent work as the backlog grows. The queues with the highest demand are cut to a
/// common level, and those below that level lose nothing (max-min fairness).
///
/// A burst in one queue or the loss of servers makes the work exceed the capacity for seconds. Without shedding, the backlog
/// grows until every new job is late: jobs of short tasks, which can wait for the shortest time, miss their objectives first, and
/// jobs of long tasks are admitted and then delayed by later jobs with earlier deadlines. Shedding keeps the backlog short, so
/// that admitted jobs meet their objectives, at the expense of the queue that causes the overload.
class LoadShedding
{
public:
    /// Decides whether to shed a job of this queue, and counts the job towards the queue's demand. `work` is its CPU demand
    /// times its expected run time, in the same unit for all calls; `backlog` is the waiting demand as a fraction of the
    /// capacity.
    bool shouldShed(TimePoint now, const std::string &queue, std::uint32_t urgency, double work, double backlog);

    /// Counts a job as shouldShed() does, and returns the fraction of the queue's jobs to refuse.
    double refusalFraction(TimePoint now, const std::string &queue, std::uint32_t urgency, double work, double backlog);

    /// Adds a fraction of a job to what the queue has to refuse. Returns whether its latest job completes a whole one.
    bool addRefusalCredit(const std::string &queue, double fraction);

    /// Delay after which the client of a refused job may retry. The higher the backlog, the longer the period that retries are
    /// spread over, by job id, so that they don't cause the next burst. Without a backlog the delay is `minimum`.
    static Duration retryAfter(const JobId &job, double backlog, Duration minimum);

    /// Fraction of the less urgent work to shed.
    static double shedFraction(double backlog) noexcept;

    /// The level to which the larger of these demands must be cut to shed this much work; 0 if all of it must be shed.
    static double fairLevel(std::vector<double> demands, double toShed);

private:
    struct Queue
    {
        double recentWork = 0; ///< Submitted work, with exponential decay.
        double refusalCredit = 0; ///< Sum of refusal fractions; a job is refused each time it reaches 1.
        TimePoint updatedAt;
    };

    /// Decays the queues' recent work and removes idle queues.
    void decay(TimePoint now);

    std::map<std::string, Queue> m_queues;
};

} // namespace cuminscale::dispatch
