/// Parsing and validation of the operators' configuration document.
#pragma once

#include "cuminscale/units.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Share of a service's capacity that a member is entitled to.
struct MemberShare
{
    double share = 0; ///< Guaranteed fraction of the service's slots, 0 to 1.
    double cap = 1; ///< Upper limit on the fraction of the service's slots, 0 to 1.
};

/// Rules for one kind of work.
struct KindRule
{
    std::uint32_t urgency = 0; ///< 0 is the least urgent, MaxUrgency the most.
    Duration deadline{0}; ///< Used for work submitted without a deadline; zero means the entry's default.
};

/// Kinds of work that a service accepts and members that may use it. An empty map accepts any.
struct ServiceRule
{
    std::map<std::string, KindRule> kinds;
    std::map<std::string, MemberShare> members;
};

struct ConfigDocument
{
    std::map<std::string, ServiceRule> services;
};

/// Path of an invalid value and what is wrong with it.
struct ConfigError
{
    std::string path;
    std::string reason;
};

/// Highest value of KindRule::urgency.
constexpr std::uint32_t MaxUrgency = 9;

/// Parses a JSON document, in which comments and trailing commas are allowed. Returns nothing and sets `error` if it is invalid.
std::optional<ConfigDocument> parseConfigDocument(std::string_view text, ConfigError &error);

} // namespace cuminscale
