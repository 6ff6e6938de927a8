/// Simulated clients. They submit, resubmit and cancel work, and check the guarantees at every task start and every answer: a
/// task starts at most once under its id, non-repeatable work at most once under any id. Nothing starts after its deadline or
/// after the answer "not run". A complete answer has the result of every task, and repeated answers are equal.
#pragma once

#include "simulation.h"

namespace cuminscale::test
{

/// One job or request and its state at the client. The digest of its specification and its payloads contain its number.
struct ClientJob
{
    SubmissionId id;
    std::shared_ptr<const JobSpec> spec;
    TimePoint submitted;
    Duration deadline{0}; ///< Time from `submitted`.
    TimePoint latestStart; ///< The latest deadline among its submissions; each counts from its receipt by an entry.
    bool isRequest = false; ///< A single request, whose id is chosen by the entry.
    int answers = 0;
    int submissions = 0;
    bool notRun = false; ///< It was answered with "not run".
    bool complete = false; ///< It was answered with the results of all tasks.
    std::vector<std::string> bodies; ///< Results of the last complete answer.
};

/// All clients of a simulation.
class Clients
{
public:
    explicit Clients(Simulation &simulation)
        : m_simulation(simulation)
    { }

    /// Submits a new job or request through a random entry.
    void startSubmission();

    /// Called before a core handles an event; records the deadlines of submissions.
    void onEventDelivered(const Event &event);

    /// Called when a backend server starts a task; checks the guarantees for task starts.
    void onTaskStarted(const effect::StartTask &task);

    std::uint64_t taskStarts() const noexcept
    {
        return m_taskStarts;
    }

    std::uint64_t completeAnswers() const noexcept
    {
        return m_completeAnswers;
    }

    /// Answers that were neither complete nor "not run".
    std::uint64_t otherAnswers() const noexcept
    {
        return m_otherAnswers;
    }

private:
    /// Submits a job with its remaining time. With some probability it is submitted again later, cancelled, or both.
    void submit(std::size_t jobNumber);
    void onAnswer(std::size_t jobNumber, const CallerReply &reply);

    Simulation &m_simulation;
    std::vector<ClientJob> m_jobs;
    std::map<std::string, int> m_startsByPayload;
    std::map<std::pair<SubmissionId, TaskIndex>, int> m_startsByTask;
    std::uint64_t m_taskStarts = 0;
    std::uint64_t m_completeAnswers = 0;
    std::uint64_t m_otherAnswers = 0;
};

} // namespace cuminscale::test
