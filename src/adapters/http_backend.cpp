#include "adapters/http_backend.h"

#include "adapters/trace_header.h"

namespace cuminscale
{

namespace
{

constexpr unsigned FirstErrorStatus = 300;

/// Only a request of which no byte was sent gives NotStarted, which allows the task to be run elsewhere. A missing response gives
/// Unknown, because the backend server may have run the task.
TaskResult toResult(HttpOutcome &&outcome)
{
    TaskResult result;
    switch (outcome.completion) {
    case HttpCompletion::NotSent:
    case HttpCompletion::Refused:
        result.status = TaskStatus::NotStarted;
        break;
    case HttpCompletion::Lost:
        result.status = TaskStatus::Unknown;
        break;
    case HttpCompletion::Answered:
        result.status = outcome.response.status < FirstErrorStatus ? TaskStatus::Succeeded : TaskStatus::Failed;
        result.httpStatus = outcome.response.status;
        result.body = std::move(outcome.response.body);
        break;
    }
    return result;
}

} // namespace

HttpBackend::HttpBackend(boost::asio::io_context &context, std::size_t maxConnections, EventSink &sink)
    : m_client(context, maxConnections)
    , m_sink(sink)
{ }

void HttpBackend::start(effect::StartTask &&task)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/run";
    request.body = std::move(task.payload);
    request.headers.emplace_back("Cuminscale-Submission", toString(task.job));
    request.headers.emplace_back("Cuminscale-Task", std::to_string(task.index.value()));
    if (task.trace.sampled) {
        request.headers.emplace_back("traceparent", renderTraceparent(task.trace));
    }
    const std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
    const RunId run = task.run;
    m_running[run] = m_client.send(task.backend, std::move(request), task.timeout,
                                   [this, run, started](HttpOutcome &&outcome) { finish(run, std::move(outcome), started); });
}

void HttpBackend::abort(const effect::AbortTask &task)
{
    const auto it = m_running.find(task.run);
    if (it != m_running.end()) {
        m_client.abort(it->second);
    }
}

void HttpBackend::finish(RunId run, HttpOutcome &&outcome, std::chrono::steady_clock::time_point started)
{
    m_running.erase(run);
    TaskResult result = toResult(std::move(outcome));
    result.ran = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - started);
    m_sink.deliver(event::BackendFinished{run, std::move(result)});
}

} // namespace cuminscale
