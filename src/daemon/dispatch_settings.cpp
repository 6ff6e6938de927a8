#include "daemon/dispatch_settings.h"

#include "core/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace cuminscale
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

constexpr std::uint64_t MaxMs = 600'000;
constexpr double MaxRemoteDataFactor = 100.0;
constexpr double MinQueueWeight = 0.001;
constexpr double MaxQueueWeight = 1000.0;
/// Each held job occupies a client's connection and up to 4,000 bytes of payload.
constexpr std::uint64_t MaxHeldJobs = 4096;

leaf::result<Endpoint> readAddress(const JsonObject &object, std::string_view key)
{
    BOOST_LEAF_AUTO(text, object.requiredString(key));
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint) {
        return object.fail(key, "must be an IPv4 address and port, such as \"10.0.0.5:7000\"");
    }
    return *endpoint;
}

/// Reads the addresses of hosts that run entries. The port is replaced by `port`, this process's own peer port, because all
/// instances use the same one.
leaf::result<std::vector<Endpoint>> readEntryHosts(const JsonObject &object, std::string_view key, std::uint16_t port)
{
    std::vector<Endpoint> hosts;
    BOOST_LEAF_AUTO(list, object.array(key));
    if (list == nullptr) {
        return hosts;
    }
    for (const json::value &item : *list) {
        const std::optional<Endpoint> host = item.is_string() ? parseEndpoint(std::string_view(item.get_string())) : std::nullopt;
        if (!host) {
            return object.fail(key, "must be a list of IPv4 addresses and ports");
        }
        hosts.push_back(Endpoint{host->ip, port});
    }
    return hosts;
}

leaf::result<Duration> readDuration(const JsonObject &object, std::string_view key, Duration fallback)
{
    const std::uint64_t fallbackMs = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(fallback).count());
    BOOST_LEAF_AUTO(ms, object.integer(key, fallbackMs, 1, MaxMs));
    return Duration(milliseconds(ms));
}

/// Reads the weights of queues, by name.
leaf::result<std::map<std::string, double>> readWeights(const JsonObject &object)
{
    std::map<std::string, double> weights;
    for (const json::key_value_pair &item : object.fields()) {
        const std::string name(item.key());
        BOOST_LEAF_ASSIGN(weights[name], object.fraction(name, 1.0, MinQueueWeight, MaxQueueWeight));
    }
    return weights;
}

/// Reads what decides on the admission and placement of jobs at an entry.
leaf::result<void> readDispatchPolicies(const JsonObject &root, DispatchSettings &settings)
{
    BOOST_LEAF_AUTO(placement, root.object("placement"));
    BOOST_LEAF_CHECK(placement.allow({"remote_data_factor"}));
    const double factor =
        leaf::try_handle_all([&]() { return placement.fraction("remote_data_factor", 0.0, 1.0, MaxRemoteDataFactor); },
                             [&](const JsonError &e) {
                                 settings.warnings.push_back(e.path + ": " + e.reason);
                                 return 0.0;
                             },
                             []() { return 0.0; });
    settings.decidesDataLocality = factor > 0.0;
    settings.remoteDataFactor = settings.decidesDataLocality ? factor : settings.remoteDataFactor;
    BOOST_LEAF_AUTO(admission, root.object("admission"));
    BOOST_LEAF_CHECK(admission.allow({"policy", "weights", "hold_jobs"}));
    BOOST_LEAF_AUTO(policy, admission.string("policy", "largest-first"));
    if (policy != "largest-first" && policy != "usual-share") {
        return admission.fail("policy", "must be \"largest-first\" or \"usual-share\"");
    }
    settings.admission =
        policy == "usual-share" ? dispatch::AdmissionPolicy::UsualShare : dispatch::AdmissionPolicy::LargestFirst;
    BOOST_LEAF_AUTO(weights, admission.object("weights"));
    BOOST_LEAF_ASSIGN(settings.queueWeights, readWeights(weights));
    BOOST_LEAF_ASSIGN(settings.maxHeldJobs, admission.integer("hold_jobs", settings.maxHeldJobs, 0, MaxHeldJobs));
    return {};
}

leaf::result<DispatchSettings> readRoot(const JsonObject &root)
{
    DispatchSettings settings;
    BOOST_LEAF_CHECK(root.allow({"role", "node", "failure_domain", "peer", "metrics", "store", "clients", "server",
                                 "stop_grace_ms", "log", "placement", "admission", "evacuation"}));
    BOOST_LEAF_AUTO(role, root.requiredString("role"));
    if (role != "job-entry" && role != "job-agent") {
        return root.fail("role", "must be \"job-entry\" or \"job-agent\"");
    }
    settings.role = role == "job-entry" ? Role::Entry : Role::Agent;
    BOOST_LEAF_ASSIGN(settings.node, root.requiredString("node"));
    BOOST_LEAF_ASSIGN(settings.domain, root.requiredString("failure_domain"));
    BOOST_LEAF_AUTO(peer, root.object("peer"));
    BOOST_LEAF_CHECK(peer.allow({"listen", "advertise", "entry_hosts"}));
    BOOST_LEAF_ASSIGN(settings.peerListen, readAddress(peer, "listen"));
    if (peer.fields().contains("advertise")) {
        BOOST_LEAF_ASSIGN(settings.peerAdvertise, readAddress(peer, "advertise"));
    }
    BOOST_LEAF_ASSIGN(settings.entries, readEntryHosts(peer, "entry_hosts", settings.peerListen.port));
    BOOST_LEAF_AUTO(metrics, root.object("metrics"));
    BOOST_LEAF_CHECK(metrics.allow({"listen"}));
    BOOST_LEAF_ASSIGN(settings.metricsListen, readAddress(metrics, "listen"));
    BOOST_LEAF_AUTO(store, root.object("store"));
    BOOST_LEAF_CHECK(store.allow({"address"}));
    BOOST_LEAF_ASSIGN(settings.store, readAddress(store, "address"));
    if (settings.role == Role::Entry) {
        BOOST_LEAF_AUTO(clients, root.object("clients"));
        BOOST_LEAF_CHECK(clients.allow({"listen", "ready_listen"}));
        BOOST_LEAF_ASSIGN(settings.clientsListen, readAddress(clients, "listen"));
        BOOST_LEAF_ASSIGN(settings.readyListen, readAddress(clients, "ready_listen"));
        BOOST_LEAF_CHECK(readDispatchPolicies(root, settings));
    } else {
        BOOST_LEAF_AUTO(server, root.object("server"));
        BOOST_LEAF_CHECK(server.allow({"announce_listen", "address", "service", "lease_ms"}));
        BOOST_LEAF_ASSIGN(settings.announceListen, readAddress(server, "announce_listen"));
        BOOST_LEAF_ASSIGN(settings.server, readAddress(server, "address"));
        BOOST_LEAF_ASSIGN(settings.service, server.requiredString("service"));
        BOOST_LEAF_ASSIGN(settings.maxLease, readDuration(server, "lease_ms", settings.maxLease));
    }
    BOOST_LEAF_AUTO(evacuation, root.object("evacuation"));
    BOOST_LEAF_CHECK(evacuation.allow({"follow"}));
    BOOST_LEAF_ASSIGN(settings.followsEvacuations, evacuation.boolean("follow", settings.followsEvacuations));
    BOOST_LEAF_ASSIGN(settings.stopGrace, readDuration(root, "stop_grace_ms", settings.stopGrace));
    BOOST_LEAF_AUTO(log, root.object("log"));
    BOOST_LEAF_CHECK(log.allow({"level"}));
    BOOST_LEAF_ASSIGN(settings.logLevel, log.string("level", settings.logLevel));
    return settings;
}

} // namespace

bool isDispatchSettings(std::string_view text)
{
    return leaf::try_handle_all(
        [text]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(value, parseJson(text));
            BOOST_LEAF_AUTO(root, JsonObject::from(value, ""));
            BOOST_LEAF_AUTO(role, root.string("role", ""));
            return role.rfind("job-", 0) == 0;
        },
        // The settings parser that reads the text next reports the error.
        []() { return false; });
}

std::optional<DispatchSettings> parseDispatchSettings(std::string_view text, SettingsError &error)
{
    return leaf::try_handle_all(
        [text]() -> leaf::result<std::optional<DispatchSettings>> {
            BOOST_LEAF_AUTO(value, parseJson(text));
            BOOST_LEAF_AUTO(root, JsonObject::from(value, ""));
            BOOST_LEAF_AUTO(settings, readRoot(root));
            return std::optional<DispatchSettings>(std::move(settings));
        },
        [&error](const JsonError &e) -> std::optional<DispatchSettings> {
            error = SettingsError{e.path, e.reason};
            return std::nullopt;
        },
        [&error]() -> std::optional<DispatchSettings> {
            error = SettingsError{"document", "can't be read"};
            return std::nullopt;
        });
}

} // namespace cuminscale
