/// The calls that an entry has not answered yet, and the submissions that it has sent to coordinators for them.
#pragma once

#include "core/config_document.h"
#include "core/id_stock.h"
#include "core/response_times.h"
#include "core/retry_budget.h"

#include <unordered_map>

namespace cuminscale
{

/// Forwards each submission to the coordinator that its id names, and matches the coordinators' replies to the callers.
///
/// Only the coordinators keep the state of jobs. When an entry fails, a caller that resubmits under the same id through any
/// other entry gets the same answer.
/// Invariant: after a submission has been sent, its caller gets the outcome "not run" only if a coordinator's reply proves it.
class PendingCalls
{
public:
    PendingCalls(const CoreSettings &settings, Policies &policies, PeerTable &peers);

    void mintIds(Step &step, CallerTag tag, const call::MintIds &call);
    void submitJob(Step &step, CallerTag tag, const call::SubmitJob &call, Duration deadline);
    /// Asks the coordinator to refuse the id permanently, because this entry rejects the job. If the id has been submitted
    /// before, the caller gets the state of that submission instead.
    void refuseJob(Step &step, CallerTag tag, const call::SubmitJob &call, std::string reason);
    void submitRequest(Step &step, CallerTag tag, const call::SubmitRequest &call, Duration deadline);
    void queryJob(Step &step, CallerTag tag, const call::QueryJob &call);
    void cancelJob(Step &step, CallerTag tag, const call::CancelJob &call);

    /// The caller has disconnected. A single request is cancelled, as nobody waits for its answer any more; a job continues.
    void onCallerDisconnected(Step &step, CallerTag tag);

    void onJobReply(Step &step, const ProcessId &from, const msg::JobReply &reply);
    void onMinted(Step &step, const ProcessId &from, const msg::Minted &minted);

    /// An incarnation of a process has ended. The pending submissions that it coordinated are handled as failed with an unknown
    /// outcome.
    void onProcessEnded(Step &step, const ProcessId &ended);

    /// Another process has taken over the records of a coordinator that shuts down, and answers for its ids.
    void onSuccessorAnnounced(Step &step, const ProcessId &coordinator, const ProcessId &successor);

    /// Retransmits unanswered messages, sends hedged requests, ends overdue calls and refills the stock of ids.
    void tick(Step &step);

    IdStock &idStock() noexcept
    {
        return m_idStock;
    }

    /// Whether the stock holds ids that can be issued to callers.
    bool hasIds() const noexcept
    {
        return m_idStock.hasIds();
    }

    std::size_t size() const noexcept
    {
        return m_calls.size();
    }

private:
    enum class Kind : std::uint8_t { Ids, Job, Request, Query, Cancel };

    /// An unanswered call of one caller.
    struct Call
    {
        Kind kind = Kind::Job;
        SubmissionId id;
        SubmissionId hedgeId; ///< Id of a second attempt, concurrent with the first; repeatable requests only.
        std::shared_ptr<const JobSpec> spec;
        std::string service;
        std::string member;
        std::uint32_t count = 0; ///< Ids requested, for Kind::Ids only.
        bool wait = true;
        TimePoint started;
        TimePoint deadline;
        TimePoint lastSentAt;
        TimePoint lastReplyAt; ///< When the coordinator last replied about the submission.
        Duration retransmissionTimeout{0};
        std::uint32_t submitsSent = 0; ///< How many times the submission was sent under the current id.
        std::uint32_t hedgeSubmitsSent = 0; ///< The same for `hedgeId`.
        std::string refuseWith; ///< When not empty, the coordinator is asked to refuse the id with this reason.
        bool mayHaveRun = false; ///< An attempt under another id has run, or may have run.
        std::uint32_t attempts = 0; ///< Ids used so far, for single requests only.
        TraceContext trace;
        std::uint64_t spanId = 0;
    };

    using Calls = std::unordered_map<CallerTag, Call, IdHash>;

    Call &add(CallerTag tag, Call call);
    /// Refuses the call and returns true when the limit of pending calls has been reached.
    bool refuseIfFull(Step &step, CallerTag tag);
    Call newJob(Step &step, const call::SubmitJob &call, Duration deadline) const;
    /// Sends the submission under the current id and restarts its retransmission timer.
    void sendSubmit(Step &step, Call &call);
    void sendSubmitMessage(Step &step, const Call &call, const SubmissionId &id);
    /// Sends a hedged request when the first attempt is slow and the retry budget allows it.
    void hedgeIfSlow(Step &step, CallerTag tag, Call &call);
    /// Drops the attempt that the reply has ended; returns whether a concurrent attempt remains.
    bool continueWithOtherAttempt(Call &call, CallerTag tag, const msg::JobReply &reply);
    /// Sends a single request under a new id of a coordinator other than `avoid`, or queues it until ids arrive.
    void startAttempt(Step &step, CallerTag tag, Call &call, const ProcessId &avoid);
    bool tryAnswerWithIds(Step &step, CallerTag tag, Call &call);
    void serveCallsWaitingForIds(Step &step);
    void handleReply(Step &step, CallerTag tag, const msg::JobReply &reply);
    /// Starts another attempt of a single request if that is safe and the retry budget allows it.
    bool tryRetry(Step &step, CallerTag tag, Call &call, const msg::JobReply &reply);
    /// Whether the reply, a conflict or an expired id, proves that the work was not and will not be started under this id.
    bool provesNotRun(const Call &call, const msg::JobReply &reply) const;
    void answerJob(Step &step, CallerTag tag, const msg::JobReply &reply, Outcome outcome);
    /// Answers a job above the limit of pending calls. Its outcome is unknown to this entry.
    void answerOverloaded(Step &step, CallerTag tag, const SubmissionId &id);
    void answerUnknown(Step &step, CallerTag tag, std::string reason);
    void refuse(Step &step, CallerTag tag, CallerReply::Kind kind, std::string reason);
    void finish(Step &step, CallerTag tag, CallerReply reply);
    /// Cancels the attempts of a single request whose caller no longer waits.
    void cancelAttempts(Step &step, const Call &call);
    /// Stops passing replies about the id to the caller.
    void unlink(const SubmissionId &id, CallerTag tag);

    const CoreSettings &m_settings;
    Policies &m_policies;
    PeerTable &m_peers;
    IdStock m_idStock;
    RetryBudget m_retryBudget;
    ResponseTimes m_responseTimes;
    Calls m_calls;
    std::unordered_multimap<SubmissionId, CallerTag, IdHash> m_byId;
    std::deque<CallerTag> m_waitingForIds;
};

} // namespace cuminscale
