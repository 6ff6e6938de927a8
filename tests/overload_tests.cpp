#include "core/dispatch/load_shedding.h"
#include "core/dispatch/run_ledger.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const TimePoint Now(seconds(50));

/// A queued run whose latest start within the objective of its job is `slack` from now.
RunRecord queuedRun(const char *job, std::uint32_t urgency, std::int64_t cpuMilli, Duration slack)
{
    RunRecord record;
    record.ref = dispatch::RunRef{dispatch::TaskRef{*JobId::parse(job), 0, 0, 0}, RunNumber(1)};
    record.urgency = urgency;
    record.need = Resources{cpuMilli, 10, 0};
    record.inTimeBy = Now + slack;
    record.startBy = Now + seconds(5);
    return record;
}

/// Lowest backlog at which at least this fraction is shed. Found by search, so that tests do not depend on the limits.
double backlogFor(double fraction)
{
    double backlog = 0;
    while (LoadShedding::shareToShed(backlog) < fraction && backlog < 10.0) {
        backlog += 0.001;
    }
    return backlog;
}

} // namespace

TEST_CASE("Queued demand counts only for tasks with more slack")
{
    QueuedCpu queued;
    queued.add(milliseconds(30), 1000);
    queued.add(milliseconds(300), 4000);
    queued.add(milliseconds(-5), 2000);
    REQUIRE(queued.ahead(milliseconds(10)) == 0);
    REQUIRE(queued.ahead(milliseconds(90)) == 1000);
    REQUIRE(queued.ahead(milliseconds(390)) == 5000);
    REQUIRE(queued.ahead(milliseconds(-1)) == queued.total());
    REQUIRE(queued.total() == 7000);
}

TEST_CASE("Less urgent runs leave the CPU free that urgent runs use on average")
{
    // Load pattern: urgent jobs of short tasks arrive in bursts while long tasks are queued for any free CPU.
    RunLedger ledger;
    ledger.setCapacity(Resources{12000, 1000, 0});
    RunRecord &urgent = ledger.enqueue(queuedRun("00000000000000a1", 0, 6000, milliseconds(80)));
    ledger.book(urgent);
    for (TimePoint now = Now; now < Now + seconds(20); now += milliseconds(15)) {
        ledger.sampleUse(now);
    }
    ledger.remove(urgent.ref.task);
    ledger.enqueue(queuedRun("00000000000000b1", 2, 9000, milliseconds(500)));
    REQUIRE(ledger.nextWaiting(Now) == nullptr);
    // A run that fits beside the average use of the urgent runs starts.
    RunRecord &smallRun = ledger.enqueue(queuedRun("00000000000000b2", 2, 6000, milliseconds(600)));
    REQUIRE(ledger.nextWaiting(Now) == &smallRun);
    // An urgent run may use all free CPU.
    RunRecord &nextUrgent = ledger.enqueue(queuedRun("00000000000000a2", 0, 12000, milliseconds(80)));
    REQUIRE(ledger.nextWaiting(Now) == &nextUrgent);
}

TEST_CASE("Load is shed from the queue with the highest demand, and other queues are cut to the same level at most")
{
    // Load pattern: three queues, one of which has six times the demand of each of the others.
    LoadShedding shedding;
    std::map<std::string, int> shed;
    TimePoint now = Now;
    const double backlogForThird = backlogFor(1.0 / 3.0);
    const double backlogForMost = backlogFor(0.95);
    for (int i = 0; i < 600; ++i) {
        now += milliseconds(10);
        shed["flood"] += shedding.sheds(now, "flood", 2, 6.0, backlogForThird) ? 1 : 0;
        shed["a"] += shedding.sheds(now, "a", 1, 1.0, backlogForThird) ? 1 : 0;
        shed["b"] += shedding.sheds(now, "b", 3, 1.0, backlogForThird) ? 1 : 0;
        REQUIRE_FALSE(shedding.sheds(now, "urgent", 0, 1.0, 5.0));
    }
    // A third of the less urgent work is shed, which is less than the excess demand of the queue `flood` over the others.
    REQUIRE(shed["flood"] > 200);
    REQUIRE(shed["a"] + shed["b"] < 12);
    for (int i = 0; i < 600; ++i) {
        now += milliseconds(10);
        shed["flood again"] += shedding.sheds(now, "flood", 2, 6.0, backlogForMost) ? 1 : 0;
        shed["a again"] += shedding.sheds(now, "a", 1, 1.0, backlogForMost) ? 1 : 0;
    }
    REQUIRE(shed["a again"] > 200);
    REQUIRE(shed["flood again"] > shed["a again"]);
}

TEST_CASE("The fraction of work that is shed grows with the backlog")
{
    REQUIRE(LoadShedding::shareToShed(0.02) == 0.0);
    REQUIRE(backlogFor(0.01) > 0.0);
    REQUIRE(LoadShedding::shareToShed(0.5) > LoadShedding::shareToShed(0.3));
    REQUIRE(LoadShedding::shareToShed(2.0) == 1.0);
}

TEST_CASE("The higher the backlog, the longer the period over which retries of refused jobs are spread")
{
    // Load pattern: most jobs of a burst are refused within a second; their clients must not all retry at the same time.
    std::map<Duration, int> withoutBacklog;
    std::map<Duration, int> withBacklog;
    for (int i = 0; i < 500; ++i) {
        const std::string digits = std::to_string(1'000'000'000'000'000 + i * 7919);
        const JobId job = *JobId::parse(digits);
        ++withoutBacklog[LoadShedding::retryAfter(job, 0.0, seconds(1))];
        ++withBacklog[LoadShedding::retryAfter(job, 1.0, seconds(1))];
    }
    REQUIRE(withoutBacklog.size() == 1);
    REQUIRE(withoutBacklog.begin()->first == seconds(1));
    REQUIRE(withBacklog.size() == 5);
    for (const std::pair<const Duration, int> &group : withBacklog) {
        REQUIRE(group.second > 60);
    }
}
