#include "core/config_document.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace cuminscale;

namespace
{

/// The path of the first error in a document; empty if the document is valid.
std::string errorPath(const std::string &text)
{
    ConfigError error;
    return parseConfigDocument(text, error) ? std::string() : error.path;
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("a document with comments is parsed")
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

TEST_CASE("errors are reported with their path")
{
    REQUIRE(errorPath("{") == "document");
    REQUIRE(errorPath("[]") == "");
    REQUIRE(errorPath(R"({"service": {}})") == "service");
    REQUIRE(errorPath(R"({"services": {"Bad Name": {}}})") == "services.Bad Name");
    REQUIRE(errorPath(R"({"services": {"a": {"kinds": {"k": {"urgency": 10}}}}})") == "services.a.kinds.k.urgency");
    REQUIRE(errorPath(R"({"services": {"a": {"kinds": {"k": {"urgency": "9"}}}}})") == "services.a.kinds.k.urgency");
    REQUIRE(errorPath(R"({"services": {"a": {"members": {"m": {"share": 0.9, "cap": 0.5}}}}})") == "services.a.members.m.share");
    REQUIRE(errorPath(R"({"services": {"a": {"members": {"m": {"share": 0.6}, "n": {"share": 0.6}}}}})") == "services.a.members");
    REQUIRE(errorPath(std::string(100000, '[')) == "document");
}

TEST_CASE("the shipped configurations are valid")
{
    for (const char *name : {"settings/nile.config.json", "settings/karri.config.json"}) {
        ConfigError error;
        INFO(name);
        REQUIRE(parseConfigDocument(readFile(name), error));
    }
}
