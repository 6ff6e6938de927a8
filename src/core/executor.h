/// Runs granted tasks on this agent's backend server.
#pragma once

#include "core/step.h"

#include <map>
#include <set>
#include <unordered_map>

namespace cuminscale
{

/// Holds offers, claims tasks for free slots, starts each granted task once, and reports the results until they are
/// acknowledged. Tasks reach the backend server through this class alone.
///
/// Invariants, asserted in all builds:
///  - a grant is accepted only while its claim is open, and closes the claim, so a repeated grant starts nothing;
///  - running tasks and open claims together never exceed the slots;
///  - no task is started on a backend server that is leaving or has not renewed its announcement in time.
class Executor
{
public:
    Executor(const CoreSettings &settings, Policies &policies);

    /// The backend server has announced itself, renewed its announcement, or announced that it is leaving. Returns whether
    /// a heartbeat is due at once, because the slots, the service or the acceptance of work has changed.
    bool onAnnounced(Step &step, const event::BackendAnnounced &announced);

    void onOffer(Step &step, const ProcessId &from, const msg::Offer &offer);
    void onWithdraw(const ProcessId &from, const msg::Withdraw &withdraw);

    /// Starts the granted tasks if the claim is still open.
    void onGrant(Step &step, const ProcessId &from, const msg::Grant &grant);

    /// Closes the claim, so that a grant that arrives later starts nothing, and replies which of its tasks have started.
    void onQuery(Step &step, const ProcessId &from, const msg::Query &query);

    /// Cancels the tasks of a claim, running ones included.
    void onCancelClaim(Step &step, const ProcessId &from, const msg::CancelClaim &cancel);

    void onResultsAck(const ProcessId &from, const msg::ResultsAck &ack);
    void onBackendFinished(Step &step, event::BackendFinished &&finished);

    /// An incarnation of a coordinator has ended. Its tasks are cancelled, as nobody waits for their results.
    void onProcessEnded(Step &step, const ProcessId &ended);

    /// Makes no further claims; tasks that have started run to their end.
    void startLeaving()
    {
        m_leaving = true;
    }

    /// Retransmits claims and results, and drops those that have expired as well as stale offers.
    void tick(Step &step);

    /// Claims tasks for free slots.
    void claimForFreeSlots(Step &step);

    /// Claims tasks for free slots, then sends the results gathered in this step.
    void flush(Step &step);

    /// Whether tasks may be claimed and started now.
    bool accepting(TimePoint now) const noexcept;

    /// Whether there is no running task, no open claim and no unacknowledged result.
    bool idle() const noexcept
    {
        return m_tasks.empty() && m_claims.empty();
    }

    /// Slots without a running task and not reserved by an open claim; zero while no work is accepted.
    std::uint32_t freeSlots(TimePoint now) const noexcept;

    /// Free slots that remain after all tasks of the held offers are claimed.
    std::uint32_t spareSlots(TimePoint now) const noexcept;

    std::uint32_t slots() const noexcept
    {
        return m_slots;
    }

    std::uint32_t offersHeld() const noexcept
    {
        return static_cast<std::uint32_t>(m_offers.size());
    }

    const std::string &service() const noexcept
    {
        return m_service;
    }

    bool backendLeaving() const noexcept
    {
        return m_backendLeaving;
    }

private:
    /// An offer that has been neither withdrawn nor dropped.
    struct HeldOffer
    {
        OfferInfo view;
        ProcessId coordinator;
        std::uint32_t claimed = 0; ///< Tasks requested by open claims.
    };

    /// A claim that has been neither granted nor closed.
    struct OpenClaim
    {
        SubmissionId job;
        ProcessId coordinator;
        std::uint32_t want = 0;
        TimePoint createdAt;
        TimePoint lastSentAt;
    };

    /// A granted task, whether started or not, until its result is acknowledged.
    struct TaskRecord
    {
        ProcessId coordinator;
        RunId run; ///< Zero when the task was not started.
        bool ended = false;
        bool cancelled = false; ///< The result is not reported.
        TaskResult result;
        TimePoint grantedAt;
        TimePoint lastSentAt;
        TimePoint endedAt;
        Duration retransmissionTimeout{0};
        TraceContext trace;
        std::uint64_t spanId = 0;
    };

    using TaskRecords = std::map<TaskRef, TaskRecord>;

    /// The first offer in queue order that has unclaimed tasks.
    std::map<SubmissionId, HeldOffer>::iterator bestOffer();
    /// Releases the slots that the claim reserves and removes it.
    void closeClaim(std::map<ClaimId, OpenClaim>::iterator it);
    /// Starts a granted task, or reports it as not started when its deadline has passed or no work is accepted.
    void start(Step &step, const TaskRef &ref, const OpenClaim &claim, const msg::Grant &grant, const msg::GrantedTask &task);
    /// Aborts a running task; drops the result of one that has ended.
    void cancelTask(Step &step, TaskRecords::iterator it);
    TaskRecords::iterator eraseTask(TaskRecords::iterator it);
    /// Queues the result of a task for its coordinator; it is sent at the end of the step.
    void queueResult(Step &step, const TaskRef &ref, TaskRecord &record);

    const CoreSettings &m_settings;
    Policies &m_policies;

    std::string m_service;
    Endpoint m_backend;
    std::uint32_t m_slots = 0;
    bool m_backendLeaving = false;
    TimePoint m_backendValidUntil; ///< End of validity of the backend server's last announcement.
    TimePoint m_backoffUntil; ///< Earliest time for new tasks after a failure to connect to the backend server.

    bool m_leaving = false;
    std::map<SubmissionId, HeldOffer> m_offers;
    std::map<ClaimId, OpenClaim> m_claims;
    ClaimId m_nextClaim{1};
    TaskRecords m_tasks;
    std::unordered_map<RunId, TaskRef, IdHash> m_runs;
    /// Started tasks that have a record, to detect a second start.
    std::set<std::pair<SubmissionId, TaskIndex>> m_startedTasks;
    RunId m_nextRun{1};
    std::uint32_t m_claimedSlots = 0;
    /// Claims up to this one may include tasks whose result was dropped before it was acknowledged.
    ClaimId m_resultsLostUpTo{0};
    std::map<ProcessId, msg::Results> m_outgoing;
};

} // namespace cuminscale
