#include "adapters/announcement.h"
#include "adapters/caller_api.h"
#include "adapters/etcd_messages.h"
#include "core/config_document.h"
#include "daemon/settings_file.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace cuminscale;

namespace
{

constexpr int MutatedCopies = 4000;

/// Decodes MutatedCopies copies of a valid text, each with 1 to 4 random mutations; returns how many were accepted.
int countAccepted(const std::string &valid, const std::function<bool(const std::string &)> &decode)
{
    std::mt19937_64 random(3);
    int accepted = 0;
    for (int i = 0; i < MutatedCopies; ++i) {
        std::string mutated = valid;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t n = 0; n < changes; ++n) {
            const std::size_t position = random() % mutated.size();
            switch (random() % 3) {
            case 0:
                mutated[position] = static_cast<char>(random());
                break;
            case 1:
                mutated.erase(position, 1 + random() % 5);
                break;
            default:
                mutated.insert(position, mutated.substr(random() % mutated.size(), 1 + random() % 8));
                break;
            }
            if (mutated.empty()) {
                mutated = " ";
            }
        }
        accepted += decode(mutated) ? 1 : 0;
    }
    return accepted;
}

} // namespace

TEST_CASE("mutated job bodies are accepted or rejected with a reason")
{
    const std::string valid =
        R"({"member": "m", "kind": "k", "deadline_ms": 500, "tasks": [{"payload": "a", "run_ms": 40, "bytes": 7}]})";
    const auto decode = [](const std::string &body) {
        const std::variant<CallerRequest, ApiError> parsed =
            parseCall(HttpRequest{"PUT", "/v1/services/s/jobs/7f000001-1b59-1-1", body, {}}, ApiListener::Caller, ApiLimits());
        const ApiError *error = std::get_if<ApiError>(&parsed);
        REQUIRE((error == nullptr || (error->status == 400 && !error->reason.empty())));
        return error == nullptr;
    };
    REQUIRE(decode(valid));
    REQUIRE(countAccepted(valid, decode) < MutatedCopies);
}

TEST_CASE("mutated request targets are accepted or rejected with a reason")
{
    const std::string valid = "/v1/services/s/jobs/7f000001-1b59-1-1?wait=true&member=m";
    const auto decode = [](const std::string &target) {
        const std::variant<CallerRequest, ApiError> parsed =
            parseCall(HttpRequest{"DELETE", target, "", {}}, ApiListener::Caller, ApiLimits());
        const ApiError *error = std::get_if<ApiError>(&parsed);
        REQUIRE((error == nullptr || !error->reason.empty()));
        return error == nullptr;
    };
    REQUIRE(decode(valid));
    REQUIRE(countAccepted(valid, decode) < MutatedCopies);
}

TEST_CASE("mutated announcements are valid for at most 3 s")
{
    const std::string valid =
        R"({"service": "s", "address": "127.0.0.1:80", "slots": 8, "connections": 64, "ttl_ms": 1500, "leaving": false})";
    const auto decode = [](const std::string &body) {
        const std::variant<event::BackendAnnounced, ApiError> parsed = parseAnnouncement(body);
        const event::BackendAnnounced *announced = std::get_if<event::BackendAnnounced>(&parsed);
        REQUIRE((announced == nullptr
                 || (announced->validFor <= seconds(3) && announced->slots > 0 && announced->endpoint.port > 0)));
        return announced != nullptr;
    };
    REQUIRE(decode(valid));
    REQUIRE(countAccepted(valid, decode) < MutatedCopies);
}

TEST_CASE("mutated values from the store never give a configuration without a revision")
{
    const std::string valid =
        etcd::serializeStoredConfig(ConfigVersion{Revision(7), "c", R"({"services": {"s": {"kinds": {"k": {}}}}})", {"b", "c"}});
    const auto decode = [](const std::string &value) {
        const std::optional<ConfigVersion> version = etcd::parseStoredConfig(value);
        REQUIRE((!version || version->revision > Revision(0)));
        etcd::parseResponse(value);
        return version.has_value();
    };
    REQUIRE(decode(valid));
    REQUIRE(countAccepted(valid, decode) < MutatedCopies);
}

TEST_CASE("mutated documents and settings are accepted or rejected with a reason")
{
    const std::string document = R"({"services": {"s": {"kinds": {"k": {"urgency": 3}}, "members": {"m": {"share": 0.5}}}}})";
    const auto decodeDocument = [](const std::string &text) {
        ConfigError error;
        const bool accepted = parseConfigDocument(text, error).has_value();
        REQUIRE((accepted || !error.reason.empty()));
        return accepted;
    };
    REQUIRE(decodeDocument(document));
    REQUIRE(countAccepted(document, decodeDocument) < MutatedCopies);
    const std::string settings =
        R"({"role": "entry", "failure_domain": "a", "peer": {"listen": "127.0.0.1:1"}, "limits": {"max_jobs": 5}})";
    const auto decodeSettings = [](const std::string &text) {
        SettingsError error;
        const bool accepted = parseSettings(text, error).has_value();
        REQUIRE((accepted || !error.reason.empty()));
        return accepted;
    };
    REQUIRE(decodeSettings(settings));
    REQUIRE(countAccepted(settings, decodeSettings) < MutatedCopies);
}
