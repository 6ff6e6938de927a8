/// Limits that the placement and the supervision of runs share.
#pragma once

#include "cuminscale/units.h"

namespace cuminscale::dispatch
{

/// Runs on a backend server that is at least this many times slower than a healthy one are restarted elsewhere if that is
/// expected to be faster.
constexpr double SlowServerFactor = 2.0;
/// Allowance for the round trip to the agent and the transmission of the answer to the client, while neither is delayed.
constexpr Duration NetworkTime = milliseconds(6);

} // namespace cuminscale::dispatch
