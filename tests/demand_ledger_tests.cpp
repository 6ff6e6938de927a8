#include "core/dispatch/demand_ledger.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const TimePoint Start(seconds(50));
const QueueKey A = queueKey("a");
const QueueKey B = queueKey("b");
const Endpoint Peer{2, 7000};

/// Records evenly spaced work of a queue at a rate in cores.
void load(DemandLedger &ledger, QueueKey queue, TimePoint from, TimePoint to, double cores)
{
    constexpr Duration Spacing = milliseconds(20);
    for (TimePoint now = from; now < to; now += Spacing) {
        ledger.record(now, queue, cores * std::chrono::duration<double>(Spacing).count());
    }
}

} // namespace

TEST_CASE("Demand is measured without a lag from the first request on")
{
    // Guards against a mean over 20 s that takes 20 s to become right, while floods start 3.5 s after the first request.
    DemandLedger ledger;
    load(ledger, A, Start, Start + milliseconds(3500), 40);
    const DemandLedger::Demand early = ledger.fleet(Start + milliseconds(3500)).at(A);
    REQUIRE(early.usual == Approx(40).epsilon(0.1));
    REQUIRE(early.present == Approx(40).epsilon(0.1));
    load(ledger, A, Start + milliseconds(3500), Start + seconds(60), 40);
    REQUIRE(ledger.fleet(Start + seconds(60)).at(A).usual == Approx(40).epsilon(0.05));
}

TEST_CASE("The present demand follows a burst at once, and the usual one is learned slowly during refusals")
{
    // Guards against a burst that becomes usual before it ends. The backlog needs a second to reach the level of refusals.
    for (const Duration before : {milliseconds(3500), milliseconds(30'000)}) {
        DemandLedger ledger;
        load(ledger, A, Start, Start + before, 40);
        load(ledger, A, Start + before, Start + before + seconds(1), 104);
        for (TimePoint now = Start + before + seconds(1); now < Start + before + seconds(6); now += milliseconds(100)) {
            ledger.slowLearning(now);
            load(ledger, A, now, now + milliseconds(100), 104);
        }
        const DemandLedger::Demand demand = ledger.fleet(Start + before + seconds(6)).at(A);
        INFO("usual " << demand.usual << " after a burst that began after " << before.count() << " us");
        CHECK(demand.present == Approx(104).epsilon(0.1));
        CHECK(demand.usual < 1.25 * 40);
    }
}

TEST_CASE("A demand that has changed for good becomes the usual one")
{
    // Guards against clients that have grown, or a queue that is new, being refused for ever.
    DemandLedger ledger;
    load(ledger, A, Start, Start + seconds(30), 40);
    for (TimePoint now = Start + seconds(30); now < Start + seconds(150); now += milliseconds(100)) {
        load(ledger, A, now, now + milliseconds(100), 80);
        load(ledger, B, now, now + milliseconds(100), 40);
    }
    REQUIRE(ledger.fleet(Start + seconds(150)).at(A).usual > 0.9 * 80);
    REQUIRE(ledger.fleet(Start + seconds(150)).at(B).usual > 0.8 * 40);
}

TEST_CASE("A changed mix is learned even if refusals never end")
{
    DemandLedger ledger;
    load(ledger, A, Start, Start + seconds(30), 40);
    for (TimePoint now = Start + seconds(30); now < Start + seconds(600); now += milliseconds(100)) {
        ledger.slowLearning(now);
        load(ledger, A, now, now + milliseconds(100), 80);
    }
    REQUIRE(ledger.fleet(Start + seconds(600)).at(A).usual > 0.8 * 80);
}

TEST_CASE("Digests of the other entries are added for three seconds")
{
    DemandLedger ledger;
    load(ledger, A, Start, Start + seconds(5), 10);
    const TimePoint now = Start + seconds(5);
    REQUIRE(ledger.receive(now, Peer, {QueueDemand{A, 30e3, 60e3}, QueueDemand{B, 5e3, 5e3}}));
    REQUIRE(ledger.receive(now, Endpoint{3, 7000}, {QueueDemand{A, 1e3, 1e3}}));
    REQUIRE(ledger.fleet(now).at(A).usual == Approx(41).epsilon(0.05));
    REQUIRE(ledger.fleet(now).at(A).present == Approx(71).epsilon(0.05));
    REQUIRE(ledger.fleet(now).at(B).usual == Approx(5));
    // A later digest replaces the former one of that entry.
    load(ledger, A, now, now + seconds(2), 10);
    REQUIRE(ledger.receive(now + seconds(2), Peer, {QueueDemand{A, 20e3, 20e3}}));
    REQUIRE(ledger.fleet(now + seconds(2)).at(A).usual == Approx(31).epsilon(0.05));
    REQUIRE(ledger.fleet(now + seconds(2)).count(B) == 0);
    load(ledger, A, now + seconds(2), now + seconds(6), 10);
    REQUIRE(ledger.fleet(now + seconds(6)).at(A).usual == Approx(10).epsilon(0.05));
}

TEST_CASE("An entry that has just started knows the usual demand from digests alone")
{
    DemandLedger ledger;
    REQUIRE_FALSE(ledger.isMeasured(Start));
    REQUIRE(ledger.receive(Start, Peer, {QueueDemand{A, 30e3, 60e3}}));
    REQUIRE(ledger.isMeasured(Start));
    REQUIRE(ledger.fleet(Start).at(A).present == Approx(60));
    REQUIRE_FALSE(ledger.isMeasured(Start + seconds(4)));
    REQUIRE(ledger.fleet(Start + seconds(4)).empty());
    // It has measured for two seconds, and sends no digest before.
    load(ledger, A, Start + seconds(4), Start + milliseconds(5900), 10);
    REQUIRE_FALSE(ledger.isMeasured(Start + milliseconds(5900)));
    REQUIRE(ledger.digest(Start + milliseconds(5900)).demands.empty());
    load(ledger, A, Start + milliseconds(5900), Start + milliseconds(6100), 10);
    REQUIRE(ledger.isMeasured(Start + milliseconds(6100)));
    REQUIRE(ledger.digest(Start + milliseconds(6100)).demands.size() == 1);
}

TEST_CASE("Figures that can't be right are ignored and counted, and the others are used")
{
    DemandLedger ledger;
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    REQUIRE_FALSE(ledger.receive(Start, Peer,
                                 {QueueDemand{A, -1, 5}, QueueDemand{A, nan, 5}, QueueDemand{A, 5, infinity},
                                  QueueDemand{A, 5, 1e300}, QueueDemand{B, 5e3, 6e3}, QueueDemand{B, 5e3, 6e3}}));
    REQUIRE(ledger.malformedFigures() == 5);
    REQUIRE(ledger.fleet(Start).count(A) == 0);
    REQUIRE(ledger.fleet(Start).at(B).present == Approx(6));
    ledger.record(Start, A, nan);
    ledger.record(Start, A, -1.0);
    REQUIRE(ledger.fleet(Start + seconds(1)).count(A) == 0);
}

TEST_CASE("Memory and digests are bounded, and the largest demands are kept")
{
    // Guards against clients or entries that name thousands of queues.
    DemandLedger ledger;
    for (int round = 0; round < 250; ++round) {
        const TimePoint now = Start + round * milliseconds(10);
        ledger.record(now, A, 1.0);
        for (int i = 0; i < 40; ++i) {
            ledger.record(now, queueKey("queue-" + std::to_string(round * 40 + i)), 0.001 * (i + 1));
        }
    }
    const TimePoint now = Start + milliseconds(2500);
    REQUIRE(ledger.fleet(now).size() <= DemandLedger::MaxOwnQueues);
    const std::vector<QueueDemand> digest = ledger.digest(now).demands;
    REQUIRE(digest.size() == DemandLedger::MaxDigestQueues);
    REQUIRE(digest.front().queue == A);
    for (std::uint32_t peer = 0; peer < 100; ++peer) {
        std::vector<QueueDemand> demands;
        for (std::uint32_t i = 0; i < 20; ++i) {
            demands.push_back(QueueDemand{QueueKey(1000 + peer * 20 + i), 1e3, 1e3});
        }
        REQUIRE_FALSE(ledger.receive(now, Endpoint{100 + peer, 7000}, demands));
    }
    REQUIRE(ledger.fleet(now).size() <= DemandLedger::MaxFleetQueues);
    REQUIRE(ledger.fleet(now).count(A) == 1);
}

TEST_CASE("A changed demand is noticed at once, and a steady one is not taken for a change")
{
    // Guards against other entries that learn of a burst a second late, and against a digest in each heartbeat.
    DemandLedger ledger;
    load(ledger, A, Start, Start + seconds(3), 30);
    const TimePoint changedAt = ledger.digest(Start + seconds(3)).changedAt;
    load(ledger, A, Start + seconds(3), Start + seconds(15), 30);
    REQUIRE(ledger.digest(Start + seconds(15)).changedAt == changedAt);
    load(ledger, A, Start + seconds(15), Start + milliseconds(15'300), 60);
    REQUIRE(ledger.digest(Start + milliseconds(15'300)).changedAt == Start + milliseconds(15'300));
}

TEST_CASE("The usual demand counts as unknown while there are more queues than the ledger keeps")
{
    // Guards against a queue whose usual demand was lost when it was evicted, so that all its demand counts as a surge.
    DemandLedger ledger;
    TimePoint now = Start;
    for (; now < Start + seconds(5); now += milliseconds(100)) {
        for (std::size_t i = 0; i <= DemandLedger::MaxOwnQueues; ++i) {
            ledger.record(now, queueKey("queue-" + std::to_string(i)), 1.0);
        }
    }
    const TimePoint evictedAt = now - milliseconds(100);
    REQUIRE(ledger.receive(now, Peer, {QueueDemand{A, 1e3, 1e3}}));
    REQUIRE_FALSE(ledger.isMeasured(now));
    REQUIRE_FALSE(ledger.isMeasured(evictedAt + milliseconds(19'900)));
    REQUIRE(ledger.isMeasured(evictedAt + milliseconds(20'000)));
}

TEST_CASE("Figures far above the demand of all other entries are ignored and counted")
{
    // Guards against one wrong figure that outweighs the demand of the whole fleet.
    DemandLedger ledger;
    // Without another demand to compare with, the first digest is used, as by an entry that has just started.
    REQUIRE(ledger.receive(Start, Peer, {QueueDemand{A, 150e3, 300e3}}));
    const Endpoint wrong{3, 7000};
    REQUIRE_FALSE(ledger.receive(Start, wrong, {QueueDemand{A, 1e8, 0}, QueueDemand{B, 0, 1e8}}));
    REQUIRE(ledger.malformedFigures() == 2);
    REQUIRE(ledger.fleet(Start).at(A).usual == Approx(150));
    REQUIRE(ledger.fleet(Start).count(B) == 0);
    // Entries differ in size, so a demand of several times that of the others is valid.
    REQUIRE(ledger.receive(Start, wrong, {QueueDemand{A, 1500e3, 3000e3}}));
    REQUIRE(ledger.fleet(Start).at(A).usual == Approx(1650));

    // The former digest of the same entry does not make its next one valid, and the own demand counts once it is known.
    DemandLedger own;
    REQUIRE(own.receive(Start, wrong, {QueueDemand{A, 1e8, 1e8}}));
    load(own, B, Start, Start + milliseconds(2500), 20);
    REQUIRE_FALSE(own.receive(Start + milliseconds(2500), wrong, {QueueDemand{A, 1e8, 1e8}}));
    REQUIRE(own.receive(Start + milliseconds(2500), wrong, {QueueDemand{A, 20e3, 20e3}}));
    REQUIRE(own.fleet(Start + milliseconds(2500)).at(A).usual == Approx(20));
}

TEST_CASE("Digests are added to the fleet's demand in steps of the update interval")
{
    // Guards against a sum over all digests for each one that is received.
    DemandLedger ledger;
    REQUIRE(ledger.receive(Start, Peer, {QueueDemand{B, 5e3, 5e3}}));
    // An entry that has just started decides by the digests from its first job on.
    ledger.record(Start, A, 0.1);
    REQUIRE(ledger.lastFleet().at(B).present == Approx(5));
    REQUIRE(ledger.receive(Start + milliseconds(10), Peer, {QueueDemand{B, 7e3, 7e3}}));
    ledger.record(Start + milliseconds(20), A, 0.1);
    REQUIRE(ledger.lastFleet().at(B).present == Approx(5));
    ledger.record(Start + milliseconds(100), A, 0.1);
    REQUIRE(ledger.lastFleet().at(B).present == Approx(7));
}
