/// The operators' configuration document, read and checked.
#pragma once

#include "cuminscale/units.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// What a member may claim of one service.
struct MemberShare
{
    double share = 0; ///< Guaranteed part of the service's slots, 0 to 1.
    double cap = 1; ///< Largest part of the service's slots, 0 to 1.
};

/// How one kind of work is treated.
struct KindRule
{
    std::uint32_t urgency = 0; ///< 0 is the least urgent, MaxUrgency the most.
    Duration deadline{0}; ///< For work that brings none; zero leaves the default.
};

/// One service: the kinds of work it accepts and the members that may use it.
struct ServiceRule
{
    std::map<std::string, KindRule> kinds;
    std::map<std::string, MemberShare> members;
};

/// The whole configuration.
struct ConfigDocument
{
    std::map<std::string, ServiceRule> services;
};

/// Where a document is wrong, and why.
struct ConfigError
{
    std::string path;
    std::string reason;
};

/// The most urgent class of work.
constexpr std::uint32_t MaxUrgency = 9;

/// Reads a document in JSON with comments. On failure returns nothing and says where and why in `error`.
std::optional<ConfigDocument> parseConfigDocument(std::string_view text, ConfigError &error);

} // namespace cuminscale
