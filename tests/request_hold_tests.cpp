#include "daemon/request_hold.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace cuminscale;

namespace
{

class IgnoringExchange : public HttpExchange
{
public:
    void respond(HttpResponse) override { }
};

struct HoldFixture
{
    std::shared_ptr<HttpExchange> add(const std::string &target, std::size_t bodyBytes = 0)
    {
        HttpRequest request;
        request.target = target;
        request.body = std::string(bodyBytes, 'x');
        const std::shared_ptr<HttpExchange> exchange = std::make_shared<IgnoringExchange>();
        hold.add(now, std::move(request), exchange);
        return exchange;
    }

    RequestHold::Handler handler()
    {
        return [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &, TimePoint arrivedAt) {
            handled.push_back(request.target);
            arrivals.push_back(arrivedAt);
        };
    }

    RequestHoldLimits limits{milliseconds(300), 3, 100};
    RequestHold hold{limits};
    TimePoint now{seconds(100)};
    std::vector<std::string> handled;
    std::vector<TimePoint> arrivals;
};

} // namespace

TEST_CASE("Requests are passed on in order, with the time of their arrival")
{
    // Guards against limits of a job that count from the release: its client may repeat the request 1.3 s after it was sent.
    HoldFixture fixture;
    const TimePoint first = fixture.now;
    fixture.add("/a");
    fixture.now += milliseconds(100);
    fixture.add("/b");
    fixture.hold.releaseAll(fixture.handler());
    REQUIRE(fixture.handled == std::vector<std::string>{"/a", "/b"});
    REQUIRE(fixture.arrivals == std::vector<TimePoint>{first, first + milliseconds(100)});
    fixture.hold.releaseAll(fixture.handler());
    REQUIRE(fixture.handled.size() == 2);
}

TEST_CASE("A request whose client has disconnected is not handled")
{
    // Guards against a second run: the client may have sent the job to another entry.
    HoldFixture fixture;
    fixture.add("/a")->onDisconnected();
    fixture.add("/b");
    fixture.hold.releaseAll(fixture.handler());
    REQUIRE(fixture.handled == std::vector<std::string>{"/b"});
}

TEST_CASE("A request that has waited for too long is passed on without a configuration, and later ones wait on")
{
    HoldFixture fixture;
    fixture.add("/a");
    fixture.now += milliseconds(200);
    fixture.add("/b");
    fixture.now += milliseconds(99);
    fixture.hold.releaseExpired(fixture.now, fixture.handler());
    REQUIRE(fixture.handled.empty());
    fixture.now += milliseconds(1);
    fixture.hold.releaseExpired(fixture.now, fixture.handler());
    REQUIRE(fixture.handled == std::vector<std::string>{"/a"});
}

TEST_CASE("The number of held requests and their bytes are limited, and released ones make room")
{
    // Guards against an entry that exceeds its memory while it can't read the configuration.
    HoldFixture fixture;
    fixture.add("/a", 60);
    REQUIRE(fixture.hold.hasRoom(40));
    REQUIRE_FALSE(fixture.hold.hasRoom(41));
    fixture.hold.releaseAll(fixture.handler());
    REQUIRE(fixture.hold.hasRoom(100));
    for (const char *target : {"/b", "/c", "/d"}) {
        REQUIRE(fixture.hold.hasRoom(0));
        fixture.add(target);
    }
    REQUIRE_FALSE(fixture.hold.hasRoom(0));
}
