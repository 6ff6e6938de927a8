/// No task may run twice at the same time, whichever entry its client submits it to. Each case makes one cause frequent.
/// SEEDS and SEED select the seeds; with LOG set, the log of all processes is printed.
#include "dispatch_simulation.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <numeric>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

constexpr std::uint64_t DefaultSeeds = 20;
constexpr Duration LoadDuration = seconds(8);
constexpr std::size_t PrintedSeeds = 10;
constexpr std::size_t PrintedViolations = 3; ///< Per seed.

/// Least shares of all jobs of all seeds that must succeed, so that the load is served. They are no measured figures. Short jobs
/// end before any entry has to doubt that it coordinates them; they fail only at entries that are paused or refuse jobs after a
/// start, which should be less than a third of the time. Long jobs may be given up again and again while entries lose each other,
/// but not more than every second one.
constexpr double ShortJobsBound = 2.0 / 3;
constexpr double LongJobsBound = 0.5;

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

/// Load pattern: half of the jobs take 0.9 to 3 s, so a first run still lives when its client submits the job again after 1.3 s.
/// They use about 0.4 of 8 servers.
SimulationSettings longJobs(std::uint64_t seed, const CoordinationFaults &faults)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.entries = 3;
    settings.agents = 8;
    settings.serverCpuMilli = 32000;
    settings.jobsPerSecond = 14;
    settings.clientTimeout = seconds(8);
    settings.stopDuration = milliseconds(180);
    settings.brokenConnectionRate = 0;
    settings.kinds = {
        JobKind{"short", 0.5, 2, milliseconds(120), 0.2, 0.2, 4000, 0},
        JobKind{"second", 0.15, 2, milliseconds(900), 0.1, 0.2, 4000, 1},
        JobKind{"two-seconds", 0.2, 2, milliseconds(1800), 0.1, 0.2, 4000, 1},
        JobKind{"three-seconds", 0.15, 2, milliseconds(2700), 0.1, 0.2, 4000, 1},
    };
    settings.coordinationFaults = faults;
    return settings;
}

/// Figures of one case over all seeds.
struct Totals
{
    std::vector<std::uint64_t> failingSeeds;
    JobKindResult shortJobs;
    JobKindResult longJobs;
};

void add(JobKindResult &sum, const JobKindResult &jobs)
{
    sum.submitted += jobs.submitted;
    sum.succeeded += jobs.succeeded;
}

double succeededShare(const JobKindResult &jobs)
{
    return jobs.submitted == 0 ? 0.0 : static_cast<double>(jobs.succeeded) / static_cast<double>(jobs.submitted);
}

Totals runAll(const std::vector<std::uint64_t> &seeds, const CoordinationFaults &faults, bool processFaults = false,
              const std::vector<ScheduledFleetRestart> &fleetRestarts = {})
{
    Totals totals;
    for (const std::uint64_t seed : seeds) {
        SimulationSettings settings = longJobs(seed, faults);
        settings.faults.processFaults = processFaults;
        settings.fleetRestarts = fleetRestarts;
        settings.log = std::getenv("LOG") == nullptr ? nullptr : &std::cout;
        const SimulationResult result = DispatchSimulation(std::move(settings)).runFor(LoadDuration);
        for (const std::pair<const std::string, JobKindResult> &kind : result.kinds) {
            add(kind.first == "short" ? totals.shortJobs : totals.longJobs, kind.second);
        }
        if (!result.violations.empty()) {
            totals.failingSeeds.push_back(seed);
        }
        for (std::size_t i = 0; i < std::min(result.violations.size(), PrintedViolations); ++i) {
            UNSCOPED_INFO("seed " << seed << ": " << result.violations[i]);
        }
    }
    std::cout << totals.failingSeeds.size() << " of " << seeds.size() << " seeds break an invariant:";
    for (std::size_t i = 0; i < std::min(totals.failingSeeds.size(), PrintedSeeds); ++i) {
        std::cout << " " << totals.failingSeeds[i];
    }
    std::cout << "; succeeded: short " << succeededShare(totals.shortJobs) << ", long " << succeededShare(totals.longJobs)
              << "\n";
    return totals;
}

/// Checks that no invariant is broken with any seed, and that the load was served nevertheless.
void checkRunOnce(const char *name, const CoordinationFaults &faults, bool processFaults = false)
{
    std::cout << name << ": ";
    const Totals totals = runAll(seedsToRun(), faults, processFaults);
    CHECK(totals.failingSeeds.empty());
    CHECK(succeededShare(totals.shortJobs) >= ShortJobsBound);
    CHECK(succeededShare(totals.longJobs) >= LongJobsBound);
}

/// Clients that often lose their connections, more than once a job.
CoordinationFaults brokenConnections()
{
    CoordinationFaults faults;
    faults.brokenConnectionShare = 0.4;
    return faults;
}

CoordinationFaults restartingEntries()
{
    CoordinationFaults faults = brokenConnections();
    faults.restartRate = 0.5;
    faults.maxReconnectDelay = milliseconds(150);
    faults.silentAfterStartShare = 0.3;
    faults.brokenBeforeStartShare = 0.5;
    faults.awaitedStartShare = 0.5;
    return faults;
}

CoordinationFaults entriesThatLoseEachOther()
{
    CoordinationFaults faults = brokenConnections();
    faults.entryCutSeriesRate = 0.2;
    return faults;
}

CoordinationFaults agentsThatLoseSingleEntries()
{
    CoordinationFaults faults = brokenConnections();
    faults.agentCutRate = 0.4;
    return faults;
}

CoordinationFaults pausedAndSilentEntries()
{
    CoordinationFaults faults = brokenConnections();
    faults.pauseRate = 0.4;
    faults.silenceRate = 2.5;
    return faults;
}

CoordinationFaults unreadRequests(bool readsEndedConnections)
{
    CoordinationFaults faults;
    faults.unreadShare = 0.2;
    faults.readsEndedConnections = readsEndedConnections;
    return faults;
}

/// All of them. Each is rarer, so that jobs are done between the faults.
CoordinationFaults allFaults()
{
    CoordinationFaults faults;
    faults.brokenConnectionShare = 0.3;
    faults.unreadShare = 0.1;
    faults.awaitedStartShare = 0.5;
    faults.restartRate = 0.2;
    faults.maxReconnectDelay = milliseconds(150);
    faults.silentAfterStartShare = 0.2;
    faults.brokenBeforeStartShare = 0.2;
    faults.pauseRate = 0.1;
    faults.entryCutSeriesRate = 0.1;
    faults.agentCutRate = 0.1;
    faults.silenceRate = 0.1;
    return faults;
}

} // namespace

TEST_CASE("A task runs once while clients lose their connections several times")
{
    checkRunOnce("broken connections", brokenConnections());
}

TEST_CASE("A task runs once while entries that have just started are asked for running jobs")
{
    checkRunOnce("restarting entries", restartingEntries());
}

TEST_CASE("A task runs once while entries lose each other but not the agents")
{
    checkRunOnce("entries that lose each other", entriesThatLoseEachOther());
}

TEST_CASE("A task runs once while agents lose single entries and other entries take over their jobs")
{
    checkRunOnce("agents that lose single entries", agentsThatLoseSingleEntries());
}

TEST_CASE("A task runs once while entries are paused and connections between them are silent")
{
    checkRunOnce("paused and silent entries", pausedAndSilentEntries());
}

TEST_CASE("A task runs once although requests lie unread while their connections are reset")
{
    checkRunOnce("unread requests", unreadRequests(false));
}

/// Shows that the fault exists when the rule is left out that a request from an ended connection is not submitted.
TEST_CASE("Requests that are read from ended connections let tasks run twice")
{
    std::cout << "requests read from ended connections: ";
    const Totals totals = runAll(seedsToRun(), unreadRequests(true));
    CHECK_FALSE(totals.failingSeeds.empty());
}

TEST_CASE("A task runs once while connections and entries and the network between them fail together")
{
    checkRunOnce("all of these", allFaults());
}

TEST_CASE("A task runs once while all entries and agents, or all entries, restart together and the servers run on")
{
    // Clients whose connections broke shortly before a restart submit their jobs to entries that have just started, while the
    // servers still have the runs. Short downtimes are the hard case.
    const Duration downtime = GENERATE(Duration(milliseconds(100)), Duration(milliseconds(600)));
    const bool agents = GENERATE(true, false);
    std::cout << "restarts of all " << (agents ? "processes: " : "entries: ");
    std::vector<ScheduledFleetRestart> restarts;
    for (const double second : {2.5, 4.5, 6.5, 8.0}) {
        restarts.push_back(ScheduledFleetRestart{second, downtime, milliseconds(300), agents});
    }
    const Totals totals = runAll(seedsToRun(), brokenConnections(), false, restarts);
    CHECK(totals.failingSeeds.empty());
    CHECK(succeededShare(totals.shortJobs) >= ShortJobsBound);
}

TEST_CASE("A task runs once while all entries and agents restart together and entries fail and lose each other")
{
    std::cout << "restarts of all processes, and all other faults: ";
    const std::vector<ScheduledFleetRestart> restarts{{3.0, milliseconds(100), milliseconds(300)},
                                                      {5.0, milliseconds(100), milliseconds(300)},
                                                      {7.5, milliseconds(400), milliseconds(300)}};
    const Totals totals = runAll(seedsToRun(), allFaults(), false, restarts);
    CHECK(totals.failingSeeds.empty());
    CHECK(succeededShare(totals.shortJobs) >= ShortJobsBound);
}

/// Not run by default: adds kills, pauses and partitions of agents, and crashes of servers.
TEST_CASE("A task runs once while connections and entries and the network and agents and servers fail together", "[.known]")
{
    checkRunOnce("all of these and process faults", allFaults(), true);
}
