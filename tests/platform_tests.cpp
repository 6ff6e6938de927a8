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

TimePoint fixedNow()
{
    return TimePoint(seconds(100));
}

class NullLinkPort : public dispatch::LinkPort
{
public:
    void send(const Endpoint &, const dispatch::Envelope &) override { }
    void replaceConnection(const Endpoint &) override { }
    void forgetConnection(const Endpoint &) override { }
};

class RecordingLog : public dispatch::DecisionLog
{
public:
    void write(LogLevel, const char *event, const std::string &fields) override
    {
        lines.push_back(std::string(event) + " " + fields);
    }

    std::vector<std::string> lines;
};

class RecordingExchange : public HttpExchange
{
public:
    void respond(HttpResponse response) override
    {
        responses.push_back(std::move(response));
    }

    std::vector<HttpResponse> responses;
};

/// An entry that knows no agents, with a ClientGateway that passes requests to it.
struct EntryWithoutAgents
{
    EntryWithoutAgents()
        : gateway(fixedNow)
        , entry(dispatch::EntrySettings{ProcessId{Endpoint{Loopback, 1}, Incarnation(1)}, "d"}, links, gateway, log, fixedNow())
    {
        gateway.setDispatch(entry);
    }

    unsigned sendRequest(const std::string &method, const std::string &target, const std::string &body = "",
                         bool connectionEnded = false)
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = body;
        request.connectionEnded = connectionEnded;
        request.headers.emplace_back("Host", "a.example:80");
        const std::shared_ptr<RecordingExchange> exchange = std::make_shared<RecordingExchange>();
        gateway.handle(std::move(request), exchange, TimePoint(seconds(100)));
        lastExchange = exchange;
        return exchange->responses.empty() ? 0 : exchange->responses.front().status;
    }

    void configure()
    {
        std::string reason;
        gateway.setConfig(parseConfig(Config, reason));
    }

    NullLinkPort links;
    RecordingLog log;
    ClientGateway gateway;
    dispatch::EntryDispatch entry;
    std::shared_ptr<RecordingExchange> lastExchange;
};

/// A fake key-value store. It holds one document and one entry registration, answers open watches in write(), and simulates the
/// faults that are enabled.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &context)
        : m_server(context, Endpoint{Loopback, 0}, HttpLimits(),
                   [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) { handle(request, exchange); })
    { }

    Endpoint endpoint() const
    {
        return m_server.endpoint();
    }

    /// Writes the document and answers the open watches.
    void write(const std::string &document)
    {
        ++revision;
        config = document;
        for (const std::shared_ptr<HttpExchange> &watch : m_openWatches) {
            respond(watch, 200, changeEvent());
        }
        m_openWatches.clear();
    }

    std::size_t openWatches() const
    {
        return m_openWatches.size();
    }

    std::string config;
    std::string rawConfigValue; ///< Unless empty, the JSON text of the document's value.
    int revision = 10;
    int watchCount = 0;
    int writeCount = 0;
    std::string agentListValue; ///< Of the entry "n", as written last.
    int agentListWrites = 0;
    int agentListReads = 0;
    std::string agentListItems; ///< Items under fleet/agents/.
    std::set<std::int64_t> leasesUsed;
    int leaseCount = 0;
    int endedLeases = 0;
    bool unavailable = false; ///< Every request is answered with 503.
    bool historyLost = false; ///< The next watch is answered with 410.
    bool entryKeyMissing = false; ///< Listings omit the entry's key.
    std::string oddElement; ///< JSON text that precedes the entry's item in listings, and the document in events.
    std::string watchAnswer; ///< Unless empty, all watches are answered at once with this body.

private:
    static void respond(const std::shared_ptr<HttpExchange> &exchange, unsigned status, const std::string &body)
    {
        HttpResponse response;
        response.status = status;
        response.body = body;
        exchange->respond(std::move(response));
    }

    std::string serializeConfigItem() const
    {
        const std::string value = rawConfigValue.empty() ? "\"" + encodeBase64(config) + "\"" : rawConfigValue;
        return R"({"key":"op/config","value":)" + value + R"(,"revision":)" + std::to_string(revision)
            + R"(,"created":1,"lease":0)";
    }

    std::string changeEvent() const
    {
        return R"({"events":[)" + oddElement + (oddElement.empty() ? "" : ",") + serializeConfigItem() + R"(}],"store_revision":)"
            + std::to_string(revision) + "}";
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string revisionField = R"("store_revision":)" + std::to_string(revision) + "}";
        if (unavailable) {
            respond(exchange, 503, "{}");
        } else if (path == "/kv-key") {
            respond(exchange, config.empty() ? 404 : 200,
                    config.empty() ? "{" + revisionField : serializeConfigItem() + "," + revisionField);
        } else if (path == "/kv-watch") {
            ++watchCount;
            if (historyLost) {
                historyLost = false;
                respond(exchange, 410, "{}");
            } else if (!watchAnswer.empty()) {
                respond(exchange, 200, watchAnswer);
            } else if (request.target.find("&after=" + std::to_string(revision) + "&") == std::string::npos) {
                respond(exchange, 200, changeEvent());
            } else {
                m_openWatches.push_back(exchange);
            }
        } else if (path == "/kv-lease") {
            ++leaseCount;
            respond(exchange, 200, R"({"lease":5,"ttl_ms":6000})");
        } else if (path == "/kv-lease-end/5") {
            ++endedLeases;
            respond(exchange, 200, "{}");
        } else if (path == "/kv-txn") {
            ++writeCount;
            const boost::json::value body = boost::json::parse(request.body);
            for (const boost::json::value &item : body.at("set_keys").as_array()) {
                const bool isAgentList = item.at("key").as_string() == "fleet/agents/n";
                (isAgentList ? agentListValue : m_entryValue) = item.at("value").as_string().c_str();
                agentListWrites += isAgentList ? 1 : 0;
                leasesUsed.insert(item.at("lease").as_int64());
            }
            respond(exchange, 200, R"({"revision":11})");
        } else if (path == "/kv-range" && request.target.find("fleet/agents/") != std::string::npos) {
            ++agentListReads;
            respond(exchange, 200, R"({"items":[)" + agentListItems + R"(],"has_more":false,)" + revisionField);
        } else if (path == "/kv-range") {
            const std::string entryItem =
                entryKeyMissing ? "" : R"({"key":"cuminscale/entries/n","value":")" + m_entryValue + "\"}";
            const std::string separator = oddElement.empty() || entryItem.empty() ? "" : ",";
            respond(exchange, 200,
                    R"({"items":[)" + oddElement + separator + entryItem + R"(],"has_more":false,)" + revisionField);
        } else {
            respond(exchange, 200, R"({"ttl_ms":6000})");
        }
    }

    std::vector<std::shared_ptr<HttpExchange>> m_openWatches;
    std::string m_entryValue;
    HttpServer m_server;
};

/// A store client that records what it reads.
struct RecordingClient
{
    RecordingClient(boost::asio::io_context &context, const FakeStore &store)
        : client(context, store.endpoint(), log, handlers())
    { }

    StoreClient::Handlers handlers()
    {
        StoreClient::Handlers result;
        result.onConfigDocument = [this](const std::string &document) {
            documents.push_back(document);
        };
        result.onEntries = [this](const std::vector<Endpoint> &listed) {
            entries = listed;
            ++listings;
        };
        return result;
    }

    RecordingLog log;
    std::vector<std::string> documents;
    std::vector<Endpoint> entries;
    int listings = 0;
    StoreClient client;
};

/// Runs the context until a condition holds, for at most 2000 steps, each of which waits up to 20 ms for an event.
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000 && !condition(); ++i) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

constexpr std::size_t LargeBodyBytes = 4U << 20U;

/// Elements that another writer can have left in a list of the store. None names an entry.
std::vector<std::string> oddElements()
{
    std::vector<std::string> elements = {
        "5",
        "null",
        "1e99999999999",
        "[]",
        "{}",
        "\"\xff\"",
        R"({"key":"cuminscale/entries/\ud800","value":"MTI3LjAuMC4xOjc4"})",
        R"({"key":"cuminscale/entries/x"})",
        R"({"key":"cuminscale/entries/x","value":""})",
        R"({"key":"cuminscale/entries/x","value":7})",
        R"({"key":"cuminscale/entries/x","value":"!!!!"})",
        R"({"key":"cuminscale/entries/x","value":"====","revision":1e300})",
        R"({"key":7,"value":[1],"revision":-0.5})",
        R"({"key":"cuminscale/entries/x","value":")" + std::string(200000, 'A') + "\"}",
        R"({"key":")" + std::string(300, 'k') + R"(","value":"QUFBQQ==","revision":123456789012345678901234567890})",
        R"({"key":"cuminscale/entries/x","value":)" + std::string(100000, '[') + std::string(100000, ']') + "}",
    };
    for (const char *address : {"127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:1e300", "127.0.0.1:7.5",
                                "127.0.0.1:", "127.0.0.1:99999999999999999999"}) {
        elements.push_back(R"({"key":"cuminscale/entries/x","value":")" + encodeBase64(address) + "\"}");
    }
    elements.push_back(R"({"key":"cuminscale/entries/x","value":")" + encodeBase64(std::string(100000, '[')) + "\"}");
    return elements;
}

} // namespace

TEST_CASE("Configuration routes are parsed into queue rules")
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

TEST_CASE("Invalid configurations are rejected with a reason")
{
    for (const char *text : {"", "[]", "{}", R"({"version":0,"routes":[]})", R"({"version":1})",
                             R"({"version":1,"routes":[{"host":"a"}]})", R"({"version":"1","routes":[]})"}) {
        std::string reason;
        REQUIRE_FALSE(parseConfig(text, reason));
        REQUIRE_FALSE(reason.empty());
    }
}

// Guards against a malformed list of services that is taken for a list without the services of the queues.
TEST_CASE("The services that a configuration lists are read from names or objects")
{
    const std::vector<std::string> expected{"s", "t"};
    REQUIRE(readServiceNames(R"({"services":["s",{"name":"t","other":1}]})").names == expected);
    for (const char *text : {"", "[]", "{}", R"({"services":[]})"}) {
        REQUIRE_FALSE(readServiceNames(text).names);
        REQUIRE_FALSE(readServiceNames(text).malformed);
    }
    for (const char *text :
         {R"({"services":7})", R"({"services":["s",7]})", R"({"services":[{}]})", R"({"services":[{"name":7}]})"}) {
        REQUIRE_FALSE(readServiceNames(text).names);
        REQUIRE(readServiceNames(text).malformed);
    }
}

TEST_CASE("Negative numbers in a configuration are replaced by the defaults")
{
    std::string reason;
    const std::shared_ptr<const dispatch::QueueConfig> config = parseConfig(
        R"({"version":1,"routes":[{"host":"a","prefix":"/","service":"s","priority":-1,"max_attempts":-2,"timeout_ms":-3}],
            "limits":{"max_header_bytes":-1,"max_body_bytes":-1}})",
        reason);
    REQUIRE(config);
    REQUIRE(config->queues[0]->urgency == dispatch::QueueRule().urgency);
    REQUIRE(config->queues[0]->maxAttempts == 1);
    REQUIRE(config->queues[0]->timeout == Duration(0));
    REQUIRE(config->limits.maxBodyBytes == dispatch::RequestLimits().maxBodyBytes);
    REQUIRE(config->limits.maxHeaderBytes == dispatch::RequestLimits().maxHeaderBytes);
}

TEST_CASE("Submitted jobs are parsed, and unsupported features are rejected with 503")
{
    const std::variant<dispatch::JobSpec, JobError> read = parseJob(
        R"({"spec":"s","best_effort":true,"steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":90,"constraints":"k"},
            {"count":1,"after":[0]}]})");
    const dispatch::JobSpec &spec = std::get<dispatch::JobSpec>(read);
    REQUIRE(spec.steps.size() == 2);
    REQUIRE(spec.steps[0].need.cpuMilli == 500);
    REQUIRE(spec.steps[0].requiredLabel == "k");
    REQUIRE(spec.steps[1].after == std::vector<std::uint32_t>{0});
    const std::pair<const char *, unsigned> invalidJobs[] = {
        {"no json", 400},
        {R"({"spec":"s","best_effort":true})", 400},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":0}]})", 400},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":1,"after":[0]}]})", 400},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":2001}]})", 400},
        {R"({"spec":"s","steps":[{"count":1}]})", 503},
        {R"({"spec":"s","best_effort":true,"steps":[{"count":1,"gang":true}]})", 503},
        {R"({"spec":"s","best_effort":true,"repeat_count":2,"steps":[{"count":1}]})", 503},
    };
    for (const std::pair<const char *, unsigned> &row : invalidJobs) {
        INFO(row.first);
        REQUIRE(std::get<JobError>(parseJob(row.first)).status == row.second);
    }
}

TEST_CASE("Invalid client requests get the status that matches the error")
{
    EntryWithoutAgents fixture;
    const std::string id = "0123456789abcdef";
    const std::string job = R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":10,"estimate_ms":5}]})";
    REQUIRE(fixture.sendRequest("POST", "/jobs/" + id, job) == 503);
    fixture.configure();
    REQUIRE(fixture.sendRequest("POST", "/nowhere/" + id, job) == 404);
    REQUIRE(fixture.sendRequest("POST", "/jobs/short", job) == 400);
    REQUIRE(fixture.sendRequest("POST", "/jobs/" + id, "{") == 400);
    REQUIRE(fixture.sendRequest("PUT", "/jobs/" + id, job) == 405);
    REQUIRE(fixture.sendRequest("POST", "/jobs/", job) == 405);
    REQUIRE(fixture.sendRequest("GET", "/jobs/" + id) == 410);
    REQUIRE(fixture.sendRequest("DELETE", "/jobs/" + id) == 410);
    REQUIRE(fixture.sendRequest("GET", "/jobs/") == 200);
    REQUIRE(fixture.lastExchange->responses.front().body == R"({"pending":0})");
    // It was cancelled above, and status 410 acknowledges that: it must not start any more.
    REQUIRE(fixture.sendRequest("POST", "/jobs/" + id, job) == 200);
    REQUIRE(fixture.lastExchange->responses.front().body == R"({"state":"cancelled"})");
    // No agent is known. The job waits for as long as the entry counts as starting, and is rejected then with a Retry-After
    // header.
    REQUIRE(fixture.sendRequest("POST", "/jobs/0123456789abcdee", job) == 0);
    for (Duration since = milliseconds(15); since < milliseconds(2020); since += milliseconds(15)) {
        REQUIRE(fixture.lastExchange->responses.empty());
        fixture.entry.onTick(fixedNow() + since);
    }
    REQUIRE(fixture.lastExchange->responses.size() == 1);
    REQUIRE(fixture.lastExchange->responses.front().status == 503);
    REQUIRE(fixture.lastExchange->responses.front().header("Retry-After") == "1");
}

TEST_CASE("A job is not submitted if its client has reset the connection and sent the job to another entry")
{
    EntryWithoutAgents fixture;
    fixture.configure();
    const std::string job = R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":10,"estimate_ms":5}]})";
    REQUIRE(fixture.sendRequest("POST", "/jobs/0123456789abcdef", job, true) == 504);
    REQUIRE(fixture.entry.counters().submitted == 0);
    REQUIRE(fixture.entry.counters().abandoned == 1);
    // A cancellation still applies, although nobody reads the answer.
    REQUIRE(fixture.sendRequest("DELETE", "/jobs/0123456789abcdef", "", true) == 410);
}

TEST_CASE("Announcements with a missing or mistyped field are rejected")
{
    const std::string good = R"({"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",
        "cold_ms":0,"capacity":{"cpu":16000,"mem_mb":1000,"gpu":0},"labels":["a","r1"],"clock_ms":5,"seq":4,"born":77})";
    const std::optional<dispatch::ServerAnnouncement> read = parseAnnouncement("i-1", good);
    REQUIRE(read);
    REQUIRE(read->incarnation.startTimeMs == 77);
    REQUIRE(read->capacity.cpuMilli == 16000);
    REQUIRE(read->labels.size() == 2);
    for (const char *field : {"service", "address", "state", "seq", "clock_ms", "capacity"}) {
        boost::json::object missing = boost::json::parse(good).as_object();
        missing.erase(field);
        REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(missing)));
        boost::json::object mistyped = boost::json::parse(good).as_object();
        mistyped[field] = boost::json::array{1};
        REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(mistyped)));
    }
    boost::json::object invalid = boost::json::parse(good).as_object();
    invalid["state"] = "gone";
    REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(invalid)));
    invalid["state"] = "ready";
    invalid["born"] = "77";
    REQUIRE_FALSE(parseAnnouncement("i-1", boost::json::serialize(invalid)));
    REQUIRE_FALSE(parseAnnouncement("i-1", "\xff\x00"));
}

TEST_CASE("Inventories with an invalid item are rejected as a whole")
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

TEST_CASE("A response without a list of runs is no inventory, as its runs would count as lost")
{
    REQUIRE(parseInventory(R"({"clock_ms":9,"running":[],"finished":[]})"));
    REQUIRE_FALSE(parseInventory(R"({"clock_ms":9,"finished":[]})"));
    REQUIRE_FALSE(parseInventory(R"({"clock_ms":9,"running":[]})"));
    REQUIRE_FALSE(parseInventory(R"({"clock_ms":9,"running":{},"finished":[]})"));
}

TEST_CASE("A rejected start counts as not begun only for a reason that says so")
{
    const std::pair<const char *, dispatch::StartAnswer> rows[] = {
        {R"({"reason":"fence"})", dispatch::StartAnswer::StaleToken},
        {R"({"reason":"old"})", dispatch::StartAnswer::RunNumberUsed},
        {R"({"reason":"late"})", dispatch::StartAnswer::StartDeadlinePassed},
        {R"({"reason":"room"})", dispatch::StartAnswer::NoRoom},
        {R"({"reason":"other"})", dispatch::StartAnswer::Unknown},
        {"{}", dispatch::StartAnswer::Unknown},
        {"\xff", dispatch::StartAnswer::Unknown},
    };
    for (const std::pair<const char *, dispatch::StartAnswer> &row : rows) {
        HttpOutcome outcome;
        outcome.completion = HttpCompletion::Answered;
        outcome.response.status = 409;
        outcome.response.body = row.first;
        INFO(row.first);
        REQUIRE(parseStartAnswer(outcome) == row.second);
    }
}

TEST_CASE("Corrupted input does not crash the parsers")
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

TEST_CASE("The store client resumes following the document after a lost watch history and an outage")
{
    boost::asio::io_context context;
    FakeStore store(context);
    store.config = "one";
    RecordingLog log;
    std::vector<std::string> documents;
    StoreClient::Handlers handlers;
    handlers.onConfigDocument = [&documents](const std::string &document) {
        documents.push_back(document);
    };
    handlers.onEntries = [](const std::vector<Endpoint> &) {
    };
    StoreClient client(context, store.endpoint(), log, handlers);
    client.followConfig();
    REQUIRE(runUntil(context, [&]() { return store.watchCount == 1; }));
    REQUIRE(documents == std::vector<std::string>{"one"});
    store.historyLost = true;
    store.write("two");
    REQUIRE(runUntil(context, [&]() { return !documents.empty() && documents.back() == "two"; }));
    REQUIRE(runUntil(context, [&]() { return store.watchCount >= 3; }));
    store.unavailable = true;
    store.write("three");
    REQUIRE(runUntil(context, [&]() { return client.failures() >= 2; }));
    store.unavailable = false;
    store.config = "four";
    REQUIRE(runUntil(context, [&]() { return documents.back() == "four"; }));
    const std::string all = boost::json::serialize(boost::json::value_from(log.lines));
    REQUIRE(all.find("store-lost") != std::string::npos);
    REQUIRE(all.find("store-regained") != std::string::npos);
}

TEST_CASE("An entry that shuts down while it requests a lease ends that lease and writes no key")
{
    boost::asio::io_context context;
    FakeStore store(context);
    RecordingLog log;
    StoreClient::Handlers handlers;
    handlers.onConfigDocument = [](const std::string &) {
    };
    handlers.onEntries = [](const std::vector<Endpoint> &) {
    };
    StoreClient client(context, store.endpoint(), log, handlers);
    client.registerEntry("n", Endpoint{Loopback, 77});
    client.unregister();
    REQUIRE(runUntil(context, [&]() { return store.endedLeases == 1; }));
    REQUIRE(store.writeCount == 0);
}

TEST_CASE("An entry registers again if its key has been removed although its lease is still renewed")
{
    boost::asio::io_context context;
    FakeStore store(context);
    RecordingLog log;
    std::vector<Endpoint> entries;
    StoreClient::Handlers handlers;
    handlers.onConfigDocument = [](const std::string &) {
    };
    handlers.onEntries = [&entries](const std::vector<Endpoint> &listed) {
        entries = listed;
    };
    StoreClient client(context, store.endpoint(), log, handlers);
    client.registerEntry("n", Endpoint{Loopback, 77});
    REQUIRE(runUntil(context, [&]() { return store.writeCount == 1; }));
    client.listEntries();
    REQUIRE(runUntil(context, [&]() { return entries == std::vector<Endpoint>{Endpoint{Loopback, 77}}; }));
    store.entryKeyMissing = true;
    client.listEntries();
    REQUIRE(runUntil(context, [&]() { return store.writeCount == 2; }));
}

TEST_CASE("An entry writes the agents that it knows under the lease of its registration")
{
    boost::asio::io_context context;
    FakeStore store(context);
    RecordingClient recording(context, store);
    const Endpoint one{Loopback, 71};
    const Endpoint two{Loopback, 72};
    recording.client.writeAgentList({one, two});
    recording.client.registerEntry("n", Endpoint{Loopback, 77});
    // A list that is known before costs no call of its own.
    REQUIRE(runUntil(context, [&]() { return store.agentListWrites == 1; }));
    REQUIRE(store.writeCount == 1);
    REQUIRE(decodeBase64(store.agentListValue) == toString(one) + "\n" + toString(two));
    REQUIRE(store.leasesUsed == std::set<std::int64_t>{5});
    recording.client.listEntries();
    REQUIRE(runUntil(context, [&]() { return !recording.entries.empty(); }));
    recording.client.writeAgentList({two});
    REQUIRE(runUntil(context, [&]() { return store.agentListWrites == 2; }));
    REQUIRE(decodeBase64(store.agentListValue) == toString(two));
    store.unavailable = true;
    recording.client.writeAgentList({one});
    const std::uint64_t failures = recording.client.failures();
    REQUIRE(runUntil(context, [&]() { return recording.client.failures() > failures; }));
    store.unavailable = false;
    REQUIRE(runUntil(context, [&]() { return decodeBase64(store.agentListValue) == toString(one); }));
}

TEST_CASE("A starting entry reads the lists of agents once it gets an answer, and ignores malformed items")
{
    boost::asio::io_context context;
    FakeStore store(context);
    RecordingLog log;
    std::vector<std::vector<Endpoint>> answers;
    StoreClient::Handlers handlers;
    handlers.onConfigDocument = [](const std::string &) {
    };
    handlers.onEntries = [](const std::vector<Endpoint> &) {
    };
    handlers.onAgents = [&answers](const std::vector<Endpoint> &agents) {
        answers.push_back(agents);
    };
    const Endpoint one{Loopback, 71};
    const Endpoint two{Loopback, 72};
    const auto item = [](const std::string &value) {
        return R"({"key":"fleet/agents/a","value":")" + encodeBase64(value) + R"("})";
    };
    store.agentListItems = item(toString(two) + "\n" + toString(one)) + "," + item(toString(two) + "\nnonsense") + "," + item("")
        + R"(,{"key":"fleet/agents/b","value":"%"},{"key":"fleet/agents/c"},5)";
    store.unavailable = true;
    StoreClient client(context, store.endpoint(), log, handlers);
    client.readAgentLists();
    REQUIRE(runUntil(context, [&]() { return client.failures() >= 1; }));
    store.unavailable = false;
    REQUIRE(runUntil(context, [&]() { return !answers.empty(); }));
    REQUIRE(answers == std::vector<std::vector<Endpoint>>{{one, two}});
    REQUIRE(store.agentListReads == 1);
    const std::string all = boost::json::serialize(boost::json::value_from(log.lines));
    REQUIRE(all.find("agents-odd") != std::string::npos);
}

TEST_CASE("An announcement with an implausible number, port or label names no server to use")
{
    const auto accepted = [](const std::string &id, const std::string &path, const std::string &value) {
        boost::json::object body =
            boost::json::parse(R"({"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",
                "cold_ms":0,"capacity":{"cpu":16000,"mem_mb":1000,"gpu":0},"labels":["a","r1"],"clock_ms":5,"seq":4,"born":77})")
                .as_object();
        boost::json::object &capacity = body["capacity"].as_object();
        (capacity.contains(path) ? capacity : body)[path] = boost::json::parse(value);
        return parseAnnouncement(id, boost::json::serialize(body)).has_value();
    };
    REQUIRE(accepted("i-1", "seq", "4"));
    REQUIRE(accepted("i-1", "cpu", "16000.0"));
    const std::string tooLarge[] = {"-1",
                                    "1e300",
                                    "-1e300",
                                    "0.5",
                                    "9223372036854775807",
                                    "-9223372036854775808",
                                    "9223372036854775808",
                                    "18446744073709551615",
                                    "123456789012345678901234567890",
                                    "\"5\"",
                                    "null",
                                    "true",
                                    "[1]",
                                    "{}"};
    for (const char *field : {"cpu", "mem_mb", "gpu", "clock_ms"}) {
        for (const std::string &value : tooLarge) {
            INFO(field << " " << value);
            REQUIRE_FALSE(accepted("i-1", field, value));
        }
    }
    for (const char *field : {"seq", "born"}) {
        for (const char *value : {"-1", "1e300", "0.5", "9223372036854775808", "\"5\"", "[1]"}) {
            INFO(field << " " << value);
            REQUIRE_FALSE(accepted("i-1", field, value));
        }
    }
    for (const char *address : {"\"10.0.0.1:70000\"", "\"10.0.0.1:0\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:1e300\"", "\"10.0.0.1\"",
                                "\"\"", "\":80\"", "7", "null"}) {
        INFO(address);
        REQUIRE_FALSE(accepted("i-1", "address", address));
    }
    boost::json::array labels;
    labels.resize(100000, boost::json::value("l"));
    REQUIRE_FALSE(accepted("i-1", "labels", boost::json::serialize(labels)));
    REQUIRE_FALSE(accepted("i-1", "labels", "[\"" + std::string(100000, 'l') + "\"]"));
    REQUIRE_FALSE(accepted("i-1", "labels", "[7]"));
    REQUIRE_FALSE(accepted("i-1", "labels", "\"a\""));
    REQUIRE_FALSE(accepted("", "seq", "4"));
    REQUIRE_FALSE(accepted(std::string(100000, 'i'), "seq", "4"));
}

TEST_CASE("An inventory with an implausible clock is not used for leases")
{
    for (const char *clock : {"-1", "9223372036854775807", "1e300", "0.5", "\"9\""}) {
        INFO(clock);
        REQUIRE_FALSE(parseInventory(std::string(R"({"running":[],"finished":[],"clock_ms":)") + clock + "}"));
    }
    const char *run = R"("5c0e7a21d94b36f8.0.1.9")";
    for (const char *number : {"-1", "1e300", "0.5", "18446744073709551616", "\"1\"", "null"}) {
        INFO(number);
        REQUIRE_FALSE(parseInventory(std::string(R"({"clock_ms":9,"running":[],"finished":[[)") + number + "," + run
                                     + R"(,1,"done",""]]})"));
        REQUIRE_FALSE(parseInventory(std::string(R"({"clock_ms":9,"finished":[],"running":[[)") + run + "," + number + "]]}"));
    }
}

TEST_CASE("Deeply nested bodies do not overflow the stack of a parser")
{
    const std::string nested = std::string(LargeBodyBytes / 2, '[') + std::string(LargeBodyBytes / 2, ']');
    std::string objects;
    for (std::size_t i = 0; i < LargeBodyBytes / 5; ++i) {
        objects += R"({"a":)";
    }
    const std::string bodies[] = {std::string(LargeBodyBytes, '['),
                                  objects,
                                  nested,
                                  R"({"labels":)" + nested + "}",
                                  R"({"clock_ms":9,"running":[)" + nested + R"(],"finished":[]})",
                                  R"({"version":1,"routes":[)" + nested + "]}",
                                  R"({"spec":"s","best_effort":true,"steps":[)" + nested + "]}"};
    for (const std::string &body : bodies) {
        std::string reason;
        REQUIRE_FALSE(parseConfig(body, reason));
        REQUIRE_FALSE(parseAnnouncement("i", body));
        REQUIRE_FALSE(parseInventory(body));
        REQUIRE(std::holds_alternative<JobError>(parseJob(body)));
        HttpOutcome outcome;
        outcome.completion = HttpCompletion::Answered;
        outcome.response.status = 409;
        outcome.response.body = body;
        REQUIRE(parseStartAnswer(outcome) == dispatch::StartAnswer::Unknown);
    }
}

TEST_CASE("One odd item in the list of entries does not hide the others")
{
    boost::asio::io_context context;
    FakeStore store(context);
    RecordingClient reader(context, store);
    const Endpoint peer{Loopback, 77};
    reader.client.registerEntry("n", peer);
    REQUIRE(runUntil(context, [&]() { return store.writeCount == 1; }));
    for (const std::string &element : oddElements()) {
        store.oddElement = element;
        const int listings = reader.listings;
        reader.client.listEntries();
        INFO(element.substr(0, 100));
        REQUIRE(runUntil(context, [&]() { return reader.listings > listings; }));
        REQUIRE(reader.entries == std::vector<Endpoint>{peer});
    }
    const std::string log = boost::json::serialize(boost::json::value_from(reader.log.lines));
    REQUIRE(log.find("entries-odd") != std::string::npos);
}

TEST_CASE("One odd event of a watch does not keep later documents from being read")
{
    boost::asio::io_context context;
    FakeStore store(context);
    store.config = "first";
    RecordingClient reader(context, store);
    reader.client.followConfig();
    int n = 0;
    for (const std::string &element : oddElements()) {
        INFO(element.substr(0, 100));
        store.oddElement = element;
        const std::string document = "document " + std::to_string(++n);
        REQUIRE(runUntil(context, [&]() { return store.openWatches() > 0; }));
        store.write(document);
        REQUIRE(runUntil(context, [&]() { return !reader.documents.empty() && reader.documents.back() == document; }));
    }
    // No event made the client read the document again.
    const std::string log = boost::json::serialize(boost::json::value_from(reader.log.lines));
    REQUIRE(log.find("store-lost") == std::string::npos);
}

TEST_CASE("A watch that is answered again and again without progress is not repeated at full speed")
{
    for (const char *answer : {R"({"events":[{"key":"op/config","value":"!!!!"}],"store_revision":10})",
                               R"({"events":[{"key":"op/config","value":7}],"store_revision":3})", R"({"events":[7]})",
                               R"({"events":[],"store_revision":10})", "{"}) {
        boost::asio::io_context context;
        FakeStore store(context);
        store.config = "first";
        store.watchAnswer = answer;
        RecordingClient reader(context, store);
        reader.client.followConfig();
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
        while (std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        INFO(answer);
        REQUIRE(store.watchCount > 0);
        REQUIRE(store.watchCount <= 12);
        store.watchAnswer.clear();
        REQUIRE(runUntil(context, [&]() { return store.openWatches() > 0; }));
        store.write("second");
        REQUIRE(runUntil(context, [&]() { return reader.documents.back() == "second"; }));
    }
}

TEST_CASE("A document that can't be decoded does not keep the next one from being read")
{
    boost::asio::io_context context;
    FakeStore store(context);
    store.rawConfigValue = std::string(100000, '[') + std::string(100000, ']');
    store.config = "first";
    RecordingClient reader(context, store);
    reader.client.followConfig();
    REQUIRE(runUntil(context, [&]() { return !reader.log.lines.empty(); }));
    REQUIRE(reader.documents.empty());
    store.rawConfigValue = "\"!!!!\"";
    REQUIRE(runUntil(context, [&]() { return store.openWatches() > 0; }));
    REQUIRE(reader.documents.empty());
    store.rawConfigValue.clear();
    store.write("second");
    REQUIRE(runUntil(context, [&]() { return !reader.documents.empty() && reader.documents.back() == "second"; }));
}

TEST_CASE("An odd announcement is refused and logged, and the server that announced itself before stays in use")
{
    boost::asio::io_context context;
    ServerGateway gateway(context, Endpoint{Loopback, 1}, fixedNow);
    NullLinkPort links;
    RecordingLog log;
    dispatch::AgentSettings settings;
    settings.self = ProcessId{Endpoint{Loopback, 2}, Incarnation(1)};
    settings.service = "svc";
    dispatch::AgentDispatch agent(settings, gateway, links, log, fixedNow());
    gateway.setDispatch(agent);
    const auto put = [&gateway](const std::string &id, const std::string &body) {
        HttpRequest request;
        request.method = "PUT";
        request.target = "/instances/" + id;
        request.body = body;
        const std::shared_ptr<RecordingExchange> exchange = std::make_shared<RecordingExchange>();
        gateway.handle(std::move(request), exchange);
        return exchange->responses.at(0).status;
    };
    const std::string good =
        R"({"service":"svc","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":7,"mem_mb":8},"clock_ms":5,"seq":4})";
    REQUIRE(put("i-1", good) == 200);
    const std::string odd[] = {
        "",
        "\xff",
        std::string(LargeBodyBytes, '['),
        "[]",
        R"({"service":"svc","state":"draining"})",
        R"({"service":"svc","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":-1,"mem_mb":8},"clock_ms":5,"seq":9})"};
    for (const std::string &body : odd) {
        INFO(body.substr(0, 100));
        const std::size_t lines = log.lines.size();
        REQUIRE(put("i-1", body) == 400);
        REQUIRE(log.lines.size() == lines + 1);
        REQUIRE(log.lines.back() == "announcement-ignored id=i-1 reason=invalid");
        REQUIRE(agent.ledger().capacity().cpuMilli == 7);
    }
    REQUIRE(put(std::string(100000, 'i'), good) == 400);
    REQUIRE(put("", good) == 400);
    REQUIRE(agent.ledger().capacity().cpuMilli == 7);
}
