#include "daemon/settings_file.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

/// The key that is wrong, or nothing when the settings are in order.
std::string wrongKey(const std::string &text)
{
    SettingsError error;
    return parseSettings(text, error) ? std::string() : error.key;
}

const std::string Entry = R"({"role": "entry", "failure_domain": "a")";
const std::string Agent = R"({"role": "agent", "failure_domain": "a", "peer": {"entries": ["10.0.0.1:7000"]})";

} // namespace

TEST_CASE("the shipped settings are in order")
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

TEST_CASE("unknown keys, wrong types and impossible values name their key")
{
    REQUIRE(wrongKey(Entry + "}") == "");
    REQUIRE(wrongKey(Agent + "}") == "");
    REQUIRE(wrongKey("{}") == "role");
    REQUIRE(wrongKey(R"({"role": "leader", "failure_domain": "a"})") == "role");
    REQUIRE(wrongKey(R"({"role": "entry"})") == "failure_domain");
    REQUIRE(wrongKey(Entry + R"(, "pear": {}})") == "pear");
    REQUIRE(wrongKey(Entry + R"(, "peer": {"listen": "somewhere"}})") == "peer.listen");
    REQUIRE(wrongKey(Entry + R"(, "timing": {"heartbeat_ms": "500"}})") == "timing.heartbeat_ms");
    REQUIRE(wrongKey(Entry + R"(, "timing": {"heartbeat_ms": 0}})") == "timing.heartbeat_ms");
    REQUIRE(wrongKey(Entry + R"(, "timing": {"suspect_ms": 600}})") == "timing.suspect_ms");
    REQUIRE(wrongKey(Entry + R"(, "timing": {"gone_ms": 1000}})") == "timing.gone_ms");
    REQUIRE(wrongKey(Entry + R"(, "limits": {"max_jobs": -1}})") == "limits.max_jobs");
    REQUIRE(wrongKey(Entry + R"(, "log": {"level": "loud"}})") == "log.level");
    REQUIRE(wrongKey(Entry + R"(, "http": {"operator_listen": "10.0.0.1:1"}})") == "http.operator_listen");
    REQUIRE(wrongKey(Agent + R"(, "store": {"endpoints": ["10.0.0.1:2379"]}})") == "store.endpoints");
    REQUIRE(wrongKey(R"({"role": "agent", "failure_domain": "a"})") == "peer.entries");
}
