/// The runs of an entry that has been killed must end before its clients submit their jobs again, 1.3 s later, whatever keeps an
/// agent from stopping them one by one. SEEDS and SEED select the seeds; with LOG set, the log of all processes is printed.
#include "dispatch_simulation.h"

#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <numeric>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

using AgentFault = ScheduledAgentFault::Kind;

constexpr Duration LoadDuration = seconds(10);
constexpr Duration WideLoadDuration = seconds(3);
constexpr std::size_t PrintedSeeds = 12;
constexpr std::size_t PrintedViolations = 2; ///< Per seed.
constexpr std::size_t MaxConcurrentCalls = 32; ///< Connections of an agent to its server.
/// Clients notice a broken connection and resubmit with some delay.
constexpr Duration MaxResubmitDelay = milliseconds(100);
/// Processor time of a call, about 0.05 ms on a whole core, at an agent that has 0.15 of one.
constexpr Duration SlowCallTime(300);
constexpr double SlowClockRate = 0.98; ///< The platform allows the servers' clocks to run 2% slow.
constexpr std::size_t Entries = 3;
constexpr std::size_t Agents = 8;
constexpr std::size_t WideEntries = 2;
constexpr std::size_t WideAgents = 3;

/// Two entries are killed so far apart that a job which loses its entry once can still end before its client's timeout: it takes
/// up to 3.3 s, is submitted again after 1.3 s and takes 3.3 s once more.
constexpr double KillTimes[] = {3.0, 7.0};
constexpr double WideKillTime = 4.5;
/// Beyond the resubmissions, so that no agent hears the entry start again before them.
constexpr Duration Downtime = milliseconds(1600);

/// Least shares of the submitted jobs that must succeed, so that the load is served. They are no measured figures.
///
/// With one kill of two entries: half of the jobs lie at the entry that lives, and those of the other one have time for two more
/// runs.
constexpr double OneKillBound = 0.5;
/// With two kills: a third of the jobs loses its entry at the first one and half of these the next one, so at most one sixth
/// loses two entries. Another sixth may lose its runs to the servers in question as well, and has no time left then.
constexpr double TwoKillsBound = 2.0 / 3;
/// With faults of agents too: six of eight servers are out of use for up to 2.5 s after each kill. In the other half of the time
/// all servers work.
constexpr double AgentFaultsBound = 0.5;
/// With the series: two series in 10 s, each with 1 s of kills and 1.5 s until the last entry has started again. The jobs that
/// are submitted in the other half of the time find entries that run.
constexpr double SeriesBound = 0.5;

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

using Seeds = std::vector<std::uint64_t>;

/// The seeds from 1 to SEEDS of the environment or only SEED, otherwise those given.
Seeds seedsToRun(const Seeds &usual)
{
    if (std::getenv("SEED") != nullptr) {
        return {numberFromEnvironment("SEED", 1)};
    }
    if (std::getenv("SEEDS") == nullptr) {
        return usual;
    }
    Seeds seeds(numberFromEnvironment("SEEDS", 0));
    std::iota(seeds.begin(), seeds.end(), 1);
    return seeds;
}

SimulationSettings withoutLoad(std::uint64_t seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.entries = Entries;
    settings.clientTimeout = seconds(8);
    settings.stopDuration = milliseconds(180);
    settings.brokenConnectionRate = 0;
    settings.coordinationFaults = CoordinationFaults();
    settings.maxResubmitDelay = MaxResubmitDelay;
    settings.maxConcurrentCalls = MaxConcurrentCalls;
    settings.serverClockRate = SlowClockRate;
    return settings;
}

/// Load pattern: most jobs take 0.9 to 3 s, so that their runs still live when their clients submit them again. They use about
/// 0.4 of 8 servers.
SimulationSettings smallJobs(std::uint64_t seed)
{
    SimulationSettings settings = withoutLoad(seed);
    settings.agents = Agents;
    settings.serverCpuMilli = 32000;
    settings.jobsPerSecond = 14;
    settings.kinds = {
        JobKind{"short", 0.4, 6, milliseconds(120), 0.2, 0.2, 1000, 0},
        JobKind{"second", 0.2, 6, milliseconds(900), 0.1, 0.2, 1000, 1},
        JobKind{"two-seconds", 0.2, 6, milliseconds(1800), 0.1, 0.2, 1000, 1},
        JobKind{"three-seconds", 0.2, 6, milliseconds(2700), 0.1, 0.2, 1000, 1},
    };
    return settings;
}

/// Load pattern: within 3 s two entries get about four jobs of up to 2,000 tasks each, that take 4.8 to 7.2 s at 3 servers with
/// room for 3,000 tasks each.
SimulationSettings wideJobs(std::uint64_t seed)
{
    SimulationSettings settings = withoutLoad(seed);
    settings.entries = WideEntries;
    settings.agents = WideAgents;
    settings.serverCpuMilli = 12000000;
    settings.jobsPerSecond = 1;
    settings.serverCallTime = milliseconds(1);
    settings.clientTimeout = seconds(20);
    settings.kinds = {JobKind{"wide", 1.0, 1000, milliseconds(6000), 0, 0.1, 4000, 0}};
    return settings;
}

/// Kills an entry while all runs of wideJobs() are active.
void addKillOfWideJobs(SimulationSettings &settings)
{
    settings.entryKills.push_back(ScheduledEntryKill{WideKillTime, settings.seed % WideEntries, Downtime});
}

void addKills(SimulationSettings &settings)
{
    std::size_t entry = settings.seed % Entries;
    for (const double second : KillTimes) {
        settings.entryKills.push_back(ScheduledEntryKill{second, entry, Downtime});
        entry = (entry + 1) % Entries;
    }
}

/// Adds a fault of the first agents for each kill, at a time after it that rises from agent to agent.
void addAgentFaults(SimulationSettings &settings, AgentFault kind, std::size_t agents, Duration after, Duration step,
                    Duration length)
{
    for (const double second : KillTimes) {
        for (std::size_t i = 0; i < agents; ++i) {
            const Duration delay = after + step * static_cast<std::int64_t>(i);
            settings.agentFaults.push_back(
                ScheduledAgentFault{kind, second + static_cast<double>(delay.count()) / 1e6, i, length});
        }
    }
}

/// Agents stop the runs of an entry that they have not heard for 0.7 s. They last heard it up to 0.2 s before its kill, so these
/// faults begin shortly before their agents would send the stops.
SimulationSettings faultsBeforeStops(std::uint64_t seed, AgentFault kind)
{
    SimulationSettings settings = smallJobs(seed);
    addKills(settings);
    addAgentFaults(settings, kind, Agents - 2, milliseconds(600), milliseconds(20), milliseconds(1500));
    return settings;
}

/// Faults of the stop calls at half of the servers, from each kill until after the resubmissions.
SimulationSettings faultsOfStops(std::uint64_t seed, AgentFault kind)
{
    SimulationSettings settings = smallJobs(seed);
    addKills(settings);
    addAgentFaults(settings, kind, Agents / 2, Duration(0), Duration(0), milliseconds(3000));
    return settings;
}

/// Series in which two or three entries are killed within a second. At each kill, agents fail in different ways before they
/// would stop the runs, at the time, or after.
SimulationSettings overlappingSeries(SimulationSettings settings, const std::vector<double> &starts)
{
    std::mt19937_64 random(settings.seed);
    const auto draw = [&random](double minimum, double maximum) {
        return std::uniform_real_distribution<double>(minimum, maximum)(random);
    };
    const auto drawDuration = [&draw](double minimum, double maximum) {
        return Duration(static_cast<std::int64_t>(draw(minimum, maximum) * 1e6));
    };
    settings.slowCallTime = SlowCallTime;
    for (const double start : starts) {
        std::size_t entry = static_cast<std::size_t>(draw(0, static_cast<double>(settings.entries)));
        const std::size_t kills = draw(0, 1) < 0.5 ? 2 : 3;
        for (std::size_t i = 0; i < kills; ++i) {
            const double second = start + draw(0, 1);
            settings.entryKills.push_back(ScheduledEntryKill{second, entry, drawDuration(0.1, 1.5)});
            entry = (entry + 1) % settings.entries;
            for (std::size_t agent = 0; agent < settings.agents; ++agent) {
                const AgentFault kind = static_cast<AgentFault>(static_cast<int>(draw(0, 6)));
                const ScheduledAgentFault fault{kind, second + draw(0, 1.2), agent, drawDuration(0.2, 1.5)};
                if (draw(0, 1) < 0.5) {
                    settings.agentFaults.push_back(fault);
                }
            }
        }
    }
    return settings;
}

/// Figures of one case over all seeds.
struct Totals
{
    std::vector<std::uint64_t> failingSeeds;
    std::uint64_t violations = 0;
    std::uint64_t submitted = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t otherwiseAnswered = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t stopped = 0;
    std::uint64_t lapsed = 0;
};

/// Seeds of the cases with small jobs.
Seeds smallSeeds()
{
    return {1, 2, 3, 5, 7, 8, 10, 11, 12};
}

using MakeSettings = std::function<SimulationSettings(std::uint64_t seed)>;

Totals runAll(const char *name, const MakeSettings &makeSettings, Duration load, const Seeds &seeds)
{
    Totals totals;
    for (const std::uint64_t seed : seedsToRun(seeds)) {
        SimulationSettings settings = makeSettings(seed);
        settings.log = std::getenv("LOG") == nullptr ? nullptr : &std::cout;
        const SimulationResult result = DispatchSimulation(std::move(settings)).runFor(load);
        totals.violations += result.violations.size();
        totals.submitted += result.submitted;
        totals.succeeded += result.succeeded;
        totals.otherwiseAnswered += result.failed + result.refused + result.givenUp;
        totals.timedOut += result.timedOut;
        totals.stopped += result.stoppedRuns;
        totals.lapsed += result.lapsedRuns;
        if (!result.violations.empty()) {
            totals.failingSeeds.push_back(seed);
        }
        for (std::size_t i = 0; i < std::min(result.violations.size(), PrintedViolations); ++i) {
            UNSCOPED_INFO("seed " << seed << ": " << result.violations[i]);
        }
    }
    std::cout << name << ": " << totals.violations << " violations; failing seeds:";
    for (std::size_t i = 0; i < std::min(totals.failingSeeds.size(), PrintedSeeds); ++i) {
        std::cout << " " << totals.failingSeeds[i];
    }
    std::cout << "; jobs " << totals.submitted << ", succeeded " << totals.succeeded << ", answered otherwise "
              << totals.otherwiseAnswered << ", timed out " << totals.timedOut << "; runs stopped " << totals.stopped
              << ", lapsed " << totals.lapsed << "\n";
    return totals;
}

/// Checks that no invariant is broken with any seed, and that the load was served nevertheless.
void checkLifetime(const char *name, const MakeSettings &makeSettings, double leastShare, Duration load = LoadDuration,
                   const Seeds &seeds = smallSeeds())
{
    const Totals totals = runAll(name, makeSettings, load, seeds);
    CHECK(totals.failingSeeds.empty());
    CHECK(static_cast<double>(totals.succeeded) >= leastShare * static_cast<double>(totals.submitted));
}

} // namespace

TEST_CASE("Runs of a killed entry end before its clients resubmit although there are more of them than an agent can stop in time")
{
    const MakeSettings manyRuns = [](std::uint64_t seed) {
        SimulationSettings settings = wideJobs(seed);
        addKillOfWideJobs(settings);
        return settings;
    };
    checkLifetime("many runs", manyRuns, OneKillBound, WideLoadDuration, {1});
}

TEST_CASE("Runs of a killed entry end before its clients resubmit although the agent takes long for each call")
{
    const MakeSettings slowAgents = [](std::uint64_t seed) {
        SimulationSettings settings = wideJobs(seed);
        settings.kinds[0].meanTasks = 500;
        settings.slowCallTime = SlowCallTime;
        addKillOfWideJobs(settings);
        for (std::size_t agent = 0; agent < settings.agents; ++agent) {
            settings.agentFaults.push_back(ScheduledAgentFault{AgentFault::Slowdown, WideKillTime, agent, seconds(2)});
        }
        return settings;
    };
    checkLifetime("slow agents", slowAgents, OneKillBound, WideLoadDuration, {4, 7});
}

TEST_CASE("Runs of a killed entry end before its clients resubmit although the stops are lost")
{
    checkLifetime(
        "lost stops", [](std::uint64_t seed) { return faultsOfStops(seed, AgentFault::LostStops); }, TwoKillsBound);
}

TEST_CASE("Runs of a killed entry end before its clients resubmit although stop calls are carried out late")
{
    checkLifetime(
        "late stops", [](std::uint64_t seed) { return faultsOfStops(seed, AgentFault::LateStops); }, TwoKillsBound);
}

TEST_CASE("Runs of a killed entry end before its clients resubmit although the agent is paused before it stops them")
{
    checkLifetime("paused agents", [](std::uint64_t seed) { return faultsBeforeStops(seed, AgentFault::Pause); },
                  AgentFaultsBound, LoadDuration, {1, 2, 3, 4, 5, 6, 11, 14, 27, 65, 71, 77});
}

TEST_CASE("Runs of a killed entry end before its clients resubmit although the agent is killed before it stops them")
{
    checkLifetime("killed agents", [](std::uint64_t seed) { return faultsBeforeStops(seed, AgentFault::Kill); }, AgentFaultsBound,
                  LoadDuration, {1, 2, 3, 4, 5, 6, 11, 15, 51, 58, 63, 64});
}

TEST_CASE("Runs of a killed entry end before its clients resubmit although the agent is cut from its server before it stops them")
{
    checkLifetime("cut agents", [](std::uint64_t seed) { return faultsBeforeStops(seed, AgentFault::Cut); }, AgentFaultsBound,
                  LoadDuration, {1, 2, 3, 4, 5, 6, 24, 61, 76, 83, 87, 100});
}

TEST_CASE("No task runs twice at once while entries are killed in series and agents and stops fail")
{
    checkLifetime(
        "series",
        [](std::uint64_t seed) {
            return overlappingSeries(smallJobs(seed), {std::begin(KillTimes), std::end(KillTimes)});
        },
        SeriesBound);
}

TEST_CASE("No task of a wide job runs twice at once while entries are killed in series and agents and stops fail")
{
    const MakeSettings series = [](std::uint64_t seed) {
        SimulationSettings settings = wideJobs(seed);
        settings.entries = Entries;
        return overlappingSeries(settings, {WideKillTime});
    };
    checkLifetime("series with wide jobs", series, SeriesBound, WideLoadDuration, {5});
}

/// What limits the lifetime of runs must not end those of entries that live.
TEST_CASE("Without faults no run lapses or is stopped and all jobs succeed")
{
    const MakeSettings halfSize = [](std::uint64_t seed) {
        SimulationSettings settings = wideJobs(seed);
        settings.kinds[0].meanTasks = 500;
        return settings;
    };
    for (const bool wide : {false, true}) {
        const Totals totals = runAll(wide ? "no faults, wide jobs" : "no faults", wide ? halfSize : MakeSettings(smallJobs),
                                     wide ? WideLoadDuration : LoadDuration, wide ? Seeds{1, 4} : smallSeeds());
        CHECK(totals.failingSeeds.empty());
        CHECK(totals.lapsed == 0);
        CHECK(totals.stopped == 0);
        CHECK(totals.succeeded == totals.submitted);
    }
}
