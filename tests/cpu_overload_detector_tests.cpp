#include "core/dispatch/cpu_overload_detector.h"
#include "core/dispatch/peer_session.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

constexpr Duration TickInterval = milliseconds(15);

/// Ticks with a constant timer lag for `length`; returns the time of the last tick.
TimePoint tickFor(CpuOverloadDetector &guard, TimePoint now, Duration length, Duration lag)
{
    const TimePoint end = now + length;
    while (now < end) {
        now += TickInterval + lag;
        guard.recordTick(now, lag);
    }
    return now;
}

/// Number of refusals among the next 100 jobs.
int refusedOf100(CpuOverloadDetector &guard)
{
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        refused += guard.shouldRefuseNext() ? 1 : 0;
    }
    return refused;
}

} // namespace

TEST_CASE("A process whose timer is on time refuses no jobs")
{
    CpuOverloadDetector guard;
    tickFor(guard, TimePoint(seconds(10)), seconds(3), milliseconds(2));
    REQUIRE(refusedOf100(guard) == 0);
    REQUIRE_FALSE(guard.isOverloaded());
}

TEST_CASE("A single pause of 100 ms causes almost no refusals")
{
    // Scenario: a CPU quota that is enforced in periods of 100 ms.
    CpuOverloadDetector guard;
    TimePoint now = tickFor(guard, TimePoint(seconds(10)), seconds(3), milliseconds(1));
    now += milliseconds(100);
    guard.recordTick(now, milliseconds(85));
    REQUIRE(refusedOf100(guard) <= 1);
}

TEST_CASE("A process that was paused for seconds refuses few jobs, and none half a second later")
{
    // Scenario: an instance is suspended and resumes.
    CpuOverloadDetector guard;
    TimePoint now = tickFor(guard, TimePoint(seconds(10)), seconds(3), milliseconds(1));
    now += seconds(4);
    guard.recordTick(now, seconds(4));
    REQUIRE(refusedOf100(guard) < 25);
    tickFor(guard, now, milliseconds(500), milliseconds(1));
    REQUIRE(refusedOf100(guard) == 0);
}

TEST_CASE("An overloaded process refuses most jobs but not all, and closes connections once the load balancer has noticed")
{
    // Load pattern: the clients of a whole failure domain reconnect to an entry with an eighth of a core.
    CpuOverloadDetector guard;
    const TimePoint start(seconds(10));
    TimePoint now = tickFor(guard, start, seconds(2), milliseconds(300));
    const int refused = refusedOf100(guard);
    REQUIRE(refused >= 85);
    REQUIRE(refused < 100);
    REQUIRE(guard.isOverloaded());
    REQUIRE_FALSE(guard.shouldCloseConnections(now));
    now = tickFor(guard, now, seconds(2), milliseconds(300));
    REQUIRE(guard.shouldCloseConnections(now));
    now = tickFor(guard, now, seconds(3), milliseconds(1));
    REQUIRE(refusedOf100(guard) == 0);
    REQUIRE_FALSE(guard.isOverloaded());
    REQUIRE_FALSE(guard.shouldCloseConnections(now));
}

TEST_CASE("Connections to a peer that does not respond are replaced with exponential backoff")
{
    // Scenario: a peer is short of CPU time, and each new connection costs it more.
    const ProcessId self{Endpoint{1, 7000}, Incarnation(1)};
    PeerSession session(TimePoint(seconds(10)));
    int replacements = 0;
    for (TimePoint now(seconds(10)); now < TimePoint(seconds(30)); now += milliseconds(20)) {
        session.makeEnvelope(self, true, now, dispatch::Message(EntryReport()));
        replacements += session.outgoingTimedOut(now) ? 1 : 0;
    }
    // Expected replacements: after 0.5, 1.5 and 3.5 s, then every 4 s.
    REQUIRE(replacements >= 5);
    REQUIRE(replacements <= 9);
}
