#include "core/dispatch/placement.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <set>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

constexpr std::int64_t ServerCpuMilli = 16000;

TimePoint now()
{
    return TimePoint(seconds(50));
}

/// Agents 1 to n of one service, all idle, whose last reports arrived at now().
FleetView makeFleet(std::uint32_t n)
{
    FleetView fleet;
    for (std::uint32_t i = 1; i <= n; ++i) {
        AgentView &agent = *fleet.findOrAdd(Endpoint{i, 7000}, now());
        AgentReport report;
        report.service = "svc";
        report.domain = i % 2 == 0 ? "even" : "odd";
        report.load.accepting = true;
        report.load.capacity = report.load.free = Resources{ServerCpuMilli, 1000, 0};
        report.load.labels = {i <= 2 ? "a" : "b"};
        FleetView::applyReport(agent, report);
    }
    return fleet;
}

PlacementRequest request(std::uint32_t tasks)
{
    PlacementRequest placementRequest;
    placementRequest.service = "svc";
    placementRequest.domain = "odd";
    placementRequest.need = Resources{4000, 10, 0};
    placementRequest.expectedRun = milliseconds(100);
    placementRequest.tasks = tasks;
    return placementRequest;
}

std::multiset<std::uint32_t> addresses(const std::vector<Placement> &places)
{
    std::multiset<std::uint32_t> result;
    for (const Placement &place : places) {
        result.insert(place.agent->endpoint.ip);
    }
    return result;
}

} // namespace

TEST_CASE("A job is placed in its own failure domain, on few servers, while capacity is free there")
{
    FleetView fleet = makeFleet(4);
    const std::multiset<std::uint32_t> used = addresses(EarliestFinish().place(fleet, request(3), now()));
    REQUIRE(used.size() == 3);
    REQUIRE(used.count(2) + used.count(4) == 0);
}

TEST_CASE("If the server in the own failure domain is full, one in another domain is used")
{
    FleetView fleet = makeFleet(2);
    fleet.find(Endpoint{1, 7000})->load.free = Resources{0, 1000, 0};
    REQUIRE(addresses(EarliestFinish().place(fleet, request(2), now())).count(2) == 2);
}

TEST_CASE("A slow server gets no tasks while healthy servers have free capacity")
{
    // Scenario: runs on one server take several times as long as on the others.
    FleetView fleet = makeFleet(3);
    for (int i = 0; i < 20; ++i) {
        fleet.find(Endpoint{1, 7000})->health.recordRunTimeRatio(now(), 5.0, evidence::SiblingRunWeight);
    }
    REQUIRE(addresses(EarliestFinish().place(fleet, request(6), now())).count(1) == 0);
    // The round-robin baseline ignores the speed of servers.
    REQUIRE(addresses(RoundRobin().place(fleet, request(6), now())).count(1) == 2);
}

TEST_CASE("A server is suspect after a few failed runs, and then on probation until a run completes")
{
    ServerHealth health;
    for (int i = 0; i < 3; ++i) {
        health.recordFailure(now());
    }
    REQUIRE(health.suspect(now()));
    REQUIRE_FALSE(health.suspect(now() + seconds(1)));
    REQUIRE(health.onProbation());
    health.recordDone(now() + seconds(1));
    REQUIRE_FALSE(health.onProbation());
}

TEST_CASE("Evidence of slowness accumulates and decays with a half-life of two seconds")
{
    ServerHealth health;
    health.recordRunTimeRatio(now(), 4.0, evidence::SiblingRunWeight);
    // The prior for a healthy server (factor 1) has the same weight as this evidence (factor 4): the geometric mean is 2.
    REQUIRE(health.slowness(now()) == Approx(2.0));
    health.recordRunTimeRatio(now(), 4.0, 2.0 * evidence::SiblingRunWeight);
    REQUIRE(health.slowness(now()) == Approx(std::pow(4.0, 0.75)));
    REQUIRE(health.slowness(now() + seconds(2)) == Approx(std::pow(4.0, 0.6)));
}

TEST_CASE("The speed that an agent reports is used before this entry has run anything there, and own evidence adds to it")
{
    ServerHealth health;
    health.setReportedRatio(1.6, 100);
    REQUIRE(health.slowness(now()) == Approx(1.6));
    // The first measured jobs count together with the assumption of a healthy server.
    health.setReportedRatio(4.0, 0.5);
    REQUIRE(health.slowness(now()) == Approx(2.0));
    health.setReportedRatio(1.6, 100);
    for (int i = 0; i < 20; ++i) {
        health.recordRunTimeRatio(now(), 5.0, evidence::SiblingRunWeight);
    }
    REQUIRE(health.slowness(now()) > 3.0);
    // Without reports, the server counts as healthy.
    ServerHealth unknown;
    unknown.setReportedRatio(1.0, 0);
    REQUIRE(unknown.slowness(now()) == Approx(1.0));
}

TEST_CASE("In a fleet of three speeds, long tasks go to fast servers, and short ones don't wait for them")
{
    // Load pattern: run times on the servers 1 to 3 are 0.6, 1.0 and 1.6 times the ordinary ones, as their agents report.
    FleetView fleet = makeFleet(3);
    for (std::uint32_t i = 1; i <= 3; ++i) {
        fleet.find(Endpoint{i, 7000})->domain = "odd";
        fleet.find(Endpoint{i, 7000})->health.setReportedRatio(i == 1 ? 0.6 : (i == 2 ? 1.0 : 1.6), 100);
    }
    PlacementRequest longTasks = request(4);
    longTasks.expectedRun = milliseconds(760);
    longTasks.urgency = 2;
    SECTION("on idle servers")
    {
        REQUIRE(addresses(EarliestFinish().place(fleet, longTasks, now())).count(1) == 4);
        REQUIRE(addresses(EarliestFinish().place(fleet, request(4), now())).count(1) == 4);
    }
    SECTION("with the fast server taken by long tasks")
    {
        AgentView &fast = *fleet.find(Endpoint{1, 7000});
        fast.load.free = Resources{0, 1000, 0};
        fast.load.runningWork = 16000.0 * 400000;
        PlacementRequest shortTasks = request(4);
        shortTasks.expectedRun = milliseconds(51);
        for (const Placement &place : EarliestFinish().place(fleet, shortTasks, now())) {
            REQUIRE(place.agent->endpoint.ip == 2);
            REQUIRE(place.wait == Duration(0));
            REQUIRE(place.finish == milliseconds(51));
        }
    }
    SECTION("with the fast and the ordinary server busy, the slow one is used")
    {
        for (const std::uint32_t i : {1U, 2U}) {
            AgentView &busy = *fleet.find(Endpoint{i, 7000});
            busy.load.free = Resources{0, 1000, 0};
            busy.load.runningWork = 16000.0 * 800000;
        }
        REQUIRE(addresses(EarliestFinish().place(fleet, longTasks, now())).count(3) > 0);
    }
}

TEST_CASE("A server is not rated slow because one run takes three times as long as declared")
{
    // Scenario: healthy servers; declared run times are off by a factor of about 1.5.
    ServerHealth health;
    for (const double ratio : {0.8, 1.2, 0.7, 1.0}) {
        health.recordRunTimeRatio(now(), ratio, evidence::DeclaredTimeWeight);
    }
    const double weight = evidence::UnfinishedRunFactor * evidence::DeclaredTimeWeight;
    health.setOverdueEvidence(RunTimeEvidence{weight * std::log(3.0), weight});
    REQUIRE(health.slowness(now()) < 1.2);
}

TEST_CASE("Placement respects required labels, the limit of tasks per server, and the availability of servers")
{
    FleetView fleet = makeFleet(4);
    PlacementRequest labelled = request(2);
    labelled.requiredLabel = "b";
    const std::multiset<std::uint32_t> used = addresses(EarliestFinish().place(fleet, labelled, now()));
    REQUIRE(used.count(1) + used.count(2) == 0);
    PlacementRequest limited = request(4);
    limited.maxPerServer = 1;
    REQUIRE(addresses(EarliestFinish().place(fleet, limited, now())) == std::multiset<std::uint32_t>{1, 2, 3, 4});
    limited.tasks = 5;
    REQUIRE(EarliestFinish().place(fleet, limited, now()).empty());
    PlacementRequest otherService = request(1);
    otherService.service = "other";
    REQUIRE(EarliestFinish().place(fleet, otherService, now()).empty());
    // No agent has reported for 1 s.
    REQUIRE(EarliestFinish().place(fleet, request(1), now() + seconds(1)).empty());
}

TEST_CASE("The expected wait at a server whose capacity has shrunk includes the runs beyond the new capacity")
{
    // Scenario: 16 cores are booked by runs of 100 ms, half done on average, and the capacity shrinks from 16 cores to 8.
    FleetView fleet = makeFleet(1);
    AgentView &agent = *fleet.find(Endpoint{1, 7000});
    agent.load.capacity = Resources{8000, 1000, 0};
    agent.load.free = Resources{-8000, 1000, 0};
    agent.load.runningWork = 16000.0 * 50000.0;
    const Resources need{4000, 10, 0};
    const Resources available = agent.availableFor(milliseconds(50), MostUrgent, now());
    REQUIRE(available.cpuMilli == -8000);
    // 12 of the 16 cores have to be released.
    REQUIRE(agent.expectedWait(need, available) == milliseconds(75));
    // An order that the agent has not reported yet comes first.
    agent.unreportedOrders.push_back(AgentView::UnreportedOrder{1, 2000, 10, 0, now()});
    REQUIRE(agent.availableFor(milliseconds(50), MostUrgent, now()).cpuMilli == -10000);
}

TEST_CASE("A server without free memory or accelerators is not taken for one where a task starts at once")
{
    // Scenario: the memory, or the accelerators, of the server in the own failure domain have shrunk below what runs there use.
    const Resources shrunk = GENERATE(Resources{16000, 500, 4}, Resources{16000, 1000, 1});
    FleetView fleet = makeFleet(2);
    AgentView &agent = *fleet.find(Endpoint{1, 7000});
    agent.load.capacity = shrunk;
    agent.load.free = shrunk;
    agent.load.free -= Resources{4000, 700, 2};
    agent.load.runningWork = 4000.0 * 50000.0;
    fleet.find(Endpoint{2, 7000})->load.capacity.accelerators = 4;
    fleet.find(Endpoint{2, 7000})->load.free.accelerators = 4;
    PlacementRequest accelerated = request(1);
    accelerated.need.accelerators = 1;
    const std::vector<Placement> places = EarliestFinish().place(fleet, accelerated, now());
    REQUIRE(addresses(places).count(2) == 1);
    // 210 of the 700 MB in use have to be released, or both accelerators; all runs take 100 ms.
    const Duration wait = agent.expectedWait(accelerated.need, agent.load.free);
    REQUIRE(wait == (shrunk.memoryMb == 500 ? milliseconds(30) : milliseconds(100)));
}

TEST_CASE("Suspect tasks stay off most servers, and other tasks off the isolation servers, while there is a choice")
{
    FleetView fleet = makeFleet(4);
    PlacementRequest isolated = request(6);
    isolated.isolationServers = {Endpoint{4, 7000}};
    isolated.isolation = Isolation::Confined;
    REQUIRE(addresses(EarliestFinish().place(fleet, isolated, now())) == std::multiset<std::uint32_t>{4, 4, 4, 4, 4, 4});
    isolated.isolation = Isolation::Preferred;
    REQUIRE(addresses(EarliestFinish().place(fleet, isolated, now())).count(4) == 6);
    isolated.isolation = Isolation::Outside;
    REQUIRE(addresses(EarliestFinish().place(fleet, isolated, now())).count(4) == 0);
    fleet.find(Endpoint{4, 7000})->load.accepting = false;
    isolated.isolation = Isolation::Confined;
    REQUIRE(EarliestFinish().place(fleet, isolated, now()).empty());
    isolated.isolation = Isolation::Preferred;
    REQUIRE(EarliestFinish().place(fleet, isolated, now()).size() == 6);
    fleet.find(Endpoint{4, 7000})->load.accepting = true;
    for (std::uint32_t i = 1; i <= 3; ++i) {
        fleet.find(Endpoint{i, 7000})->load.accepting = false;
    }
    isolated.isolation = Isolation::Outside;
    REQUIRE(addresses(EarliestFinish().place(fleet, isolated, now())).count(4) == 6);
}

TEST_CASE("A task with data on a rack takes the configured multiple of its run time elsewhere")
{
    FleetView fleet = makeFleet(4);
    PlacementRequest request = ::request(1);
    request.preferredRack = "none";
    request.remoteDataFactor = 3.0;
    REQUIRE(EarliestFinish().place(fleet, request, now()).at(0).finish == milliseconds(300));
    REQUIRE(EarliestFinish().place(fleet, request, now()).at(0).remoteData);
}

TEST_CASE("A task with data on a rack gets a limit for its wait there, and runs elsewhere once waits there fail")
{
    // Agents 1 and 2 are on rack "a".
    FleetView fleet = makeFleet(4);
    DataLocality locality;
    PlacementRequest request = ::request(1);
    request.preferredRack = "a";
    request.remoteDataFactor = 2.0;
    request.timeToObjective = seconds(1);
    request.locality = &locality;
    const Placement near = EarliestFinish().place(fleet, request, now()).at(0);
    REQUIRE(near.agent->hasLabel("a"));
    REQUIRE_FALSE(near.remoteData);
    REQUIRE(near.waitWithin > milliseconds(50));
    REQUIRE(near.waitWithin <= milliseconds(100));
    for (int i = 0; i < 20; ++i) {
        locality.recordExpired(now(), "a");
    }
    const Placement remote = EarliestFinish().place(fleet, request, now()).at(0);
    REQUIRE(remote.remoteData);
    REQUIRE(remote.waitWithin == Duration(0));
    request.preferredRack.clear();
    REQUIRE(EarliestFinish().place(fleet, request, now()).at(0).waitWithin == Duration(0));
}

TEST_CASE("The weight of waits does not make a busy server near the data count as faulty")
{
    // Guards against counting a part of the wait as overhead: from 210 ms on, the server seemed to fail runs.
    FleetView fleet = makeFleet(4);
    for (const std::uint32_t i : {1U, 2U}) {
        AgentView &near = *fleet.find(Endpoint{i, 7000});
        near.load.free = Resources{0, 1000, 0};
        near.load.runningWork = 16000.0 * 500000;
    }
    DataLocality locality;
    PlacementRequest request = ::request(1);
    request.preferredRack = "a";
    request.remoteDataFactor = 2.0;
    request.expectedRun = milliseconds(900);
    request.timeToObjective = seconds(10);
    request.urgency = 2;
    request.locality = &locality;
    const Placement place = EarliestFinish().place(fleet, request, now()).at(0);
    REQUIRE_FALSE(place.remoteData);
    REQUIRE(place.wait == milliseconds(250));
    REQUIRE(place.waitWithin > place.wait);
}
