#include "adapters/etcd_messages.h"

#include "adapters/base64.h"

#include <boost/json.hpp>

#include <charconv>

namespace cuminscale::etcd
{

namespace json = boost::json;

namespace
{

/// Returns the `range_end` that selects all keys with the prefix: the prefix with its last byte incremented.
std::string prefixRangeEnd(std::string_view prefix)
{
    std::string end(prefix);
    end.back() = static_cast<char>(end.back() + 1);
    return end;
}

/// Parses a 64-bit integer. The JSON mapping of protobuf represents them as strings; some servers send small ones as numbers.
/// Returns 0 if the value is missing or malformed.
std::int64_t parseInteger(const json::value *value)
{
    if (value == nullptr) {
        return 0;
    }
    if (value->is_int64()) {
        return value->get_int64();
    }
    std::int64_t n = 0;
    if (value->is_string()) {
        const json::string &text = value->get_string();
        std::from_chars(text.data(), text.data() + text.size(), n);
    }
    return n;
}

/// Parses a string, or an integer as its decimal representation. Returns an empty string for other types.
std::string parseString(const json::value *value)
{
    if (value == nullptr || !value->is_string()) {
        return value != nullptr && value->is_int64() ? std::to_string(value->get_int64()) : std::string();
    }
    return std::string(value->get_string());
}

/// Appends a key-value pair. Returns false if it is malformed.
bool parseKeyValue(const json::value &value, bool deleted, std::vector<KeyValue> &out)
{
    if (!value.is_object()) {
        return false;
    }
    const json::object &object = value.get_object();
    const std::optional<std::string> key = decodeBase64(parseString(object.if_contains("key")));
    const std::optional<std::string> text = decodeBase64(parseString(object.if_contains("value")));
    if (!key || !text) {
        return false;
    }
    out.push_back(KeyValue{*key, *text, parseInteger(object.if_contains("mod_revision")), deleted});
    return true;
}

/// Appends the pair of an event of a watch. Returns false if it is malformed.
bool parseEvent(const json::value &event, std::vector<KeyValue> &out)
{
    if (!event.is_object() || !event.get_object().contains("kv")) {
        return false;
    }
    const bool deleted = parseString(event.get_object().if_contains("type")) == "DELETE";
    return parseKeyValue(event.get_object().at("kv"), deleted, out);
}

/// Appends the pairs of the range result and the events in a response. Returns false if one of them is no array, or if there are
/// pairs and all of them are malformed: such a response must not count as an empty list.
bool parsePairs(const json::object &response, std::vector<KeyValue> &out)
{
    bool malformed = false;
    if (const json::value *kvs = response.if_contains("kvs"); kvs != nullptr) {
        if (!kvs->is_array()) {
            return false;
        }
        for (const json::value &kv : kvs->get_array()) {
            malformed = !parseKeyValue(kv, false, out) || malformed;
        }
    }
    if (const json::value *events = response.if_contains("events"); events != nullptr) {
        if (!events->is_array()) {
            return false;
        }
        for (const json::value &event : events->get_array()) {
            malformed = !parseEvent(event, out) || malformed;
        }
    }
    return !malformed || !out.empty();
}

} // namespace

std::string rangePrefix(std::string_view prefix)
{
    return json::serialize(json::object{{"key", encodeBase64(prefix)}, {"range_end", encodeBase64(prefixRangeEnd(prefix))}});
}

std::string rangeKey(std::string_view key)
{
    return json::serialize(json::object{{"key", encodeBase64(key)}});
}

std::string watchPrefix(std::string_view prefix, std::int64_t from)
{
    const json::object create{{"key", encodeBase64(prefix)},
                              {"range_end", encodeBase64(prefixRangeEnd(prefix))},
                              {"start_revision", std::to_string(from)}};
    return json::serialize(json::object{{"create_request", create}});
}

std::string putIfModRevision(std::string_view key, std::string_view value, std::int64_t modRevision)
{
    const std::string name = encodeBase64(key);
    const json::object compare{
        {"key", name}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(modRevision)}};
    const json::object put{{"request_put", json::object{{"key", name}, {"value", encodeBase64(value)}}}};
    return json::serialize(json::object{{"compare", json::array{compare}}, {"success", json::array{put}}});
}

std::string putWithLease(std::string_view key, std::string_view value, std::string_view lease)
{
    return json::serialize(json::object{
        {"key", encodeBase64(key)}, {"value", encodeBase64(value)}, {"lease", json::string_view(lease.data(), lease.size())}});
}

std::string grantLease(std::int64_t seconds)
{
    return json::serialize(json::object{{"TTL", std::to_string(seconds)}});
}

std::string leaseRequest(std::string_view lease)
{
    return json::serialize(json::object{{"ID", json::string_view(lease.data(), lease.size())}});
}

std::optional<Response> parseResponse(std::string_view text)
{
    json::error_code ec;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    const json::object *object = &value.get_object();
    // Streaming calls (watch, keepalive) wrap each response in a "result" object.
    if (const json::value *result = object->if_contains("result"); result != nullptr && result->is_object()) {
        object = &result->get_object();
    }
    if (object->contains("error")) {
        return std::nullopt;
    }
    Response response;
    if (const json::value *header = object->if_contains("header"); header != nullptr && header->is_object()) {
        response.revision = parseInteger(header->get_object().if_contains("revision"));
    }
    if (!parsePairs(*object, response.kvs)) {
        return std::nullopt;
    }
    if (const json::value *succeeded = object->if_contains("succeeded"); succeeded != nullptr && succeeded->is_bool()) {
        response.succeeded = succeeded->get_bool();
    }
    response.lease = parseString(object->if_contains("ID"));
    response.ttl = parseString(object->if_contains("TTL"));
    return response;
}

std::string serializeStoredConfig(const ConfigVersion &version)
{
    json::array recent;
    for (const std::string &change : version.recentChanges) {
        recent.emplace_back(change);
    }
    return json::serialize(json::object{{"revision", version.revision.value()},
                                        {"change_id", version.changeId},
                                        {"recent_changes", std::move(recent)},
                                        {"document", version.document}});
}

std::optional<ConfigVersion> parseStoredConfig(std::string_view value)
{
    json::error_code ec;
    const json::value parsed = json::parse(json::string_view(value.data(), value.size()), ec);
    if (ec || !parsed.is_object()) {
        return std::nullopt;
    }
    const json::object &object = parsed.get_object();
    const std::int64_t revision = parseInteger(object.if_contains("revision"));
    if (revision <= 0) {
        return std::nullopt;
    }
    ConfigVersion version{Revision(static_cast<std::uint64_t>(revision)),
                          parseString(object.if_contains("change_id")),
                          parseString(object.if_contains("document")),
                          {}};
    if (const json::value *recent = object.if_contains("recent_changes"); recent != nullptr && recent->is_array()) {
        for (const json::value &change : recent->get_array()) {
            version.recentChanges.push_back(parseString(&change));
        }
    }
    return version;
}

} // namespace cuminscale::etcd
