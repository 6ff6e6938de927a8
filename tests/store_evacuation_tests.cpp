/// Tests of what the store client reads of the operators' keys, against a store that answers from a map.
#include "adapters/base64.h"
#include "adapters/http_server.h"
#include "platform/evacuation_keys.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace cuminscale;
using namespace cuminscale::platform;

namespace
{

constexpr std::uint32_t Loopback = 0x7F000001;
using Domains = std::vector<std::string>;

class RecordingLog : public dispatch::DecisionLog
{
public:
    void write(LogLevel, const char *event, const std::string &) override
    {
        ++events[event];
    }

    std::map<std::string, int> events;
};

/// A key-value store with ranges in pages and watches that deliver deletions.
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

    void put(const std::string &key, const std::string &value = "x")
    {
        ++revision;
        m_items[key] = R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","revision":)"
            + std::to_string(revision) + R"(,"created":1,"lease":0})";
        sendEvent(m_items[key]);
    }

    void remove(const std::string &key)
    {
        ++revision;
        m_items.erase(key);
        sendEvent(R"({"key":")" + key + R"(","revision":)" + std::to_string(revision) + R"(,"deleted":true})");
    }

    /// Stores a key, and sends this event in place of its own.
    void putWithEvent(const std::string &key, const std::string &event)
    {
        const std::vector<std::shared_ptr<HttpExchange>> watches = std::move(m_openWatches);
        m_openWatches.clear();
        put(key);
        m_openWatches = watches;
        sendEvent(event);
    }

    /// Answers the open watches with this event, which may be malformed.
    void sendEvent(const std::string &event)
    {
        std::vector<std::shared_ptr<HttpExchange>> watches;
        watches.swap(m_openWatches);
        for (const std::shared_ptr<HttpExchange> &watch : watches) {
            respond(watch, 200, R"({"events":[)" + event + "]," + revisionField());
        }
    }

    std::size_t openWatches() const
    {
        return m_openWatches.size();
    }

    int revision = 100;
    std::size_t pageSize = 100;
    bool unavailable = false; ///< Every request is answered with 503.
    bool historyLost = false; ///< The next watch is answered with 410.
    bool itemsMissing = false; ///< Ranges are answered without their list.
    std::string hiddenKey; ///< Absent from ranges.
    std::string oddItem; ///< JSON text of the first item of each range.
    std::vector<std::string> targets; ///< Of all requests.

private:
    std::string revisionField() const
    {
        return R"("store_revision":)" + std::to_string(revision) + "}";
    }

    static void respond(const std::shared_ptr<HttpExchange> &exchange, unsigned status, const std::string &body)
    {
        HttpResponse response;
        response.status = status;
        response.body = body;
        exchange->respond(std::move(response));
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        targets.push_back(request.target);
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (unavailable) {
            respond(exchange, 503, "{}");
        } else if (path == "/kv-range") {
            respond(exchange, 200, range(request.target));
        } else if (path == "/kv-key") {
            const std::string item = m_items.count("op/config") > 0 ? m_items["op/config"] : "{}";
            respond(exchange, 200, item.substr(0, item.size() - 1) + "," + revisionField());
        } else if (historyLost) {
            historyLost = false;
            respond(exchange, 410, "{}");
        } else {
            m_openWatches.push_back(exchange);
        }
    }

    std::string range(const std::string &target) const
    {
        if (itemsMissing) {
            return R"({"has_more":false,)" + revisionField();
        }
        const std::size_t after = target.find("&after=");
        std::map<std::string, std::string>::const_iterator it =
            after == std::string::npos ? m_items.begin() : m_items.upper_bound(target.substr(after + 7));
        std::string items = oddItem;
        for (std::size_t n = 0; n < pageSize && it != m_items.end(); ++n, ++it) {
            if (it->first != hiddenKey) {
                items += (items.empty() ? "" : ",") + it->second;
            }
        }
        return R"({"items":[)" + items + R"(],"has_more":)" + (it == m_items.end() ? "false," : "true,") + revisionField();
    }

    std::map<std::string, std::string> m_items;
    std::vector<std::shared_ptr<HttpExchange>> m_openWatches;
    HttpServer m_server;
};

struct Fixture
{
    Fixture()
        : store(context)
        , client(context, store.endpoint(), log, handlers())
    { }

    StoreClient::Handlers handlers()
    {
        StoreClient::Handlers result;
        result.onConfigDocument = [this](const std::string &document) {
            documents.push_back(document);
        };
        result.onEntries = [](const std::vector<Endpoint> &) {
        };
        result.onEvacuations = [this](const dispatch::Evacuations &evacuations) {
            sets.push_back(evacuations);
        };
        return result;
    }

    /// Runs until a condition holds, for at most 2000 steps of up to 20 ms.
    bool runUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 2000 && !condition(); ++i) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    /// Runs until a watch is open, and the latest set has the present revision and these domains.
    bool follows(const Domains &domains)
    {
        return runUntil([&]() {
            return store.openWatches() == 1 && !sets.empty()
                && sets.back() == dispatch::Evacuations{static_cast<std::uint64_t>(store.revision), domains};
        });
    }

    /// Whether all sets so far have these domains.
    bool alwaysReported(const Domains &domains) const
    {
        return std::all_of(sets.begin(), sets.end(),
                           [&domains](const dispatch::Evacuations &set) { return set.domains == domains; });
    }

    boost::asio::io_context context;
    FakeStore store;
    RecordingLog log;
    std::vector<std::string> documents;
    std::vector<dispatch::Evacuations> sets;
    StoreClient client;
};

} // namespace

TEST_CASE("Without the setting, the store client sends the same requests as before evacuations were known")
{
    Fixture fixture;
    fixture.store.put("op/config", "one");
    fixture.store.put("op/evacuate/z1");
    fixture.client.followConfig();
    REQUIRE(fixture.runUntil([&]() { return fixture.store.openWatches() == 1; }));
    REQUIRE(fixture.documents == std::vector<std::string>{"one"});
    REQUIRE(fixture.sets.empty());
    REQUIRE(fixture.store.targets
            == std::vector<std::string>{"/kv-key?key=op/config", "/kv-watch?prefix=op/config&after=102&wait_ms=1500"});
}

TEST_CASE("One range and one watch deliver the configuration and the evacuated zones with their revision")
{
    Fixture fixture;
    fixture.store.put("op/config", "one");
    fixture.store.put("op/evacuate/z2");
    fixture.store.put("op/evacuate/z1");
    fixture.client.followConfigAndEvacuations();
    REQUIRE(fixture.follows({"z1", "z2"}));
    REQUIRE(fixture.store.targets
            == std::vector<std::string>{"/kv-range?prefix=op/", "/kv-watch?prefix=op/&after=103&wait_ms=1500"});
    fixture.store.remove("op/evacuate/z2");
    REQUIRE(fixture.follows({"z1"}));
    fixture.store.put("op/config", "two");
    REQUIRE(fixture.follows({"z1"}));
    fixture.store.put("op/evacuate/z3");
    REQUIRE(fixture.follows({"z1", "z3"}));
    REQUIRE(fixture.documents == std::vector<std::string>{"one", "two"});
    REQUIRE(fixture.log.events.empty());
}

TEST_CASE("That no zone is evacuated is delivered too, as admission waits for it")
{
    Fixture fixture;
    fixture.client.followConfigAndEvacuations();
    REQUIRE(fixture.follows({}));
}

TEST_CASE("A range of several pages is one set, as of the revision of its first page")
{
    Fixture fixture;
    fixture.store.pageSize = 2;
    fixture.store.put("op/config", "one");
    for (const char *zone : {"z1", "z2", "z3", "z4"}) {
        fixture.store.put(std::string("op/evacuate/") + zone);
    }
    fixture.client.followConfigAndEvacuations();
    // A zone is evacuated between two pages, after the page that it would be on.
    REQUIRE(fixture.runUntil([&]() { return fixture.store.targets.size() == 2; }));
    REQUIRE(fixture.sets.empty());
    fixture.store.put("op/evacuate/a1");
    REQUIRE(fixture.runUntil([&]() { return fixture.store.openWatches() == 1; }));
    REQUIRE(fixture.sets == std::vector<dispatch::Evacuations>{{105, {"z1", "z2", "z3", "z4"}}});
    REQUIRE(fixture.store.targets.at(1) == "/kv-range?prefix=op/&after=op/evacuate/z1");
    REQUIRE(fixture.store.targets.back() == "/kv-watch?prefix=op/&after=105&wait_ms=1500");
}

TEST_CASE("After a lost history the range is read again, and zones that are absent from it are no longer evacuated")
{
    Fixture fixture;
    fixture.store.put("op/evacuate/z1");
    fixture.client.followConfigAndEvacuations();
    REQUIRE(fixture.follows({"z1"}));
    fixture.store.historyLost = true;
    fixture.store.put("op/evacuate/z2");
    REQUIRE(fixture.follows({"z1", "z2"}));
    fixture.store.unavailable = true;
    fixture.store.sendEvent("");
    REQUIRE(fixture.runUntil([&]() { return fixture.client.failures() >= 2; }));
    fixture.store.remove("op/evacuate/z1");
    fixture.store.unavailable = false;
    REQUIRE(fixture.follows({"z2"}));
}

TEST_CASE("A response without its list does not end an evacuation")
{
    Fixture fixture;
    fixture.store.put("op/evacuate/z1");
    fixture.client.followConfigAndEvacuations();
    REQUIRE(fixture.follows({"z1"}));
    fixture.store.itemsMissing = true;
    fixture.store.historyLost = true;
    fixture.store.sendEvent("");
    REQUIRE(fixture.runUntil([&]() { return fixture.log.events["store-lost"] > 0; }));
    REQUIRE(fixture.sets.back().domains == Domains{"z1"});
    fixture.store.itemsMissing = false;
    REQUIRE(fixture.follows({"z1"}));
}

TEST_CASE("A malformed item or event among the operators' keys is counted and logged, and the others apply")
{
    const std::vector<std::string> oddItems = {
        "5",
        "null",
        "{}",
        R"({"key":7,"value":"eA=="})",
        R"({"key":"op/evacuate/"})",
        R"({"key":"op/evacuate/a b","value":"eA=="})",
        R"({"key":"op/evacuate/z9/extra","value":"eA=="})",
        R"({"key":"op/evacuate/z1","deleted":"yes"})",
        R"({"key":"op/evacuate/z1","deleted":1})",
        R"({"key":"op/evacuate/\ud800","value":"eA=="})",
        R"({"key":"op/evacuate/)" + std::string(300, 'k') + R"("})",
        R"({"key":"op/evacuate/z9","value":)" + std::string(200, '[') + std::string(200, ']') + "}",
    };
    for (const std::string &odd : oddItems) {
        INFO(odd);
        Fixture fixture;
        fixture.store.oddItem = odd;
        fixture.store.put("op/config", "one");
        fixture.store.put("op/evacuate/z1");
        fixture.client.followConfigAndEvacuations();
        REQUIRE(fixture.follows({"z1"}));
        REQUIRE(fixture.documents == std::vector<std::string>{"one", "one", "one"});
        // Three reads of the range, which is then accepted.
        REQUIRE(fixture.client.operatorItemsIgnored() == 3);
        REQUIRE(fixture.log.events["operator-items-accepted"] == 1);
        fixture.store.sendEvent(odd);
        REQUIRE(fixture.follows({"z1"}));
        // The event, and three reads again.
        REQUIRE(fixture.client.operatorItemsIgnored() == 7);
        REQUIRE(fixture.log.events["operator-items-odd"] == 7);
        REQUIRE(fixture.log.events["operator-items-accepted"] == 2);
        REQUIRE(fixture.alwaysReported({"z1"}));
        fixture.store.remove("op/evacuate/z1");
        REQUIRE(fixture.follows({}));
    }
}

TEST_CASE("A malformed event in place of an evacuation's own does not publish a set without the zone")
{
    for (const std::string event : {R"(5)", R"({"key":"op/evacuate/\ud800","revision":102})", R"({"key":7,"revision":102})"}) {
        INFO(event);
        Fixture fixture;
        fixture.store.put("op/evacuate/z1");
        fixture.client.followConfigAndEvacuations();
        REQUIRE(fixture.follows({"z1"}));
        const std::uint64_t revisionBefore = fixture.sets.back().revision;
        fixture.store.putWithEvent("op/evacuate/z2", event);
        REQUIRE(fixture.follows({"z1", "z2"}));
        for (const dispatch::Evacuations &set : fixture.sets) {
            REQUIRE(set.domains == (set.revision > revisionBefore ? Domains{"z1", "z2"} : Domains{"z1"}));
        }
        REQUIRE(fixture.client.operatorItemsIgnored() == 1);
    }
}

TEST_CASE("The configuration among malformed events is delivered")
{
    Fixture fixture;
    fixture.client.followConfigAndEvacuations();
    REQUIRE(fixture.follows({}));
    const std::size_t setsBefore = fixture.sets.size();
    fixture.store.sendEvent(R"(null,{"key":"op/config","revision":101,"value":")" + encodeBase64("two") + R"("})");
    REQUIRE(fixture.runUntil([&]() { return !fixture.documents.empty(); }));
    REQUIRE(fixture.documents == std::vector<std::string>{"two"});
    REQUIRE(fixture.sets.size() == setsBefore);
}

TEST_CASE("A malformed item in place of an evacuation's own does not end the evacuation, however often it is read")
{
    Fixture fixture;
    fixture.store.put("op/evacuate/z1");
    fixture.client.followConfigAndEvacuations();
    REQUIRE(fixture.follows({"z1"}));
    fixture.store.put("op/evacuate/z2");
    REQUIRE(fixture.follows({"z1", "z2"}));
    const std::size_t setsBefore = fixture.sets.size();
    fixture.store.oddItem = "null";
    fixture.store.hiddenKey = "op/evacuate/z1";
    fixture.store.historyLost = true;
    fixture.store.sendEvent("");
    REQUIRE(fixture.runUntil(
        [&]() { return fixture.log.events["operator-items-accepted"] == 1 && fixture.store.openWatches() == 1; }));
    // An answered watch is followed by another read, as the zone may have been removed without an event.
    fixture.store.sendEvent("");
    REQUIRE(fixture.runUntil([&]() { return fixture.log.events["operator-items-accepted"] == 2; }));
    REQUIRE(fixture.log.events["store-lost"] == 0);
    for (std::size_t i = setsBefore; i < fixture.sets.size(); ++i) {
        REQUIRE(fixture.sets[i].domains == Domains{"z1", "z2"});
    }
    // The first range without malformed items decides, here one without the zone.
    fixture.store.oddItem.clear();
    fixture.store.hiddenKey.clear();
    fixture.store.remove("op/evacuate/z1");
    REQUIRE(fixture.follows({"z2"}));
}

TEST_CASE("An event that is older than the set does not undo a newer one")
{
    Fixture fixture;
    fixture.store.put("op/evacuate/z1");
    fixture.client.followConfigAndEvacuations();
    REQUIRE(fixture.follows({"z1"}));
    fixture.store.sendEvent(R"({"key":"op/evacuate/z1","revision":50,"deleted":true})");
    REQUIRE(fixture.follows({"z1"}));
    REQUIRE(fixture.sets.size() >= 2);
    REQUIRE(fixture.alwaysReported({"z1"}));
}

TEST_CASE("The value of an evacuation has no meaning, and other keys of the operators are none")
{
    EvacuationKeys keys;
    for (const char *item : {R"({"key":"op/evacuate/z1","value":7})", R"({"key":"op/evacuate/z2"})",
                             R"({"key":"op/evacuate/z3","value":"!!","deleted":false})", R"({"key":"op/evacuated/z4"})",
                             R"({"key":"op/config","value":"eA=="})", R"({"key":"op/evacuate/z5","deleted":true})"}) {
        REQUIRE(keys.apply(boost::json::parse(item)));
    }
    REQUIRE(keys.zones() == Domains{"z1", "z2", "z3"});
}

TEST_CASE("Characters of a key that have a meaning in a URL are encoded")
{
    REQUIRE(encodeKey("op/evacuate/z-1.a_b~") == "op/evacuate/z-1.a_b~");
    REQUIRE(encodeKey("op/a b&c=%\xff") == "op/a%20b%26c%3D%25%FF");
}
