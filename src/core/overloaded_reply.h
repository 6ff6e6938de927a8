/// The reply to a call that an overloaded process does not accept.
#pragma once

#include "core/events.h"

namespace cuminscale
{

/// Builds the reply to a call that is rejected before it reaches the core. The same job may have been submitted through
/// another entry, so the outcome of a job is unknown; any other call has not run.
CallerReply overloadedReply(const CallerRequest &call);

} // namespace cuminscale
