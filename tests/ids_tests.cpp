#include "cuminscale/ids.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

TEST_CASE("submission ids round-trip through text")
{
    const SubmissionId id{ProcessId{Endpoint{0x7f000001, 7001}, Incarnation(0xfedcba9876543210ULL)}, Sequence(0x1234567890ULL)};
    REQUIRE(toString(id) == "7f000001-1b59-fedcba9876543210-1234567890");
    REQUIRE(parseSubmissionId(toString(id)) == id);
}

TEST_CASE("malformed submission ids are rejected")
{
    for (const char *text : {"", "-", "7f000001", "7f000001-1b59-1", "7f000001-1b59-0-1", "7f000001-1b59-1-0", "x-1-1-1",
                             "7f000001-1b59-1-1-1", "7f000001-11b59-1-1", "7f000001-1b59-1-1 ", "+1-1-1-1", "ffffffffff-1-1-1"}) {
        INFO(text);
        REQUIRE_FALSE(parseSubmissionId(text));
    }
}

TEST_CASE("endpoints round-trip through text, and malformed ones are rejected")
{
    REQUIRE(parseEndpoint("10.1.2.3:65535") == Endpoint{0x0a010203, 65535});
    REQUIRE(toString(Endpoint{0x0a010203, 65535}) == "10.1.2.3:65535");
    for (const char *text :
         {"", "10.1.2.3", "10.1.2:1", "10.1.2.300:1", "10.1.2.3:65536", "10.1.2.3:", ":1", "localhost:1", "10.1.2.3:1x"}) {
        INFO(text);
        REQUIRE_FALSE(parseEndpoint(text));
    }
}
