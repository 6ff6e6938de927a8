/// Runs granted tasks at the backend server beside this agent.
#pragma once

#include "core/step.h"

#include <map>
#include <set>
#include <unordered_map>

namespace cuminscale
{

/// The only door to the backend server's slots: holds offers, claims tasks for free slots, starts them once, and reports
/// their ends until they are acknowledged.
///
/// Invariants, asserted in all builds:
///  - a grant is honoured only while its claim is open, and closes it, so no copy of a grant starts anything;
///  - running tasks and open claims together never exceed the slots;
///  - nothing is started for a backend server that is leaving or has not renewed its announcement.
class Executor
{
public:
    Executor(const CoreSettings &settings, Policies &policies);

    /// The backend server announced, renewed or took back itself. Returns whether the change is worth telling at once.
    bool onAnnounced(Step &step, const event::BackendAnnounced &announced);

    void onOffer(Step &step, const ProcessId &from, const msg::Offer &offer);
    void onWithdraw(const ProcessId &from, const msg::Withdraw &withdraw);

    /// Starts the granted tasks if the claim is still open.
    void onGrant(Step &step, const ProcessId &from, const msg::Grant &grant);

    /// Bars the claim if it is open and says which of its tasks have started.
    void onQuery(Step &step, const ProcessId &from, const msg::Query &query);

    /// Gives up a claim's tasks, running ones included.
    void onCancelClaim(Step &step, const ProcessId &from, const msg::CancelClaim &cancel);

    void onResultsAck(const ProcessId &from, const msg::ResultsAck &ack);
    void onBackendFinished(Step &step, event::BackendFinished &&finished);

    /// A life of a coordinator is over for good: nobody waits for its tasks any more.
    void onProcessEnded(Step &step, const ProcessId &ended);

    /// Takes no further claims; what is granted is finished.
    void startLeaving()
    {
        m_leaving = true;
    }

    /// Repeats and expires claims, repeats results, forgets stale offers.
    void tick(Step &step);

    /// Claims tasks for free slots.
    void claimForFreeSlots(Step &step);

    /// Sends the ends gathered in this step.
    void settle(Step &step);

    /// Whether new work may be started now.
    bool accepting(TimePoint now) const noexcept;

    /// Whether nothing runs, is claimed, or waits to be acknowledged.
    bool idle() const noexcept
    {
        return m_ledger.empty() && m_claims.empty();
    }

    /// Slots that are neither running nor claimed for.
    std::uint32_t freeSlots(TimePoint now) const noexcept;

    /// Free slots beyond what the offers at hand will take.
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
    struct HeldOffer
    {
        OfferView view;
        ProcessId coordinator;
        std::uint32_t claimed = 0;
    };

    struct OpenClaim
    {
        SubmissionId job;
        ProcessId coordinator;
        std::uint32_t want = 0;
        TimePoint made;
        TimePoint sent;
    };

    /// A task that this agent has started, or was granted and won't start, until its end is acknowledged.
    struct LedgerEntry
    {
        ProcessId coordinator;
        RunId run;
        bool ended = false;
        bool unwanted = false; ///< Cancelled: its end is not reported.
        TaskResult result;
        TimePoint granted;
        TimePoint lastSent;
        TimePoint endedAt;
        Duration resendAfter{0};
        TraceContext trace;
        std::uint64_t spanId = 0;
    };

    using Ledger = std::map<TaskRef, LedgerEntry>;

    std::map<SubmissionId, HeldOffer>::iterator bestOffer();
    void closeClaim(std::map<ClaimId, OpenClaim>::iterator it);
    void start(Step &step, const TaskRef &ref, const OpenClaim &claim, const msg::Grant &grant, const msg::GrantedTask &task);
    void giveUp(Step &step, Ledger::iterator it);
    Ledger::iterator eraseEntry(Ledger::iterator it);
    void queueResult(Step &step, const TaskRef &ref, LedgerEntry &entry);

    const CoreSettings &m_settings;
    Policies &m_policies;

    std::string m_service;
    Endpoint m_backend;
    std::uint32_t m_slots = 0;
    bool m_backendLeaving = false;
    TimePoint m_backendValidUntil;
    TimePoint m_unreachableUntil; ///< The backend server took no connection; it is left alone until then.

    bool m_leaving = false;
    std::map<SubmissionId, HeldOffer> m_offers;
    std::map<ClaimId, OpenClaim> m_claims;
    ClaimId m_nextClaim{1};
    Ledger m_ledger;
    std::unordered_map<RunId, TaskRef, IdHash> m_runs;
    std::set<std::pair<SubmissionId, TaskIndex>> m_startedTasks;
    RunId m_nextRun{1};
    std::uint32_t m_claimedSlots = 0;
    /// Claims up to this one may have had tasks whose end was dropped unacknowledged.
    ClaimId m_forgottenUpTo{0};
    std::map<ProcessId, msg::Results> m_outgoing;
};

} // namespace cuminscale
