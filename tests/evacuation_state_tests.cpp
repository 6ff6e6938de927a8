#include "core/dispatch/evacuation_state.h"

#include <catch2/catch.hpp>

using namespace cuminscale::dispatch;

TEST_CASE("No set is known, and no domain counts as evacuated, before the first set arrives")
{
    EvacuationState state;
    REQUIRE_FALSE(state.isKnown());
    REQUIRE_FALSE(state.isEvacuated("d1"));
    // A process that knows no set sends revision 0.
    REQUIRE_FALSE(state.adopt(Evacuations{}));
    REQUIRE_FALSE(state.isKnown());
    // That nothing is evacuated is knowledge too: admission depends on it.
    REQUIRE(state.adopt(Evacuations{7, {}}));
    REQUIRE(state.isKnown());
    REQUIRE(state.describe() == "none");
}

TEST_CASE("An older set, or one of the same revision, does not replace the valid one")
{
    EvacuationState state;
    REQUIRE(state.adopt(Evacuations{7, {"d1", "d2"}}));
    REQUIRE_FALSE(state.adopt(Evacuations{6, {}}));
    REQUIRE_FALSE(state.adopt(Evacuations{7, {"d3"}}));
    REQUIRE(state.valid() == Evacuations{7, {"d1", "d2"}});
    REQUIRE(state.isEvacuated("d2"));
    REQUIRE_FALSE(state.isEvacuated("d3"));
    REQUIRE(state.describe() == "d1,d2");
}

TEST_CASE(
    "A newer set with the same domains raises the revision without a change, so that an older end of the evacuation is void")
{
    EvacuationState state;
    REQUIRE(state.adopt(Evacuations{7, {"d1"}}));
    REQUIRE_FALSE(state.adopt(Evacuations{9, {"d1"}}));
    REQUIRE_FALSE(state.adopt(Evacuations{8, {}}));
    REQUIRE(state.isEvacuated("d1"));
    REQUIRE(state.adopt(Evacuations{10, {}}));
    REQUIRE_FALSE(state.isEvacuated("d1"));
}
