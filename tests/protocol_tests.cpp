#define CATCH_CONFIG_RUNNER
#include "clients.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace cuminscale;
using namespace cuminscale::test;

namespace
{

constexpr Duration FaultPhase = seconds(30);
constexpr Duration RecoveryPhase = seconds(25);
/// No faults, and deadlines of at least 6 s, so that load alone makes no submission miss its deadline.
const Faults NoFaults{0, 0, 0, seconds(0), 0, 0, seconds(0), 0, 0, 0, 0, seconds(6), 0};

/// Runs one simulation and prints the violations with their seed; returns the number of violations.
std::size_t runSeed(std::uint64_t seed, std::uint64_t &steps, std::uint64_t &taskStarts)
{
    Faults faults;
    // The seed determines which faults are frequent: lost or late messages, crashes, pauses.
    faults.lossProbability = (seed % 4 == 1) ? 0.15 : 0.02;
    faults.delayProbability = (seed % 5 == 2) ? 0.1 : 0.01;
    faults.crashesPerSecond = (seed % 3 == 0) ? 1.0 : 0.2;
    faults.pausesPerSecond = (seed % 7 == 3) ? 2.0 : 0.4;
    Simulation simulation(seed, 2, 4, faults);
    simulation.run(FaultPhase, RecoveryPhase);
    for (const std::string &violation : simulation.result().violations) {
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
    }
    steps += simulation.result().steps;
    taskStarts += simulation.clients().taskStarts();
    return simulation.result().violations.size();
}

int soak(std::uint64_t seeds)
{
    std::uint64_t steps = 0;
    std::uint64_t taskStarts = 0;
    std::uint64_t failedSeeds = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        failedSeeds += runSeed(seed, steps, taskStarts) > 0 ? 1 : 0;
    }
    std::printf("%llu seeds, %llu steps, %llu task starts, %llu seeds with violations\n", static_cast<unsigned long long>(seeds),
                static_cast<unsigned long long>(steps), static_cast<unsigned long long>(taskStarts),
                static_cast<unsigned long long>(failedSeeds));
    return failedSeeds == 0 ? 0 : 1;
}

} // namespace

TEST_CASE("the guarantees to clients hold under message loss, crashes, pauses and one-way link failures")
{
    std::uint64_t steps = 0;
    std::uint64_t taskStarts = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        INFO("seed " << seed);
        REQUIRE(runSeed(seed, steps, taskStarts) == 0);
    }
    REQUIRE(taskStarts > 1000);
}

TEST_CASE("without faults every submission completes")
{
    Simulation simulation(5, 3, 5, NoFaults);
    simulation.run(FaultPhase, RecoveryPhase);
    REQUIRE(simulation.result().violations.empty());
    REQUIRE(simulation.clients().completeAnswers() > 400);
    REQUIRE(simulation.clients().otherAnswers() == 0);
}

TEST_CASE("orderly shutdowns lose no submission and interrupt no task")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Faults faults = NoFaults;
        faults.shutdownsPerSecond = 0.4;
        Simulation simulation(seed, 3, 5, faults);
        simulation.run(FaultPhase, RecoveryPhase);
        INFO("seed " << seed << (simulation.result().violations.empty() ? "" : ": " + simulation.result().violations.front()));
        REQUIRE(simulation.result().violations.empty());
        REQUIRE(simulation.clients().completeAnswers() > 400);
        REQUIRE(simulation.clients().otherAnswers() == 0);
    }
}

TEST_CASE("slow repeatable requests are hedged within the retry budget")
{
    Faults faults = NoFaults;
    faults.stragglerProbability = 0.03;
    Simulation simulation(11, 3, 5, faults);
    simulation.run(FaultPhase, RecoveryPhase);
    REQUIRE(simulation.result().violations.empty());
    REQUIRE(simulation.result().counters.get(Counter::RequestHedges) > 0);
    // The retry budget is a tenth of the completed requests plus an initial balance of 3 for the only member at each of the 3
    // entries.
    REQUIRE(simulation.result().counters.get(Counter::RequestHedges) <= simulation.clients().completeAnswers() / 10 + 3 * 3);
}

TEST_CASE("the same seed gives the same run")
{
    Simulation first(9, 2, 4, Faults());
    Simulation second(9, 2, 4, Faults());
    first.run(FaultPhase, RecoveryPhase);
    second.run(FaultPhase, RecoveryPhase);
    REQUIRE(first.result().steps == second.result().steps);
    REQUIRE(first.result().messages == second.result().messages);
    REQUIRE(first.clients().taskStarts() == second.clients().taskStarts());
}

int main(int argc, char **argv)
{
    if (argc == 3 && std::string(argv[1]) == "--soak") {
        return soak(std::stoull(argv[2]));
    }
    return Catch::Session().run(argc, argv);
}
