#include "daemon/settings_file.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

/// The key that is reported as invalid; empty if the settings are valid.
std::string invalidKey(const std::string &text)
{
    SettingsError error;
    return parseSettings(text, error) ? std::string() : error.key;
}

const std::string Entry = R"({"role": "entry", "failure_domain": "a")";
const std::string Agent = R"({"role": "agent", "failure_domain": "a", "peer": {"entries": ["10.0.0.1:7000"]})";

} // namespace

TEST_CASE("the shipped settings are valid")
{
    SettingsError error;
    const std::optional<DaemonSettings> entry = readSettings("settings/entry.json", error);
    REQUIRE(entry);
    REQUIRE(entry->role == Role::Entry);
    REQUIRE(entry->store.endpoints.size() == 1);
    const std::optional<DaemonSettings> agent = readSettings("settings/agent.json", error);
    REQUIRE(agent);
    REQUIRE(agent->core.seeds == std::vector<Endpoint>{Endpoint{0x7f000001, 7000}});
}

TEST_CASE("unknown keys, wrong types and invalid values are reported with their key")
{
    REQUIRE(invalidKey(Entry + "}") == "");
    REQUIRE(invalidKey(Agent + "}") == "");
    REQUIRE(invalidKey("{}") == "role");
    REQUIRE(invalidKey(R"({"role": "leader", "failure_domain": "a"})") == "role");
    REQUIRE(invalidKey(R"({"role": "entry"})") == "failure_domain");
    REQUIRE(invalidKey(Entry + R"(, "pear": {}})") == "pear");
    REQUIRE(invalidKey(Entry + R"(, "peer": {"listen": "somewhere"}})") == "peer.listen");
    REQUIRE(invalidKey(Entry + R"(, "timing": {"heartbeat_ms": "500"}})") == "timing.heartbeat_ms");
    REQUIRE(invalidKey(Entry + R"(, "timing": {"heartbeat_ms": 0}})") == "timing.heartbeat_ms");
    REQUIRE(invalidKey(Entry + R"(, "timing": {"suspect_ms": 600}})") == "timing.suspect_ms");
    REQUIRE(invalidKey(Entry + R"(, "timing": {"gone_ms": 1000}})") == "timing.gone_ms");
    REQUIRE(invalidKey(Entry + R"(, "limits": {"max_jobs": -1}})") == "limits.max_jobs");
    REQUIRE(invalidKey(Entry + R"(, "log": {"level": "loud"}})") == "log.level");
    REQUIRE(invalidKey(Entry + R"(, "http": {"operator_listen": "10.0.0.1:1"}})") == "http.operator_listen");
    REQUIRE(invalidKey(Agent + R"(, "store": {"endpoints": ["10.0.0.1:2379"]}})") == "store.endpoints");
    REQUIRE(invalidKey(R"({"role": "agent", "failure_domain": "a"})") == "peer.entries");
}
