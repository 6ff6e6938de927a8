/// Simulates backend servers for tests: each announces itself to its agent, takes as long for a task as the payload says, and
/// counts how often each task is started. One process simulates one backend server for each agent it is given.
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

DEFINE_string(agents, "",
              "Operator addresses of the agents (IP:PORT), comma separated; one backend server is simulated for each.");
DEFINE_string(service, "pairing", "Service that the backend servers announce.");
DEFINE_int32(slots, 8, "Slots of each backend server.");
DEFINE_int32(connections, 64, "Connections of each backend server.");
DEFINE_bool(report_time, false, "Append the run time of a task, in microseconds, to its response.");
DEFINE_string(control, "127.0.0.1:0", "Listen address (IP:PORT) on which tests read the counters and set faults.");

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

constexpr Duration AnnounceInterval = milliseconds(400);
constexpr Duration AnnounceTimeout = milliseconds(500);
constexpr int SlowdownFactor = 20;

/// Behaviour of a backend server, set over the control address.
enum class Mode {
    Ok,
    Fail, ///< Answers every task with status 500 at once.
    Slow, ///< Takes SlowdownFactor times as long as the payload says; called "crawl" on the control address.
    Hang, ///< Accepts tasks and never answers.
    Silent, ///< Runs tasks but sends no announcements.
    Leaving ///< Announces that it is leaving; still runs what it is sent.
};

Mode parseMode(const std::string &name)
{
    const std::map<std::string, Mode> modes{{"ok", Mode::Ok},     {"fail", Mode::Fail},     {"crawl", Mode::Slow},
                                            {"hang", Mode::Hang}, {"silent", Mode::Silent}, {"leaving", Mode::Leaving}};
    const auto it = modes.find(name);
    return it == modes.end() ? Mode::Ok : it->second;
}

/// Counters of all backend servers of this process.
struct Counters
{
    std::map<std::string, std::map<std::string, std::uint32_t>> startsByTask; ///< By submission id, then by task index.
    std::map<std::string, std::uint32_t> startsByEcho; ///< By the echo text of the payload.
    std::uint64_t starts = 0;
    std::uint64_t duplicateStarts = 0; ///< Starts of a task after its first one.
    std::uint64_t aborted = 0; ///< Tasks whose connection was closed before the response.
    std::uint64_t startsAfterLeaving = 0; ///< Starts later than LeavingGracePeriod after the backend server began to leave.
    std::uint64_t finished = 0;
    std::uint64_t slotMicros = 0; ///< Sum of the run times of finished tasks.

    void recordStart(const std::string &submission, const std::string &task)
    {
        std::uint32_t &n = startsByTask[submission][task];
        ++n;
        ++starts;
        duplicateStarts += n > 1 ? 1 : 0;
    }
};

/// Fields of a task's payload.
struct TaskPayload
{
    std::uint64_t runMs = 0;
    std::string echo; ///< Returned in the response.
    bool fail = false;
};

/// Parses a payload. One that is not a JSON object is echoed as it is.
TaskPayload parsePayload(const std::string &payload)
{
    TaskPayload fields;
    json::error_code ec;
    const json::value value = json::parse(payload, ec);
    if (ec || !value.is_object()) {
        fields.echo = payload;
        return fields;
    }
    const json::object &object = value.get_object();
    if (const json::value *ms = object.if_contains("run_ms"); ms != nullptr && ms->is_int64() && ms->get_int64() >= 0) {
        fields.runMs = static_cast<std::uint64_t>(ms->get_int64());
    }
    if (const json::value *echo = object.if_contains("echo"); echo != nullptr && echo->is_string()) {
        fields.echo = std::string(echo->get_string());
    }
    fields.fail = object.contains("fail");
    return fields;
}

/// One simulated backend server.
class BackendServer
{
public:
    BackendServer(asio::io_context &context, const Endpoint &agent, Counters &counters)
        : m_context(context)
        , m_agent(agent)
        , m_counters(counters)
        , m_client(context, 2)
        , m_announceTimer(context)
        , m_httpServer(context, Endpoint{0x7f000001, 0}, cuminscale::HttpLimits(),
                       [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) { run(request, exchange); })
    {
        announce();
    }

    void setMode(Mode mode)
    {
        m_mode = mode;
        if (mode == Mode::Leaving) {
            m_leavingSince = std::chrono::steady_clock::now();
            m_announceTimer.cancel();
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
                                                        {"address", cuminscale::toString(m_httpServer.endpoint())},
                                                        {"slots", FLAGS_slots},
                                                        {"connections", FLAGS_connections},
                                                        {"leaving", m_mode == Mode::Leaving}});
            m_client.send(m_agent, std::move(request), AnnounceTimeout, [](cuminscale::HttpOutcome &&) {});
        }
        m_announceTimer.expires_after(AnnounceInterval);
        m_announceTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec) {
                announce();
            }
        });
    }

    void run(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
        m_counters.recordStart(request.header("Cuminscale-Submission"), request.header("Cuminscale-Task"));
        constexpr std::chrono::seconds LeavingGracePeriod(3);
        if (m_mode == Mode::Leaving && started - m_leavingSince > LeavingGracePeriod) {
            ++m_counters.startsAfterLeaving;
        }
        const TaskPayload taskPayload = parsePayload(request.body);
        ++m_counters.startsByEcho[taskPayload.echo];
        if (m_mode == Mode::Hang) {
            m_hungExchanges.push_back(exchange);
            return;
        }

        const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context);
        const bool fails = taskPayload.fail || m_mode == Mode::Fail;
        const std::uint64_t factor = m_mode == Mode::Slow ? SlowdownFactor : 1;
        exchange->onDisconnected = [this, timer]() {
            ++m_counters.aborted;
            timer->cancel();
        };
        const std::uint64_t runMs = m_mode == Mode::Fail ? 0 : taskPayload.runMs * factor;
        if (runMs == 0) {
            sendResponse(exchange, taskPayload.echo, fails, started);
            return;
        }
        timer->expires_after(std::chrono::milliseconds(runMs));
        timer->async_wait([this, timer, exchange, echo = taskPayload.echo, fails, started](boost::system::error_code ec) {
            if (!ec) {
                sendResponse(exchange, echo, fails, started);
            }
        });
    }

    void sendResponse(const std::shared_ptr<HttpExchange> &exchange, const std::string &echo, bool fails,
                      std::chrono::steady_clock::time_point started)
    {
        const Duration elapsed = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - started);
        m_counters.slotMicros += static_cast<std::uint64_t>(elapsed.count());
        ++m_counters.finished;
        HttpResponse response;
        response.status = fails ? 500 : 200;
        response.contentType = "text/plain";
        response.body = FLAGS_report_time ? echo + " " + std::to_string(std::max<std::int64_t>(elapsed.count(), 1)) : echo;
        exchange->respond(std::move(response));
    }

    asio::io_context &m_context;
    Endpoint m_agent;
    Counters &m_counters;
    cuminscale::HttpClient m_client;
    asio::steady_timer m_announceTimer;
    Mode m_mode = Mode::Ok;
    std::chrono::steady_clock::time_point m_leavingSince;
    std::vector<std::shared_ptr<HttpExchange>> m_hungExchanges; ///< Kept so that their connections stay open.
    cuminscale::HttpServer m_httpServer;
};

/// Serves the control address:
///  - GET /starts[?submission]: the counters, and with a submission id the starts of each of its tasks;
///  - GET /echoes: the starts for each echo;
///  - POST /mode/{index}/{name}: sets the mode of one backend server; an unknown name sets "ok".
HttpResponse handleControlRequest(const HttpRequest &request, const Counters &counters,
                                  std::vector<std::unique_ptr<BackendServer>> &servers)
{
    HttpResponse response;
    const std::string startsPath = "/starts";
    const std::string modePath = "/mode/";
    if (request.target == "/echoes") {
        json::object body;
        for (const std::pair<const std::string, std::uint32_t> &echo : counters.startsByEcho) {
            body[echo.first] = echo.second;
        }
        response.body = json::serialize(body) + "\n";
        return response;
    }
    if (request.target.rfind(startsPath, 0) == 0) {
        json::object body{{"total", counters.starts},
                          {"doubled", counters.duplicateStarts},
                          {"aborted", counters.aborted},
                          {"finished", counters.finished},
                          {"slot_us", counters.slotMicros},
                          {"after_leaving", counters.startsAfterLeaving},
                          {"submissions", counters.startsByTask.size()}};
        const std::size_t queryMark = request.target.find('?');
        if (queryMark != std::string::npos) {
            json::object tasks;
            const auto it = counters.startsByTask.find(request.target.substr(queryMark + 1));
            if (it != counters.startsByTask.end()) {
                for (const std::pair<const std::string, std::uint32_t> &task : it->second) {
                    tasks[task.first] = task.second;
                }
            }
            body["tasks"] = std::move(tasks);
        }
        response.body = json::serialize(body) + "\n";
        return response;
    }
    if (request.target.rfind(modePath, 0) == 0) {
        std::istringstream rest(request.target.substr(modePath.size()));
        std::size_t index = 0;
        char slash = 0;
        std::string name;
        rest >> index >> slash >> name;
        if (index < servers.size()) {
            servers[index]->setMode(parseMode(name));
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
    gflags::SetUsageMessage("simulates backend servers for tests: cuminscale-backend-standin --agents IP:PORT,...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    Counters counters;
    std::vector<std::unique_ptr<BackendServer>> servers;
    std::istringstream agents(FLAGS_agents);
    for (std::string agent; std::getline(agents, agent, ',');) {
        const std::optional<Endpoint> endpoint = cuminscale::parseEndpoint(agent);
        if (!endpoint) {
            std::cerr << "backend-standin: '" << agent << "' in --agents is not an IPv4 address and port (IP:PORT)\n";
            return 2;
        }
        servers.push_back(std::make_unique<BackendServer>(context, *endpoint, counters));
    }
    cuminscale::HttpServer controlServer(context, cuminscale::parseEndpoint(FLAGS_control).value_or(Endpoint{0x7f000001, 0}),
                                         cuminscale::HttpLimits(),
                                         [&](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                             exchange->respond(handleControlRequest(request, counters, servers));
                                         });
    std::cout << "{\"control\":\"" << cuminscale::toString(controlServer.endpoint()) << "\"}" << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
