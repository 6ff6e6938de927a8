/// Evacuations of failure domains under load and faults, with the simulated fleet of dispatch_simulation.h.
#include "dispatch_simulation.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

void requireNoViolations(const SimulationResult &result)
{
    for (const std::string &violation : result.violations) {
        UNSCOPED_INFO(violation);
    }
    REQUIRE(result.violations.empty());
}

std::uint64_t startsInDomain(const SimulationResult &result, std::size_t domain)
{
    std::uint64_t starts = 0;
    for (const std::pair<const std::size_t, std::uint64_t> &server : result.startsByServer) {
        starts += server.first % 3 == domain ? server.second : 0;
    }
    return starts;
}

} // namespace

TEST_CASE("While a third of the fleet is evacuated, the rest keeps jobs in time, and nothing starts there after two heartbeats")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        SimulationSettings settings;
        settings.seed = seed;
        settings.jobsPerSecond = 15;
        settings.brokenConnectionRate = 0;
        settings.entriesWithoutStore = {1};
        settings.evacuations = {{"d1", 4, 9}};
        // An entry that the store turns away, and then the agents, learn of it with the next heartbeats.
        settings.evacuationTimeout = milliseconds(420);
        const SimulationResult result = DispatchSimulation(settings).runFor(seconds(12));
        requireNoViolations(result);
        INFO(result.inTime << " of " << result.submitted << " in time");
        REQUIRE(static_cast<double>(result.inTime) >= 0.9 * static_cast<double>(result.submitted));
        REQUIRE(result.failed == 0);
        REQUIRE(startsInDomain(result, 1) > 50);
    }
}

TEST_CASE("Under random faults, nothing starts in an evacuated domain after five seconds, and no invariant is violated")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        SimulationSettings settings;
        settings.seed = seed;
        settings.faults = Faults{0.02, 0.02, 0.02, 0.01, true};
        settings.entriesWithoutStore = {seed % 3};
        settings.evacuations = {{"d0", 2, 10}, {"d2", 11, 18}, {"d1", 19, 26}};
        const SimulationResult result = DispatchSimulation(settings).runFor(seconds(28));
        requireNoViolations(result);
        REQUIRE(result.succeeded > 0);
    }
}

TEST_CASE("Entries that restart while the store turns all of them away learn of the evacuation and serve again")
{
    SimulationSettings settings;
    settings.entriesWithoutStore = {1, 2};
    settings.evacuations = {{"d0", 2, 16}};
    settings.evacuationTimeout = milliseconds(420);
    settings.entryKills = {{4, 0, seconds(60)}, {4.1, 1, milliseconds(300)}, {4.2, 2, milliseconds(300)}};
    const SimulationResult result = DispatchSimulation(settings).runFor(seconds(15));
    requireNoViolations(result);
    for (std::int64_t second = 9; second < 14; ++second) {
        const JobKindResult &served = result.kindsBySecond.at("q").at(second);
        INFO("second " << second << ": " << served.succeeded << " of " << served.submitted);
        REQUIRE(served.succeeded > 0);
    }
}
