/// Tasks that crash each backend server that starts them, and servers that crash on their own.
#include "dispatch_simulation.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <numeric>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

/// Seconds since the start between which the new deadly jobs are submitted.
constexpr std::int64_t DeadlyFromSecond = 5;
constexpr std::int64_t DeadlyUntilSecond = 15;
constexpr Duration LoadDuration = seconds(20);
/// Long enough for a client to submit a job several times.
constexpr Duration PatientClientTimeout = seconds(8);
constexpr Duration RareDeadlyDuration = seconds(30);
constexpr std::uint64_t DefaultSeeds = 5;

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// The seeds from 1 to SEEDS of the environment, or only SEED.
std::vector<std::uint64_t> seedsToRun()
{
    if (std::getenv("SEED") != nullptr) {
        return {numberFromEnvironment("SEED", 1)};
    }
    std::vector<std::uint64_t> seeds(numberFromEnvironment("SEEDS", DefaultSeeds));
    std::iota(seeds.begin(), seeds.end(), 1);
    return seeds;
}

SimulationResult runSimulation(SimulationSettings settings, Duration length = LoadDuration)
{
    DispatchSimulation simulation(std::move(settings));
    return simulation.runFor(length);
}

void checkNoViolations(const SimulationResult &result, std::uint64_t seed)
{
    INFO("seed " << seed << ", crashes " << result.crashes << ", most crashes under one task " << result.mostCrashes);
    for (const std::string &what : result.violations) {
        UNSCOPED_INFO(what);
    }
    CHECK(result.violations.empty());
}

/// Sums the jobs of a queue that were submitted from second `from` to before second `until`, counted from the start.
JobKindResult jobsBetween(const SimulationResult &result, const std::string &queue, std::int64_t from, std::int64_t until)
{
    JobKindResult sum;
    for (const std::pair<const std::int64_t, JobKindResult> &second : result.kindsBySecond.at(queue)) {
        if (second.first >= from && second.first < until) {
            sum.submitted += second.second.submitted;
            sum.inTime += second.second.inTime;
            sum.refused += second.second.refused;
            sum.failed += second.second.failed;
            sum.deadly += second.second.deadly;
        }
    }
    return sum;
}

/// Sums the jobs of all queues that were submitted in these seconds.
JobKindResult allJobsBetween(const SimulationResult &result, std::int64_t from, std::int64_t until)
{
    JobKindResult sum;
    for (const std::pair<const std::string, JobKindResult> &kind : result.kinds) {
        const JobKindResult jobs = jobsBetween(result, kind.first, from, until);
        sum.submitted += jobs.submitted;
        sum.inTime += jobs.inTime;
        sum.refused += jobs.refused;
        sum.failed += jobs.failed;
        sum.deadly += jobs.deadly;
    }
    return sum;
}

/// Fraction of the jobs without deadly tasks that were in time. Deadly jobs never succeed.
double inTimeShare(const JobKindResult &jobs)
{
    const std::uint64_t innocent = jobs.submitted - jobs.deadly;
    return innocent == 0 ? 0.0 : static_cast<double>(jobs.inTime) / static_cast<double>(innocent);
}

double inTimeShareWhileDeadly(const SimulationResult &result, const std::string &queue)
{
    return inTimeShare(jobsBetween(result, queue, DeadlyFromSecond, DeadlyUntilSecond));
}

/// Load pattern: three kinds of jobs that use about 0.6 of 11 unequal servers. From 5 s to 15 s, a tenth of the "card" jobs is
/// deadly if `deadlyShare` is 0.1.
SimulationSettings threeKinds(std::uint64_t seed, double deadlyShare)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.entries = 3;
    settings.serverCpuMilliByIndex = {32000, 36000, 48000, 36000, 40000, 32000, 36000, 40000, 36000, 40000, 36000};
    settings.agents = settings.serverCpuMilliByIndex.size();
    settings.clientTimeout = milliseconds(2500);
    settings.jobsPerSecond = 140;
    settings.kinds = {
        JobKind{"card", 34.0 / 140, 8, milliseconds(60), 0.4, 0.4, 3100, 0, deadlyShare},
        JobKind{"preview", 100.0 / 140, 2, milliseconds(200), 0.4, 0.4, 3100, 1},
        JobKind{"overprint", 6.0 / 140, 4, milliseconds(900), 0.4, 0.4, 3100, 2},
    };
    settings.deadlyFrom = seconds(DeadlyFromSecond);
    settings.deadlyUntil = seconds(DeadlyUntilSecond);
    return settings;
}

SimulationSettings deadlyCards(std::uint64_t seed)
{
    return threeKinds(seed, 0.1);
}

SimulationSettings deadlyCardsOfPatientClients(std::uint64_t seed)
{
    SimulationSettings settings = deadlyCards(seed);
    settings.clientTimeout = PatientClientTimeout;
    return settings;
}

/// Deadly jobs while processes fail. An entry is killed after a task of one of its jobs has crashed a server, and the job is
/// submitted to another entry.
SimulationSettings deadlyCardsWithFaults(std::uint64_t seed)
{
    SimulationSettings settings = deadlyCardsOfPatientClients(seed);
    settings.faults.processFaults = true;
    settings.coordinatorKilledAfter = seconds((DeadlyFromSecond + DeadlyUntilSecond) / 2);
    return settings;
}

/// Load pattern: one kind of jobs that uses half of 12 servers; every third second, one of them is deadly.
SimulationSettings rareDeadlyJobs(std::uint64_t seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.entries = 3;
    settings.agents = 12;
    settings.serverCpuMilli = 36000;
    settings.clientTimeout = milliseconds(2500);
    // A client whose connection breaks resubmits too late for its objective, whatever the servers do.
    settings.brokenConnectionRate = 0;
    settings.jobsPerSecond = 87;
    settings.kinds = {JobKind{"preview", 1.0, 4, milliseconds(200), 0.4, 0.4, 3100, 0}};
    settings.deadlyInterval = seconds(3);
    return settings;
}

constexpr std::int64_t FirstCrashSecond = 6;
constexpr std::int64_t SecondCrashSecond = 13;
constexpr std::int64_t LastCountedSecond = 20;

/// Load pattern: three kinds of jobs without deadly tasks; twice, 2 of 11 servers crash at the same time.
SimulationSettings crashingServers(std::uint64_t seed)
{
    SimulationSettings settings = threeKinds(seed, 0);
    settings.brokenConnectionRate = 0;
    const double first = static_cast<double>(FirstCrashSecond);
    const double second = static_cast<double>(SecondCrashSecond);
    settings.serverCrashes = {ScheduledCrash{first, 1}, ScheduledCrash{first, 4}, ScheduledCrash{second, 2},
                              ScheduledCrash{second, 8}};
    return settings;
}

void printFigures(const char *scenario, std::uint64_t seed, const SimulationResult &result)
{
    std::cout << scenario << " seed " << seed << ": submitted " << result.submitted << " crashes " << result.crashes
              << " deadly starts " << result.deadlyStarts << " most crashes " << result.mostCrashes << " violations "
              << result.violations.size() << " innocent failed " << result.innocentFailed << "; in time:";
    for (const std::pair<const std::string, JobKindResult> &kind : result.kinds) {
        std::cout << " " << kind.first << " " << inTimeShare(kind.second) << " (while deadly "
                  << inTimeShareWhileDeadly(result, kind.first) << ", refused " << kind.second.refused << ", failed "
                  << kind.second.failed << ", deadly " << kind.second.deadly << ")";
    }
    std::cout << "\n";
}

} // namespace

TEST_CASE("Deadly tasks and server crashes, with figures per seed", "[.trace]")
{
    for (const std::uint64_t seed : seedsToRun()) {
        printFigures("calm", seed, runSimulation(threeKinds(seed, 0)));
        printFigures("deadly", seed, runSimulation(deadlyCards(seed)));
        printFigures("deadly, patient clients", seed, runSimulation(deadlyCardsOfPatientClients(seed)));
        printFigures("deadly, with faults", seed, runSimulation(deadlyCardsWithFaults(seed)));
        printFigures("rare deadly", seed, runSimulation(rareDeadlyJobs(seed), RareDeadlyDuration));
        const SimulationResult crashes = runSimulation(crashingServers(seed));
        printFigures("server crashes", seed, crashes);
        for (std::int64_t second = FirstCrashSecond - 1; second < LastCountedSecond; ++second) {
            std::cout << " " << second << "s " << inTimeShare(allJobsBetween(crashes, second, second + 1));
        }
        std::cout << "\n";
    }
}

TEST_CASE("A task that has crashed three servers is not started again")
{
    for (const std::uint64_t seed : seedsToRun()) {
        checkNoViolations(runSimulation(deadlyCards(seed)), seed);
    }
}

TEST_CASE("A task that has crashed three servers is not started again for clients that submit it several times")
{
    for (const std::uint64_t seed : seedsToRun()) {
        checkNoViolations(runSimulation(deadlyCardsOfPatientClients(seed)), seed);
    }
}

TEST_CASE("A task that has crashed three servers is not started again when its coordinator is killed and processes fail")
{
    for (const std::uint64_t seed : seedsToRun()) {
        const SimulationResult result = runSimulation(deadlyCardsWithFaults(seed));
        checkNoViolations(result, seed);
        CHECK(result.coordinatorKills == 1);
    }
}

TEST_CASE("One kind of deadly task leaves other kinds their servers")
{
    for (const std::uint64_t seed : seedsToRun()) {
        const SimulationResult calm = runSimulation(threeKinds(seed, 0));
        const SimulationResult deadly = runSimulation(deadlyCards(seed));
        for (const char *queue : {"preview", "overprint"}) {
            INFO("seed " << seed << " queue " << queue << " crashes " << deadly.crashes);
            // The users require that other kinds keep at least half of their share.
            CHECK(inTimeShareWhileDeadly(deadly, queue) > 0.5 * inTimeShareWhileDeadly(calm, queue));
        }
    }
}

TEST_CASE("Rare deadly jobs neither delay nor fail other jobs of their kind")
{
    for (const std::uint64_t seed : seedsToRun()) {
        const SimulationResult result = runSimulation(rareDeadlyJobs(seed), RareDeadlyDuration);
        checkNoViolations(result, seed);
        INFO("seed " << seed << " crashes " << result.crashes << " innocent failed " << result.innocentFailed);
        CHECK(inTimeShare(result.kinds.at("preview")) > 0.85);
        CHECK(static_cast<double>(result.innocentFailed) < 0.02 * static_cast<double>(result.submitted));
    }
}

TEST_CASE("Servers that crash on their own fail no job and delay the jobs of about a second only")
{
    for (const std::uint64_t seed : seedsToRun()) {
        const SimulationResult result = runSimulation(crashingServers(seed));
        checkNoViolations(result, seed);
        const double afterFirst = inTimeShare(allJobsBetween(result, FirstCrashSecond + 1, SecondCrashSecond));
        const double afterSecond = inTimeShare(allJobsBetween(result, SecondCrashSecond + 1, LastCountedSecond));
        INFO("seed " << seed);
        CHECK(result.failed == 0);
        CHECK(afterFirst > 0.9);
        CHECK(afterSecond > 0.9);
    }
}

TEST_CASE("No task runs twice at once under load while processes fail and clients resubmit for eight seconds")
{
    for (const std::uint64_t seed : seedsToRun()) {
        SimulationSettings settings = threeKinds(seed, 0);
        settings.clientTimeout = PatientClientTimeout;
        settings.serverCpuMilliByIndex.clear();
        settings.serverCpuMilli = 37000;
        settings.faults.processFaults = true;
        checkNoViolations(runSimulation(settings), seed);
    }
}
