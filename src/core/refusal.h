/// The only factories of NotRun, the outcome that states that work was not run.
#pragma once

#include "core/messages.h"
#include "cuminscale/outcome.h"

namespace cuminscale
{

/// Creates NotRun outcomes. Each function stands for one situation in which the work has not run and never will under its id.
/// Only this class can construct a NotRun, so the callers of these three functions are all the places that report it.
class Refusal
{
public:
    /// The process that received the call refuses it before sending any message about the work, and keeps no state of it.
    static NotRun beforeSending(std::string reason, Duration retryAfter = Duration::zero())
    {
        return NotRun(std::move(reason), retryAfter);
    }

    /// The coordinator has recorded a tombstone for the id, so it refuses every later submission under the id as well.
    static NotRun tombstoned(const msg::JobReply &reply)
    {
        return NotRun(reply.reason, reply.retryAfter);
    }

    /// The coordinator has rejected the submission as expired or conflicting without starting it, and no other copy of it can
    /// have been started under this id.
    static NotRun expiredOrConflicting(const msg::JobReply &reply)
    {
        return NotRun(reply.reason, reply.retryAfter);
    }
};

} // namespace cuminscale
