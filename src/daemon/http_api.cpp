#include "daemon/http_api.h"

#include "adapters/announcement.h"
#include "adapters/status_render.h"
#include "core/overloaded_reply.h"
#include "core/refusal.h"

namespace cuminscale
{

namespace
{

constexpr const char *TracesPath = "/v1/traces/";

HttpResponse plainTextResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

} // namespace

HttpApi::HttpApi(boost::asio::io_context &context, const DaemonSettings &settings, EventSink &sink, MonitoringSources monitoring)
    : m_settings(settings)
    , m_sink(sink)
    , m_monitoring(std::move(monitoring))
{
    HttpLimits limits = settings.http;
    limits.refusalHeaders = outcomeHeaders(Refusal::beforeSending("The request was rejected by the HTTP server."));
    if (settings.role == Role::Entry) {
        m_callerServer = std::make_unique<HttpServer>(
            context, settings.callerListen, limits, [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                onRequest(ApiListener::Caller, std::move(request), exchange);
            });
    }
    m_operatorServer = std::make_unique<HttpServer>(context, settings.operatorListen, limits,
                                                    [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                                        onRequest(ApiListener::Operator, std::move(request), exchange);
                                                    });
}

Endpoint HttpApi::callerEndpoint() const
{
    return m_callerServer ? m_callerServer->endpoint() : Endpoint();
}

Endpoint HttpApi::operatorEndpoint() const
{
    return m_operatorServer->endpoint();
}

void HttpApi::startDraining()
{
    if (m_callerServer) {
        m_callerServer->startDraining();
    }
}

void HttpApi::finishDraining()
{
    m_coreStopped = true;
    if (m_callerServer) {
        m_callerServer->closeIdleConnections();
    }
}

bool HttpApi::hasUnfinishedRequests() const
{
    return !m_pendingRequests.empty() || (m_callerServer && m_callerServer->hasConnections());
}

void HttpApi::onRequest(ApiListener listener, HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.method == "GET" && request.target == "/readyz") {
        forwardToCore(call::ShowStatus(), ResponseFormat::Ready, exchange);
        return;
    }
    if (listener == ApiListener::Operator && request.method == "GET" && request.target == "/metrics") {
        forwardToCore(call::ShowStatus(), ResponseFormat::Metrics, exchange);
        return;
    }
    if (listener == ApiListener::Operator && request.method == "GET" && request.target.rfind(TracesPath, 0) == 0) {
        HttpResponse response;
        response.body = m_monitoring.spans->renderTrace(request.target.substr(std::string_view(TracesPath).size()));
        exchange->respond(std::move(response));
        return;
    }
    if (listener == ApiListener::Operator && m_settings.role == Role::Agent && request.method == "POST"
        && request.target == "/v1/backend") {
        onAnnouncement(request, exchange);
        return;
    }
    std::variant<CallerRequest, ApiError> parsed = parseCall(request, listener, m_settings.api);
    if (const ApiError *error = std::get_if<ApiError>(&parsed)) {
        exchange->respond(renderError(*error));
        return;
    }
    forwardToCore(std::move(std::get<CallerRequest>(parsed)), ResponseFormat::Json, exchange);
}

void HttpApi::forwardToCore(CallerRequest &&call, ResponseFormat format, const std::shared_ptr<HttpExchange> &exchange)
{
    const CallerTag tag = m_nextTag;
    m_nextTag = CallerTag(tag.value() + 1);
    Event event = event::CallerRequestReceived{tag, std::move(call)};
    if (m_coreStopped || !m_sink.offer(event)) {
        exchange->respond(renderReply(overloadedReply(std::get<event::CallerRequestReceived>(event).call)));
        return;
    }
    m_pendingRequests.emplace(tag, PendingRequest{exchange, format});
    exchange->onDisconnected = [this, tag]() {
        m_pendingRequests.erase(tag);
        m_sink.deliver(event::CallerDisconnected{tag});
    };
}

void HttpApi::onAnnouncement(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    std::variant<event::BackendAnnounced, ApiError> parsed = parseAnnouncement(request.body);
    if (const ApiError *error = std::get_if<ApiError>(&parsed)) {
        exchange->respond(renderError(*error));
        return;
    }
    m_sink.deliver(std::get<event::BackendAnnounced>(std::move(parsed)));
    HttpResponse response;
    response.body = "{}\n";
    exchange->respond(std::move(response));
}

HttpResponse HttpApi::render(ResponseFormat format, const CallerReply &reply) const
{
    switch (format) {
    case ResponseFormat::Metrics:
        return plainTextResponse(200,
                                 renderMetrics(*reply.status, *m_monitoring.traffic, readProcessUsage(),
                                               m_monitoring.storeCalls ? m_monitoring.storeCalls() : 0));
    case ResponseFormat::Ready:
        return plainTextResponse(reply.status->ready ? 200 : 503, reply.status->ready ? "ready\n" : "not ready\n");
    case ResponseFormat::Json:
        break;
    }
    return renderReply(reply);
}

void HttpApi::reply(effect::ReplyCaller &&reply)
{
    const auto it = m_pendingRequests.find(reply.tag);
    if (it == m_pendingRequests.end()) {
        return;
    }
    const PendingRequest pending = std::move(it->second);
    m_pendingRequests.erase(it);
    pending.exchange->respond(render(pending.format, reply.reply));
}

} // namespace cuminscale
