/// The HTTP doors of a process: callers, operators, and the backend server beside an agent.
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

/// Takes HTTP requests to the core and brings the answers back. Used on the HTTP thread only.
class Doors : public CallerPort
{
public:
    /// Figures that operators see and that other threads keep.
    struct Sources
    {
        const TrafficCounters *traffic = nullptr;
        const SpanStore *spans = nullptr;
        std::function<std::uint64_t()> storeCalls;
    };

    Doors(boost::asio::io_context &context, const DaemonSettings &settings, EventSink &sink, Sources sources);

    void reply(effect::ReplyCaller &&reply) override;

    Endpoint callerEndpoint() const;
    Endpoint operatorEndpoint() const;

    /// Every connection closes after its next answer.
    void startDraining();

    /// Requests that wait for an answer.
    std::size_t busy() const noexcept
    {
        return m_waiting.size();
    }

private:
    enum class Form : std::uint8_t { Answer, Metrics, Ready };

    struct Waiting
    {
        std::shared_ptr<HttpExchange> exchange;
        Form form = Form::Answer;
    };

    void onRequest(Door door, HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange);
    void ask(CallerCall &&call, Form form, const std::shared_ptr<HttpExchange> &exchange);
    void onAnnounced(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse render(Form form, const CallerReply &reply) const;

    const DaemonSettings &m_settings;
    EventSink &m_sink;
    Sources m_sources;
    std::unordered_map<CallerTag, Waiting, IdHash> m_waiting;
    CallerTag m_nextTag{1};
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_operators;
};

} // namespace cuminscale
