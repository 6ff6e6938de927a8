/// Reads JSON objects with known keys, and says in one sentence what is wrong with them.
#pragma once

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Where a JSON text is wrong, and why; the error object that travels with a failed leaf::result.
struct JsonError
{
    std::string path;
    std::string reason;
};

/// Parses JSON with comments and trailing commas, of bounded depth.
boost::leaf::result<boost::json::value> parseJson(std::string_view text);

/// One object of a JSON text, with the path that leads to it.
class JsonObject
{
public:
    JsonObject(const boost::json::object &object, std::string path)
        : m_object(object)
        , m_path(std::move(path))
    { }

    /// Views a value as an object.
    static boost::leaf::result<JsonObject> from(const boost::json::value &value, const std::string &path);

    /// Fails on a key that is not in the list.
    boost::leaf::result<void> allow(std::initializer_list<std::string_view> keys) const;

    /// A text of bounded length; the default when the key is missing.
    boost::leaf::result<std::string> text(std::string_view key, std::string fallback) const;

    /// A text that has to be there and not be empty.
    boost::leaf::result<std::string> requiredText(std::string_view key) const;

    /// A whole number between two bounds; the default when the key is missing.
    boost::leaf::result<std::uint64_t> number(std::string_view key, std::uint64_t fallback, std::uint64_t least,
                                              std::uint64_t most) const;

    /// A number between two bounds; the default when the key is missing.
    boost::leaf::result<double> fraction(std::string_view key, double fallback, double least, double most) const;

    /// True or false; the default when the key is missing.
    boost::leaf::result<bool> flag(std::string_view key, bool fallback) const;

    /// A nested object; an empty one when the key is missing.
    boost::leaf::result<JsonObject> object(std::string_view key) const;

    /// A nested list, or nothing when the key is missing.
    boost::leaf::result<const boost::json::array *> list(std::string_view key) const;

    const boost::json::object &fields() const noexcept
    {
        return m_object;
    }

    /// The path of a key below this object.
    std::string pathOf(std::string_view key) const;

    /// A failure at a key.
    boost::leaf::error_id fail(std::string_view key, std::string reason) const;

private:
    const boost::json::object &m_object;
    std::string m_path;
};

} // namespace cuminscale
