#include "daemon/doors.h"

#include "adapters/announcement.h"
#include "adapters/status_render.h"
#include "core/busy.h"
#include "core/refusal.h"

namespace cuminscale
{

namespace
{

constexpr const char *TracesPath = "/v1/traces/";

HttpResponse plain(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

} // namespace

Doors::Doors(boost::asio::io_context &context, const DaemonSettings &settings, EventSink &sink, Sources sources)
    : m_settings(settings)
    , m_sink(sink)
    , m_sources(std::move(sources))
{
    HttpLimits limits = settings.http;
    limits.refusalHeaders = outcomeHeaders(Refusal::beforeSending("The request is not one that this process takes."));
    if (settings.role == Role::Entry) {
        m_callers = std::make_unique<HttpServer>(context, settings.callerListen, limits,
                                                 [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                                     onRequest(Door::Caller, std::move(request), exchange);
                                                 });
    }
    m_operators = std::make_unique<HttpServer>(context, settings.operatorListen, limits,
                                               [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                                   onRequest(Door::Operator, std::move(request), exchange);
                                               });
}

Endpoint Doors::callerEndpoint() const
{
    return m_callers ? m_callers->endpoint() : Endpoint();
}

Endpoint Doors::operatorEndpoint() const
{
    return m_operators->endpoint();
}

void Doors::startDraining()
{
    if (m_callers) {
        m_callers->startDraining();
    }
}

void Doors::onRequest(Door door, HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.method == "GET" && request.target == "/readyz") {
        ask(call::ShowStatus(), Form::Ready, exchange);
        return;
    }
    if (door == Door::Operator && request.method == "GET" && request.target == "/metrics") {
        ask(call::ShowStatus(), Form::Metrics, exchange);
        return;
    }
    if (door == Door::Operator && request.method == "GET" && request.target.rfind(TracesPath, 0) == 0) {
        HttpResponse response;
        response.body = m_sources.spans->renderTrace(request.target.substr(std::string_view(TracesPath).size()));
        exchange->respond(std::move(response));
        return;
    }
    if (door == Door::Operator && m_settings.role == Role::Agent && request.method == "POST" && request.target == "/v1/backend") {
        onAnnounced(request, exchange);
        return;
    }
    std::variant<CallerCall, ApiError> parsed = parseCall(request, door, m_settings.api);
    if (const ApiError *error = std::get_if<ApiError>(&parsed)) {
        exchange->respond(renderError(*error));
        return;
    }
    ask(std::move(std::get<CallerCall>(parsed)), Form::Answer, exchange);
}

void Doors::ask(CallerCall &&call, Form form, const std::shared_ptr<HttpExchange> &exchange)
{
    const CallerTag tag = m_nextTag;
    m_nextTag = CallerTag(tag.value() + 1);
    Event event = event::CallerAsked{tag, std::move(call)};
    if (!m_sink.offer(event)) {
        exchange->respond(renderReply(tooBusy(std::get<event::CallerAsked>(event).call)));
        return;
    }
    m_waiting.emplace(tag, Waiting{exchange, form});
    exchange->onGone = [this, tag]() {
        m_waiting.erase(tag);
        m_sink.deliver(event::CallerGone{tag});
    };
}

void Doors::onAnnounced(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
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

HttpResponse Doors::render(Form form, const CallerReply &reply) const
{
    switch (form) {
    case Form::Metrics:
        return plain(
            200,
            renderMetrics(*reply.status, *m_sources.traffic, readUsage(), m_sources.storeCalls ? m_sources.storeCalls() : 0));
    case Form::Ready:
        return plain(reply.status->ready ? 200 : 503, reply.status->ready ? "ready\n" : "not ready\n");
    case Form::Answer:
        break;
    }
    return renderReply(reply);
}

void Doors::reply(effect::ReplyCaller &&reply)
{
    const auto it = m_waiting.find(reply.tag);
    if (it == m_waiting.end()) {
        return;
    }
    const Waiting waiting = std::move(it->second);
    m_waiting.erase(it);
    waiting.exchange->respond(render(waiting.form, reply.reply));
}

} // namespace cuminscale
