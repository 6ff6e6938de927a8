#include "cuminscale/client.h"

#include "adapters/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <thread>

namespace cuminscale
{

namespace
{

constexpr Duration IdTimeout = seconds(5);
constexpr Duration BetweenResubmissions = milliseconds(200);
constexpr unsigned StatusUnknown = 504;
constexpr unsigned StatusRefused = 503;

} // namespace

class Client::Impl
{
public:
    explicit Impl(std::vector<Endpoint> entries)
        : m_entries(std::move(entries))
        , m_client(m_context, 1)
    { }

    CallAnswer callOne(const std::string &method, const std::string &target, const std::string &body, Duration timeout)
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = body;
        CallAnswer answer;
        m_client.send(m_entries[m_current], std::move(request), timeout, [&answer](HttpOutcome &&outcome) {
            constexpr CallEnd Ends[] = {CallEnd::Answered, CallEnd::Unreachable, CallEnd::Lost};
            answer.end = Ends[static_cast<std::size_t>(outcome.end)];
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

    void nextEntry()
    {
        m_current = (m_current + 1) % m_entries.size();
    }

    std::size_t entries() const noexcept
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
    for (std::size_t i = 0; i < m_impl->entries(); ++i) {
        answer = m_impl->callOne(method, target, body, timeout);
        if (answer.end != CallEnd::Unreachable) {
            return answer;
        }
        m_impl->nextEntry();
    }
    return answer;
}

CallAnswer Client::submit(const std::string &service, const std::string &id, const std::string &body, Duration timeout)
{
    const std::string target = "/v1/services/" + service + "/jobs/" + id;
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    CallAnswer answer;
    do {
        const Duration left = std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now());
        answer = call("PUT", target, body, std::max<Duration>(left, BetweenResubmissions));
        const bool undecided = answer.status == StatusUnknown && answer.body.find("\"state\":\"unknown\"") != std::string::npos;
        const bool settled = answer.end == CallEnd::Answered && !undecided;
        if (settled) {
            return answer;
        }
        m_impl->nextEntry();
        std::this_thread::sleep_for(BetweenResubmissions);
    } while (std::chrono::steady_clock::now() < end);
    return answer;
}

CallAnswer Client::submitNew(const std::string &service, const std::string &body, Duration timeout, std::string &id)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    CallAnswer answer;
    do {
        id.clear();
        answer = newId(service, id);
        if (id.empty()) {
            return answer;
        }
        answer = submit(service, id, body, std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now()));
        const bool tryAgain = answer.status == StatusRefused && answer.outcome == "not-run" && answer.mayRetry;
        if (!tryAgain) {
            return answer;
        }
        std::this_thread::sleep_for(BetweenResubmissions);
    } while (std::chrono::steady_clock::now() < end);
    return answer;
}

CallAnswer Client::newId(const std::string &service, std::string &id)
{
    CallAnswer answer = call("POST", "/v1/services/" + service + "/ids?count=1", "", IdTimeout);
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
