#include "daemon/dispatch_settings.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

const std::string Entry = R"({
 // comments are allowed
 "role": "job-entry", "node": "n", "failure_domain": "d",
 "peer": {"listen": "10.0.0.1:7000", "entry_hosts": ["10.0.0.2:8166", "10.0.0.3:8166"]},
 "clients": {"listen": "10.0.0.1:81", "ready_listen": "10.0.0.1:82"},
 "metrics": {"listen": "10.0.0.1:83"}, "store": {"address": "10.9.0.1:8169"}
})";

std::string without(std::string text, const std::string &part)
{
    const std::size_t at = text.find(part);
    return at == std::string::npos ? text : text.erase(at, part.size());
}

} // namespace

TEST_CASE("Entry settings are parsed, and entry hosts get the peer port of this process")
{
    SettingsError error;
    REQUIRE(isDispatchSettings(Entry));
    const std::optional<DispatchSettings> settings = parseDispatchSettings(Entry, error);
    REQUIRE(settings);
    REQUIRE(settings->role == Role::Entry);
    REQUIRE(settings->entries.size() == 2);
    REQUIRE(toString(settings->entries[0]) == "10.0.0.2:7000");
    REQUIRE(settings->stopGrace == seconds(6));
    REQUIRE(settings->peerAdvertise == Endpoint());
    std::string advertised = Entry;
    advertised.insert(advertised.find("\"entry_hosts\""), "\"advertise\": \"10.0.0.9:7000\", ");
    REQUIRE(toString(parseDispatchSettings(advertised, error)->peerAdvertise) == "10.0.0.9:7000");
}

TEST_CASE("Invalid settings are rejected with the key")
{
    const std::pair<std::string, std::string> rows[] = {
        {without(Entry, R"("node": "n", )"), "node"},
        {without(Entry, R"(, "store": {"address": "10.9.0.1:8169"})"), "store.address"},
        {without(Entry, R"("listen": "10.0.0.1:81", )"), "clients.listen"},
    };
    for (const std::pair<std::string, std::string> &row : rows) {
        SettingsError error;
        REQUIRE_FALSE(parseDispatchSettings(row.first, error));
        REQUIRE(error.key == row.second);
    }
    std::string unknown = Entry;
    unknown.replace(unknown.find("\"node\""), 6, "\"nodes\"");
    SettingsError error;
    REQUIRE_FALSE(parseDispatchSettings(unknown, error));
    REQUIRE_FALSE(isDispatchSettings(R"({"role": "entry"})"));
    REQUIRE_FALSE(isDispatchSettings("not json"));
}

TEST_CASE("Settings of admission, placement and evacuations are read, and have the former behaviour as default")
{
    SettingsError error;
    const std::optional<DispatchSettings> defaults = parseDispatchSettings(Entry, error);
    REQUIRE(defaults);
    REQUIRE(defaults->remoteDataFactor == 1.5);
    REQUIRE_FALSE(defaults->decidesDataLocality);
    REQUIRE_FALSE(defaults->followsEvacuations);
    REQUIRE(defaults->admission == dispatch::AdmissionPolicy::LargestFirst);
    std::string text = Entry;
    text.insert(text.find("\"node\""), R"("placement": {"remote_data_factor": 3}, "evacuation": {"follow": true},
        "admission": {"policy": "usual-share", "weights": {"q": 2}, "hold_jobs": 9}, )");
    const std::optional<DispatchSettings> settings = parseDispatchSettings(text, error);
    REQUIRE(settings);
    REQUIRE(settings->remoteDataFactor == 3.0);
    REQUIRE(settings->decidesDataLocality);
    REQUIRE(settings->followsEvacuations);
    REQUIRE(settings->admission == dispatch::AdmissionPolicy::UsualShare);
    REQUIRE(settings->queueWeights.at("q") == 2.0);
    REQUIRE(settings->maxHeldJobs == 9);
}

TEST_CASE("A factor for remote data that can't be right is ignored with a warning")
{
    // The platform provides the factor: a wrong one must not stop the service.
    for (const char *factor : {"-1", "0", "1e9", "\"2\""}) {
        std::string text = Entry;
        text.insert(text.find("\"node\""), std::string(R"("placement": {"remote_data_factor": )") + factor + "}, ");
        SettingsError error;
        const std::optional<DispatchSettings> settings = parseDispatchSettings(text, error);
        REQUIRE(settings);
        REQUIRE(settings->remoteDataFactor == 1.5);
        REQUIRE_FALSE(settings->decidesDataLocality);
        REQUIRE(settings->warnings.size() == 1);
    }
}
