/// Simulated clients. They submit, resubmit and cancel work, and check the guarantees at every task start and every answer: a
/// task starts at most once under its id, non-repeatable work at most once under any id; nothing starts after its deadline or
/// after the answer "not run"; a complete answer has the result of every task, and repeated answers are equal.
#pragma once

#include "world.h"

namespace cuminscale::test
{

/// One job or request and its state at the client.
struct ClientJob
{
    SubmissionId id;
    std::shared_ptr<const JobSpec> spec;
    TimePoint submitted;
    Duration deadline{0};
    TimePoint latestStart; ///< The latest deadline among its submissions.
    bool isRequest = false; ///< A single request, whose id is chosen by the entry.
    int answers = 0;
    int submissions = 0;
    bool notRun = false; ///< Whether it was answered with "not run".
    bool complete = false;
    std::vector<std::string> bodies;
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

    /// Called before a core handles an event.
    void onEventDelivered(const Event &event);

    /// Called when a backend server starts a task.
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
