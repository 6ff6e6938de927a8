/// Runs tasks on a backend server over HTTP/1.1.
#pragma once

#include "adapters/http_client.h"
#include "ports/ports.h"

#include <unordered_map>

namespace cuminscale
{

/// Sends each task as a `POST /run` request and delivers its result as event::BackendFinished.
class HttpBackend : public BackendPort
{
public:
    HttpBackend(boost::asio::io_context &context, std::size_t maxConnections, EventSink &sink);

    void start(effect::StartTask &&task) override;
    void abort(const effect::AbortTask &task) override;

private:
    void finish(RunId run, HttpOutcome &&outcome, std::chrono::steady_clock::time_point started);

    HttpClient m_client;
    EventSink &m_sink;
    std::unordered_map<RunId, HttpClient::RequestId, IdHash> m_running;
};

} // namespace cuminscale
