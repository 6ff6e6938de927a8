/// The daemon's settings file: JSON with comments, every key checked. docs/CONFIGURATION.md lists the keys.
#pragma once

#include "adapters/caller_api.h"
#include "adapters/etcd_store.h"
#include "adapters/http_server.h"
#include "core/settings.h"

#include <optional>
#include <string>

namespace cuminscale
{

/// What a process does.
enum class Role : std::uint8_t { Entry, Agent };

/// All settings of one process.
struct DaemonSettings
{
    Role role = Role::Entry;
    CoreSettings core;
    Endpoint peerListen;
    Endpoint callerListen; ///< Entries: callers and the balancer.
    Endpoint operatorListen; ///< Both roles: operators; on agents also the backend server's announcements.
    HttpLimits http;
    ApiLimits api;
    StoreSettings store;
    std::uint32_t backendConnections = 64;
    std::string logLevel = "info";
    std::uint32_t keepSpans = 4096;
};

/// Where settings are wrong, and why.
struct SettingsError
{
    std::string key;
    std::string reason;
};

/// Reads settings from a text. On failure returns nothing and says which key is wrong and why.
std::optional<DaemonSettings> parseSettings(std::string_view text, SettingsError &error);

/// Reads settings from a file.
std::optional<DaemonSettings> readSettings(const std::string &path, SettingsError &error);

} // namespace cuminscale
