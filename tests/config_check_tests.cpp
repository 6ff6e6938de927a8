#include "core/dispatch/config_check.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const std::optional<std::vector<std::string>> NoServices;

QueueRule queueRule(const std::string &name, const std::string &prefix)
{
    QueueRule queue;
    queue.name = name;
    queue.host = "a.example";
    queue.prefix = prefix;
    queue.service = "svc";
    queue.maxAttempts = 4;
    queue.timeout = milliseconds(1500);
    queue.latencyObjective = milliseconds(60);
    queue.workFactor = 1.6;
    return queue;
}

QueueConfig configOf(const std::vector<QueueRule> &queues, std::uint64_t version = 7)
{
    QueueConfig config;
    config.version = version;
    for (const QueueRule &queue : queues) {
        config.queues.push_back(std::make_shared<const QueueRule>(queue));
    }
    return config;
}

std::vector<std::string> lines(const std::vector<ConfigFinding> &findings)
{
    std::vector<std::string> result;
    for (const ConfigFinding &finding : findings) {
        const char *severity = finding.severity == FindingSeverity::Error ? "error"
            : finding.severity == FindingSeverity::Warning                ? "warning"
                                                                          : "change";
        result.push_back(std::string(severity) + " [" + finding.queue + "] " + finding.text);
    }
    return result;
}

std::vector<std::string> check(const QueueConfig &config, const std::optional<std::vector<std::string>> &services = NoServices)
{
    return lines(checkConfig(config, services));
}

using Lines = std::vector<std::string>;

} // namespace

// Guards against findings on a correct document, which would teach operators to ignore the check.
TEST_CASE("A consistent configuration has no findings")
{
    REQUIRE(
        check(configOf({queueRule("q", "/jobs/"), queueRule("r", "/jobs/special/"), queueRule("s", "/")}), Lines{"svc"}).empty());
    REQUIRE(check(configOf({})).empty());
}

// Guards against two queues that share their estimates, shares and metrics, which are kept by name.
TEST_CASE("A duplicate queue name is an error")
{
    REQUIRE(check(configOf({queueRule("q", "/a/"), queueRule("q", "/b/")}))
            == Lines{"error [q] an earlier queue has the same name"});
}

// Guards against a prefix that matches no path, or paths beside the intended ones ("/jobs" matches "/jobsite").
TEST_CASE("A prefix that does not begin or end with a slash is an error")
{
    for (const char *prefix : {"", "jobs/", "/jobs", "jobs"}) {
        REQUIRE(check(configOf({queueRule("q", prefix)}))
                == Lines{"error [q] the prefix \"" + std::string(prefix) + "\" must begin and end with \"/\""});
    }
}

// Guards against a queue whose jobs are all refused because no server offers its service.
TEST_CASE("A service that is not listed is an error if services are listed")
{
    const QueueConfig config = configOf({queueRule("q", "/a/")});
    REQUIRE(check(config, Lines{"other"}) == Lines{"error [q] the service \"svc\" is not in the list of services"});
    REQUIRE(check(config, Lines{"other", "svc"}).empty());
    REQUIRE(check(config, NoServices).empty());
}

// Guards against a queue that gets no job, and against a check that judges otherwise than QueueConfig::match().
TEST_CASE("A queue with the host and prefix of an earlier one never matches")
{
    QueueRule otherHost = queueRule("other-host", "/a/");
    otherHost.host = "b.example";
    const QueueConfig config = configOf(
        {queueRule("wide", "/"), queueRule("first", "/a/"), queueRule("hidden", "/a/"), otherHost, queueRule("narrow", "/a/b/")});
    REQUIRE(
        check(config)
        == Lines{
            "warning [hidden] never matches: the earlier queue \"first\" has the same host \"a.example\" and prefix \"/a/\""});
    REQUIRE(config.match("a.example", "/a/x")->name == "first");
    REQUIRE(config.match("a.example", "/a/b/x")->name == "narrow");
    REQUIRE(config.match("a.example", "/x")->name == "wide");
    REQUIRE(config.match("b.example", "/a/x")->name == "other-host");
}

// Guards against a queue whose jobs count as in time after their clients have given up.
TEST_CASE("A latency objective beyond the timeout is reported")
{
    QueueRule queue = queueRule("q", "/a/");
    queue.workFactor = 10;
    queue.maxAttempts = 1;
    queue.latencyObjective = milliseconds(1490);
    REQUIRE(check(configOf({queue})).empty());
    queue.latencyObjective = milliseconds(1491);
    REQUIRE(
        check(configOf({queue}))
        == Lines{"warning [q] the latency objective of the shortest possible job, 1501 ms, is beyond the timeout of 1500 ms"});
    queue.timeout = Duration(0);
    REQUIRE(check(configOf({queue})).empty());
}

// Guards against attempts that are configured but can never be made.
TEST_CASE("Attempts that do not fit in the timeout are reported")
{
    QueueRule queue = queueRule("q", "/a/");
    queue.workFactor = 0;
    queue.latencyObjective = milliseconds(375);
    REQUIRE(check(configOf({queue})).empty());
    queue.maxAttempts = 5;
    REQUIRE(check(configOf({queue}))
            == Lines{"warning [q] 5 attempts of 375 ms, the latency objective of the shortest possible job, do not fit in the "
                     "timeout of 1500 ms"});
    queue.maxAttempts = UINT32_MAX;
    REQUIRE(check(configOf({queue})).size() == 1);
    // Without an objective, an attempt still takes the shortest run time, 1 ms.
    queue.latencyObjective = Duration(0);
    queue.maxAttempts = 1500;
    REQUIRE(check(configOf({queue})).empty());
    queue.maxAttempts = 1501;
    REQUIRE(check(configOf({queue})).size() == 1);
    queue.timeout = Duration(0);
    queue.maxAttempts = UINT32_MAX;
    REQUIRE(check(configOf({queue})).empty());
}

// Guards against connections that are closed while their client still waits for an answer.
TEST_CASE("An idle timeout below the longest timeout of a queue is reported once")
{
    QueueConfig config = configOf({queueRule("q", "/a/"), queueRule("r", "/b/")});
    config.limits.idleTimeout = milliseconds(1500);
    REQUIRE(check(config).empty());
    config.limits.idleTimeout = milliseconds(1499);
    REQUIRE(check(config)
            == Lines{"warning [] the idle timeout of 1499 ms is below the longest timeout of a queue, 1500 ms of \"q\""});
}

// Guards against a document that every process silently ignores.
TEST_CASE("A version that is not higher than that in force is an error")
{
    const QueueConfig inForce = configOf({queueRule("q", "/a/")}, 7);
    for (const std::uint64_t version : {6, 7}) {
        REQUIRE(lines(compareConfigs(inForce, configOf({queueRule("q", "/a/")}, version)))
                == Lines{"error [] the version " + std::to_string(version) + " must be higher than that in force, 7"});
    }
    REQUIRE(compareConfigs(inForce, configOf({queueRule("q", "/a/")}, 8)).empty());
}

// Guards against a queue that is dropped or renamed by mistake, which clients see as 404.
TEST_CASE("Added and removed queues are listed")
{
    REQUIRE(lines(compareConfigs(configOf({queueRule("q", "/a/"), queueRule("r", "/b/")}, 7),
                                 configOf({queueRule("s", "/b/"), queueRule("q", "/a/")}, 8)))
            == Lines{"change [r] removed", "change [s] added"});
}

// Guards against a list of changes that compares the second of two queues with the first one of the same name.
TEST_CASE("Of several queues with one name, only the first is compared")
{
    const QueueConfig inForce =
        configOf({queueRule("q", "/a/"), queueRule("q", "/b/"), queueRule("r", "/c/"), queueRule("r", "/d/")}, 7);
    REQUIRE(lines(compareConfigs(inForce, configOf({queueRule("q", "/a/"), queueRule("q", "/b/")}, 8)))
            == Lines{"change [r] removed"});
}

// Guards against a field that the comparison leaves out, or shows in the wrong order.
TEST_CASE("Each changed field of a queue is listed with its old and new value")
{
    QueueRule changed = queueRule("q", "/b/");
    changed.host = "b.example";
    changed.service = "other";
    changed.urgency = 2;
    changed.maxAttempts = 5;
    changed.timeout = milliseconds(2000);
    changed.latencyObjective = milliseconds(61);
    changed.workFactor = 1.60000001;
    changed.needsAdvice = true;
    REQUIRE(
        lines(compareConfigs(configOf({queueRule("q", "/a/")}, 7), configOf({changed}, 8)))
        == Lines{"change [q] changed: host: \"a.example\" -> \"b.example\", prefix: \"/a/\" -> \"/b/\", service: \"svc\" -> "
                 "\"other\", urgency: 0 -> 2, attempts: 4 -> 5, timeout: 1500 ms -> 2000 ms, latency objective: 60 ms -> 61 ms, "
                 "work factor: 1.6 -> 1.60000001, needs advice: false -> true"});
}

// Guards against an unnoticed change of limits, which apply to all clients.
TEST_CASE("Changed limits are listed with their old and new values")
{
    const QueueConfig inForce = configOf({}, 7);
    QueueConfig next = configOf({}, 8);
    next.limits.maxHeaderBytes = 9000;
    next.limits.maxBodyBytes = 1000;
    next.limits.headerTimeout = seconds(2);
    next.limits.idleTimeout = seconds(10);
    REQUIRE(
        lines(compareConfigs(inForce, next))
        == Lines{"change [] limits changed: header bytes: 16384 -> 9000, body bytes: 262144 -> 1000, header timeout: 3000 ms -> "
                 "2000 ms, idle timeout: 15000 ms -> 10000 ms"});
}

// Guards against a comparison of each queue with each other one. 160,000 queues are a hundred times the largest document.
TEST_CASE("The time of a check grows in proportion to the number of queues")
{
    std::vector<QueueRule> queues;
    for (int i = 0; i < 160'000; ++i) {
        queues.push_back(queueRule("q" + std::to_string(i), "/jobs/" + std::to_string(i) + "/"));
    }
    const QueueConfig inForce = configOf(queues, 7);
    for (QueueRule &queue : queues) {
        queue.urgency = 1;
    }
    const QueueConfig next = configOf(queues, 8);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    REQUIRE(checkConfig(next, Lines{"svc"}).empty());
    REQUIRE(compareConfigs(inForce, next).size() == queues.size());
    REQUIRE(std::chrono::steady_clock::now() - start < std::chrono::seconds(10));
}
