/// What a load run sends: streams of requests and jobs, described in a JSON file.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminscale::load
{

/// A distribution of run times, log-normal between two bounds; with sigma zero every draw is the median.
struct RunTimes
{
    double medianMs = 100;
    double sigma = 0;
    double leastMs = 0;
    double mostMs = 10000;
};

/// One kind of work of one member, arriving at random at a steady rate.
struct Stream
{
    std::string name;
    std::string member;
    std::string kind;
    double perSecond = 1;
    std::uint32_t leastTasks = 1;
    std::uint32_t mostTasks = 1; ///< Job sizes are spread evenly over their logarithm.
    RunTimes run;
    double declaredFactor = 1; ///< Declared run times are off by up to this factor, either way.
    bool repeatable = false;
    std::uint64_t deadlineMs = 60000;
    double fromS = 0;
    double toS = 1e9;
    double claimable = 1; ///< Part of the service's slots that the member may claim.
};

/// A whole run.
struct Mix
{
    std::string service;
    double durationS = 10;
    double warmupS = 1; ///< Arrivals before this are sent and not reported.
    std::uint64_t seed = 1;
    std::uint32_t slots = 88;
    double resubmit = 0; ///< Part of the jobs that are submitted twice at once.
    std::vector<Stream> streams;
};

/// One request or job to be sent.
struct Arrival
{
    Duration at{0};
    std::size_t stream = 0;
    std::vector<std::uint32_t> runMs;
    std::vector<std::uint32_t> declaredMs;

    /// The longest task, or the work over the slots that the member may claim, whichever is more.
    Duration ideal(std::uint32_t slots, double claimable) const;
};

/// Reads a mix; on failure returns nothing and says what is wrong.
std::optional<Mix> parseMix(const std::string &text, std::string &error);

/// Draws all arrivals of a mix, in order of time. The same mix gives the same arrivals.
std::vector<Arrival> drawArrivals(const Mix &mix);

} // namespace cuminscale::load
