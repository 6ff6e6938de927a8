#include "adapters/base64.h"
#include "adapters/http_server.h"
#include "platform/client_gateway.h"
#include "platform/config_document.h"
#include "platform/server_gateway.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace cuminscale;
using namespace cuminscale::platform;

namespace
{

const std::string Config = R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","prefix":"/jobs/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,
   "priority":2,"service":"svc","max_attempts":4,"slack_factor":1.6},
  {"name":"r-2","host":"a.example","prefix":"/jobs/special/","service":"svc"}],
  "services":[],"limits":{"max_header_bytes":9000,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

constexpr std::uint32_t Loopback = 0x7F000001;

TimePoint testNow()
{
    return TimePoint(seconds(100));
}

class NoLinks : public dispatch::LinkPort
{
public:
    void send(const Endpoint &, const dispatch::Envelope &) override { }
    void replaceConnection(const Endpoint &) override { }
    void forgetConnection(const Endpoint &) override { }
};

class LogLines : public dispatch::DecisionLog
{
public:
    void write(LogLevel, const char *event, const std::string &fields) override
    {
        lines.push_back(std::string(event) + " " + fields);
    }

    std::vector<std::string> lines;
};

class RecordedExchange : public HttpExchange
{
public:
    void respond(HttpResponse response) override
    {
        responses.push_back(std::move(response));
    }

    std::vector<HttpResponse> responses;
};

/// An entry without agents, behind the clients' gateway.
struct LoneEntry
{
    LoneEntry()
        : gateway(testNow)
        , entry(dispatch::EntrySettings{ProcessId{Endpoint{Loopback, 1}, Incarnation(1)}, "d"}, links, gateway, log, testNow())
    {
        gateway.setDispatch(entry);
    }

    unsigned ask(const std::string &method, const std::string &target, const std::string &body = "")
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = body;
        request.headers.emplace_back("Host", "a.example:80");
        const std::shared_ptr<RecordedExchange> exchange = std::make_shared<RecordedExchange>();
        gateway.handle(std::move(request), exchange);
        last = exchange;
        return exchange->responses.empty() ? 0 : exchange->responses.front().status;
    }

    void configure()
    {
        std::string reason;
        gateway.setConfig(parseConfig(Config, reason));
    }

    NoLinks links;
    LogLines log;
    ClientGateway gateway;
    dispatch::EntryDispatch entry;
    std::shared_ptr<RecordedExchange> last;
};

/// A stand-in of the store: one document, watches answered by hand, faults on demand.
class StoreStandIn
{
public:
    explicit StoreStandIn(boost::asio::io_context &context)
        : m_server(context, Endpoint{Loopback, 0}, HttpLimits(),
                   [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) { handle(request, exchange); })
    { }

    Endpoint endpoint() const
    {
        return m_server.endpoint();
    }

    /// Writes the document and tells whoever waits.
    void write(const std::string &document)
    {
        ++revision;
        config = document;
        for (const std::shared_ptr<HttpExchange> &watch : m_watches) {
            respond(watch, 200, R"({"events":[)" + item() + R"(],"store_revision":)" + std::to_string(revision) + "}");
        }
        m_watches.clear();
    }

    std::string config;
    int revision = 10;
    int watches = 0;
    int writes = 0;
    int leases = 0;
    bool down = false;
    bool historyGone = false;
    bool keyTaken = false;

private:
    static void respond(const std::shared_ptr<HttpExchange> &exchange, unsigned status, const std::string &body)
    {
        HttpResponse response;
        response.status = status;
        response.body = body;
        exchange->respond(std::move(response));
    }

    std::string item() const
    {
        return R"({"key":"op/config","value":")" + encodeBase64(config) + R"(","revision":)" + std::to_string(revision)
            + R"(,"created":1,"lease":0)";
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string at = R"("store_revision":)" + std::to_string(revision) + "}";
        if (down) {
            respond(exchange, 503, "{}");
        } else if (path == "/kv-key") {
            respond(exchange, config.empty() ? 404 : 200, config.empty() ? "{" + at : item() + "," + at);
        } else if (path == "/kv-watch") {
            ++watches;
            if (historyGone) {
                historyGone = false;
                respond(exchange, 410, "{}");
            } else {
                m_watches.push_back(exchange);
            }
        } else if (path == "/kv-lease") {
            ++leases;
            respond(exchange, 200, R"({"lease":5,"ttl_ms":6000})");
        } else if (path == "/kv-txn") {
            ++writes;
            const boost::json::value body = boost::json::parse(request.body);
            m_entry = body.at("set_keys").at(0).at("value").as_string().c_str();
            respond(exchange, 200, R"({"revision":11})");
        } else if (path == "/kv-range") {
            const std::string row = keyTaken ? "" : R"({"key":"cuminscale/entries/n","value":")" + m_entry + "\"}";
            respond(exchange, 200, R"({"items":[)" + row + R"(],"has_more":false,)" + at);
        } else {
            respond(exchange, 200, R"({"ttl_ms":6000})");
        }
    }

    std::vector<std::shared_ptr<HttpExchange>> m_watches;
    std::string m_entry;
    HttpServer m_server;
};

/// Runs the context until a condition holds; gives up after a number of steps, each of which waits for an event at most briefly.
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000 && !condition(); ++i) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace

TEST_CASE("The configuration is decoded into queues with the project's names")
{
    std::string reason;
    const std::shared_ptr<const dispatch::QueueConfig> config = parseConfig(Config, reason);
    REQUIRE(config);
    REQUIRE(config->version == 7);
    REQUIRE(config->limits.maxBodyBytes == 1000);
    const std::shared_ptr<const dispatch::QueueRule> queue = config->match("a.example", "/jobs/0123456789abcdef");
    REQUIRE(queue);
    REQUIRE(queue->name == "r-1");
    REQUIRE(queue->maxAttempts == 4);
    REQUIRE(queue->latencyObjective == milliseconds(60));
    REQUIRE(config->match("a.example", "/jobs/special/x")->name == "r-2");
    REQUIRE_FALSE(config->match("b.example", "/jobs/x"));
    REQUIRE_FALSE(config->match("a.example", "/other"));
}

TEST_CASE("What is no configuration is refused with a reason")
{
    for (const char *text : {"", "[]", "{}", R"({"version":0,"routes":[]})", R"({"version":1})",
                             R"({"version":1,"routes":[{"host":"a"}]})", R"({"version":"1","routes":[]})"}) {
        std::string reason;
        REQUIRE_FALSE(parseConfig(text, reason));
        REQUIRE_FALSE(reason.empty());
    }
}

TEST_CASE("A submitted job is read, and what is not built is refused with 503")
{
    const std::variant<dispatch::JobSpec, JobError> read = parseJob(
        R"({"spec":"s","best_effort":true,"steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":90,"constraints":"k"},
            {"count":1,"after":[0]}]})");
    const dispatch::JobSpec &spec = std::get<dispatch::JobSpec>(read);
    REQUIRE(spec.steps.size() == 2);
    REQUIRE(spec.steps[0].need.cpuMilli == 500);
    REQUIRE(spec.steps[0].requiredLabel == "k");
    REQUIRE(spec.steps[1].after == std::vector<std::uint32_t>{0});
    const std::pair<const char *, unsigned> wrong[] = {
        {"no json", 400},
        {R"({"spec":"s","best_effort":true})", 400},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":0}]})", 400},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":1,"after":[0]}]})", 400},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":2001}]})", 400},
        {R"({"spec":"s","steps":[{"count":1}]})", 503},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":1,"gang":true}]})", 503},
        {R"({"spec":"s","best_effort":true,"repeat_count":2,"steps":[{"count":1}]})", 503},
    };
    for (const std::pair<const char *, unsigned> &row : wrong) {
        INFO(row.first);
        REQUIRE(std::get<JobError>(parseJob(row.first)).status == row.second);
    }
}

TEST_CASE("Clients get a clear answer to each wrong call")
{
    LoneEntry lone;
    const std::string id = "0123456789abcdef";
    const std::string job = R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":10,"estimate_ms":5}]})";
    REQUIRE(lone.ask("POST", "/jobs/" + id, job) == 503);
    lone.configure();
    REQUIRE(lone.ask("POST", "/nowhere/" + id, job) == 404);
    REQUIRE(lone.ask("POST", "/jobs/short", job) == 400);
    REQUIRE(lone.ask("POST", "/jobs/" + id, "{") == 400);
    REQUIRE(lone.ask("PUT", "/jobs/" + id, job) == 405);
    REQUIRE(lone.ask("POST", "/jobs/", job) == 405);
    REQUIRE(lone.ask("GET", "/jobs/" + id) == 410);
    REQUIRE(lone.ask("DELETE", "/jobs/" + id) == 410);
    REQUIRE(lone.ask("GET", "/jobs/") == 200);
    REQUIRE(lone.last->responses.front().body == R"({"pending":0})");
    // No agent is known: turned away at once, with a time to come back.
    REQUIRE(lone.ask("POST", "/jobs/" + id, job) == 503);
    REQUIRE(lone.last->responses.front().header("Retry-After") == "1");
}

TEST_CASE("An announcement with a missing or mistyped field names no server")
{
    const std::string good = R"({"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",
        "cold_ms":0,"capacity":{"cpu":16000,"mem_mb":1000,"gpu":0},"labels":["a","r1"],"clock_ms":5,"seq":4,"born":77})";
    const std::optional<dispatch::ServerAnnouncement> read = parseAnnouncement("i-1", good);
    REQUIRE(read);
    REQUIRE(read->life.bornMs == 77);
    REQUIRE(read->capacity.cpuMilli == 16000);
    REQUIRE(read->labels.size() == 2);
    for (const char *field : {"service", "state", "seq", "clock_ms", "capacity"}) {
        boost::json::object missing = boost::json::parse(good).as_object();
        missing.erase(field);
        REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(missing)));
        boost::json::object mistyped = boost::json::parse(good).as_object();
        mistyped[field] = boost::json::array{1};
        REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(mistyped)));
    }
    boost::json::object strange = boost::json::parse(good).as_object();
    strange["state"] = "gone";
    REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(strange)));
    strange["state"] = "ready";
    strange["born"] = "77";
    REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(strange)));
    REQUIRE_FALSE(parseAnnouncement("i-1", "\xff\x00"));
}

TEST_CASE("A listing is read whole or not at all")
{
    const std::optional<dispatch::Inventory> read = parseInventory(
        R"({"clock_ms":9,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
    REQUIRE(read);
    REQUIRE(read->running.size() == 1);
    REQUIRE(read->running[0].run.task.index == 17);
    REQUIRE(read->ended[0].number == 58);
    REQUIRE(read->ended[0].end == dispatch::RunEnd::Done);
    REQUIRE_FALSE(parseInventory(R"({"clock_ms":9,"running":[["x",2]],"finished":[]})"));
    REQUIRE_FALSE(parseInventory(R"({"clock_ms":9,"running":[],"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"odd",""]]})"));
    REQUIRE_FALSE(parseInventory(R"({"running":[]})"));
}

TEST_CASE("Damaged input never makes a decoder fail")
{
    std::mt19937_64 random(7);
    const std::string samples[] = {Config,
                                   R"({"service":"s","state":"ready","seq":1,"clock_ms":1,"capacity":{"cpu":1,"mem_mb":1}})",
                                   R"({"clock_ms":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"finished":[]})"};
    for (int i = 0; i < 6000; ++i) {
        std::string text = samples[static_cast<std::size_t>(i) % 3];
        for (int k = 0; k < 3; ++k) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        std::string reason;
        static_cast<void>(parseConfig(text, reason));
        static_cast<void>(parseAnnouncement("i", text));
        static_cast<void>(parseInventory(text));
        static_cast<void>(parseJob(text));
    }
}

TEST_CASE("The store client follows the document through a lost history and an outage")
{
    boost::asio::io_context context;
    StoreStandIn store(context);
    store.config = "one";
    LogLines log;
    std::vector<std::string> seen;
    StoreClient::Handlers handlers;
    handlers.onConfigDocument = [&seen](const std::string &document) {
        seen.push_back(document);
    };
    handlers.onEntries = [](const std::vector<Endpoint> &) {
    };
    StoreClient client(context, store.endpoint(), log, handlers);
    client.followConfig();
    REQUIRE(runUntil(context, [&]() { return store.watches == 1; }));
    REQUIRE(seen == std::vector<std::string>{"one"});
    store.historyGone = true;
    store.write("two");
    REQUIRE(runUntil(context, [&]() { return !seen.empty() && seen.back() == "two"; }));
    REQUIRE(runUntil(context, [&]() { return store.watches >= 3; }));
    store.down = true;
    store.write("three");
    REQUIRE(runUntil(context, [&]() { return client.failures() >= 2; }));
    store.down = false;
    store.config = "four";
    REQUIRE(runUntil(context, [&]() { return seen.back() == "four"; }));
    const std::string all = boost::json::serialize(boost::json::value_from(log.lines));
    REQUIRE(all.find("store-lost") != std::string::npos);
    REQUIRE(all.find("store-regained") != std::string::npos);
}

TEST_CASE("An entry registers again when its key has been taken away though its lease is renewed")
{
    boost::asio::io_context context;
    StoreStandIn store(context);
    LogLines log;
    std::vector<Endpoint> entries;
    StoreClient::Handlers handlers;
    handlers.onConfigDocument = [](const std::string &) {
    };
    handlers.onEntries = [&entries](const std::vector<Endpoint> &listed) {
        entries = listed;
    };
    StoreClient client(context, store.endpoint(), log, handlers);
    client.registerEntry("n", Endpoint{Loopback, 77});
    REQUIRE(runUntil(context, [&]() { return store.writes == 1; }));
    client.listEntries();
    REQUIRE(runUntil(context, [&]() { return entries == std::vector<Endpoint>{Endpoint{Loopback, 77}}; }));
    store.keyTaken = true;
    client.listEntries();
    REQUIRE(runUntil(context, [&]() { return store.writes == 2; }));
}
