/// The clients of a fake world: they submit, resubmit and cancel, and check every promise as their work starts and is answered.
#pragma once

#include "world.h"

namespace cuminscale::test
{

/// One submission as its client sees it.
struct ClientJob
{
    SubmissionId id;
    std::shared_ptr<const JobSpec> spec;
    TimePoint submitted;
    Duration deadline{0};
    TimePoint latestStart; ///< When the last of its submissions reaches its deadline.
    bool isRequest = false;
    int answers = 0;
    int asked = 0;
    bool notRun = false;
    bool complete = false;
    std::vector<std::string> bodies;
};

/// All clients of a world.
class Clients
{
public:
    explicit Clients(World &world)
        : m_world(world)
    { }

    /// Begins a new submission through any entry.
    void newWork();

    /// An entry is about to read a call.
    void onHandled(const Event &event);

    /// A backend server starts a task.
    void onStart(const effect::StartTask &task);

    std::uint64_t starts() const noexcept
    {
        return m_totalStarts;
    }

    std::uint64_t completeAnswers() const noexcept
    {
        return m_complete;
    }

    /// Answers that were neither whole nor "not run".
    std::uint64_t otherAnswers() const noexcept
    {
        return m_other;
    }

private:
    void submit(std::size_t number);
    void onAnswer(std::size_t number, const CallerReply &reply);

    World &m_world;
    std::vector<ClientJob> m_jobs;
    std::map<std::string, int> m_startsByPayload;
    std::map<std::pair<SubmissionId, TaskIndex>, int> m_startsByTask;
    std::uint64_t m_totalStarts = 0;
    std::uint64_t m_complete = 0;
    std::uint64_t m_other = 0;
};

} // namespace cuminscale::test
