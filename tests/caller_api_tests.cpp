#include "adapters/announcement.h"
#include "adapters/caller_api.h"
#include "adapters/etcd_messages.h"
#include "adapters/trace_header.h"
#include "core/overloaded_reply.h"
#include "core/refusal.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

const std::string Id = "7f000001-1b59-1-1";
const std::string Job = R"({"member": "m", "kind": "k", "tasks": [{"payload": "a"}, {"payload": "b", "run_ms": 40}]})";

std::variant<CallerRequest, ApiError> parse(const std::string &method, const std::string &target, const std::string &body = "")
{
    return parseCall(HttpRequest{method, target, body, {}}, ApiListener::Caller, ApiLimits{3, 10, 0});
}

/// The reason for which a job body is rejected; empty if it is accepted.
std::string rejectionReason(const std::string &body)
{
    const std::variant<CallerRequest, ApiError> parsed = parse("PUT", "/v1/services/s/jobs/" + Id, body);
    const ApiError *error = std::get_if<ApiError>(&parsed);
    return error == nullptr ? std::string() : error->reason;
}

} // namespace

TEST_CASE("job submissions are parsed, and the digest depends only on body and service")
{
    const std::variant<CallerRequest, ApiError> first = parse("PUT", "/v1/services/s/jobs/" + Id + "?wait=false", Job);
    const call::SubmitJob &call = std::get<call::SubmitJob>(std::get<CallerRequest>(first));
    REQUIRE_FALSE(call.wait);
    REQUIRE(call.spec->tasks.size() == 2);
    REQUIRE(call.spec->tasks[1].declaredRun == milliseconds(40));
    const std::variant<CallerRequest, ApiError> again = parse("PUT", "/v1/services/s/jobs/" + Id, Job);
    REQUIRE(std::get<call::SubmitJob>(std::get<CallerRequest>(again)).spec->digest == call.spec->digest);
    const std::variant<CallerRequest, ApiError> other = parse("PUT", "/v1/services/t/jobs/" + Id, Job);
    REQUIRE(std::get<call::SubmitJob>(std::get<CallerRequest>(other)).spec->digest != call.spec->digest);
}

TEST_CASE("invalid input is rejected with the name of the field")
{
    REQUIRE(rejectionReason(Job).empty());
    REQUIRE(rejectionReason("").rfind("document:", 0) == 0);
    REQUIRE(rejectionReason(R"({"kind": "k", "tasks": [{}]})").rfind("member:", 0) == 0);
    REQUIRE(rejectionReason(R"({"member": 3, "kind": "k", "tasks": [{}]})").rfind("member:", 0) == 0);
    REQUIRE(rejectionReason(R"({"member": "m", "kind": "k", "tasks": []})").rfind("tasks:", 0) == 0);
    REQUIRE(rejectionReason(R"({"member": "m", "kind": "k", "tasks": [{},{},{},{}]})").rfind("tasks:", 0) == 0);
    REQUIRE(rejectionReason(R"({"member": "m", "kind": "k", "tasks": [{"payload": {}}]})").rfind("tasks.0.payload:", 0) == 0);
    REQUIRE(rejectionReason(R"({"member": "m", "kind": "k", "tasks": [{"run_ms": -1}]})").rfind("tasks.0.run_ms:", 0) == 0);
    REQUIRE(rejectionReason(R"({"member": "m", "kind": "k", "deadline": 3, "tasks": [{}]})").rfind("deadline:", 0) == 0);
    REQUIRE(std::get<ApiError>(parse("PUT", "/v1/services/s/jobs/mine", Job)).reason.rfind("id:", 0) == 0);
    REQUIRE(std::get<ApiError>(parse("POST", "/v1/services/s/ids?count=11")).reason.rfind("count:", 0) == 0);
    REQUIRE(std::get<ApiError>(parse("GET", "/v2/x")).status == 404);
    REQUIRE(std::get<ApiError>(parse("PUT", "/v1/config?base=0&change=a", "{}")).status == 404);
}

TEST_CASE("each outcome has its own status and header")
{
    CallerReply reply;
    reply.kind = CallerReply::Kind::Job;
    reply.job = msg::JobReply();
    reply.job->state = JobState::Refused;
    reply.job->retryAfter = milliseconds(1200);
    reply.outcome = Refusal::tombstoned(*reply.job);
    const HttpResponse refused = renderReply(reply);
    REQUIRE(refused.status == 503);
    REQUIRE(refused.header("cuminscale-outcome") == "not-run");
    REQUIRE(refused.header("retry-after") == "2");
    reply.job->state = JobState::Failed;
    reply.job->outcomeUnknown = true;
    reply.outcome = Unknown{"lost"};
    REQUIRE(renderReply(reply).status == 504);
    REQUIRE(renderReply(reply).header("Cuminscale-Outcome") == "unknown");
    reply.job->state = JobState::Complete;
    reply.outcome = Ran{};
    REQUIRE(renderReply(reply).status == 200);
    REQUIRE(renderReply(reply).header("Cuminscale-Outcome") == "ran");
}

TEST_CASE("an overloaded entry reports a job as unknown, because another entry may have accepted it")
{
    const std::variant<CallerRequest, ApiError> job = parse("PUT", "/v1/services/s/jobs/" + Id, Job);
    const HttpResponse unknown = renderReply(overloadedReply(std::get<CallerRequest>(job)));
    REQUIRE(unknown.status == 504);
    REQUIRE(unknown.header("Cuminscale-Outcome") == "unknown");
    const std::variant<CallerRequest, ApiError> request =
        parse("POST", "/v1/services/s/requests", R"({"member": "m", "kind": "k"})");
    const HttpResponse refused = renderReply(overloadedReply(std::get<CallerRequest>(request)));
    REQUIRE(refused.status == 503);
    REQUIRE(refused.header("Cuminscale-Outcome") == "not-run");
    REQUIRE(refused.header("Retry-After") == "1");
}

TEST_CASE("announcements of backend servers are validated")
{
    const std::variant<event::BackendAnnounced, ApiError> good =
        parseAnnouncement(R"({"service": "s", "address": "127.0.0.1:80", "slots": 8, "connections": 64, "leaving": true})");
    REQUIRE(std::get<event::BackendAnnounced>(good).leaving);
    REQUIRE(std::get<event::BackendAnnounced>(good).slots == 8);
    for (const char *body : {"", "[]", "{}", R"({"service": "s"})", R"({"service": "s", "address": "x"})",
                             R"({"service": "s", "address": "127.0.0.1:80", "slots": 0})",
                             R"({"service": "s", "address": "127.0.0.1:80", "ttl_ms": 60000})"}) {
        INFO(body);
        REQUIRE(std::holds_alternative<ApiError>(parseAnnouncement(body)));
    }
}

TEST_CASE("traceparent headers round-trip, and malformed ones are rejected")
{
    const std::string text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const std::optional<TraceContext> context = parseTraceparent(text);
    REQUIRE(context);
    REQUIRE(context->sampled);
    REQUIRE(renderTraceparent(*context) == text);
    for (const char *malformed : {"", "00-", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                                  "00-4bf92f3577b34da6a3ce929d0e0e473x-00f067aa0ba902b7-01"}) {
        REQUIRE_FALSE(parseTraceparent(malformed));
    }
}

TEST_CASE("responses of the store are parsed, and malformed ones are rejected")
{
    const ConfigVersion version{Revision(7), "c7", "{\"services\": {}}", {"c6", "c7"}};
    const std::optional<ConfigVersion> read = etcd::parseStoredConfig(etcd::serializeStoredConfig(version));
    REQUIRE(read);
    REQUIRE(read->revision == Revision(7));
    REQUIRE(read->recentChanges == version.recentChanges);
    const std::optional<etcd::Response> answer = etcd::parseResponse(
        R"({"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"9"}},{"kv":{"key":"Yg==","value":"Yw==","mod_revision":"8"}}]}})");
    REQUIRE(answer);
    REQUIRE(answer->revision == 9);
    REQUIRE(answer->kvs.size() == 2);
    REQUIRE(answer->kvs[0].deleted);
    REQUIRE(answer->kvs[1].value == "c");
    for (const char *malformed :
         {"", "[]", R"({"kvs": 3})", R"({"kvs": [{"key": "*"}]})", R"({"events": [3]})", R"({"error": "x"})"}) {
        REQUIRE_FALSE(etcd::parseResponse(malformed));
    }
    REQUIRE_FALSE(etcd::parseStoredConfig(R"({"revision": 0})"));
    REQUIRE_FALSE(etcd::parseStoredConfig("7"));
}
