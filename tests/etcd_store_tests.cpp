#include "adapters/base64.h"
#include "adapters/etcd_store.h"
#include "adapters/http_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

constexpr std::uint32_t Loopback = 0x7F000001;

class RecordingSink : public EventSink
{
public:
    bool offer(Event &event) override
    {
        deliver(std::move(event));
        return true;
    }

    void deliver(Event &&event) override
    {
        if (const event::StoreEntriesRead *read = std::get_if<event::StoreEntriesRead>(&event)) {
            entries = read->entries;
        }
    }

    std::vector<ProcessId> entries;
};

std::string keyValue(const std::string &key)
{
    return R"({"key":")" + encodeBase64("/cuminscale/" + key) + R"(","value":"e30=","mod_revision":"5"})";
}

} // namespace

TEST_CASE("One odd key among those of the entries does not hide the others, and names no entry")
{
    boost::asio::io_context context;
    int watches = 0;
    HttpServer server(
        context, Endpoint{Loopback, 0}, HttpLimits(),
        [&watches](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
            HttpResponse response;
            response.status = 200;
            if (request.target == "/v3/kv/range") {
                response.body = R"({"header":{"revision":"9"},"kvs":[)";
                for (const char *odd : {"", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:1e300", "\xff"}) {
                    response.body += keyValue(std::string("entries/") + odd) + ",";
                }
                response.body += keyValue("entries/" + std::string(100000, '[')) + ",";
                response.body += R"(7,{"key":"!!!!"},)" + keyValue("entries/10.0.0.2:7000") + "]}";
            } else if (request.target == "/v3/watch") {
                ++watches;
                return;
            }
            exchange->respond(std::move(response));
        });
    StoreSettings settings;
    settings.endpoints = {server.endpoint()};
    RecordingSink sink;
    EtcdStore store(context, settings, ProcessId{Endpoint{Loopback, 1}, Incarnation(1)}, sink);
    store.start();
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (watches == 0 && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(10));
    }
    REQUIRE(watches == 1);
    REQUIRE(sink.entries == std::vector<ProcessId>{ProcessId{Endpoint{0x0A000002, 7000}, Incarnation()}});
    store.stop();
}
