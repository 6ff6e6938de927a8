/// State of a job at the entry that coordinates it.
#pragma once

#include "core/dispatch/queue_config.h"
#include "ports/dispatch_ports.h"

namespace cuminscale::dispatch
{

struct TaskState
{
    enum class Phase : std::uint8_t {
        Blocked, ///< Earlier steps that it depends on have not completed.
        Waiting, ///< Ready to be placed at an agent.
        Ordered, ///< A start order was sent and not yet acknowledged.
        Queued, ///< In the agent's queue.
        Running,
        Orphaned, ///< The agent restarted; the run may continue until the agent's new incarnation has listed its server's runs.
        Done,
    };

    Phase phase = Phase::Blocked;
    Endpoint agent;
    RunNumber run; ///< The latest run.
    std::uint32_t failures = 0;
    std::uint32_t placements = 0;
    bool stopSent = false;
    TimePoint orderedAt;
    TimePoint lastRequestAt; ///< When a start or stop order was last sent.
    TimePoint startedAt;
    Duration runTime{0}; ///< Of the completed run.
    std::vector<Endpoint> avoid; ///< Agents on which a run of it did not complete.
    /// Longest time that a stopped run had lasted, as on a server of ordinary speed near the data.
    Duration reachedAge{0};
    bool nearData = false; ///< Sent to a server near its data by DataLocality.
    bool handedBack = false; ///< A run of it has waited near its data until the limit.
    TimePoint waitUntil; ///< See StartOrder::waitWithin; zero for no limit.

    /// Whether an agent may have a run of the task.
    bool isOutstanding() const noexcept
    {
        return phase == Phase::Ordered || phase == Phase::Queued || phase == Phase::Running || phase == Phase::Orphaned;
    }
};

struct StepState
{
    Duration expectedRun{0};
    std::vector<TaskState> tasks;
    std::uint32_t done = 0;
    /// Of the completed tasks, on a server of ordinary speed near the data; tasks of a step have similar run times.
    Duration longestRunTime{0};
    bool runTimesValid = true; ///< False once a run time includes a delay in the server's responses.
};

/// A client's request to run a job, for as long as the client waits.
struct WaitingClient
{
    ClientTag tag;
    TimePoint deadline; ///< Latest time of its answer.
    TimePoint requestedAt; ///< When its request arrived.
    /// The queue of its request in the configuration that was in force when the job was last submitted for it.
    std::shared_ptr<const QueueRule> queue;
    std::shared_ptr<const JobSpec> spec; ///< As in its request.
};

struct Job
{
    JobId id;
    std::shared_ptr<const QueueRule> queue;
    std::shared_ptr<const JobSpec> spec;
    std::shared_ptr<const std::string> payload;
    std::vector<ClientTag> clients;
    /// Clients that resubmitted the job after its answer, while runs were still being stopped. The job is submitted for them
    /// afterwards as their own requests and the configuration of that time have it.
    std::vector<WaitingClient> resubmittedClients;
    /// Given up because another coordinator has runs of it. Clients that have resubmitted it have to wait for these as well.
    bool runsElsewhere = false;
    std::vector<Endpoint> joinedEntries; ///< Other entries to notify of the outcome.
    TimePoint receivedAt; ///< Since when this entry lists it as active, including the time for which it was held.
    /// When the request of the first client arrived; earlier than `receivedAt` if another entry coordinated the job at first.
    TimePoint requestedAt;
    TimePoint objectiveDeadline; ///< From the queue's latency objective; a later success counts as late.
    TimePoint clientDeadline; ///< Latest time of an answer, shortly before the last client times out.
    std::vector<StepState> steps;
    bool lateAllowed = false; ///< It was held until it was late, and may start on servers that are free.
    bool admitted = false; ///< Tasks have been assigned. Before, the job may be refused.
    bool heldBack = false; ///< Not admitted because another entry may have runs of it.
    bool started = false; ///< A run has started or may have started.
    std::optional<JobOutcome> answer; ///< Set once the outcome is decided, possibly before all runs have stopped.
    bool answered = false; ///< Whether `answer` is final and was sent to the clients.
    TimePoint answerDecidedAt;
    const char *reason = ""; ///< Why the job ended or could not be placed; for the log and the clients.
};

/// State that is recorded for an ended job. A job that was given up may be resubmitted, like one that was refused.
inline JobStatus::State stateAfter(JobOutcome answer) noexcept
{
    switch (answer) {
    case JobOutcome::Succeeded:
        return JobStatus::State::Succeeded;
    case JobOutcome::Failed:
        return JobStatus::State::Failed;
    case JobOutcome::Cancelled:
        return JobStatus::State::Cancelled;
    case JobOutcome::NotRun:
    case JobOutcome::NoQueue:
    case JobOutcome::GivenUp:
        break;
    }
    return JobStatus::State::Refused;
}

} // namespace cuminscale::dispatch
