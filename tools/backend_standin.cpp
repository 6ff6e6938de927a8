/// Stand-in for backend servers: announces itself to its agent, runs tasks for as long as their payload says, and keeps a log
/// of starts. One process stands for as many backend servers as it is given agents.
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "core/json_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(agents, "", "Operator doors of the agents, comma separated; one backend server is run for each.");
DEFINE_string(service, "pairing", "The service that is announced.");
DEFINE_int32(slots, 8, "Slots of each backend server.");
DEFINE_int32(connections, 64, "Connections of each backend server.");
DEFINE_bool(report_time, false, "Append the time that a task took here, in microseconds, to its answer.");
DEFINE_string(control, "127.0.0.1:0", "Where tests look at the starts and set faults.");

namespace
{

using cuminscale::Duration;
using cuminscale::Endpoint;
using cuminscale::HttpExchange;
using cuminscale::HttpRequest;
using cuminscale::HttpResponse;
using cuminscale::milliseconds;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration AnnounceEvery = milliseconds(400);
constexpr Duration CallTimeout = milliseconds(500);
constexpr int CrawlFactor = 20;

/// How a backend server behaves.
enum class Mode { Ok, Fail, Crawl, Hang, Silent, Leaving };

Mode parseMode(const std::string &name)
{
    const std::map<std::string, Mode> modes{{"ok", Mode::Ok},     {"fail", Mode::Fail},     {"crawl", Mode::Crawl},
                                            {"hang", Mode::Hang}, {"silent", Mode::Silent}, {"leaving", Mode::Leaving}};
    const auto it = modes.find(name);
    return it == modes.end() ? Mode::Ok : it->second;
}

/// Starts of every task of every submission, over all backend servers of this process.
struct StartLog
{
    std::map<std::string, std::map<std::string, std::uint32_t>> bySubmission;
    std::map<std::string, std::uint32_t> byEcho;
    std::uint64_t total = 0;
    std::uint64_t doubled = 0;
    std::uint64_t aborted = 0;
    std::uint64_t afterLeaving = 0;
    std::uint64_t finished = 0;
    std::uint64_t slotMicros = 0;

    void add(const std::string &submission, const std::string &task)
    {
        std::uint32_t &n = bySubmission[submission][task];
        ++n;
        ++total;
        doubled += n > 1 ? 1 : 0;
    }
};

/// What a payload asks for.
struct Work
{
    std::uint64_t runMs = 0;
    std::string echo;
    bool fail = false;
};

Work readWork(const std::string &payload)
{
    Work work;
    json::error_code ec;
    const json::value value = json::parse(payload, ec);
    if (ec || !value.is_object()) {
        work.echo = payload;
        return work;
    }
    const json::object &object = value.get_object();
    if (const json::value *ms = object.if_contains("run_ms"); ms != nullptr && ms->is_int64() && ms->get_int64() >= 0) {
        work.runMs = static_cast<std::uint64_t>(ms->get_int64());
    }
    if (const json::value *echo = object.if_contains("echo"); echo != nullptr && echo->is_string()) {
        work.echo = std::string(echo->get_string());
    }
    work.fail = object.contains("fail");
    return work;
}

/// One backend server.
class Backend
{
public:
    Backend(asio::io_context &context, const Endpoint &agent, StartLog &log)
        : m_context(context)
        , m_agent(agent)
        , m_log(log)
        , m_client(context, 2)
        , m_timer(context)
        , m_server(context, Endpoint{0x7f000001, 0}, cuminscale::HttpLimits(),
                   [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) { run(request, exchange); })
    {
        announce();
    }

    void setMode(Mode mode)
    {
        m_mode = mode;
        if (mode == Mode::Leaving) {
            m_leavingSince = std::chrono::steady_clock::now();
            m_timer.cancel();
            announce();
        }
    }

private:
    void announce()
    {
        if (m_mode != Mode::Silent) {
            HttpRequest request;
            request.method = "POST";
            request.target = "/v1/backend";
            request.body = json::serialize(json::object{{"service", FLAGS_service},
                                                        {"address", cuminscale::toString(m_server.endpoint())},
                                                        {"slots", FLAGS_slots},
                                                        {"connections", FLAGS_connections},
                                                        {"leaving", m_mode == Mode::Leaving}});
            m_client.send(m_agent, std::move(request), CallTimeout, [](cuminscale::HttpOutcome &&) {});
        }
        m_timer.expires_after(AnnounceEvery);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (!ec) {
                announce();
            }
        });
    }

    void run(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
        m_log.add(request.header("Cuminscale-Submission"), request.header("Cuminscale-Task"));
        constexpr std::chrono::seconds LeavingLimit(3);
        if (m_mode == Mode::Leaving && started - m_leavingSince > LeavingLimit) {
            ++m_log.afterLeaving;
        }
        const Work work = readWork(request.body);
        ++m_log.byEcho[work.echo];
        if (m_mode == Mode::Hang) {
            m_hung.push_back(exchange);
            return;
        }

        const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context);
        const bool fails = work.fail || m_mode == Mode::Fail;
        const std::uint64_t factor = m_mode == Mode::Crawl ? CrawlFactor : 1;
        exchange->onGone = [this, timer]() {
            ++m_log.aborted;
            timer->cancel();
        };
        const std::uint64_t runMs = m_mode == Mode::Fail ? 0 : work.runMs * factor;
        if (runMs == 0) {
            answer(exchange, work.echo, fails, started);
            return;
        }
        timer->expires_after(std::chrono::milliseconds(runMs));
        timer->async_wait([this, timer, exchange, echo = work.echo, fails, started](boost::system::error_code ec) {
            if (!ec) {
                answer(exchange, echo, fails, started);
            }
        });
    }

    void answer(const std::shared_ptr<HttpExchange> &exchange, const std::string &echo, bool fails,
                std::chrono::steady_clock::time_point started)
    {
        const Duration took = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - started);
        m_log.slotMicros += static_cast<std::uint64_t>(took.count());
        ++m_log.finished;
        HttpResponse response;
        response.status = fails ? 500 : 200;
        response.contentType = "text/plain";
        response.body = FLAGS_report_time ? echo + " " + std::to_string(std::max<std::int64_t>(took.count(), 1)) : echo;
        exchange->respond(std::move(response));
    }

    asio::io_context &m_context;
    Endpoint m_agent;
    StartLog &m_log;
    cuminscale::HttpClient m_client;
    asio::steady_timer m_timer;
    Mode m_mode = Mode::Ok;
    std::chrono::steady_clock::time_point m_leavingSince;
    std::vector<std::shared_ptr<HttpExchange>> m_hung;
    cuminscale::HttpServer m_server;
};

/// Where tests look at the starts and set faults: GET /starts[?submission], POST /mode/{index}/{name}.
HttpResponse control(const HttpRequest &request, const StartLog &log, std::vector<std::unique_ptr<Backend>> &backends)
{
    HttpResponse response;
    const std::string starts = "/starts";
    const std::string setMode = "/mode/";
    if (request.target == "/echoes") {
        json::object body;
        for (const std::pair<const std::string, std::uint32_t> &echo : log.byEcho) {
            body[echo.first] = echo.second;
        }
        response.body = json::serialize(body) + "\n";
        return response;
    }
    if (request.target.rfind(starts, 0) == 0) {
        json::object body{{"total", log.total},
                          {"doubled", log.doubled},
                          {"aborted", log.aborted},
                          {"finished", log.finished},
                          {"slot_us", log.slotMicros},
                          {"after_leaving", log.afterLeaving},
                          {"submissions", log.bySubmission.size()}};
        const std::size_t mark = request.target.find('?');
        if (mark != std::string::npos) {
            json::object tasks;
            const auto it = log.bySubmission.find(request.target.substr(mark + 1));
            if (it != log.bySubmission.end()) {
                for (const std::pair<const std::string, std::uint32_t> &task : it->second) {
                    tasks[task.first] = task.second;
                }
            }
            body["tasks"] = std::move(tasks);
        }
        response.body = json::serialize(body) + "\n";
        return response;
    }
    if (request.target.rfind(setMode, 0) == 0) {
        std::istringstream rest(request.target.substr(setMode.size()));
        std::size_t index = 0;
        char slash = 0;
        std::string name;
        rest >> index >> slash >> name;
        if (index < backends.size()) {
            backends[index]->setMode(parseMode(name));
            response.body = "{}\n";
            return response;
        }
    }
    response.status = 404;
    return response;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stands in for backend servers: cuminscale-backend-standin --agents IP:PORT,...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    StartLog log;
    std::vector<std::unique_ptr<Backend>> backends;
    std::istringstream agents(FLAGS_agents);
    for (std::string agent; std::getline(agents, agent, ',');) {
        const std::optional<Endpoint> endpoint = cuminscale::parseEndpoint(agent);
        if (!endpoint) {
            std::cerr << "backend-standin: '" << agent << "' is not an address\n";
            return 2;
        }
        backends.push_back(std::make_unique<Backend>(context, *endpoint, log));
    }
    cuminscale::HttpServer door(context, cuminscale::parseEndpoint(FLAGS_control).value_or(Endpoint{0x7f000001, 0}),
                                cuminscale::HttpLimits(),
                                [&](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                    exchange->respond(control(request, log, backends));
                                });
    std::cout << "{\"control\":\"" << cuminscale::toString(door.endpoint()) << "\"}" << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
