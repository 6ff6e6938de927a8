/// The workload of a load run: streams of requests and jobs, described in a JSON file.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminscale::load
{

/// Run time distribution: log-normal, clamped to [minMs, maxMs]. With sigma 0 every run time is the median.
struct RunTimeDistribution
{
    double medianMs = 100;
    double sigma = 0;
    double minMs = 0;
    double maxMs = 10000;
};

/// Arrivals of one kind of work of one client account: a Poisson process between startS and endS.
struct Stream
{
    std::string name;
    std::string member; ///< Name of the client account.
    std::string kind;
    double arrivalsPerSecond = 1;
    std::uint32_t minTasks = 1;
    std::uint32_t maxTasks = 1; ///< Above 1 the stream sends jobs. Job sizes are log-uniform in [minTasks, maxTasks].
    RunTimeDistribution run;
    double declaredErrorFactor = 1; ///< Declared run times differ from the real ones by up to this factor, either way.
    bool repeatable = false; ///< Declares that running the work more than once is harmless.
    std::uint64_t deadlineMs = 60000;
    double startS = 0;
    double endS = 1e9;
    double usableFraction = 1; ///< Fraction of the service's slots that the client account may use.
};

/// Workload of a whole load run, as read from the mix file.
struct Mix
{
    std::string service;
    double durationS = 10;
    double warmupS = 1; ///< Arrivals before this are sent but left out of the report.
    std::uint64_t seed = 1;
    std::uint32_t slots = 88; ///< Slots of the service, for the ideal response time.
    double resubmitFraction = 0; ///< Fraction of the jobs that are submitted twice concurrently.
    std::vector<Stream> streams;
};

/// One request or job to send.
struct Arrival
{
    Duration sendTime{0}; ///< Counted from the start of the run.
    std::size_t stream = 0; ///< Index into Mix::streams.
    std::vector<std::uint32_t> runMs; ///< Run time of each task.
    std::vector<std::uint32_t> declaredMs; ///< Run time of each task as declared to the entry.

    /// Lower bound of the response time: the run time of the longest task, or the total run time divided by the number of slots
    /// that the client account may use, whichever is greater.
    Duration idealResponse(std::uint32_t slots, double usableFraction) const;
};

/// Parses a mix file. On failure returns nullopt and sets `error`.
std::optional<Mix> parseMix(const std::string &text, std::string &error);

/// Generates all arrivals of a mix, sorted by send time. The seed is part of the mix, so a mix always gives the same arrivals.
std::vector<Arrival> generateArrivals(const Mix &mix);

} // namespace cuminscale::load
