#include "core/dispatch/config_lag.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

TimePoint at(int ms)
{
    return TimePoint(seconds(100)) + milliseconds(ms);
}

constexpr Duration Patience = milliseconds(900);

} // namespace

TEST_CASE("A peer that the store serves is not helped, however many versions follow each other")
{
    // Load pattern: a version every 200 ms; the peer is one behind at each look.
    ConfigLag lag;
    for (int i = 0; i < 50; ++i) {
        REQUIRE_FALSE(lag.overdue(at(200 * i), static_cast<std::uint64_t>(i), static_cast<std::uint64_t>(i) + 1, Patience));
    }
}

TEST_CASE("A peer that makes no progress is helped once its time is up, and again after a pause")
{
    ConfigLag lag;
    REQUIRE_FALSE(lag.overdue(at(0), 3, 5, Patience));
    REQUIRE_FALSE(lag.overdue(at(800), 3, 5, Patience));
    REQUIRE(lag.overdue(at(900), 3, 5, Patience));
    REQUIRE_FALSE(lag.overdue(at(1500), 3, 5, Patience));
    REQUIRE(lag.overdue(at(1900), 3, 5, Patience));
    REQUIRE_FALSE(lag.overdue(at(2000), 5, 5, Patience));
    REQUIRE_FALSE(lag.overdue(at(2100), 5, 6, Patience));
}
