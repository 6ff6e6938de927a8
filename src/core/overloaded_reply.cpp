#include "core/overloaded_reply.h"

#include "core/refusal.h"

namespace cuminscale
{

namespace
{

constexpr Duration OverloadedRetryAfter = seconds(1);
constexpr const char *Reason = "This process is overloaded.";

} // namespace

CallerReply overloadedReply(const CallerRequest &call)
{
    CallerReply reply;
    reply.text = Reason;
    const call::SubmitJob *job = std::get_if<call::SubmitJob>(&call);
    if (job == nullptr) {
        reply.kind = CallerReply::Kind::Refused;
        reply.outcome = Refusal::beforeSending(Reason, OverloadedRetryAfter);
        return reply;
    }
    reply.kind = CallerReply::Kind::Job;
    reply.undecided = true;
    reply.outcome = Unknown{Reason};
    reply.job = msg::JobReply();
    reply.job->id = job->id;
    reply.job->state = JobState::Failed;
    reply.job->outcomeUnknown = true;
    reply.job->reason = Reason;
    return reply;
}

} // namespace cuminscale
