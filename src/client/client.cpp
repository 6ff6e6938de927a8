#include "cuminscale/client.h"

#include "adapters/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <thread>

namespace cuminscale
{

namespace
{

constexpr Duration FetchIdTimeout = seconds(5);
constexpr Duration ResubmissionInterval = milliseconds(200);
constexpr unsigned HttpGatewayTimeout = 504;
constexpr unsigned HttpServiceUnavailable = 503;

} // namespace

class Client::Impl
{
public:
    explicit Impl(std::vector<Endpoint> entries)
        : m_entries(std::move(entries))
        , m_client(m_context, 1)
    { }

    CallAnswer sendToCurrentEntry(const std::string &method, const std::string &target, const std::string &body, Duration timeout)
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = body;
        CallAnswer answer;
        m_client.send(m_entries[m_current], std::move(request), timeout, [&answer](HttpOutcome &&outcome) {
            // Indexed by HttpCompletion.
            constexpr CallEnd CallEnds[] = {CallEnd::Answered, CallEnd::Unreachable, CallEnd::Lost};
            answer.end = CallEnds[static_cast<std::size_t>(outcome.completion)];
            answer.status = outcome.response.status;
            answer.outcome = outcome.response.header("Cuminscale-Outcome");
            answer.mayRetry = !outcome.response.header("Retry-After").empty();
            answer.traceparent = outcome.response.header("traceparent");
            answer.body = std::move(outcome.response.body);
        });
        m_context.restart();
        m_context.run();
        return answer;
    }

    void selectNextEntry()
    {
        if (!m_entries.empty()) {
            m_current = (m_current + 1) % m_entries.size();
        }
    }

    std::size_t entryCount() const noexcept
    {
        return m_entries.size();
    }

private:
    std::vector<Endpoint> m_entries;
    std::size_t m_current = 0;
    boost::asio::io_context m_context{1};
    HttpClient m_client;
};

Client::Client(std::vector<Endpoint> entries)
    : m_impl(std::make_unique<Impl>(std::move(entries)))
{ }

Client::~Client() = default;

CallAnswer Client::call(const std::string &method, const std::string &target, const std::string &body, Duration timeout)
{
    CallAnswer answer;
    for (std::size_t i = 0; i < m_impl->entryCount(); ++i) {
        answer = m_impl->sendToCurrentEntry(method, target, body, timeout);
        if (answer.end != CallEnd::Unreachable) {
            return answer;
        }
        m_impl->selectNextEntry();
    }
    return answer;
}

CallAnswer Client::submit(const std::string &service, const std::string &id, const std::string &body, Duration timeout)
{
    const std::string target = "/v1/services/" + service + "/jobs/" + id;
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
    CallAnswer answer;
    do {
        const Duration remaining = std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now());
        answer = call("PUT", target, body, std::max<Duration>(remaining, ResubmissionInterval));
        // The entry got no reply from the job's coordinator; a resubmission under the same id may still get one.
        const bool outcomeUnknown =
            answer.status == HttpGatewayTimeout && answer.body.find("\"state\":\"unknown\"") != std::string::npos;
        const bool outcomeKnown = answer.end == CallEnd::Answered && !outcomeUnknown;
        if (outcomeKnown) {
            return answer;
        }
        m_impl->selectNextEntry();
        std::this_thread::sleep_for(ResubmissionInterval);
    } while (std::chrono::steady_clock::now() < deadline);
    return answer;
}

CallAnswer Client::submitNew(const std::string &service, const std::string &body, Duration timeout, std::string &id)
{
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
    CallAnswer answer;
    do {
        id.clear();
        answer = fetchId(service, id);
        if (id.empty()) {
            return answer;
        }
        answer = submit(service, id, body, std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now()));
        const bool shouldRetry = answer.status == HttpServiceUnavailable && answer.outcome == "not-run" && answer.mayRetry;
        if (!shouldRetry) {
            return answer;
        }
        std::this_thread::sleep_for(ResubmissionInterval);
    } while (std::chrono::steady_clock::now() < deadline);
    return answer;
}

CallAnswer Client::fetchId(const std::string &service, std::string &id)
{
    CallAnswer answer = call("POST", "/v1/services/" + service + "/ids?count=1", "", FetchIdTimeout);
    boost::json::error_code ec;
    const boost::json::value value = boost::json::parse(answer.body, ec);
    if (!ec && value.is_object()) {
        const boost::json::value *ids = value.get_object().if_contains("ids");
        if (ids != nullptr && ids->is_array() && !ids->get_array().empty() && ids->get_array()[0].is_string()) {
            id = std::string(ids->get_array()[0].get_string());
        }
    }
    return answer;
}

} // namespace cuminscale
