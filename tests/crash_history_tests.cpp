#include "core/dispatch/crash_history.h"
#include "core/dispatch/queue_isolation.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const std::string Service = "svc";
const QueueKey Deadly = queueKey("deadly");
const QueueKey Other = queueKey("other");
constexpr std::size_t Servers = 12;

TimePoint at(Duration sinceStart)
{
    return TimePoint(seconds(1000)) + sinceStart;
}

ProcessId agent(std::uint32_t n)
{
    return ProcessId{Endpoint{n, 7000}, Incarnation(1)};
}

TaskRef task(std::uint32_t index)
{
    return TaskRef{*JobId::parse("00000000000000a1"), 0, 0, index};
}

ServerCrash crash(std::uint64_t number, std::vector<TaskRef> suspects, std::vector<TaskRef> bystanders = {})
{
    return ServerCrash{number, std::move(suspects), {}, std::move(bystanders), {Deadly}};
}

/// Work of two queues, of which the first has this part.
QueueIsolation isolationWithShare(double share)
{
    QueueIsolation isolation;
    isolation.recordDemand(at(Duration(0)), Service, "deadly", share);
    isolation.recordDemand(at(Duration(0)), Service, "other", 1.0 - share);
    return isolation;
}

} // namespace

TEST_CASE("A crash that an agent reports several times counts once")
{
    CrashHistory history;
    REQUIRE(history.record(at(seconds(0)), agent(1), crash(1, {task(0)})));
    REQUIRE_FALSE(history.record(at(seconds(1)), agent(1), crash(1, {task(0)})));
    REQUIRE(history.isSuspect(task(0)));
    REQUIRE_FALSE(history.exceedsLimit(task(0).job));
    REQUIRE(history.record(at(seconds(1)), agent(1), crash(2, {task(0)})));
    REQUIRE(history.exceedsLimit(task(0).job));
}

TEST_CASE("A task that is always suspected too late is given up after three crashes")
{
    CrashHistory history;
    for (std::uint32_t n = 1; n <= 3; ++n) {
        REQUIRE_FALSE(history.exceedsLimit(task(5).job));
        // Another job is suspected each time.
        const TaskRef other{*JobId::parse("00000000000000b" + std::to_string(n)), 0, 0, 0};
        history.record(at(seconds(n)), agent(n), crash(1, {other}, {task(5)}));
    }
    REQUIRE(history.exceedsLimit(task(5).job));
    REQUIRE_FALSE(history.hasSuspect(task(5).job));
}

TEST_CASE("Crashes under different tasks of a job do not add up")
{
    CrashHistory history;
    history.record(at(seconds(0)), agent(1), crash(1, {task(0)}));
    history.record(at(seconds(0)), agent(2), crash(1, {task(1)}));
    REQUIRE_FALSE(history.exceedsLimit(task(0).job));
}

TEST_CASE("Crashes are forgotten after the retention")
{
    CrashHistory history;
    history.record(at(seconds(0)), agent(1), crash(1, {task(0), task(1)}, {task(2)}));
    history.record(at(seconds(20)), agent(2), crash(1, {task(0)}));
    REQUIRE(history.exceedsLimit(task(0).job));
    history.expire(at(seconds(31)));
    REQUIRE_FALSE(history.exceedsLimit(task(0).job));
    REQUIRE(history.isSuspect(task(0)));
    REQUIRE_FALSE(history.isSuspect(task(1)));
    history.expire(at(seconds(51)));
    REQUIRE_FALSE(history.hasSuspect(task(0).job));
}

TEST_CASE("A crash is repeated until the entry has confirmed a later message, also to entries that start after it")
{
    CrashReports reports;
    reports.add(at(seconds(1)), crash(0, {task(0)}));
    REQUIRE(reports.unconfirmed(at(seconds(10)), at(milliseconds(900))).size() == 1);
    REQUIRE(reports.unconfirmed(at(milliseconds(1100)), at(milliseconds(1050))).empty());
    REQUIRE(reports.unconfirmed(at(seconds(30)), TimePoint()).size() == 1);
    REQUIRE(reports.unconfirmed(at(seconds(32)), TimePoint()).empty());
}

TEST_CASE("A queue is isolated after separate crashes of many servers and until its crashes end")
{
    QueueIsolation isolation = isolationWithShare(0.2);
    REQUIRE_FALSE(isolation.recordCrash(at(milliseconds(100)), Service, Servers, Endpoint{1, 1}, {Deadly}));
    REQUIRE_FALSE(isolation.recordCrash(at(milliseconds(600)), Service, Servers, Endpoint{2, 1}, {Deadly, Other}));
    REQUIRE(isolation.recordCrash(at(milliseconds(900)), Service, Servers, Endpoint{3, 1}, {Deadly}) == std::string("deadly"));
    REQUIRE(isolation.isIsolated(at(seconds(1)), Service, Deadly));
    REQUIRE_FALSE(isolation.isIsolated(at(seconds(1)), Service, Other));
    REQUIRE(isolation.affectsService(at(seconds(1)), Service));
    REQUIRE_FALSE(isolation.affectsService(at(seconds(1)), "another service"));
    // One crash among the servers that it is confined to extends it.
    isolation.recordCrash(at(seconds(5)), Service, Servers, Endpoint{1, 1}, {Deadly});
    REQUIRE(isolation.isIsolated(at(seconds(9)), Service, Deadly));
    REQUIRE_FALSE(isolation.affectsService(at(seconds(11)), Service));
    isolation.expire(at(seconds(30)));
    REQUIRE_FALSE(isolation.isIsolated(at(seconds(9)), Service, Deadly));
}

TEST_CASE("Servers that crash together isolate no queue")
{
    QueueIsolation isolation = isolationWithShare(0.2);
    for (std::uint32_t n = 1; n <= 6; ++n) {
        REQUIRE_FALSE(isolation.recordCrash(at(milliseconds(n)), Service, Servers, Endpoint{n, 1}, {Deadly}));
    }
}

TEST_CASE("A queue with most of the work is not confined to a quarter of the servers")
{
    QueueIsolation isolation = isolationWithShare(0.7);
    for (std::uint32_t n = 1; n <= 6; ++n) {
        REQUIRE_FALSE(isolation.recordCrash(at(milliseconds(200 * n)), Service, Servers, Endpoint{n, 1}, {Deadly}));
    }
}

TEST_CASE("A queue that shares the blame for all crashes equally with another is not isolated")
{
    QueueIsolation isolation = isolationWithShare(0.4);
    for (std::uint32_t n = 1; n <= 6; ++n) {
        REQUIRE_FALSE(isolation.recordCrash(at(milliseconds(200 * n)), Service, Servers, Endpoint{n, 1}, {Deadly, Other}));
    }
}

TEST_CASE("Crashes of other queues do not extend an isolation for ever")
{
    QueueIsolation isolation = isolationWithShare(0.2);
    for (std::uint32_t n = 1; n <= 3; ++n) {
        isolation.recordCrash(at(milliseconds(200 * n)), Service, Servers, Endpoint{n, 1}, {Deadly});
    }
    REQUIRE(isolation.isIsolated(at(seconds(1)), Service, Deadly));
    for (std::uint32_t n = 1; n <= 40; ++n) {
        const std::vector<QueueKey> queues = n % 10 == 0 ? std::vector<QueueKey>{Deadly, Other} : std::vector<QueueKey>{Other};
        isolation.recordCrash(at(milliseconds(1000 + 500 * n)), Service, 1000, Endpoint{n, 1}, queues);
    }
    REQUIRE_FALSE(isolation.isIsolated(at(seconds(20)), Service, Deadly));
}

TEST_CASE("Isolation servers are chosen among the servers that fit the task")
{
    FleetView fleet;
    for (std::uint32_t n = 1; n <= 8; ++n) {
        AgentView &view = *fleet.findOrAdd(Endpoint{n, 7000}, at(seconds(0)));
        AgentReport report;
        report.service = Service;
        report.load.capacity = Resources{n == 8 ? 0 : 16000, 1000, 0};
        report.load.labels = {n <= 4 ? "a" : "b"};
        FleetView::applyReport(view, report);
    }
    StepSpec step;
    step.need = Resources{1000, 10, 0};
    REQUIRE(isolationServers(fleet, Service, step).size() == 2);
    for (const char *label : {"a", "b"}) {
        step.requiredLabel = label;
        const std::set<Endpoint> servers = isolationServers(fleet, Service, step);
        REQUIRE(servers.size() == 1);
        REQUIRE(fleet.find(*servers.begin())->hasLabel(label));
        REQUIRE(servers.count(Endpoint{8, 7000}) == 0);
    }
}

TEST_CASE("A task whose start may not have reached a server before its crash is not failed after two crashes")
{
    CrashHistory history;
    history.record(at(seconds(0)), agent(1), crash(1, {task(0)}));
    history.record(at(seconds(1)), agent(2), ServerCrash{1, {}, {task(0)}, {}, {Deadly}});
    REQUIRE(history.isSuspect(task(0)));
    REQUIRE_FALSE(history.exceedsLimit(task(0).job));
    history.record(at(seconds(2)), agent(3), ServerCrash{1, {}, {task(0)}, {}, {Deadly}});
    REQUIRE(history.exceedsLimit(task(0).job));
}

TEST_CASE("A task that crashes a second server as the only suspect is given up, even if its first start had no answer")
{
    const TaskRef other{*JobId::parse("00000000000000b1"), 0, 0, 0};
    CrashHistory history;
    history.record(at(seconds(0)), agent(1), ServerCrash{1, {other}, {task(0)}, {}, {Deadly}});
    SECTION("as the only suspect")
    {
        history.record(at(seconds(1)), agent(2), crash(1, {task(0)}, {task(1)}));
        REQUIRE(history.exceedsLimit(task(0).job));
        // The later crash alone proves nothing.
        history.expire(at(milliseconds(30500)));
        REQUIRE_FALSE(history.exceedsLimit(task(0).job));
        REQUIRE(history.isSuspect(task(0)));
        history.expire(at(milliseconds(31500)));
        REQUIRE_FALSE(history.hasSuspect(task(0).job));
    }
    SECTION("not as one of several")
    {
        history.record(at(seconds(1)), agent(2), crash(1, {task(0), task(1)}));
        REQUIRE_FALSE(history.exceedsLimit(task(0).job));
    }
    SECTION("not beside a start that had no answer either")
    {
        history.record(at(seconds(1)), agent(2), ServerCrash{1, {task(0)}, {task(1)}, {}, {Deadly}});
        REQUIRE_FALSE(history.exceedsLimit(task(0).job));
    }
}
