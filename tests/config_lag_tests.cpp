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

constexpr Duration GracePeriod = milliseconds(900);

} // namespace

TEST_CASE("A peer that reads new versions from the store is not sent the document, however often the version changes")
{
    // Load pattern: a new version every 200 ms; the peer is one version behind at every check.
    ConfigLag lag;
    for (int i = 0; i < 50; ++i) {
        REQUIRE_FALSE(lag.overdue(at(200 * i), static_cast<std::uint64_t>(i), static_cast<std::uint64_t>(i) + 1, GracePeriod));
    }
}

TEST_CASE("A peer whose version does not change is sent the document after the grace period, and again after the push interval")
{
    ConfigLag lag;
    REQUIRE_FALSE(lag.overdue(at(0), 3, 5, GracePeriod));
    REQUIRE_FALSE(lag.overdue(at(800), 3, 5, GracePeriod));
    REQUIRE(lag.overdue(at(900), 3, 5, GracePeriod));
    REQUIRE_FALSE(lag.overdue(at(1500), 3, 5, GracePeriod));
    REQUIRE(lag.overdue(at(1900), 3, 5, GracePeriod));
    REQUIRE_FALSE(lag.overdue(at(2000), 5, 5, GracePeriod));
    REQUIRE_FALSE(lag.overdue(at(2100), 5, 6, GracePeriod));
}
