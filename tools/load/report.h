/// Report of a load run: outcomes and latency quantiles of each stream.
#pragma once

#include "load/mix.h"

#include <string>
#include <vector>

namespace cuminscale::load
{

/// Outcome of one arrival.
enum class ArrivalResult : std::uint8_t {
    Complete,
    Failed, ///< The work ran and failed.
    NotRun, ///< The work was not started, or no connection could be made.
    Unknown, ///< The work may have run.
    Wrong ///< The response reported success but did not carry the results of the arrival's own tasks, in order.
};

/// Measurements of one arrival.
struct Sample
{
    std::size_t stream = 0;
    ArrivalResult result = ArrivalResult::Unknown;
    Duration responseTime{0}; ///< From sending to the last response, retries included.
    Duration idealResponse{0}; ///< See Arrival::idealResponse().
    Duration backendTime{0}; ///< Run time that the backend server reported; single requests only, otherwise zero.
    std::uint32_t tasks = 0;
    bool warmup = false;
    std::string reason; ///< Why the arrival did not complete.
};

/// Returns a quantile, or zero when there are no values. Reorders the values.
double quantile(std::vector<double> &values, double q);

/// Renders the report as JSON. For each stream: outcome counts, and quantiles of the response time, of the slowdown (response
/// time divided by ideal response time) and of the overhead (response time minus run time at the backend server).
std::string renderJson(const Mix &mix, const std::vector<Sample> &samples, double elapsedS);

/// Renders outcome counts, slowdown and response time of each stream as a table.
std::string renderText(const Mix &mix, const std::vector<Sample> &samples, double elapsedS);

} // namespace cuminscale::load
