/// The one place that may state that work was not run.
#pragma once

#include "core/messages.h"
#include "cuminscale/outcome.h"

namespace cuminscale
{

/// Creates every NotRun of the program. Each factory names the situation that makes the statement final; there is no
/// other way to obtain one, so a reader who wants to check the promise reads the callers of these three functions.
class Refusal
{
public:
    /// The process that was asked refuses before any message about the work has left it, and forgets the work.
    static NotRun beforeSending(std::string reason, Duration retryAfter = Duration::zero())
    {
        return NotRun(std::move(reason), retryAfter);
    }

    /// The coordinator has recorded the id as barred; every later submission under it is refused as well.
    static NotRun barred(const msg::JobReply &reply)
    {
        return NotRun(reply.reason, reply.retryAfter);
    }

    /// The id was sent exactly once, and the coordinator answered that copy without starting it (expired or
    /// conflicting); no other copy is under way.
    static NotRun onlyCopyTurnedAway(const msg::JobReply &reply)
    {
        return NotRun(reply.reason, reply.retryAfter);
    }
};

} // namespace cuminscale
