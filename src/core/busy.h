/// The answer of a process that is too far behind to take a call.
#pragma once

#include "core/events.h"

namespace cuminscale
{

/// Turns a call away before the core has seen it. A job under an id may have come through another entry, so its outcome is
/// unknown; everything else has not run.
CallerReply tooBusy(const CallerCall &call);

} // namespace cuminscale
