/// Settings of the dispatch processes (roles "job-entry" and "job-agent"), in which clients choose the job ids. The file is JSON
/// with comments; unknown keys and invalid values are errors. daemon/settings_file.h has the settings of the other processes.
#pragma once

#include "core/dispatch/entry_dispatch.h"
#include "core/settings.h"
#include "daemon/settings_file.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminscale
{

/// All settings of one process. docs/CONFIGURATION.md lists the keys.
struct DispatchSettings
{
    Role role = Role::Entry;
    std::string node; ///< Name of the instance, for the log and for the registration of entries in the store.
    std::string domain; ///< Failure domain.
    Endpoint peerListen;
    Endpoint peerAdvertise; ///< Address that peers connect to; unset means the listening address.
    std::vector<Endpoint> entries; ///< Peer addresses of entries to contact first.
    Endpoint metricsListen;
    Endpoint store;
    Endpoint clientsListen; ///< Entries: HTTP address for clients.
    Endpoint readyListen; ///< Entries: address of the load balancer's health check.
    Endpoint announceListen; ///< Agents: address where the backend server announces itself.
    Endpoint server; ///< Agents: address of the backend server.
    std::string service; ///< Agents: service that the backend server provides.
    Duration maxLease = seconds(1); ///< Agents: upper bound of the lease duration, as set by the platform.
    Duration stopGrace = seconds(6); ///< Time from SIGTERM until the platform kills the process.
    std::string logLevel = "info";
    double remoteDataFactor = 1.5; ///< Entries: run time of a task away from the rack of its data, as a multiple.
    bool decidesDataLocality = false; ///< Whether that factor is set; entries limit the waits near the data of tasks then.
    bool followsEvacuations = false; ///< Whether operators evacuate failure domains.
    dispatch::AdmissionPolicy admission = dispatch::AdmissionPolicy::LargestFirst; ///< Entries.
    std::map<std::string, double> queueWeights; ///< Entries: by queue; 1 for the others.
    std::size_t maxHeldJobs = 512; ///< Entries: jobs that wait until the entry may admit jobs.
    std::vector<std::string> warnings; ///< Values that are ignored, each with its key and the reason.
};

/// Whether a settings text is for a dispatch process: its role begins with "job-".
bool isDispatchSettings(std::string_view text);

/// Parses settings. On failure returns nullopt and sets `error`.
std::optional<DispatchSettings> parseDispatchSettings(std::string_view text, SettingsError &error);

} // namespace cuminscale
