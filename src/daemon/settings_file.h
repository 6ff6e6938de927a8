/// Settings of the processes with the roles "entry" and "agent", in which entries assign the submission ids. The file is JSON
/// with comments; unknown keys and invalid values are errors. docs/CONFIGURATION.md lists the keys. daemon/dispatch_settings.h
/// has the settings of the dispatch processes.
#pragma once

#include "adapters/caller_api.h"
#include "adapters/etcd_store.h"
#include "adapters/http_server.h"
#include "core/settings.h"

#include <optional>
#include <string>

namespace cuminscale
{

enum class Role : std::uint8_t { Entry, Agent };

/// All settings of one process.
struct DaemonSettings
{
    Role role = Role::Entry;
    CoreSettings core;
    Endpoint peerListen;
    Endpoint callerListen; ///< Entries: HTTP address for callers and for the load balancer's health check.
    Endpoint operatorListen; ///< HTTP address for operators and, on agents, for the backend server's announcements.
    HttpLimits http;
    ApiLimits api;
    StoreSettings store;
    std::uint32_t backendConnections = 64; ///< Agents: maximum number of connections to the backend server.
    std::string logLevel = "info";
    std::uint32_t maxSpans = 4096; ///< Trace spans kept in memory; the oldest are evicted.
};

/// Path of the invalid key and what is wrong with it.
struct SettingsError
{
    std::string key;
    std::string reason;
};

/// Parses settings. On failure returns nullopt and sets `error`.
std::optional<DaemonSettings> parseSettings(std::string_view text, SettingsError &error);

/// Reads and parses a settings file. On failure returns nullopt and sets `error`.
std::optional<DaemonSettings> readSettings(const std::string &path, SettingsError &error);

} // namespace cuminscale
