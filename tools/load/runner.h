/// Open-loop load generation: arrivals are sent at their scheduled times, no matter how long earlier responses take.
#pragma once

#include "load/report.h"

namespace cuminscale::load
{

/// Sends all arrivals, distributed over the entries, and returns one sample for each. Checks that every response carries the
/// results of its own tasks, in order.
std::vector<Sample> runArrivals(const Mix &mix, const std::vector<Arrival> &arrivals, const std::vector<Endpoint> &entries);

} // namespace cuminscale::load
