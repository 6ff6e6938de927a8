/// Coordinates the submissions whose ids this process has minted.
#pragma once

#include "core/peer_table.h"

#include <deque>
#include <map>
#include <set>

namespace cuminscale
{

/// The only part of the system that may decide that a task starts.
///
/// Invariants, asserted in all builds:
///  - a task has at most one live grant, and is granted again only after the agent that held the grant has said that it has
///    not started the task and has barred it;
///  - an id that was answered with Refused stays barred;
///  - an id below the low-water mark that is no longer remembered is never accepted.
class Coordinator
{
public:
    Coordinator(const CoreSettings &settings, Policies &policies);

    /// Hands a range of fresh ids to an entry.
    void onMint(Step &step, const ProcessId &from, const msg::Mint &mint);

    /// Accepts, joins or refuses a submission. `age` is the most that the message can have been under way; without it the
    /// deadline can't be told, and the entry is asked to send again.
    void onSubmit(Step &step, const ProcessId &from, const msg::Submit &submit, std::optional<Duration> age,
                  const PeerTable &peers);

    /// Tells an entry how a submission stands, and its end once it comes.
    void onAwait(Step &step, const ProcessId &from, const msg::Await &await);

    /// Ends a job for its member, or bars an id that has not been seen yet.
    void onCancel(Step &step, const ProcessId &from, const msg::Cancel &cancel);

    /// Grants waiting tasks to an agent with free slots.
    void onClaim(Step &step, const ProcessId &from, const msg::Claim &claim);

    /// Records ends of tasks and acknowledges them.
    void onResults(Step &step, const ProcessId &from, const msg::Results &results);

    /// Takes back the tasks that an agent has barred.
    void onQueryReply(Step &step, const ProcessId &from, const msg::QueryReply &reply);

    /// A life of a process is over for good: what it had been granted can't be known any more.
    void onProcessEnded(Step &step, const ProcessId &ended);

    /// Hands out no more ids; submissions under those that are out are still taken.
    void startLeaving()
    {
        m_leaving = true;
    }

    /// Takes no more submissions, and gives every record away, in parts. Only once idle.
    std::vector<msg::Handoff> close();

    /// Deadlines, doubtful grants, offers to further agents, memory of old answers.
    void tick(Step &step, const PeerTable &peers);

    /// Sends what this step has gathered.
    void settle(Step &step);

    /// Whether no job is in progress.
    bool idle() const noexcept
    {
        return m_active.empty();
    }

    std::size_t activeJobs() const noexcept
    {
        return m_active.size();
    }

    std::uint32_t waitingTasks() const noexcept
    {
        return m_waitingTasks;
    }

    /// Reported with every answer, so that entries choose well.
    void setFreeSlots(std::uint32_t freeSlots) noexcept
    {
        m_freeSlots = freeSlots;
    }

private:
    /// Tasks granted under one claim whose ends are outstanding.
    struct LiveGrant
    {
        std::vector<TaskIndex> open;
        TimePoint lastNews;
        TimePoint lastQuery;
    };

    using GrantKey = std::pair<ProcessId, ClaimId>;

    /// A job in progress.
    struct Job
    {
        std::shared_ptr<const JobSpec> spec;
        TimePoint deadline;
        TimePoint accepted;
        std::deque<TaskIndex> waiting;
        std::vector<TaskResult> results;
        std::vector<bool> ended;
        std::uint32_t done = 0;
        bool anyStarted = false; ///< Whether an agent has said that a task was started.
        std::map<GrantKey, LiveGrant> grants;
        std::map<ProcessId, ClaimId> lastClaim;
        std::set<ProcessId> offered;
        TimePoint lastOffer;
        TimePoint lastClaimed;
        TimePoint offeredAnew;
        std::set<ProcessId> waiters;
        TraceContext trace;
        std::uint64_t spanId = 0;
        std::vector<Span> spans;
    };

    /// What is remembered of an id: a job in progress, its end, or that it is barred.
    struct Record
    {
        std::unique_ptr<Job> job;
        msg::JobReply end;
        Digest digest;
        std::string member;
        std::size_t bytes = 0;
    };

    /// Where an ended record stands in the order of forgetting.
    struct EndedAt
    {
        TimePoint when;
        Sequence sequence;
    };

    SubmissionId idOf(Sequence sequence) const;
    void reply(Step &step, const ProcessId &to, const msg::JobReply &reply);
    void replyState(Step &step, const ProcessId &to, SubmissionId id, JobState state, std::string reason);
    bool replyIfForgotten(Step &step, const ProcessId &from, const SubmissionId &id);
    void bar(Step &step, const ProcessId &from, const SubmissionId &id, std::string reason, Duration retryAfter, Digest digest);
    void accept(Step &step, const ProcessId &from, const msg::Submit &submit, Duration budget, const PeerTable &peers);
    msg::JobReply progressOf(const SubmissionId &id, const Record &record) const;
    void offer(Step &step, const SubmissionId &id, Job &job, const PeerTable &peers);
    void recordResult(Step &step, const ProcessId &from, const msg::ResultItem &item);
    void takeBack(Job &job, TaskIndex index);
    void complete(Step &step, Sequence sequence, Record &record);
    void fail(Step &step, Sequence sequence, Record &record, std::string reason, bool outcomeUnknown = false);
    void finish(Step &step, Sequence sequence, Record &record, msg::JobReply &&end);
    void forgetOld(Step &step);
    void askAboutDoubtful(Step &step, Sequence sequence, Record &record);

    const CoreSettings &m_settings;
    Policies &m_policies;
    bool m_leaving = false;
    bool m_closed = false;
    std::uint32_t m_freeSlots = 0;
    Sequence m_nextSequence{1};
    Sequence m_lowWater{1}; ///< Ids below it that are not in m_records are expired.
    std::map<Sequence, Record> m_records;
    std::set<Sequence> m_active;
    std::deque<EndedAt> m_ended;
    std::uint64_t m_answerBytes = 0;
    std::uint32_t m_waitingTasks = 0;
    std::map<ProcessId, std::vector<TaskRef>> m_acks;
};

} // namespace cuminscale
