#include "core/config_document.h"

#include "core/json_reader.h"

#include <boost/leaf/handle_errors.hpp>

namespace cuminscale
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

constexpr std::size_t MaxNameLength = 64;
constexpr std::uint64_t MaxDeadlineMs = 3'600'000;

/// Names are used in URL paths and metrics, so only characters that are safe there are allowed.
bool isName(std::string_view name) noexcept
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_";
    return !name.empty() && name.size() <= MaxNameLength && name.find_first_not_of(Allowed) == std::string_view::npos;
}

leaf::result<void> checkName(const JsonObject &parent, std::string_view name)
{
    if (!isName(name)) {
        return parent.fail(name, "must be 1 to 64 characters from a-z, 0-9, '-' and '_'");
    }
    return {};
}

leaf::result<KindRule> readKind(const JsonObject &object)
{
    BOOST_LEAF_CHECK(object.allow({"urgency", "deadline_ms"}));
    BOOST_LEAF_AUTO(urgency, object.integer("urgency", 0, 0, MaxUrgency));
    BOOST_LEAF_AUTO(deadline, object.integer("deadline_ms", 0, 0, MaxDeadlineMs));
    return KindRule{static_cast<std::uint32_t>(urgency), milliseconds(deadline)};
}

leaf::result<MemberShare> readMember(const JsonObject &object)
{
    BOOST_LEAF_CHECK(object.allow({"share", "cap"}));
    BOOST_LEAF_AUTO(share, object.fraction("share", 0, 0, 1));
    BOOST_LEAF_AUTO(cap, object.fraction("cap", 1, 0, 1));
    if (share > cap) {
        return object.fail("share", "must not exceed the cap");
    }
    return MemberShare{share, cap};
}

leaf::result<ServiceRule> readService(const JsonObject &object)
{
    ServiceRule rule;
    BOOST_LEAF_CHECK(object.allow({"kinds", "members"}));
    BOOST_LEAF_AUTO(kinds, object.object("kinds"));
    for (const json::key_value_pair &field : kinds.fields()) {
        const std::string name(field.key());
        BOOST_LEAF_CHECK(checkName(kinds, name));
        BOOST_LEAF_AUTO(kind, JsonObject::from(field.value(), kinds.pathOf(name)));
        BOOST_LEAF_ASSIGN(rule.kinds[name], readKind(kind));
    }
    BOOST_LEAF_AUTO(members, object.object("members"));
    double total = 0;
    for (const json::key_value_pair &field : members.fields()) {
        const std::string name(field.key());
        BOOST_LEAF_CHECK(checkName(members, name));
        BOOST_LEAF_AUTO(member, JsonObject::from(field.value(), members.pathOf(name)));
        BOOST_LEAF_ASSIGN(rule.members[name], readMember(member));
        total += rule.members[name].share;
    }
    constexpr double RoundingTolerance = 1e-9;
    if (total > 1 + RoundingTolerance) {
        return object.fail("members", "must have shares that add up to at most 1");
    }
    return rule;
}

leaf::result<ConfigDocument> readDocument(std::string_view text)
{
    ConfigDocument document;
    BOOST_LEAF_AUTO(value, parseJson(text));
    BOOST_LEAF_AUTO(root, JsonObject::from(value, ""));
    BOOST_LEAF_CHECK(root.allow({"services"}));
    BOOST_LEAF_AUTO(services, root.object("services"));
    for (const json::key_value_pair &field : services.fields()) {
        const std::string name(field.key());
        BOOST_LEAF_CHECK(checkName(services, name));
        BOOST_LEAF_AUTO(service, JsonObject::from(field.value(), services.pathOf(name)));
        BOOST_LEAF_ASSIGN(document.services[name], readService(service));
    }
    return document;
}

} // namespace

std::optional<ConfigDocument> parseConfigDocument(std::string_view text, ConfigError &error)
{
    return leaf::try_handle_all(
        [text]() -> leaf::result<std::optional<ConfigDocument>> {
            BOOST_LEAF_AUTO(document, readDocument(text));
            return std::optional<ConfigDocument>(std::move(document));
        },
        [&error](const JsonError &e) -> std::optional<ConfigDocument> {
            error = ConfigError{e.path, e.reason};
            return std::nullopt;
        },
        [&error]() -> std::optional<ConfigDocument> {
            error = ConfigError{"document", "could not be read"};
            return std::nullopt;
        });
}

} // namespace cuminscale
