#include "daemon/settings_file.h"

#include "core/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <sstream>

namespace cuminscale
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

constexpr std::uint64_t MaxMs = 3'600'000;
constexpr std::uint64_t MaxCount = 10'000'000;
constexpr std::uint64_t MaxBytes = 1ULL << 34U;
constexpr std::size_t MaxDomainBytes = 64;

leaf::result<Endpoint> readEndpoint(const JsonObject &object, std::string_view key, const std::string &fallback)
{
    BOOST_LEAF_AUTO(text, object.string(key, fallback));
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint) {
        return object.fail(key, "must be an IPv4 address and port, such as \"10.0.0.5:7000\"");
    }
    return *endpoint;
}

leaf::result<std::vector<Endpoint>> readEndpoints(const JsonObject &object, std::string_view key)
{
    std::vector<Endpoint> endpoints;
    BOOST_LEAF_AUTO(list, object.array(key));
    if (list == nullptr) {
        return endpoints;
    }
    for (const json::value &item : *list) {
        const std::optional<Endpoint> endpoint =
            item.is_string() ? parseEndpoint(std::string_view(item.get_string().data(), item.get_string().size())) : std::nullopt;
        if (!endpoint || endpoint->port == 0) {
            return object.fail(key, "must be a list of IPv4 addresses and ports, such as \"10.0.0.5:7000\"");
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

leaf::result<void> readMs(const JsonObject &object, std::string_view key, Duration &value)
{
    const std::uint64_t fallback = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(value).count());
    BOOST_LEAF_AUTO(ms, object.integer(key, fallback, 1, MaxMs));
    value = milliseconds(ms);
    return {};
}

template <typename T>
leaf::result<void> readCount(const JsonObject &object, std::string_view key, T &value, std::uint64_t min, std::uint64_t max)
{
    BOOST_LEAF_AUTO(n, object.integer(key, value, min, max));
    value = static_cast<T>(n);
    return {};
}

leaf::result<void> readTiming(const JsonObject &object, Timing &timing)
{
    BOOST_LEAF_CHECK(object.allow({"heartbeat_ms", "suspect_ms", "gone_ms", "resend_ms", "claim_valid_ms", "query_ms",
                                   "offer_again_ms", "remember_answers_ms"}));
    BOOST_LEAF_CHECK(readMs(object, "heartbeat_ms", timing.heartbeatInterval));
    BOOST_LEAF_CHECK(readMs(object, "suspect_ms", timing.suspectAfter));
    BOOST_LEAF_CHECK(readMs(object, "gone_ms", timing.goneAfter));
    BOOST_LEAF_CHECK(readMs(object, "resend_ms", timing.resendAfter));
    BOOST_LEAF_CHECK(readMs(object, "claim_valid_ms", timing.claimLifetime));
    BOOST_LEAF_CHECK(readMs(object, "query_ms", timing.queryAfter));
    BOOST_LEAF_CHECK(readMs(object, "offer_again_ms", timing.reofferInterval));
    BOOST_LEAF_CHECK(readMs(object, "remember_answers_ms", timing.answerRetention));
    if (timing.suspectAfter < 2 * timing.heartbeatInterval) {
        return object.fail("suspect_ms", "must be at least twice heartbeat_ms");
    }
    if (timing.goneAfter <= timing.suspectAfter) {
        return object.fail("gone_ms", "must be greater than suspect_ms");
    }
    return {};
}

leaf::result<void> readLimits(const JsonObject &object, Limits &limits)
{
    BOOST_LEAF_CHECK(object.allow({"max_jobs", "max_waiting_tasks", "max_tasks_per_job", "max_answer_bytes", "max_pending_calls",
                                   "id_stock", "control_bytes_per_second", "offer_fan_out"}));
    BOOST_LEAF_CHECK(readCount(object, "max_jobs", limits.maxJobs, 1, MaxCount));
    BOOST_LEAF_CHECK(readCount(object, "max_waiting_tasks", limits.maxWaitingTasks, 1, MaxCount));
    BOOST_LEAF_CHECK(readCount(object, "max_tasks_per_job", limits.maxTasksPerJob, 1, 100000));
    BOOST_LEAF_CHECK(readCount(object, "max_answer_bytes", limits.maxAnswerBytes, 1, MaxBytes));
    BOOST_LEAF_CHECK(readCount(object, "max_pending_calls", limits.maxPendingCalls, 1, MaxCount));
    BOOST_LEAF_CHECK(readCount(object, "id_stock", limits.idPrefetchCount, 2, 100000));
    BOOST_LEAF_CHECK(readCount(object, "control_bytes_per_second", limits.controlBytesPerSecond, 1000, MaxCount));
    BOOST_LEAF_CHECK(readCount(object, "offer_fan_out", limits.offerFanOut, 1, 10000));
    return {};
}

leaf::result<void> readPeer(const JsonObject &object, DaemonSettings &settings)
{
    BOOST_LEAF_CHECK(object.allow({"listen", "entries", "attach"}));
    BOOST_LEAF_ASSIGN(settings.peerListen, readEndpoint(object, "listen", "127.0.0.1:0"));
    BOOST_LEAF_ASSIGN(settings.core.seeds, readEndpoints(object, "entries"));
    BOOST_LEAF_CHECK(readCount(object, "attach", settings.core.entriesPerAgent, 1, 100));
    if (settings.role == Role::Agent && settings.core.seeds.empty()) {
        return object.fail("entries", "must list at least one entry, because agents discover the other entries through it");
    }
    return {};
}

leaf::result<void> readHttp(const JsonObject &object, DaemonSettings &settings)
{
    BOOST_LEAF_CHECK(object.allow(
        {"caller_listen", "operator_listen", "max_body_bytes", "max_connections", "idle_timeout_ms", "write_timeout_ms"}));
    BOOST_LEAF_ASSIGN(settings.callerListen, readEndpoint(object, "caller_listen", "127.0.0.1:0"));
    BOOST_LEAF_ASSIGN(settings.operatorListen, readEndpoint(object, "operator_listen", "127.0.0.1:0"));
    BOOST_LEAF_CHECK(readCount(object, "max_body_bytes", settings.http.maxBodyBytes, 1024, MaxBytes));
    BOOST_LEAF_CHECK(readCount(object, "max_connections", settings.http.maxConnections, 1, MaxCount));
    BOOST_LEAF_CHECK(readMs(object, "idle_timeout_ms", settings.http.idleTimeout));
    BOOST_LEAF_CHECK(readMs(object, "write_timeout_ms", settings.http.writeTimeout));
    constexpr std::uint32_t Loopback = 127;
    if (settings.operatorListen.ip >> 24U != Loopback) {
        return object.fail("operator_listen", "must be a loopback address");
    }
    return {};
}

leaf::result<void> readStore(const JsonObject &object, DaemonSettings &settings)
{
    BOOST_LEAF_CHECK(object.allow({"endpoints", "lease_ms", "probe_ms", "call_timeout_ms"}));
    BOOST_LEAF_ASSIGN(settings.store.endpoints, readEndpoints(object, "endpoints"));
    BOOST_LEAF_CHECK(readMs(object, "lease_ms", settings.store.leaseDuration));
    BOOST_LEAF_CHECK(readMs(object, "probe_ms", settings.store.probeInterval));
    BOOST_LEAF_CHECK(readMs(object, "call_timeout_ms", settings.store.callTimeout));
    if (settings.store.leaseDuration < seconds(2)) {
        return object.fail("lease_ms", "must be at least 2000");
    }
    if (settings.role == Role::Agent && !settings.store.endpoints.empty()) {
        return object.fail("endpoints", "must be empty for agents: only entries use the store");
    }
    return {};
}

leaf::result<DaemonSettings> readRoot(const JsonObject &root)
{
    DaemonSettings settings;
    BOOST_LEAF_CHECK(
        root.allow({"role", "failure_domain", "peer", "http", "store", "backend", "timing", "limits", "log", "trace"}));
    BOOST_LEAF_AUTO(role, root.requiredString("role"));
    if (role != "entry" && role != "agent") {
        return root.fail("role", "must be \"entry\" or \"agent\"");
    }
    settings.role = role == "entry" ? Role::Entry : Role::Agent;
    BOOST_LEAF_ASSIGN(settings.core.identity.domain, root.requiredString("failure_domain"));
    if (settings.core.identity.domain.size() > MaxDomainBytes) {
        return root.fail("failure_domain", "must be at most 64 bytes long");
    }
    BOOST_LEAF_AUTO(peer, root.object("peer"));
    BOOST_LEAF_CHECK(readPeer(peer, settings));
    BOOST_LEAF_AUTO(http, root.object("http"));
    BOOST_LEAF_CHECK(readHttp(http, settings));
    BOOST_LEAF_AUTO(store, root.object("store"));
    BOOST_LEAF_CHECK(readStore(store, settings));
    settings.core.hasStore = !settings.store.endpoints.empty();
    BOOST_LEAF_AUTO(timing, root.object("timing"));
    BOOST_LEAF_CHECK(readTiming(timing, settings.core.timing));
    BOOST_LEAF_AUTO(limits, root.object("limits"));
    BOOST_LEAF_CHECK(readLimits(limits, settings.core.limits));
    settings.api.maxTasksPerJob = settings.core.limits.maxTasksPerJob;
    BOOST_LEAF_AUTO(backend, root.object("backend"));
    BOOST_LEAF_CHECK(backend.allow({"max_connections"}));
    BOOST_LEAF_CHECK(readCount(backend, "max_connections", settings.backendConnections, 1, 10000));
    BOOST_LEAF_AUTO(log, root.object("log"));
    BOOST_LEAF_CHECK(log.allow({"level"}));
    BOOST_LEAF_ASSIGN(settings.logLevel, log.string("level", "info"));
    const std::string &level = settings.logLevel;
    if (level != "debug" && level != "info" && level != "warning" && level != "error") {
        return log.fail("level", "must be \"debug\", \"info\", \"warning\" or \"error\"");
    }
    BOOST_LEAF_AUTO(trace, root.object("trace"));
    BOOST_LEAF_CHECK(trace.allow({"one_in", "keep"}));
    BOOST_LEAF_CHECK(readCount(trace, "one_in", settings.api.traceSamplingInterval, 0, MaxCount));
    BOOST_LEAF_CHECK(readCount(trace, "keep", settings.maxSpans, 1, MaxCount));
    return settings;
}

} // namespace

std::optional<DaemonSettings> parseSettings(std::string_view text, SettingsError &error)
{
    return leaf::try_handle_all(
        [text]() -> leaf::result<std::optional<DaemonSettings>> {
            BOOST_LEAF_AUTO(value, parseJson(text));
            BOOST_LEAF_AUTO(root, JsonObject::from(value, ""));
            BOOST_LEAF_AUTO(settings, readRoot(root));
            return std::optional<DaemonSettings>(std::move(settings));
        },
        [&error](const JsonError &e) -> std::optional<DaemonSettings> {
            error = SettingsError{e.path, e.reason};
            return std::nullopt;
        },
        [&error]() -> std::optional<DaemonSettings> {
            error = SettingsError{"document", "could not be parsed"};
            return std::nullopt;
        });
}

std::optional<DaemonSettings> readSettings(const std::string &path, SettingsError &error)
{
    std::ifstream file(path);
    if (!file) {
        error = SettingsError{"file", "could not be opened"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), error);
}

} // namespace cuminscale
