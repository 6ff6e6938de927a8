#include "core/dispatch/cold_start.h"
#include "platform/server_gateway.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

constexpr TimePoint Begin{seconds(100)};
constexpr Resources Capacity{64000, 256000, 2};

std::int64_t usableCpu(const ColdStart &coldStart, Duration after)
{
    return coldStart.usable(Begin + after, Capacity).cpuMilli;
}

std::optional<ServerAnnouncement> parse(const std::string &coldField)
{
    return platform::parseAnnouncement("s",
                                       R"({"service":"svc","address":"10.0.0.1:80","state":"ready","seq":1,"clock_ms":5,)"
                                           + coldField + R"("capacity":{"cpu":64000,"mem_mb":256000}})");
}

} // namespace

TEST_CASE("The usable CPU of a cold server grows from a tenth to all of it, and the other resources are not limited")
{
    ColdStart coldStart;
    REQUIRE(coldStart.usable(Begin, Capacity) == Capacity);
    coldStart.announce(Begin, seconds(10));
    REQUIRE(coldStart.usable(Begin, Capacity) == Resources{6400, 256000, 2});
    REQUIRE(usableCpu(coldStart, seconds(5)) == 35200);
    REQUIRE(usableCpu(coldStart, milliseconds(9999)) < 64000);
    REQUIRE(usableCpu(coldStart, seconds(10)) == 64000);
    REQUIRE(coldStart.remaining(Begin + seconds(4)) == seconds(6));
    REQUIRE(coldStart.remaining(Begin + seconds(11)) == Duration(0));
}

TEST_CASE("A server that announces no time is not cold")
{
    ColdStart coldStart;
    coldStart.announce(Begin, Duration(0));
    REQUIRE(coldStart.usable(Begin, Capacity) == Capacity);
    REQUIRE(coldStart.remaining(Begin) == Duration(0));
}

TEST_CASE("The remaining time, the same time repeatedly and the time only once describe the same cold period")
{
    const int form = GENERATE(0, 1, 2);
    ColdStart coldStart;
    coldStart.announce(Begin, seconds(10));
    for (int second = 1; second < 20; ++second) {
        const Duration remaining = std::max(seconds(10) - seconds(second), seconds(0));
        coldStart.announce(Begin + seconds(second), form == 0 ? remaining : (form == 1 ? Duration(seconds(10)) : Duration(0)));
        REQUIRE(coldStart.remaining(Begin + seconds(second)) == remaining);
        REQUIRE(usableCpu(coldStart, seconds(second)) == std::min(6400 + 5760 * second, 64000));
    }
}

TEST_CASE("A longer time than before begins a new cold period, and a shorter one ends the present one sooner")
{
    ColdStart coldStart;
    coldStart.announce(Begin, seconds(10));
    coldStart.announce(Begin + seconds(1), seconds(4));
    REQUIRE(coldStart.remaining(Begin + seconds(1)) == seconds(4));
    coldStart.announce(Begin + seconds(6), Duration(0));
    REQUIRE(usableCpu(coldStart, seconds(6)) == 64000);
    // As at the end of an evacuation.
    coldStart.announce(Begin + seconds(7), seconds(3));
    REQUIRE(usableCpu(coldStart, seconds(7)) == 6400);
}

TEST_CASE("The time of an announcement is read, and an invalid one leaves the server usable")
{
    REQUIRE(parse("")->cold == Duration(0));
    REQUIRE(parse(R"("cold_ms":0,)")->cold == Duration(0));
    REQUIRE(parse(R"("cold_ms":2500,)")->cold == milliseconds(2500));
    for (const char *invalid : {"-1", "600001", "1e300", "0.5", "null", "\"5\"", "[]", "true"}) {
        const std::optional<ServerAnnouncement> announcement = parse("\"cold_ms\":" + std::string(invalid) + ",");
        INFO(invalid);
        REQUIRE(announcement);
        REQUIRE_FALSE(announcement->cold);
    }
}
