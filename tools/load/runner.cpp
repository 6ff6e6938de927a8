#include "load/runner.h"

#include "adapters/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>

namespace cuminscale::load
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t MaxConnections = 4000;
constexpr std::size_t IdBatchSize = 100;
/// How long after the deadline a response is still awaited.
constexpr Duration ResponseGracePeriod = seconds(3);
constexpr Duration ProbeInterval = milliseconds(200);
constexpr Duration RetryDelay = milliseconds(150);

/// Sends the arrivals of one load run and collects their samples.
class Runner
{
public:
    Runner(const Mix &mix, const std::vector<Arrival> &arrivals, const std::vector<Endpoint> &entries)
        : m_mix(mix)
        , m_arrivals(arrivals)
        , m_entries(entries)
        , m_context(1)
        , m_client(m_context, MaxConnections)
        , m_probeClient(m_context, 2)
        , m_sendTimer(m_context)
        , m_probeTimer(m_context)
        , m_ready(entries.size(), true)
    {
        m_samples.resize(arrivals.size());
    }

    std::vector<Sample> run()
    {
        probeReadiness();
        fetchIds();
        m_start = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
        sendDueArrivals();
        m_context.run();
        return std::move(m_samples);
    }

private:
    /// Picks the entry for a call round-robin and, like a load balancer, skips entries that are not ready, unless none is.
    const Endpoint &chooseEntry(std::size_t index) const
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const std::size_t candidate = (index + i) % m_entries.size();
            if (m_ready[candidate]) {
                return m_entries[candidate];
            }
        }
        return m_entries[index % m_entries.size()];
    }

    /// Polls the readiness of every entry as long as calls are outstanding or due.
    void probeReadiness()
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            m_probeClient.send(m_entries[i], HttpRequest{"GET", "/readyz", "", {}}, ProbeInterval,
                               [this, i](HttpOutcome &&outcome) {
                                   m_ready[i] = outcome.completion == HttpCompletion::Answered && outcome.response.status == 200;
                               });
        }
        m_probeTimer.expires_after(ProbeInterval);
        m_probeTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec && (m_nextArrival < m_arrivals.size() || m_outstanding > 0)) {
                probeReadiness();
            }
        });
    }

    void sendDueArrivals()
    {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        while (m_nextArrival < m_arrivals.size() && m_start + m_arrivals[m_nextArrival].sendTime <= now) {
            send(m_nextArrival);
            ++m_nextArrival;
        }
        if (m_nextArrival < m_arrivals.size()) {
            m_sendTimer.expires_at(m_start + m_arrivals[m_nextArrival].sendTime);
            m_sendTimer.async_wait([this](boost::system::error_code) { sendDueArrivals(); });
        }
    }

    /// Prefetches submission ids for jobs, so that fetching them is not part of a response time.
    void fetchIds()
    {
        if (m_fetchingIds || m_ids.size() > IdBatchSize / 2) {
            return;
        }
        m_fetchingIds = true;
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/services/" + m_mix.service + "/ids?count=" + std::to_string(IdBatchSize);
        m_client.send(chooseEntry(m_idFetches++), std::move(request), seconds(3), [this](HttpOutcome &&outcome) {
            m_fetchingIds = false;
            json::error_code ec;
            const json::value value = json::parse(outcome.response.body, ec);
            if (!ec && value.is_object() && value.get_object().contains("ids")) {
                for (const json::value &id : value.at("ids").as_array()) {
                    m_ids.emplace_back(id.as_string());
                }
            }
            std::deque<std::size_t> waiting;
            waiting.swap(m_waitingForId);
            for (const std::size_t index : waiting) {
                sendJob(index);
            }
        });
    }

    static std::string payloadOf(const Arrival &arrival, std::size_t index, std::size_t task)
    {
        // The backend server echoes the arrival and task, which reveals a response that belongs to another call.
        return json::serialize(
            json::object{{"run_ms", arrival.runMs[task]}, {"echo", std::to_string(index) + "." + std::to_string(task)}});
    }

    void send(std::size_t index)
    {
        const Arrival &arrival = m_arrivals[index];
        const Stream &stream = m_mix.streams[arrival.stream];
        Sample &sample = m_samples[index];
        sample.stream = arrival.stream;
        sample.tasks = static_cast<std::uint32_t>(arrival.runMs.size());
        sample.idealResponse = arrival.idealResponse(m_mix.slots, stream.usableFraction);
        sample.warmup = arrival.sendTime < Duration(static_cast<std::int64_t>(m_mix.warmupS * 1e6));
        if (stream.maxTasks > 1) {
            sendJob(index);
            return;
        }
        json::object body = commonFields(stream);
        body["payload"] = payloadOf(arrival, index, 0);
        body["run_ms"] = arrival.declaredMs[0];
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/services/" + m_mix.service + "/requests";
        request.body = json::serialize(body);
        submit(index, std::move(request));
    }

    void sendJob(std::size_t index)
    {
        fetchIds();
        if (m_ids.empty()) {
            m_waitingForId.push_back(index);
            return;
        }
        const Arrival &arrival = m_arrivals[index];
        json::object body = commonFields(m_mix.streams[arrival.stream]);
        json::array tasks;
        for (std::size_t i = 0; i < arrival.runMs.size(); ++i) {
            tasks.push_back(json::object{{"payload", payloadOf(arrival, index, i)}, {"run_ms", arrival.declaredMs[i]}});
        }
        body["tasks"] = std::move(tasks);
        HttpRequest request;
        request.method = "PUT";
        request.target = "/v1/services/" + m_mix.service + "/jobs/" + m_ids.front();
        request.body = json::serialize(body);
        m_ids.pop_front();
        resubmitOnce(index, request);
        submit(index, std::move(request));
    }

    /// Submits a fraction of the jobs a second time through another entry, while the first submission is outstanding.
    void resubmitOnce(std::size_t index, const HttpRequest &request)
    {
        if (m_mix.resubmitFraction <= 0 || static_cast<double>(index % 100) >= m_mix.resubmitFraction * 100) {
            return;
        }
        m_client.send(chooseEntry(index + 1), request, seconds(30), [this, index](HttpOutcome &&outcome) {
            Sample discardedSample = m_samples[index];
            const bool mismatch = outcome.completion == HttpCompletion::Answered && outcome.response.status == 200
                && !matchesArrival(index, outcome.response.body, discardedSample);
            if (mismatch) {
                m_samples[index].result = ArrivalResult::Wrong;
            }
        });
    }

    static json::object commonFields(const Stream &stream)
    {
        return json::object{{"member", stream.member},
                            {"kind", stream.kind},
                            {"deadline_ms", stream.deadlineMs},
                            {"repeatable", stream.repeatable}};
    }

    void submit(std::size_t index, HttpRequest &&request)
    {
        const std::chrono::steady_clock::time_point sent = std::chrono::steady_clock::now();
        const Stream &stream = m_mix.streams[m_arrivals[index].stream];
        const Duration timeout = milliseconds(stream.deadlineMs) + ResponseGracePeriod;
        ++m_outstanding;
        sendWithRetries(index, std::move(request), sent, sent + timeout, 0);
    }

    /// Whether the work was not run and may be submitted again under a new id.
    static bool isRetryableRefusal(const HttpResponse &response)
    {
        return response.status == 503 && response.header("Cuminscale-Outcome") == "not-run"
            && !response.header("Retry-After").empty();
    }

    /// Sends a call and retries it through other entries. A job whose outcome is unknown is resubmitted under the same id, which
    /// is idempotent; one that was refused is submitted again under a new id. A request is only retried if it was never
    /// sent.
    void sendWithRetries(std::size_t index, HttpRequest &&request, std::chrono::steady_clock::time_point sent,
                         std::chrono::steady_clock::time_point giveUpAt, std::size_t attempt)
    {
        const std::shared_ptr<HttpRequest> retryRequest = std::make_shared<HttpRequest>(request);
        const Duration timeLeft = std::chrono::duration_cast<Duration>(giveUpAt - std::chrono::steady_clock::now());
        m_client.send(
            chooseEntry(index + attempt), std::move(request), timeLeft,
            [this, index, retryRequest, sent, giveUpAt, attempt](HttpOutcome &&outcome) {
                const bool answered = outcome.completion == HttpCompletion::Answered;
                const bool outcomeUnknown = !answered || outcome.response.body.find("\"state\":\"unknown\"") != std::string::npos;
                if (answered && retryRequest->method == "PUT" && isRetryableRefusal(outcome.response)
                    && std::chrono::steady_clock::now() < giveUpAt && !m_ids.empty()) {
                    // The refusal is final: nothing has run or will run under the old id.
                    retryRequest->target = retryRequest->target.substr(0, retryRequest->target.rfind('/') + 1) + m_ids.front();
                    m_ids.pop_front();
                    fetchIds();
                    sendWithRetries(index, HttpRequest(*retryRequest), sent, giveUpAt, attempt + 1);
                    return;
                }
                const bool shouldRetry = outcomeUnknown && (retryRequest->method == "PUT" || outcome.notSent())
                    && std::chrono::steady_clock::now() + RetryDelay < giveUpAt;
                if (!shouldRetry) {
                    recordResponse(index, std::move(outcome), sent);
                    return;
                }
                const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context);
                timer->expires_after(RetryDelay);
                timer->async_wait([this, index, retryRequest, sent, giveUpAt, attempt, timer](boost::system::error_code) {
                    sendWithRetries(index, HttpRequest(*retryRequest), sent, giveUpAt, attempt + 1);
                });
            });
    }

    void recordResponse(std::size_t index, HttpOutcome &&outcome, std::chrono::steady_clock::time_point sent)
    {
        --m_outstanding;
        Sample &sample = m_samples[index];
        sample.responseTime = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - sent);
        if (outcome.completion != HttpCompletion::Answered) {
            sample.result = outcome.notSent() ? ArrivalResult::NotRun : ArrivalResult::Unknown;
            sample.reason = outcome.notSent() ? "no connection" : "connection lost";
            return;
        }
        if (outcome.response.status == 200) {
            sample.result = matchesArrival(index, outcome.response.body, sample) ? ArrivalResult::Complete : ArrivalResult::Wrong;
            return;
        }
        sample.reason = parseReason(outcome.response.body);
        const std::string workOutcome = outcome.response.header("Cuminscale-Outcome");
        sample.result = workOutcome == "not-run" ? ArrivalResult::NotRun
            : workOutcome == "ran"               ? ArrivalResult::Failed
                                                 : ArrivalResult::Unknown;
    }

    static std::string parseReason(const std::string &body)
    {
        json::error_code ec;
        const json::value value = json::parse(body, ec);
        if (ec || !value.is_object()) {
            return "no reason";
        }
        const json::object &object = value.get_object();
        const json::value *reason = object.contains("reason") ? object.if_contains("reason") : object.if_contains("error");
        return reason != nullptr && reason->is_string() ? std::string(reason->get_string()) : "no reason";
    }

    /// Whether a response carries the results of all tasks of its arrival, in order. Also stores the reported run time.
    bool matchesArrival(std::size_t index, const std::string &body, Sample &sample) const
    {
        json::error_code ec;
        const json::value value = json::parse(body, ec);
        if (ec || !value.is_object() || !value.get_object().contains("results")) {
            return false;
        }
        const json::array &results = value.at("results").as_array();
        if (results.size() != sample.tasks) {
            return false;
        }
        for (std::size_t i = 0; i < results.size(); ++i) {
            // The simulated backend server appends its run time to the echo (flag --report_time).
            const std::string text(results[i].at("body").as_string());
            const std::string echo = std::to_string(index) + "." + std::to_string(i) + " ";
            if (text.rfind(echo, 0) != 0) {
                return false;
            }
            if (results.size() == 1) {
                sample.backendTime = Duration(std::stoll(text.substr(echo.size())));
            }
        }
        return true;
    }

    const Mix &m_mix;
    const std::vector<Arrival> &m_arrivals;
    const std::vector<Endpoint> &m_entries;
    asio::io_context m_context;
    HttpClient m_client;
    HttpClient m_probeClient;
    asio::steady_timer m_sendTimer;
    asio::steady_timer m_probeTimer;
    std::vector<bool> m_ready; ///< By entry.
    std::size_t m_outstanding = 0; ///< Calls without a response so far.
    std::chrono::steady_clock::time_point m_start;
    std::vector<Sample> m_samples;
    std::size_t m_nextArrival = 0; ///< Index of the next arrival to send.
    std::deque<std::string> m_ids; ///< Prefetched submission ids.
    std::deque<std::size_t> m_waitingForId; ///< Jobs that wait for a submission id.
    std::size_t m_idFetches = 0;
    bool m_fetchingIds = false;
};

} // namespace

std::vector<Sample> runArrivals(const Mix &mix, const std::vector<Arrival> &arrivals, const std::vector<Endpoint> &entries)
{
    return Runner(mix, arrivals, entries).run();
}

} // namespace cuminscale::load
