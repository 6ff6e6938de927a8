#include "core/json_reader.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>

namespace cuminscale
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

/// No settings, configuration or request of this project nests deeper.
constexpr std::size_t MaxDepth = 16;
/// Limit on any one string; task payloads have limits of their own.
constexpr std::size_t MaxStringBytes = 64U << 20U;

} // namespace

leaf::result<json::value> parseJson(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    options.max_depth = MaxDepth;
    json::error_code ec;
    json::value value = json::parse(json::string_view(text.data(), text.size()), ec, {}, options);
    if (ec) {
        return leaf::new_error(JsonError{"document", "is not valid JSON: " + ec.message()});
    }
    return value;
}

leaf::result<JsonObject> JsonObject::from(const json::value &value, const std::string &path)
{
    if (!value.is_object()) {
        return leaf::new_error(JsonError{path, "must be an object"});
    }
    return JsonObject(value.get_object(), path);
}

leaf::result<void> JsonObject::allow(std::initializer_list<std::string_view> keys) const
{
    for (const json::key_value_pair &field : m_object) {
        const std::string_view key(field.key().data(), field.key().size());
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            return fail(key, "is not a known key");
        }
    }
    return {};
}

leaf::result<std::string> JsonObject::string(std::string_view key, std::string defaultValue) const
{
    const json::value *value = m_object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_string() || value->get_string().size() > MaxStringBytes) {
        return fail(key, "must be a string of at most 64 MiB");
    }
    return std::string(value->get_string().data(), value->get_string().size());
}

leaf::result<std::string> JsonObject::requiredString(std::string_view key) const
{
    BOOST_LEAF_AUTO(value, string(key, std::string()));
    if (value.empty()) {
        return fail(key, "is required and must not be empty");
    }
    return value;
}

leaf::result<std::uint64_t> JsonObject::integer(std::string_view key, std::uint64_t defaultValue, std::uint64_t minimum,
                                                std::uint64_t maximum) const
{
    const json::value *value = m_object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr) {
        return defaultValue;
    }
    json::error_code ec;
    const std::uint64_t n = value->is_number() ? value->to_number<std::uint64_t>(ec) : 0;
    if (!value->is_number() || ec || n < minimum || n > maximum) {
        return fail(key, "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return n;
}

leaf::result<double> JsonObject::fraction(std::string_view key, double defaultValue, double minimum, double maximum) const
{
    const json::value *value = m_object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr) {
        return defaultValue;
    }
    json::error_code ec;
    const double n = value->is_number() ? value->to_number<double>(ec) : 0;
    if (!value->is_number() || ec || n < minimum || n > maximum) {
        return fail(key, "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return n;
}

leaf::result<bool> JsonObject::boolean(std::string_view key, bool defaultValue) const
{
    const json::value *value = m_object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_bool()) {
        return fail(key, "must be true or false");
    }
    return value->get_bool();
}

leaf::result<JsonObject> JsonObject::object(std::string_view key) const
{
    static const json::object Empty;
    const json::value *value = m_object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr) {
        return JsonObject(Empty, pathOf(key));
    }
    return from(*value, pathOf(key));
}

leaf::result<const json::array *> JsonObject::array(std::string_view key) const
{
    const json::value *value = m_object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array()) {
        return fail(key, "must be an array");
    }
    return &value->get_array();
}

std::string JsonObject::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

leaf::error_id JsonObject::fail(std::string_view key, std::string reason) const
{
    return leaf::new_error(JsonError{pathOf(key), std::move(reason)});
}

} // namespace cuminscale
