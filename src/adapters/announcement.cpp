#include "adapters/announcement.h"

#include "core/json_reader.h"

#include <boost/leaf/handle_errors.hpp>

namespace cuminscale
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::uint64_t MaxSlots = 4096;
constexpr std::uint64_t DefaultTtlMs = 1500;
/// Bounds how long a backend server that has stopped renewing its announcement still gets new work.
constexpr std::uint64_t MaxTtlMs = 3000;
constexpr std::uint64_t MinTtlMs = 100;

leaf::result<event::BackendAnnounced> parseBody(const std::string &body)
{
    event::BackendAnnounced announced;
    BOOST_LEAF_AUTO(value, parseJson(body));
    BOOST_LEAF_AUTO(object, JsonObject::from(value, ""));
    BOOST_LEAF_CHECK(object.allow({"service", "address", "slots", "connections", "ttl_ms", "leaving"}));
    BOOST_LEAF_ASSIGN(announced.service, object.requiredString("service"));
    BOOST_LEAF_AUTO(address, object.requiredString("address"));
    const std::optional<Endpoint> endpoint = parseEndpoint(address);
    if (!endpoint || endpoint->port == 0) {
        return object.fail("address", "must be an IPv4 address and port");
    }
    announced.endpoint = *endpoint;
    BOOST_LEAF_AUTO(slots, object.integer("slots", 1, 1, MaxSlots));
    BOOST_LEAF_AUTO(connections, object.integer("connections", slots, 1, MaxSlots));
    BOOST_LEAF_AUTO(ttl, object.integer("ttl_ms", DefaultTtlMs, MinTtlMs, MaxTtlMs));
    BOOST_LEAF_ASSIGN(announced.leaving, object.boolean("leaving", false));
    announced.slots = static_cast<std::uint32_t>(slots);
    announced.connections = static_cast<std::uint32_t>(connections);
    announced.validFor = milliseconds(ttl);
    return announced;
}

} // namespace

std::variant<event::BackendAnnounced, ApiError> parseAnnouncement(const std::string &body)
{
    using ParseResult = std::variant<event::BackendAnnounced, ApiError>;
    return leaf::try_handle_all(
        [&body]() -> leaf::result<ParseResult> {
            BOOST_LEAF_AUTO(announced, parseBody(body));
            return ParseResult(std::move(announced));
        },
        [](const JsonError &error) -> ParseResult {
            return ApiError{400, error.path + ": " + error.reason + "."};
        },
        []() -> ParseResult {
            return ApiError{400, "The announcement could not be parsed."};
        });
}

} // namespace cuminscale
