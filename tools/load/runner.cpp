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
constexpr std::size_t IdsAtOnce = 100;
/// Answers may come this much after the deadline before the client gives up.
constexpr Duration Patience = seconds(3);
constexpr Duration ProbeEvery = milliseconds(200);
constexpr Duration BetweenAttempts = milliseconds(150);

class Runner
{
public:
    Runner(const Mix &mix, const std::vector<Arrival> &arrivals, const std::vector<Endpoint> &entries)
        : m_mix(mix)
        , m_arrivals(arrivals)
        , m_entries(entries)
        , m_context(1)
        , m_client(m_context, MaxConnections)
        , m_probes(m_context, 2)
        , m_timer(m_context)
        , m_probeTimer(m_context)
        , m_ready(entries.size(), true)
    {
        m_samples.resize(arrivals.size());
    }

    std::vector<Sample> run()
    {
        probe();
        fetchIds();
        m_start = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
        sendDue();
        m_context.run();
        return std::move(m_samples);
    }

private:
    /// The entry for a call: in turn, and as a balancer does, none that has said that it is not ready.
    const Endpoint &entryFor(std::size_t index) const
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const std::size_t candidate = (index + i) % m_entries.size();
            if (m_ready[candidate]) {
                return m_entries[candidate];
            }
        }
        return m_entries[index % m_entries.size()];
    }

    /// Asks every entry from time to time whether it is ready, while calls are outstanding.
    void probe()
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            m_probes.send(m_entries[i], HttpRequest{"GET", "/readyz", "", {}}, ProbeEvery, [this, i](HttpOutcome &&outcome) {
                m_ready[i] = outcome.end == HttpEnd::Answered && outcome.response.status == 200;
            });
        }
        m_probeTimer.expires_after(ProbeEvery);
        m_probeTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec && (m_next < m_arrivals.size() || m_open > 0)) {
                probe();
            }
        });
    }

    void sendDue()
    {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        while (m_next < m_arrivals.size() && m_start + m_arrivals[m_next].at <= now) {
            send(m_next);
            ++m_next;
        }
        if (m_next < m_arrivals.size()) {
            m_timer.expires_at(m_start + m_arrivals[m_next].at);
            m_timer.async_wait([this](boost::system::error_code) { sendDue(); });
        }
    }

    /// Jobs need ids; a stock is kept ahead so that fetching them is not part of a response time.
    void fetchIds()
    {
        if (m_fetching || m_ids.size() > IdsAtOnce / 2) {
            return;
        }
        m_fetching = true;
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/services/" + m_mix.service + "/ids?count=" + std::to_string(IdsAtOnce);
        m_client.send(entryFor(m_fetches++), std::move(request), seconds(3), [this](HttpOutcome &&outcome) {
            m_fetching = false;
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
        // The arrival and task are echoed, so that a crossed answer shows.
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
        sample.ideal = arrival.ideal(m_mix.slots, stream.claimable);
        sample.warmup = arrival.at < Duration(static_cast<std::int64_t>(m_mix.warmupS * 1e6));
        if (stream.mostTasks > 1) {
            sendJob(index);
            return;
        }
        json::object body = common(stream);
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
        json::object body = common(m_mix.streams[arrival.stream]);
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

    /// Some jobs are submitted a second time while the first copy is under way, through another entry.
    void resubmitOnce(std::size_t index, const HttpRequest &request)
    {
        if (m_mix.resubmit <= 0 || static_cast<double>(index % 100) >= m_mix.resubmit * 100) {
            return;
        }
        m_client.send(entryFor(index + 1), request, seconds(30), [this, index](HttpOutcome &&outcome) {
            Sample ignored = m_samples[index];
            const bool wrong = outcome.end == HttpEnd::Answered && outcome.response.status == 200
                && !isOwnWholeAnswer(index, outcome.response.body, ignored);
            if (wrong) {
                m_samples[index].end = End::Wrong;
            }
        });
    }

    static json::object common(const Stream &stream)
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
        const Duration timeout = milliseconds(stream.deadlineMs) + Patience;
        ++m_open;
        sendUntilDecided(index, std::move(request), sent, sent + timeout, 0);
    }

    static bool isFinalRefusal(const HttpResponse &response)
    {
        return response.status == 503 && response.header("Cuminscale-Outcome") == "not-run"
            && !response.header("Retry-After").empty();
    }

    /// A job whose outcome is not known is submitted again under its id, through another entry; a request is not.
    void sendUntilDecided(std::size_t index, HttpRequest &&request, std::chrono::steady_clock::time_point sent,
                          std::chrono::steady_clock::time_point end, std::size_t attempt)
    {
        const std::shared_ptr<HttpRequest> kept = std::make_shared<HttpRequest>(request);
        const Duration left = std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now());
        m_client.send(
            entryFor(index + attempt), std::move(request), left, [this, index, kept, sent, end, attempt](HttpOutcome &&outcome) {
                const bool answered = outcome.end == HttpEnd::Answered;
                const bool undecided = !answered || outcome.response.body.find("\"state\":\"unknown\"") != std::string::npos;
                if (answered && kept->method == "PUT" && isFinalRefusal(outcome.response)
                    && std::chrono::steady_clock::now() < end && !m_ids.empty()) {
                    // Nothing has run or will run under the old id.
                    kept->target = kept->target.substr(0, kept->target.rfind('/') + 1) + m_ids.front();
                    m_ids.pop_front();
                    fetchIds();
                    sendUntilDecided(index, HttpRequest(*kept), sent, end, attempt + 1);
                    return;
                }
                const bool again = undecided && (kept->method == "PUT" || outcome.end == HttpEnd::NotSent)
                    && std::chrono::steady_clock::now() + BetweenAttempts < end;
                if (!again) {
                    take(index, std::move(outcome), sent);
                    return;
                }
                const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context);
                timer->expires_after(BetweenAttempts);
                timer->async_wait([this, index, kept, sent, end, attempt, timer](boost::system::error_code) {
                    sendUntilDecided(index, HttpRequest(*kept), sent, end, attempt + 1);
                });
            });
    }

    void take(std::size_t index, HttpOutcome &&outcome, std::chrono::steady_clock::time_point sent)
    {
        --m_open;
        Sample &sample = m_samples[index];
        sample.response = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - sent);
        if (outcome.end != HttpEnd::Answered) {
            sample.end = outcome.end == HttpEnd::NotSent ? End::NotRun : End::Unknown;
            sample.reason = outcome.end == HttpEnd::NotSent ? "no connection" : "connection lost";
            return;
        }
        if (outcome.response.status == 200) {
            sample.end = isOwnWholeAnswer(index, outcome.response.body, sample) ? End::Complete : End::Wrong;
            return;
        }
        sample.reason = reasonIn(outcome.response.body);
        const std::string what = outcome.response.header("Cuminscale-Outcome");
        sample.end = what == "not-run" ? End::NotRun : what == "ran" ? End::Failed : End::Unknown;
    }

    static std::string reasonIn(const std::string &body)
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

    bool isOwnWholeAnswer(std::size_t index, const std::string &body, Sample &sample) const
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
            // The backend stand-in appends its own time behind the echo.
            const std::string text(results[i].at("body").as_string());
            const std::string echo = std::to_string(index) + "." + std::to_string(i) + " ";
            if (text.rfind(echo, 0) != 0) {
                return false;
            }
            if (results.size() == 1) {
                sample.backend = Duration(std::stoll(text.substr(echo.size())));
            }
        }
        return true;
    }

    const Mix &m_mix;
    const std::vector<Arrival> &m_arrivals;
    const std::vector<Endpoint> &m_entries;
    asio::io_context m_context;
    HttpClient m_client;
    HttpClient m_probes;
    asio::steady_timer m_timer;
    asio::steady_timer m_probeTimer;
    std::vector<bool> m_ready;
    std::size_t m_open = 0; ///< Calls that wait for their answer.
    std::chrono::steady_clock::time_point m_start;
    std::vector<Sample> m_samples;
    std::size_t m_next = 0;
    std::deque<std::string> m_ids;
    std::deque<std::size_t> m_waitingForId;
    std::size_t m_fetches = 0;
    bool m_fetching = false;
};

} // namespace

std::vector<Sample> runArrivals(const Mix &mix, const std::vector<Arrival> &arrivals, const std::vector<Endpoint> &entries)
{
    return Runner(mix, arrivals, entries).run();
}

} // namespace cuminscale::load
