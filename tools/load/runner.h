/// Sends arrivals to entries at their times, whatever the answers take: an open loop.
#pragma once

#include "load/report.h"

namespace cuminscale::load
{

/// Sends all arrivals through the entries in turn and collects how each ended. Checks that every answer carries the results
/// of its own tasks, in order.
std::vector<Sample> runArrivals(const Mix &mix, const std::vector<Arrival> &arrivals, const std::vector<Endpoint> &entries);

} // namespace cuminscale::load
