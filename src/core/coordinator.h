/// Coordinates the submissions whose ids this process has issued.
#pragma once

#include "core/peer_table.h"

#include <deque>
#include <map>
#include <set>

namespace cuminscale
{

/// Accepts submissions, grants their tasks to agents and collects the results. No other class may decide that a task starts.
///
/// Invariants, asserted in all builds:
///  - a task has at most one live grant, and is granted again only after the agent that held the grant has reported that it
///    has not started the task and will not start it under that claim;
///  - an id that was answered with Refused is never accepted later: its record stays as a tombstone;
///  - an id below the low-water mark without a record is never accepted, as its record may have been evicted.
class Coordinator
{
public:
    Coordinator(const CoreSettings &settings, Policies &policies);

    /// Issues a range of new ids to an entry.
    void onMint(Step &step, const ProcessId &from, const msg::Mint &mint);

    /// Accepts or refuses a new submission; a repeated one gets the state of the job. `age` is an upper bound on the time
    /// since the message was sent. Without it the time left until the deadline is unknown, and the reply is NotKnown, so that
    /// the entry submits again.
    void onSubmit(Step &step, const ProcessId &from, const msg::Submit &submit, std::optional<Duration> age,
                  const PeerTable &peers);

    /// Replies with the state of a submission, and with its final reply once the job has ended.
    void onAwait(Step &step, const ProcessId &from, const msg::Await &await);

    /// Cancels a job of the given member. For an id without a record it leaves a tombstone, so that a submission that
    /// arrives later is refused.
    void onCancel(Step &step, const ProcessId &from, const msg::Cancel &cancel);

    /// Grants waiting tasks to an agent with free slots.
    void onClaim(Step &step, const ProcessId &from, const msg::Claim &claim);

    /// Records the results of tasks and acknowledges them.
    void onResults(Step &step, const ProcessId &from, const msg::Results &results);

    /// Queues the tasks again that an agent has not started and will not start under the queried claim.
    void onQueryReply(Step &step, const ProcessId &from, const msg::QueryReply &reply);

    /// An incarnation of a process has ended. Jobs with tasks granted to it fail, with their outcome unknown.
    void onProcessEnded(Step &step, const ProcessId &ended);

    /// Issues no more ids; submissions under ids issued before are still accepted.
    void startLeaving()
    {
        m_leaving = true;
    }

    /// Accepts no more submissions and returns all records, split into messages for the successor. Requires idle().
    std::vector<msg::Handoff> closeAndExportRecords();

    /// Fails jobs past their deadline, queries stale grants, offers waiting tasks to further agents, evicts old records.
    void tick(Step &step, const PeerTable &peers);

    /// Sends the acknowledgements of results that were gathered in this step.
    void flush(Step &step);

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

    /// Sets the free slots of this agent's own backend server, less the tasks of the offers that it holds. Each reply reports
    /// them, and entries choose coordinators by them.
    void setFreeSlots(std::uint32_t freeSlots) noexcept
    {
        m_freeSlots = freeSlots;
    }

private:
    /// The tasks granted under one claim that have not ended.
    struct LiveGrant
    {
        std::vector<TaskIndex> openTasks;
        TimePoint lastUpdate; ///< When the agent last sent a result or a query reply for the claim.
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
        bool anyStarted = false; ///< Whether an agent has reported a task as started.
        std::map<GrantKey, LiveGrant> grants;
        std::map<ProcessId, ClaimId> lastClaimId; ///< The newest claim seen from each agent.
        std::set<ProcessId> offeredTo; ///< Agents that get no further offer until it is cleared.
        TimePoint lastOfferAt;
        TimePoint lastClaimAt;
        TimePoint lastOfferReset; ///< When the job was accepted, or offeredTo was last cleared because no agent had claimed.
        std::set<ProcessId> waiters; ///< Entries that get the final reply.
        TraceContext trace;
        std::uint64_t spanId = 0;
        std::vector<Span> spans;
    };

    /// The record of an id: a job in progress, or the final reply. The final reply of a refused id is its tombstone.
    struct Record
    {
        std::unique_ptr<Job> job;
        msg::JobReply finalReply;
        Digest digest;
        std::string member;
        std::size_t bytes = 0; ///< Memory used by the final reply.
    };

    /// A record in the order of eviction.
    struct EndedRecord
    {
        TimePoint endedAt;
        Sequence sequence;
    };

    SubmissionId idOf(Sequence sequence) const;
    void reply(Step &step, const ProcessId &to, const msg::JobReply &reply);
    void replyState(Step &step, const ProcessId &to, SubmissionId id, JobState state, std::string reason);
    /// Replies with Expired and returns true when the id was never issued or its record may have been evicted.
    bool replyIfExpired(Step &step, const ProcessId &from, const SubmissionId &id);
    /// Refuses an id without a record and leaves a tombstone.
    void recordRefusal(Step &step, const ProcessId &from, const SubmissionId &id, std::string reason, Duration retryAfter,
                       Digest digest);
    void accept(Step &step, const ProcessId &from, const msg::Submit &submit, Duration budget, const PeerTable &peers);
    /// The progress of a job, or its final reply.
    msg::JobReply currentReply(const SubmissionId &id, const Record &record) const;
    void offer(Step &step, const SubmissionId &id, Job &job, const PeerTable &peers);
    void recordResult(Step &step, const ProcessId &from, const msg::ResultItem &item);
    /// Queues a granted task again that the agent has not started.
    void requeue(Job &job, TaskIndex index);
    void complete(Step &step, Sequence sequence, Record &record);
    /// Ends a job early: as refused if no task can have started, otherwise as failed.
    void fail(Step &step, Sequence sequence, Record &record, std::string reason, bool outcomeUnknown = false);
    void finish(Step &step, Sequence sequence, Record &record, msg::JobReply &&finalReply);
    void evictOldRecords(Step &step);
    /// Queries agents about grants without updates; fails the job when a grant has had none for Timing::goneAfter.
    void queryStaleGrants(Step &step, Sequence sequence, Record &record);

    const CoreSettings &m_settings;
    Policies &m_policies;
    bool m_leaving = false;
    bool m_closed = false;
    std::uint32_t m_freeSlots = 0;
    Sequence m_nextSequence{1};
    Sequence m_lowWater{1}; ///< Ids below it without a record are expired.
    std::map<Sequence, Record> m_records;
    std::set<Sequence> m_active;
    std::deque<EndedRecord> m_ended;
    std::uint64_t m_answerBytes = 0;
    std::uint32_t m_waitingTasks = 0;
    std::map<ProcessId, std::vector<TaskRef>> m_acks;
};

} // namespace cuminscale
