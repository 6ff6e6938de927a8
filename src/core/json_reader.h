/// Validated access to JSON objects, with errors that name the path of the invalid value.
#pragma once

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Path of an invalid value and what is wrong with it; the error object of a failed leaf::result.
struct JsonError
{
    std::string path;
    std::string reason;
};

/// Parses JSON; accepts comments and trailing commas, and limits the nesting depth.
boost::leaf::result<boost::json::value> parseJson(std::string_view text);

/// A view of one object in a JSON document, together with its path. The document must outlive it.
class JsonObject
{
public:
    JsonObject(const boost::json::object &object, std::string path)
        : m_object(object)
        , m_path(std::move(path))
    { }

    /// Fails if the value is not an object.
    static boost::leaf::result<JsonObject> from(const boost::json::value &value, const std::string &path);

    /// Fails if the object has a key that is not listed.
    boost::leaf::result<void> allow(std::initializer_list<std::string_view> keys) const;

    /// A string of bounded length, or the default if the key is missing.
    boost::leaf::result<std::string> string(std::string_view key, std::string defaultValue) const;

    /// A non-empty string; fails if the key is missing.
    boost::leaf::result<std::string> requiredString(std::string_view key) const;

    /// An integer within the bounds, both inclusive, or the default if the key is missing.
    boost::leaf::result<std::uint64_t> integer(std::string_view key, std::uint64_t defaultValue, std::uint64_t minimum,
                                               std::uint64_t maximum) const;

    /// A number within the bounds, both inclusive, or the default if the key is missing.
    boost::leaf::result<double> fraction(std::string_view key, double defaultValue, double minimum, double maximum) const;

    /// A boolean, or the default if the key is missing.
    boost::leaf::result<bool> boolean(std::string_view key, bool defaultValue) const;

    /// A nested object, or an empty one if the key is missing.
    boost::leaf::result<JsonObject> object(std::string_view key) const;

    /// A nested array, or a null pointer if the key is missing.
    boost::leaf::result<const boost::json::array *> array(std::string_view key) const;

    const boost::json::object &fields() const noexcept
    {
        return m_object;
    }

    /// The path of a key of this object, such as "services.map.kinds".
    std::string pathOf(std::string_view key) const;

    /// Creates an error for the value of a key.
    boost::leaf::error_id fail(std::string_view key, std::string reason) const;

private:
    const boost::json::object &m_object;
    std::string m_path;
};

} // namespace cuminscale
