/// Callers that wait at an entry, and what was sent to coordinators for them.
#pragma once

#include "core/config_document.h"
#include "core/id_stock.h"
#include "core/response_times.h"
#include "core/retry_budget.h"

#include <unordered_map>

namespace cuminscale
{

/// Takes callers' submissions to the coordinators that their ids name, and brings each caller its own answer.
///
/// It keeps no state of any job: whatever is lost here, the caller gets again by resubmitting through any entry.
/// Invariant: once a submission has been sent, "not run" is said only on the coordinator's word.
class PendingCalls
{
public:
    PendingCalls(const CoreSettings &settings, Policies &policies, PeerTable &peers);

    void mintIds(Step &step, CallerTag tag, const call::MintIds &call);
    void submitJob(Step &step, CallerTag tag, const call::SubmitJob &call, Duration deadline);
    /// Has an id barred that this entry will not pass on, unless it has been submitted before.
    void refuseJob(Step &step, CallerTag tag, const call::SubmitJob &call, std::string reason);
    void submitRequest(Step &step, CallerTag tag, const call::SubmitRequest &call, Duration deadline);
    void queryJob(Step &step, CallerTag tag, const call::QueryJob &call);
    void cancelJob(Step &step, CallerTag tag, const call::CancelJob &call);

    /// The caller has hung up. A request that nobody waits for any more is cancelled; a job goes on.
    void callerGone(Step &step, CallerTag tag);

    void onJobReply(Step &step, const ProcessId &from, const msg::JobReply &reply);
    void onMinted(Step &step, const ProcessId &from, const msg::Minted &minted);

    /// A life of a process is over for good; what it coordinated can't be known any more.
    void onProcessEnded(Step &step, const ProcessId &ended);

    /// Another process answers for the ids of a coordinator that shuts down.
    void onSucceeded(Step &step, const ProcessId &coordinator, const ProcessId &successor);

    /// Repeats what is unanswered, gives up what is overdue, keeps ids in stock.
    void tick(Step &step);

    IdStock &stock() noexcept
    {
        return m_stock;
    }

    /// Whether there are ids to be handed out.
    bool stocked() const noexcept
    {
        return m_stock.filled();
    }

    std::size_t size() const noexcept
    {
        return m_calls.size();
    }

private:
    enum class Kind : std::uint8_t { Ids, Job, Request, Query, Cancel };

    struct Call
    {
        Kind kind = Kind::Job;
        SubmissionId id;
        SubmissionId hedge; ///< A second attempt that runs beside the first, for repeatable requests.
        std::shared_ptr<const JobSpec> spec;
        std::string service;
        std::string member;
        std::uint32_t count = 0;
        bool wait = true;
        TimePoint started;
        TimePoint deadline;
        TimePoint lastSent;
        TimePoint lastHeard; ///< When the coordinator last spoke of the submission.
        Duration resendAfter{0};
        std::uint32_t bodiesSent = 0; ///< Copies of the submission sent under the current id.
        std::string refuseWith;
        bool mayHaveRun = false; ///< An earlier attempt under another id has run or may have.
        std::uint32_t attempts = 0; ///< Ids used for a single request.
        TraceContext trace;
        std::uint64_t spanId = 0;
    };

    using Calls = std::unordered_map<CallerTag, Call, IdHash>;

    Call &add(CallerTag tag, Call call);
    bool full(Step &step, CallerTag tag);
    Call newJob(Step &step, const call::SubmitJob &call, Duration deadline) const;
    void sendSubmit(Step &step, Call &call);
    void sendBody(Step &step, const Call &call, const SubmissionId &id);
    void hedge(Step &step, CallerTag tag, Call &call);
    bool otherAttemptGoesOn(Call &call, CallerTag tag, const msg::JobReply &reply);
    void sendFirstAttempt(Step &step, CallerTag tag, Call &call, const ProcessId &avoid);
    bool tryToGiveIds(Step &step, CallerTag tag, Call &call);
    void serveWaiting(Step &step);
    void take(Step &step, CallerTag tag, const msg::JobReply &reply);
    bool retry(Step &step, CallerTag tag, Call &call, const msg::JobReply &reply);
    bool finalRefusal(const Call &call, const msg::JobReply &reply) const;
    void answerJob(Step &step, CallerTag tag, const msg::JobReply &reply, Outcome outcome);
    void answerBusy(Step &step, CallerTag tag, const SubmissionId &id);
    void answerUnknown(Step &step, CallerTag tag, std::string reason);
    void refuse(Step &step, CallerTag tag, CallerReply::Kind kind, std::string reason);
    void finish(Step &step, CallerTag tag, CallerReply reply);
    /// A request that nobody waits for any more is not to be started.
    void cancelAttempts(Step &step, const Call &call);
    void unlink(const SubmissionId &id, CallerTag tag);

    const CoreSettings &m_settings;
    Policies &m_policies;
    PeerTable &m_peers;
    IdStock m_stock;
    RetryBudget m_budget;
    ResponseTimes m_responseTimes;
    Calls m_calls;
    std::unordered_multimap<SubmissionId, CallerTag, IdHash> m_byId;
    std::deque<CallerTag> m_waitingForIds;
};

} // namespace cuminscale
