#include "core/config_document.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace cuminscale;

namespace
{

/// The path of the first fault in a document, or nothing when it is in order.
std::string faultIn(const std::string &text)
{
    ConfigError error;
    return parseConfigDocument(text, error) ? std::string() : error.path;
}

std::string readShipped(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("a document with comments is read")
{
    ConfigError error;
    const std::optional<ConfigDocument> document = parseConfigDocument(
        R"({"services": {"pairing": { // comment
            "kinds": {"match": {"urgency": 9, "deadline_ms": 500}},
            "members": {"cairo": {"share": 0.5, "cap": 0.75}, "giza": {}}}}})",
        error);
    REQUIRE(document);
    const ServiceRule &rule = document->services.at("pairing");
    REQUIRE(rule.kinds.at("match").urgency == 9);
    REQUIRE(rule.kinds.at("match").deadline == milliseconds(500));
    REQUIRE(rule.members.at("cairo").share == 0.5);
    REQUIRE(rule.members.at("giza").cap == 1.0);
}

TEST_CASE("a fault is named by its path")
{
    REQUIRE(faultIn("{") == "document");
    REQUIRE(faultIn("[]") == "");
    REQUIRE(faultIn(R"({"service": {}})") == "service");
    REQUIRE(faultIn(R"({"services": {"Bad Name": {}}})") == "services.Bad Name");
    REQUIRE(faultIn(R"({"services": {"a": {"kinds": {"k": {"urgency": 10}}}}})") == "services.a.kinds.k.urgency");
    REQUIRE(faultIn(R"({"services": {"a": {"kinds": {"k": {"urgency": "9"}}}}})") == "services.a.kinds.k.urgency");
    REQUIRE(faultIn(R"({"services": {"a": {"members": {"m": {"share": 0.9, "cap": 0.5}}}}})") == "services.a.members.m.share");
    REQUIRE(faultIn(R"({"services": {"a": {"members": {"m": {"share": 0.6}, "n": {"share": 0.6}}}}})") == "services.a.members");
    REQUIRE(faultIn(std::string(100000, '[')) == "document");
}

TEST_CASE("the shipped configurations pass their checks")
{
    for (const char *name : {"settings/nile.config.json", "settings/karri.config.json"}) {
        ConfigError error;
        INFO(name);
        REQUIRE(parseConfigDocument(readShipped(name), error));
    }
}
