#include "adapters/announcement.h"
#include "adapters/base64.h"
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

TEST_CASE("announcements with an implausible number or port name no server to use")
{
    const auto accepted = [](const std::string &field, const std::string &value) {
        std::string body = R"({"service": "s", ")" + field + "\": " + value;
        body += field == "address" ? "}" : R"(, "address": "127.0.0.1:80"})";
        return std::holds_alternative<event::BackendAnnounced>(parseAnnouncement(body));
    };
    REQUIRE(accepted("address", "\"127.0.0.1:80\""));
    REQUIRE(accepted("slots", "4.0"));
    const std::string nested = std::string(2U << 20U, '[') + std::string(2U << 20U, ']');
    for (const std::string &value :
         {std::string("\"127.0.0.1:70000\""), std::string("\"127.0.0.1:0\""), std::string("\"127.0.0.1:-1\""),
          std::string("\"127.0.0.1:1e300\""), std::string("\"\""), std::string("80"), std::string("null"), nested}) {
        INFO(value.substr(0, 100));
        REQUIRE_FALSE(accepted("address", value));
    }
    for (const char *field : {"slots", "connections", "ttl_ms"}) {
        for (const std::string &value :
             {std::string("0"), std::string("-1"), std::string("1e300"), std::string("0.5"), std::string("NaN"),
              std::string("4294967297"), std::string("9223372036854775807"), std::string("18446744073709551616"),
              std::string("123456789012345678901234567890"), std::string("1e99999999999"), nested}) {
            INFO(field << " " << value.substr(0, 100));
            REQUIRE_FALSE(accepted(field, value));
        }
    }
    REQUIRE(std::holds_alternative<ApiError>(parseAnnouncement(std::string(4U << 20U, '['))));
}

TEST_CASE("one key of etcd that can't be decoded does not hide the others")
{
    const std::string good =
        R"({"key":")" + encodeBase64("/cuminscale/entries/127.0.0.1:7000") + R"(","value":"e30=","mod_revision":"5"})";
    for (const std::string &odd : {std::string("7"), std::string("null"), std::string(R"({"key":"!!!!","value":"e30="})"),
                                   std::string(R"({"key":"e30=","value":"!"})"), std::string(R"({"key":[1],"value":{}})")}) {
        INFO(odd);
        const std::optional<etcd::Response> range =
            etcd::parseResponse(R"({"header":{"revision":"9"},"kvs":[)" + odd + "," + good + "]}");
        REQUIRE(range);
        REQUIRE(range->revision == 9);
        REQUIRE(range->kvs.back().key == "/cuminscale/entries/127.0.0.1:7000");
        const std::optional<etcd::Response> watch =
            etcd::parseResponse(R"({"result":{"events":[)" + odd + R"(,{"kv":)" + odd + R"(},{"kv":)" + good + "}]}}");
        REQUIRE(watch);
        REQUIRE(watch->kvs.back().key == "/cuminscale/entries/127.0.0.1:7000");
    }
}

TEST_CASE("deeply nested values from the store do not overflow the stack")
{
    const std::string nested = std::string(2U << 20U, '[') + std::string(2U << 20U, ']');
    REQUIRE_FALSE(etcd::parseResponse(nested));
    REQUIRE_FALSE(etcd::parseResponse(std::string(4U << 20U, '[')));
    REQUIRE_FALSE(etcd::parseStoredConfig(nested));
    REQUIRE_FALSE(etcd::parseStoredConfig(R"({"revision":1,"document":)" + nested + "}"));
    ConfigError error;
    REQUIRE_FALSE(parseConfigDocument(nested, error));
    SettingsError settingsError;
    REQUIRE_FALSE(parseSettings(nested, settingsError));
}
