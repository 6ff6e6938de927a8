#include "cli/commands.h"

#include "cli/check_config.h"
#include "cli/read_file.h"
#include "core/config_document.h"

#include <boost/json.hpp>

#include <chrono>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

namespace cuminscale::cli
{

namespace json = boost::json;

namespace
{

constexpr Duration CallTimeout = seconds(8);
constexpr Duration SubmitTimeout = seconds(120);
constexpr Duration ApplyTimeout = seconds(10);
constexpr Duration PollInterval = milliseconds(100);

int reportError(int code, const std::string &text)
{
    std::cerr << "cuminscale: " << text << "\n";
    return code;
}

json::object parseBody(const std::string &body)
{
    json::error_code ec;
    const json::value value = json::parse(body, ec);
    return !ec && value.is_object() ? value.get_object() : json::object();
}

std::string fieldText(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return std::string();
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

/// Returns the exit code for a response, and reports an error on standard error.
int reportAnswer(const CallAnswer &answer)
{
    if (answer.end == CallEnd::Unreachable) {
        return reportError(ExitUnreachable, "no process could be reached at the given addresses; nothing was sent.");
    }
    if (answer.end == CallEnd::Lost) {
        return reportError(ExitUnknown, "the request was sent, but no answer arrived; repeat it with the same id.");
    }
    const json::object body = parseBody(answer.body);
    const std::string reason = body.contains("error") ? fieldText(body, "error") : fieldText(body, "reason");
    switch (answer.status) {
    case 200:
    case 202:
        return ExitOk;
    case 409:
        return reportError(ExitConflict,
                           reason.empty() ? "conflict with another change; apply again with the revision in the answer as base."
                                          : reason);
    case 502:
        return reportError(ExitFailed, "the job ran and failed: " + reason);
    case 504:
    case 410:
        return reportError(ExitUnknown, reason);
    default:
        return reportError(answer.outcome == "not-run" ? ExitNotRun : ExitUnknown, reason);
    }
}

int readDocument(const std::string &path, std::string &text)
{
    if (!readFile(path, text)) {
        return reportError(ExitUsage, path + ": could not be opened.");
    }
    ConfigError error;
    if (!parseConfigDocument(text, error)) {
        return reportError(ExitUsage, path + ": " + error.path + ": " + error.reason + ".");
    }
    return ExitOk;
}

int check(const Context &context, const std::vector<std::string> &arguments)
{
    std::string text;
    const int code = readDocument(arguments[0], text);
    if (code == ExitOk && !context.json) {
        std::cout << arguments[0] << ": ok\n";
    }
    return code;
}

/// Sends a GET request to an operator address. With --json prints the body and returns nullopt; otherwise returns the body for
/// the caller to print, or nullopt after an error. Sets `code` to the exit code.
std::optional<json::object> fetch(const Context &context, const char *target, int &code)
{
    Client client(context.operatorEndpoints);
    const CallAnswer answer = client.call("GET", target, "", CallTimeout);
    code = reportAnswer(answer);
    if (code == ExitOk && context.json) {
        std::cout << answer.body;
    }
    return code == ExitOk && !context.json ? std::optional<json::object>(parseBody(answer.body)) : std::nullopt;
}

int show(const Context &context, const std::vector<std::string> &)
{
    int code = ExitOk;
    if (const std::optional<json::object> body = fetch(context, "/v1/config", code)) {
        std::cout << "revision " << fieldText(*body, "revision") << ", change " << fieldText(*body, "change_id") << "\n"
                  << fieldText(*body, "document") << "\n";
    }
    return code;
}

/// The lowest configuration revision in a status report, over the reporting process and the agents that it knows.
std::uint64_t lowestRevision(const json::object &status)
{
    std::uint64_t lowest = status.at("revision").to_number<std::uint64_t>();
    for (const json::value &agent : status.at("agents").as_array()) {
        lowest = std::min(lowest, agent.at("revision").to_number<std::uint64_t>());
    }
    return lowest;
}

int waitUntilApplied(const Context &context, std::uint64_t revision)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < ApplyTimeout) {
        bool everywhere = true;
        for (const Endpoint &endpoint : context.operatorEndpoints) {
            Client client({endpoint});
            const CallAnswer answer = client.call("GET", "/v1/status", "", CallTimeout);
            const json::object status = parseBody(answer.body);
            everywhere = everywhere && status.contains("agents") && lowestRevision(status) >= revision;
        }
        if (everywhere) {
            const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
            std::cout << "active on every process after " << took.count() << " s\n";
            return ExitOk;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return reportError(ExitUnknown,
                       "the change was accepted, but not every process has reported it yet; see 'cuminscale status'.");
}

std::string randomChangeId()
{
    std::random_device device;
    std::ostringstream id;
    id << "change-" << std::hex << device() << device();
    return id.str();
}

int apply(const Context &context, const std::vector<std::string> &arguments)
{
    std::string text;
    const int checked = readDocument(arguments[0], text);
    if (checked != ExitOk) {
        return checked;
    }
    Client client(context.operatorEndpoints);
    std::uint64_t baseRevision = context.baseRevision;
    if (!context.hasBaseRevision) {
        const CallAnswer current = client.call("GET", "/v1/config", "", CallTimeout);
        const int code = reportAnswer(current);
        if (code != ExitOk) {
            return code;
        }
        baseRevision = parseBody(current.body).at("revision").to_number<std::uint64_t>();
    }
    const std::string changeId = context.changeId.empty() ? randomChangeId() : context.changeId;
    const CallAnswer answer =
        client.call("PUT", "/v1/config?base=" + std::to_string(baseRevision) + "&change=" + changeId, text, CallTimeout);
    const int code = reportAnswer(answer);
    if (context.json) {
        std::cout << answer.body;
    }
    if (code == ExitConflict && !context.json) {
        const json::object other = parseBody(answer.body);
        std::cout << "The other change is " << fieldText(other, "change_id") << ", revision " << fieldText(other, "revision")
                  << ":\n"
                  << fieldText(other, "document") << "\n";
    }
    if (code == ExitUnknown) {
        std::cerr << "cuminscale: to repeat this apply safely, use --base " << baseRevision << " --change " << changeId << "\n";
    }
    if (code != ExitOk) {
        return code;
    }
    const std::uint64_t revision = parseBody(answer.body).at("revision").to_number<std::uint64_t>();
    if (!context.json) {
        std::cout << "accepted as revision " << revision << ", change " << changeId << "\n";
    }
    return context.wait ? waitUntilApplied(context, revision) : ExitOk;
}

int status(const Context &context, const std::vector<std::string> &)
{
    int code = ExitOk;
    const std::optional<json::object> answer = fetch(context, "/v1/status", code);
    if (!answer) {
        return code;
    }
    const json::object &body = *answer;
    std::cout << fieldText(body, "role") << " " << fieldText(body, "process") << " in " << fieldText(body, "failure_domain")
              << ", revision " << fieldText(body, "revision") << "\nentries:\n";
    for (const json::value &entry : body.at("entries").as_array()) {
        std::cout << "  " << entry.as_string().c_str() << "\n";
    }
    std::cout << "agents:\n";
    for (const json::value &item : body.at("agents").as_array()) {
        const json::object &agent = item.as_object();
        std::cout << "  " << fieldText(agent, "process") << "  " << fieldText(agent, "service") << "  "
                  << fieldText(agent, "failure_domain") << "  free " << fieldText(agent, "free_slots") << "/"
                  << fieldText(agent, "slots") << "  offers " << fieldText(agent, "queued") << "  revision "
                  << fieldText(agent, "revision") << (fieldText(agent, "leaving") == "true" ? "  leaving" : "") << "\n";
    }
    return code;
}

int submit(const Context &context, const std::vector<std::string> &arguments)
{
    std::string text;
    if (!readFile(arguments[1], text)) {
        return reportError(ExitUsage, arguments[1] + ": could not be opened.");
    }
    Client client(context.callerEndpoints);
    std::string id = context.id;
    CallAnswer answer;
    if (id.empty()) {
        answer = client.submitNew(arguments[0], text, SubmitTimeout, id);
        std::cerr << "id " << id << "\n";
    } else {
        answer = client.submit(arguments[0], id, text, SubmitTimeout);
    }
    if (!answer.body.empty()) {
        std::cout << answer.body;
    }
    return reportAnswer(answer);
}

int cancel(const Context &context, const std::vector<std::string> &arguments)
{
    Client client(context.callerEndpoints);
    const CallAnswer answer = client.call(
        "DELETE", "/v1/services/" + arguments[0] + "/jobs/" + arguments[1] + "?member=" + arguments[2], "", CallTimeout);
    std::cout << answer.body;
    return reportAnswer(answer);
}

int trace(const Context &context, const std::vector<std::string> &arguments)
{
    int code = ExitUnreachable;
    for (const Endpoint &endpoint : context.operatorEndpoints) {
        Client client({endpoint});
        const CallAnswer answer = client.call("GET", "/v1/traces/" + arguments[0], "", CallTimeout);
        if (answer.end != CallEnd::Answered || answer.status != 200) {
            continue;
        }
        code = ExitOk;
        if (context.json) {
            std::cout << answer.body;
            continue;
        }
        const json::value body = json::parse(answer.body);
        for (const json::value &span : body.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").as_array()) {
            const json::object &fields = span.as_object();
            const double start = std::stod(fieldText(fields, "startTimeUnixNano"));
            const double end = std::stod(fieldText(fields, "endTimeUnixNano"));
            constexpr double NanosPerMs = 1e6;
            std::cout << fieldText(fields, "spanId") << "  parent " << fieldText(fields, "parentSpanId") << "  "
                      << fieldText(fields, "name") << "  " << (end - start) / NanosPerMs << " ms  "
                      << span.at("attributes").at(0).at("value").at("stringValue").as_string().c_str() << "  "
                      << span.at("attributes").at(1).at("value").at("stringValue").as_string().c_str() << "\n";
        }
    }
    return code == ExitOk ? code : reportError(code, "no process answered at the given addresses.");
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> All{
        {"check", "FILE", "checks a configuration without sending it", check, 1},
        {"check-config", "FILE", "checks a configuration of the platform; with --against, compares it with that in force",
         checkConfigFile, 1},
        {"apply", "FILE", "activates a configuration; with --wait, returns once every process reports it", apply, 1},
        {"show", "", "prints the active configuration", show, 0},
        {"status", "", "prints the known processes with their revisions and slots", status, 0},
        {"submit", "SERVICE FILE", "submits a job and resubmits it under the same id until its outcome is known", submit, 2},
        {"cancel", "SERVICE ID MEMBER", "cancels a job on behalf of the member that submitted it", cancel, 3},
        {"trace", "TRACE-ID", "prints the spans of a trace that the processes have kept", trace, 1},
    };
    return All;
}

} // namespace cuminscale::cli
