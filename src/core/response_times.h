/// Estimates of response times for each kind of work, from completed requests.
#pragma once

#include "cuminscale/units.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cuminscale
{

/// Estimates the 95th percentile of response times in constant memory, with the P-square algorithm of Jain and Chlamtac (1985)
/// from Boost.Accumulators.
class ResponseTimes
{
public:
    ResponseTimes();
    ~ResponseTimes();

    ResponseTimes(const ResponseTimes &) = delete;
    ResponseTimes &operator=(const ResponseTimes &) = delete;

    /// Adds the response time of a completed request.
    void add(const std::string &kind, Duration elapsed);

    /// The estimated 95th percentile for the kind, or nothing while there are too few samples.
    std::optional<Duration> percentile95(const std::string &kind) const;

private:
    struct Quantile;

    std::map<std::string, std::unique_ptr<Quantile>> m_kinds;
};

} // namespace cuminscale
