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

constexpr int Tries = 4000;

/// Damages a good text in a few places and hands each result to a decoder; returns how many were still taken.
int damage(const std::string &good, const std::function<bool(const std::string &)> &decode)
{
    std::mt19937_64 random(3);
    int taken = 0;
    for (int i = 0; i < Tries; ++i) {
        std::string bad = good;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t n = 0; n < changes; ++n) {
            const std::size_t where = random() % bad.size();
            switch (random() % 3) {
            case 0:
                bad[where] = static_cast<char>(random());
                break;
            case 1:
                bad.erase(where, 1 + random() % 5);
                break;
            default:
                bad.insert(where, bad.substr(random() % bad.size(), 1 + random() % 8));
                break;
            }
            if (bad.empty()) {
                bad = " ";
            }
        }
        taken += decode(bad) ? 1 : 0;
    }
    return taken;
}

} // namespace

TEST_CASE("damaged bodies of jobs are taken or turned away with a reason")
{
    const std::string good =
        R"({"member": "m", "kind": "k", "deadline_ms": 500, "tasks": [{"payload": "a", "run_ms": 40, "bytes": 7}]})";
    const auto decode = [](const std::string &body) {
        const std::variant<CallerCall, ApiError> parsed =
            parseCall(HttpRequest{"PUT", "/v1/services/s/jobs/7f000001-1b59-1-1", body, {}}, Door::Caller, ApiLimits());
        const ApiError *error = std::get_if<ApiError>(&parsed);
        REQUIRE((error == nullptr || (error->status == 400 && !error->reason.empty())));
        return error == nullptr;
    };
    REQUIRE(decode(good));
    REQUIRE(damage(good, decode) < Tries);
}

TEST_CASE("damaged targets are taken or turned away with a reason")
{
    const std::string good = "/v1/services/s/jobs/7f000001-1b59-1-1?wait=true&member=m";
    const auto decode = [](const std::string &target) {
        const std::variant<CallerCall, ApiError> parsed =
            parseCall(HttpRequest{"DELETE", target, "", {}}, Door::Caller, ApiLimits());
        const ApiError *error = std::get_if<ApiError>(&parsed);
        REQUIRE((error == nullptr || !error->reason.empty()));
        return error == nullptr;
    };
    REQUIRE(decode(good));
    REQUIRE(damage(good, decode) < Tries);
}

TEST_CASE("damaged announcements never promise more than 3 s")
{
    const std::string good =
        R"({"service": "s", "address": "127.0.0.1:80", "slots": 8, "connections": 64, "ttl_ms": 1500, "leaving": false})";
    const auto decode = [](const std::string &body) {
        const std::variant<event::BackendAnnounced, ApiError> parsed = parseAnnouncement(body);
        const event::BackendAnnounced *announced = std::get_if<event::BackendAnnounced>(&parsed);
        REQUIRE((announced == nullptr
                 || (announced->validFor <= seconds(3) && announced->slots > 0 && announced->endpoint.port > 0)));
        return announced != nullptr;
    };
    REQUIRE(decode(good));
    REQUIRE(damage(good, decode) < Tries);
}

TEST_CASE("damaged answers of the store never give a configuration without a revision")
{
    const std::string good =
        etcd::renderConfig(ConfigVersion{Revision(7), "c", R"({"services": {"s": {"kinds": {"k": {}}}}})", {"b", "c"}});
    const auto decode = [](const std::string &value) {
        const std::optional<ConfigVersion> version = etcd::readConfig(value);
        REQUIRE((!version || version->revision > Revision(0)));
        etcd::readAnswer(value);
        return version.has_value();
    };
    REQUIRE(decode(good));
    REQUIRE(damage(good, decode) < Tries);
}

TEST_CASE("damaged documents and settings are taken or turned away with a path")
{
    const std::string document = R"({"services": {"s": {"kinds": {"k": {"urgency": 3}}, "members": {"m": {"share": 0.5}}}}})";
    const auto decodeDocument = [](const std::string &text) {
        ConfigError error;
        const bool taken = parseConfigDocument(text, error).has_value();
        REQUIRE((taken || !error.reason.empty()));
        return taken;
    };
    REQUIRE(decodeDocument(document));
    REQUIRE(damage(document, decodeDocument) < Tries);
    const std::string settings =
        R"({"role": "entry", "failure_domain": "a", "peer": {"listen": "127.0.0.1:1"}, "limits": {"max_jobs": 5}})";
    const auto decodeSettings = [](const std::string &text) {
        SettingsError error;
        const bool taken = parseSettings(text, error).has_value();
        REQUIRE((taken || !error.reason.empty()));
        return taken;
    };
    REQUIRE(decodeSettings(settings));
    REQUIRE(damage(settings, decodeSettings) < Tries);
}
