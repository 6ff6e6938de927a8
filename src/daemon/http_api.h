/// HTTP interface of a process for callers, operators and, on agents, the backend server.
#pragma once

#include "adapters/caller_api.h"
#include "adapters/http_server.h"
#include "adapters/telemetry.h"
#include "adapters/zmq_peers.h"
#include "daemon/settings_file.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace cuminscale
{

/// Passes HTTP requests to the core as events, and the core's replies back as HTTP responses. Must be used on the HTTP thread
/// only, once that thread runs.
class HttpApi : public CallerPort
{
public:
    /// Data for operators that belongs to other threads; access is thread-safe.
    struct MonitoringSources
    {
        const TrafficCounters *traffic = nullptr;
        const SpanStore *spans = nullptr;
        std::function<std::uint64_t()> storeCalls;
    };

    HttpApi(boost::asio::io_context &context, const DaemonSettings &settings, EventSink &sink, MonitoringSources monitoring);

    void reply(effect::ReplyCaller &&reply) override;

    Endpoint callerEndpoint() const;
    Endpoint operatorEndpoint() const;

    /// Closes every caller connection after its next response.
    void startDraining();

    /// Called once the core has stopped: closes idle connections and answers requests that still arrive without the core.
    void finishDraining();

    /// Whether a caller's request waits for the core's reply, is being received, or its response is being sent.
    bool hasUnfinishedRequests() const;

private:
    /// How the core's reply is rendered.
    enum class ResponseFormat : std::uint8_t { Json, Metrics, Ready };

    struct PendingRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        ResponseFormat format = ResponseFormat::Json;
    };

    void onRequest(ApiListener listener, HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange);
    void forwardToCore(CallerRequest &&call, ResponseFormat format, const std::shared_ptr<HttpExchange> &exchange);
    void onAnnouncement(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse render(ResponseFormat format, const CallerReply &reply) const;

    const DaemonSettings &m_settings;
    EventSink &m_sink;
    MonitoringSources m_monitoring;
    std::unordered_map<CallerTag, PendingRequest, IdHash> m_pendingRequests;
    CallerTag m_nextTag{1};
    bool m_coreStopped = false;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
};

} // namespace cuminscale
