#include "adapters/caller_api.h"

#include "adapters/status_render.h"
#include "adapters/trace_header.h"
#include "core/json_reader.h"
#include "core/refusal.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>

namespace cuminscale
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

constexpr std::uint64_t MaxDeadlineMs = 3'600'000;
constexpr std::uint64_t MaxDeclaredMs = 86'400'000;
constexpr std::uint64_t MaxDeclaredBytes = 1ULL << 50U;
constexpr std::size_t MaxNameBytes = 64;

/// A request target, split into path segments and query parameters. Percent-encoding is not decoded.
struct Target
{
    std::vector<std::string> path;
    std::vector<std::pair<std::string, std::string>> query;

    /// Returns the value of the first query parameter with this name, or an empty string if there is none.
    std::string parameter(std::string_view name) const
    {
        for (const std::pair<std::string, std::string> &field : query) {
            if (field.first == name) {
                return field.second;
            }
        }
        return std::string();
    }
};

/// Splits a text and leaves out empty parts.
std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        if (end > 0) {
            parts.emplace_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

Target parseTarget(std::string_view text)
{
    Target target;
    const std::size_t queryStart = std::min(text.find('?'), text.size());
    target.path = split(text.substr(0, queryStart), '/');
    for (const std::string &field : split(text.substr(std::min(queryStart + 1, text.size())), '&')) {
        const std::size_t equals = std::min(field.find('='), field.size());
        target.query.emplace_back(field.substr(0, equals), field.substr(std::min(equals + 1, field.size())));
    }
    return target;
}

leaf::error_id fail(std::string path, std::string reason)
{
    return leaf::new_error(JsonError{std::move(path), std::move(reason)});
}

/// Parses an unsigned integer query parameter, up to `maxValue`. Returns the fallback if it is missing or empty.
leaf::result<std::uint64_t> parseNumber(const Target &target, std::string_view name, std::uint64_t fallback,
                                        std::uint64_t maxValue)
{
    const std::string text = target.parameter(name);
    if (text.empty()) {
        return fallback;
    }
    std::uint64_t n = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), n);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || n > maxValue) {
        return fail(std::string(name), "must be a non-negative integer of at most " + std::to_string(maxValue));
    }
    return n;
}

leaf::result<bool> parseFlag(const Target &target, std::string_view name, bool fallback)
{
    const std::string text = target.parameter(name);
    if (text.empty()) {
        return fallback;
    }
    if (text != "true" && text != "false") {
        return fail(std::string(name), "must be true or false");
    }
    return text == "true";
}

leaf::result<SubmissionId> parseId(const std::string &text)
{
    const std::optional<SubmissionId> id = parseSubmissionId(text);
    if (!id) {
        return fail("id", "is not a valid submission id");
    }
    return *id;
}

/// Hashes the service and the request body. The digest identifies the content of a submission, so that a resubmission under the
/// same id with different content is detected.
Digest computeDigest(const std::string &service, const std::string &body)
{
    const XXH64_hash_t seed = XXH3_64bits(service.data(), service.size());
    const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), seed);
    return Digest{hash.high64, hash.low64};
}

/// Returns the trace context of the traceparent header. Without a valid header, creates a context with a new non-zero trace id,
/// which is sampled for one request in `samplingInterval`, or never if that is 0.
TraceContext makeTraceContext(const HttpRequest &request, const Digest &digest, std::uint32_t samplingInterval)
{
    const std::optional<TraceContext> given = parseTraceparent(request.header("traceparent"));
    if (given) {
        return *given;
    }
    static std::uint64_t number = 0;
    ++number;
    const bool sampled = samplingInterval != 0 && number % samplingInterval == 0;
    const std::uint64_t idLow = combineHash(static_cast<std::size_t>(number), digest.low);
    return TraceContext{digest.high | 1U, idLow | 1U, 0, sampled};
}

leaf::result<TaskSpec> readTask(const JsonObject &object)
{
    TaskSpec task;
    BOOST_LEAF_ASSIGN(task.payload, object.string("payload", ""));
    BOOST_LEAF_AUTO(runMs, object.integer("run_ms", 0, 0, MaxDeclaredMs));
    BOOST_LEAF_ASSIGN(task.declaredBytes, object.integer("bytes", 0, 0, MaxDeclaredBytes));
    task.declaredRun = milliseconds(runMs);
    return task;
}

leaf::result<std::string> readName(const JsonObject &object, std::string_view key)
{
    BOOST_LEAF_AUTO(name, object.requiredString(key));
    if (name.size() > MaxNameBytes) {
        return object.fail(key, "is longer than 64 bytes");
    }
    return name;
}

leaf::result<void> readCommonFields(const JsonObject &object, JobSpec &spec, Duration &deadline)
{
    BOOST_LEAF_ASSIGN(spec.member, readName(object, "member"));
    BOOST_LEAF_ASSIGN(spec.kind, readName(object, "kind"));
    BOOST_LEAF_ASSIGN(spec.repeatable, object.boolean("repeatable", false));
    BOOST_LEAF_AUTO(deadlineMs, object.integer("deadline_ms", 0, 0, MaxDeadlineMs));
    deadline = milliseconds(deadlineMs);
    return {};
}

leaf::result<std::shared_ptr<JobSpec>> makeJobSpec(const HttpRequest &request, const std::string &service,
                                                   const ApiLimits &limits)
{
    if (service.size() > MaxNameBytes) {
        return fail("service", "is longer than 64 bytes");
    }
    std::shared_ptr<JobSpec> spec = std::make_shared<JobSpec>();
    spec->service = service;
    spec->digest = computeDigest(service, request.body);
    spec->trace = makeTraceContext(request, spec->digest, limits.traceSamplingInterval);
    return spec;
}

leaf::result<CallerRequest> parseJob(const HttpRequest &request, const Target &target, const ApiLimits &limits)
{
    call::SubmitJob call;
    BOOST_LEAF_ASSIGN(call.id, parseId(target.path[4]));
    BOOST_LEAF_ASSIGN(call.wait, parseFlag(target, "wait", true));
    BOOST_LEAF_AUTO(spec, makeJobSpec(request, target.path[2], limits));
    BOOST_LEAF_AUTO(value, parseJson(request.body));
    BOOST_LEAF_AUTO(object, JsonObject::from(value, ""));
    BOOST_LEAF_CHECK(object.allow({"member", "kind", "repeatable", "deadline_ms", "tasks"}));
    BOOST_LEAF_CHECK(readCommonFields(object, *spec, call.deadline));
    BOOST_LEAF_AUTO(tasks, object.array("tasks"));
    if (tasks == nullptr || tasks->empty() || tasks->size() > limits.maxTasksPerJob) {
        return object.fail("tasks", "must be a list of 1 to " + std::to_string(limits.maxTasksPerJob) + " tasks");
    }
    spec->tasks.reserve(tasks->size());
    for (const json::value &item : *tasks) {
        const std::string path = "tasks." + std::to_string(spec->tasks.size());
        BOOST_LEAF_AUTO(task, JsonObject::from(item, path));
        BOOST_LEAF_CHECK(task.allow({"payload", "run_ms", "bytes"}));
        BOOST_LEAF_AUTO(read, readTask(task));
        spec->tasks.push_back(std::move(read));
    }
    call.spec = std::move(spec);
    return CallerRequest(std::move(call));
}

leaf::result<CallerRequest> parseRequest(const HttpRequest &request, const Target &target, const ApiLimits &limits)
{
    call::SubmitRequest call;
    BOOST_LEAF_AUTO(spec, makeJobSpec(request, target.path[2], limits));
    BOOST_LEAF_AUTO(value, parseJson(request.body));
    BOOST_LEAF_AUTO(object, JsonObject::from(value, ""));
    BOOST_LEAF_CHECK(object.allow({"member", "kind", "repeatable", "deadline_ms", "payload", "run_ms", "bytes"}));
    BOOST_LEAF_CHECK(readCommonFields(object, *spec, call.deadline));
    BOOST_LEAF_AUTO(task, readTask(object));
    spec->tasks.push_back(std::move(task));
    call.spec = std::move(spec);
    return CallerRequest(std::move(call));
}

leaf::result<CallerRequest> parseServiceCall(const HttpRequest &request, const Target &target, const ApiLimits &limits)
{
    const std::string &method = request.method;
    const std::string &resource = target.path[3];
    if (method == "POST" && resource == "ids" && target.path.size() == 4) {
        BOOST_LEAF_AUTO(count, parseNumber(target, "count", 1, limits.maxIdsPerCall));
        return CallerRequest(call::MintIds{target.path[2], static_cast<std::uint32_t>(std::max<std::uint64_t>(count, 1))});
    }
    if (method == "POST" && resource == "requests" && target.path.size() == 4) {
        return parseRequest(request, target, limits);
    }
    if (resource == "jobs" && target.path.size() == 5) {
        if (method == "PUT") {
            return parseJob(request, target, limits);
        }
        BOOST_LEAF_AUTO(id, parseId(target.path[4]));
        if (method == "GET") {
            BOOST_LEAF_AUTO(wait, parseFlag(target, "wait", false));
            return CallerRequest(call::QueryJob{id, wait});
        }
        if (method == "DELETE") {
            return CallerRequest(call::CancelJob{id, target.parameter("member")});
        }
    }
    return leaf::new_error(ApiError{404, "Unknown method or path; see docs/API.md."});
}

leaf::result<CallerRequest> parseOperatorCall(const HttpRequest &request, const Target &target)
{
    const std::string resource = target.path.size() == 2 ? target.path[1] : std::string();
    if (request.method == "GET" && resource == "status") {
        return CallerRequest(call::ShowStatus());
    }
    if (request.method == "GET" && resource == "config") {
        return CallerRequest(call::ShowConfig());
    }
    if (request.method == "PUT" && resource == "config") {
        BOOST_LEAF_AUTO(base, parseNumber(target, "base", 0, std::numeric_limits<std::int64_t>::max()));
        const std::string change = target.parameter("change");
        if (change.empty() || change.size() > MaxNameBytes) {
            return fail("change", "must be an id for this change, of 1 to 64 bytes");
        }
        return CallerRequest(call::ApplyConfig{Revision(base), change, request.body});
    }
    return leaf::new_error(ApiError{404, "Unknown method or path; see docs/API.md."});
}

leaf::result<CallerRequest> parse(const HttpRequest &request, ApiListener listener, const ApiLimits &limits)
{
    const Target target = parseTarget(request.target);
    if (target.path.empty() || target.path[0] != "v1") {
        return leaf::new_error(ApiError{404, "Unknown method or path; see docs/API.md."});
    }
    if (listener == ApiListener::Operator) {
        return parseOperatorCall(request, target);
    }
    if (target.path.size() >= 4 && target.path[1] == "services") {
        return parseServiceCall(request, target, limits);
    }
    return leaf::new_error(ApiError{404, "Unknown method or path; see docs/API.md."});
}

const char *stateName(JobState state)
{
    // Indexed by JobState.
    constexpr const char *Names[] = {"running", "refused", "complete", "failed", "conflict", "expired", "not-known"};
    return Names[static_cast<std::size_t>(state)];
}

unsigned httpStatusOf(const CallerReply &reply)
{
    const msg::JobReply &job = *reply.job;
    switch (job.state) {
    case JobState::Accepted:
        return 202;
    case JobState::Complete:
        return 200;
    case JobState::Failed:
        return job.outcomeUnknown ? 504 : 502;
    case JobState::Refused:
        return std::holds_alternative<NotRun>(reply.outcome) ? 503 : 504;
    case JobState::Conflict:
        return 409;
    case JobState::Expired:
        return 410;
    case JobState::NotKnown:
        return 404;
    }
    return 500;
}

json::object renderJob(const msg::JobReply &job, bool undecided)
{
    json::object body;
    body["id"] = toString(job.id);
    body["state"] = undecided ? "unknown" : stateName(job.state);
    if (!job.reason.empty()) {
        body["reason"] = job.reason;
    }
    if (job.state == JobState::Accepted || job.state == JobState::Failed) {
        body["done"] = job.done;
        body["total"] = job.total;
    }
    if (job.state == JobState::Complete) {
        json::array results;
        results.reserve(job.results.size());
        for (const TaskResult &result : job.results) {
            results.push_back(json::object{{"status", result.httpStatus}, {"body", result.body}, {"ran_us", result.ran.count()}});
        }
        body["results"] = std::move(results);
    }
    return body;
}

json::object renderConfigReply(const CallerReply &reply)
{
    return json::object{{"revision", reply.revision.value()}, {"change_id", reply.changeId}, {"document", reply.text}};
}

std::string serializeLine(const json::object &object)
{
    return json::serialize(object) + "\n";
}

void addHeaders(HttpResponse &response, const CallerReply &reply)
{
    response.headers = outcomeHeaders(reply.outcome);
    if (reply.trace.traceLow != 0) {
        response.headers.emplace_back("traceparent", renderTraceparent(reply.trace));
    }
}

} // namespace

std::variant<CallerRequest, ApiError> parseCall(const HttpRequest &request, ApiListener listener, const ApiLimits &limits)
{
    using Parsed = std::variant<CallerRequest, ApiError>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Parsed> {
            BOOST_LEAF_AUTO(call, parse(request, listener, limits));
            return Parsed(std::move(call));
        },
        [](const ApiError &error) -> Parsed { return error; },
        [](const JsonError &error) -> Parsed {
            return ApiError{400, error.path + ": " + error.reason + "."};
        },
        []() -> Parsed {
            return ApiError{400, "The request could not be parsed."};
        });
}

std::vector<HttpHeader> outcomeHeaders(const Outcome &outcome)
{
    std::vector<HttpHeader> headers{{"Cuminscale-Outcome", toString(outcome)}};
    if (const NotRun *notRun = std::get_if<NotRun>(&outcome); notRun != nullptr && notRun->retryAfter() > Duration::zero()) {
        headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<seconds>(notRun->retryAfter()).count()));
    }
    return headers;
}

HttpResponse renderError(const ApiError &error)
{
    HttpResponse response;
    response.status = error.status;
    response.body = serializeLine(json::object{{"error", error.reason}});
    response.headers = outcomeHeaders(Refusal::beforeSending(error.reason));
    return response;
}

HttpResponse renderReply(const CallerReply &reply)
{
    HttpResponse response;
    addHeaders(response, reply);
    switch (reply.kind) {
    case CallerReply::Kind::Ids: {
        json::array ids;
        for (const SubmissionId &id : reply.ids) {
            ids.emplace_back(toString(id));
        }
        response.body = serializeLine(json::object{{"ids", std::move(ids)}});
        break;
    }
    case CallerReply::Kind::Job:
        response.status = httpStatusOf(reply);
        response.body = serializeLine(renderJob(*reply.job, reply.undecided));
        break;
    case CallerReply::Kind::Config:
        response.body = serializeLine(renderConfigReply(reply));
        break;
    case CallerReply::Kind::Applied:
        response.status = std::holds_alternative<Unknown>(reply.outcome) ? 504 : 200;
        response.body = serializeLine(
            json::object{{"revision", reply.revision.value()}, {"change_id", reply.changeId}, {"reason", reply.text}});
        break;
    case CallerReply::Kind::Conflict:
        response.status = 409;
        response.body = serializeLine(renderConfigReply(reply));
        break;
    case CallerReply::Kind::Status:
        response.body = renderStatusJson(*reply.status);
        break;
    case CallerReply::Kind::BadRequest:
    case CallerReply::Kind::NotFound:
    case CallerReply::Kind::Refused: {
        // Indexed by the kind, counted from BadRequest.
        constexpr unsigned Statuses[] = {400, 404, 503};
        const std::size_t index = static_cast<std::size_t>(reply.kind) - static_cast<std::size_t>(CallerReply::Kind::BadRequest);
        response.status = Statuses[index];
        response.body = serializeLine(json::object{{"error", reply.text}});
        break;
    }
    }
    return response;
}

} // namespace cuminscale
