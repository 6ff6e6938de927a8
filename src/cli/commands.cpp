#include "cli/commands.h"

#include "core/config_document.h"

#include <boost/json.hpp>

#include <chrono>
#include <fstream>
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
constexpr Duration WaitForAll = seconds(10);
constexpr Duration PollEvery = milliseconds(100);

int complain(int code, const std::string &text)
{
    std::cerr << "cuminscale: " << text << "\n";
    return code;
}

bool readFile(const std::string &path, std::string &text)
{
    std::ifstream file(path);
    if (!file) {
        return false;
    }
    std::ostringstream all;
    all << file.rdbuf();
    text = all.str();
    return true;
}

json::object parseBody(const std::string &body)
{
    json::error_code ec;
    const json::value value = json::parse(body, ec);
    return !ec && value.is_object() ? value.get_object() : json::object();
}

std::string textOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return std::string();
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

/// The exit code and, where something went wrong, one sentence about it.
int conclude(const CallAnswer &answer)
{
    if (answer.end == CallEnd::Unreachable) {
        return complain(ExitUnreachable, "no process answered at the addresses given; nothing was sent.");
    }
    if (answer.end == CallEnd::Lost) {
        return complain(ExitUnknown, "the answer was lost; ask again with the same id.");
    }
    const json::object body = parseBody(answer.body);
    const std::string reason = body.contains("error") ? textOf(body, "error") : textOf(body, "reason");
    switch (answer.status) {
    case 200:
    case 202:
        return ExitOk;
    case 409:
        return complain(ExitConflict,
                        reason.empty() ? "another change came first; see the answer and apply to its revision." : reason);
    case 502:
        return complain(ExitFailed, "the work ran and failed: " + reason);
    case 504:
    case 410:
        return complain(ExitUnknown, reason);
    default:
        return complain(answer.outcome == "not-run" ? ExitNotRun : ExitUnknown, reason);
    }
}

int readDocument(const std::string &path, std::string &text)
{
    if (!readFile(path, text)) {
        return complain(ExitUsage, path + ": can't be opened.");
    }
    ConfigError error;
    if (!parseConfigDocument(text, error)) {
        return complain(ExitUsage, path + ": " + error.path + ": " + error.reason + ".");
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

/// Asks an operator door. With --json prints the answer as it is; otherwise returns what is to be printed.
std::optional<json::object> fetch(const Context &context, const char *target, int &code)
{
    Client client(context.operators);
    const CallAnswer answer = client.call("GET", target, "", CallTimeout);
    code = conclude(answer);
    if (code == ExitOk && context.json) {
        std::cout << answer.body;
    }
    return code == ExitOk && !context.json ? std::optional<json::object>(parseBody(answer.body)) : std::nullopt;
}

int show(const Context &context, const std::vector<std::string> &)
{
    int code = ExitOk;
    if (const std::optional<json::object> body = fetch(context, "/v1/config", code)) {
        std::cout << "revision " << textOf(*body, "revision") << ", change " << textOf(*body, "change_id") << "\n"
                  << textOf(*body, "document") << "\n";
    }
    return code;
}

/// The lowest revision that any process reports.
std::uint64_t lowestRevision(const json::object &status)
{
    std::uint64_t lowest = status.at("revision").to_number<std::uint64_t>();
    for (const json::value &agent : status.at("agents").as_array()) {
        lowest = std::min(lowest, agent.at("revision").to_number<std::uint64_t>());
    }
    return lowest;
}

int waitUntilInForce(const Context &context, std::uint64_t revision)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < WaitForAll) {
        bool everywhere = true;
        for (const Endpoint &endpoint : context.operators) {
            Client client({endpoint});
            const CallAnswer answer = client.call("GET", "/v1/status", "", CallTimeout);
            const json::object status = parseBody(answer.body);
            everywhere = everywhere && status.contains("agents") && lowestRevision(status) >= revision;
        }
        if (everywhere) {
            const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
            std::cout << "in force at every process after " << took.count() << " s\n";
            return ExitOk;
        }
        std::this_thread::sleep_for(PollEvery);
    }
    return complain(ExitUnknown, "the change is accepted, but some process has not reported it; see 'cuminscale status'.");
}

std::string drawChangeId()
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
    Client client(context.operators);
    std::uint64_t base = context.base;
    if (!context.hasBase) {
        const CallAnswer current = client.call("GET", "/v1/config", "", CallTimeout);
        const int code = conclude(current);
        if (code != ExitOk) {
            return code;
        }
        base = parseBody(current.body).at("revision").to_number<std::uint64_t>();
    }
    const std::string change = context.change.empty() ? drawChangeId() : context.change;
    const CallAnswer answer =
        client.call("PUT", "/v1/config?base=" + std::to_string(base) + "&change=" + change, text, CallTimeout);
    const int code = conclude(answer);
    if (context.json) {
        std::cout << answer.body;
    }
    if (code == ExitConflict && !context.json) {
        const json::object other = parseBody(answer.body);
        std::cout << "The other change is " << textOf(other, "change_id") << ", revision " << textOf(other, "revision") << ":\n"
                  << textOf(other, "document") << "\n";
    }
    if (code == ExitUnknown) {
        std::cerr << "cuminscale: repeat with --base " << base << " --change " << change << "\n";
    }
    if (code != ExitOk) {
        return code;
    }
    const std::uint64_t revision = parseBody(answer.body).at("revision").to_number<std::uint64_t>();
    if (!context.json) {
        std::cout << "accepted as revision " << revision << ", change " << change << "\n";
    }
    return context.wait ? waitUntilInForce(context, revision) : ExitOk;
}

int status(const Context &context, const std::vector<std::string> &)
{
    int code = ExitOk;
    const std::optional<json::object> answer = fetch(context, "/v1/status", code);
    if (!answer) {
        return code;
    }
    const json::object &body = *answer;
    std::cout << textOf(body, "role") << " " << textOf(body, "process") << " in " << textOf(body, "failure_domain")
              << ", revision " << textOf(body, "revision") << "\nentries:\n";
    for (const json::value &entry : body.at("entries").as_array()) {
        std::cout << "  " << entry.as_string().c_str() << "\n";
    }
    std::cout << "agents:\n";
    for (const json::value &item : body.at("agents").as_array()) {
        const json::object &agent = item.as_object();
        std::cout << "  " << textOf(agent, "process") << "  " << textOf(agent, "service") << "  "
                  << textOf(agent, "failure_domain") << "  free " << textOf(agent, "free_slots") << "/" << textOf(agent, "slots")
                  << "  offers " << textOf(agent, "queued") << "  revision " << textOf(agent, "revision")
                  << (textOf(agent, "leaving") == "true" ? "  leaving" : "") << "\n";
    }
    return code;
}

int submit(const Context &context, const std::vector<std::string> &arguments)
{
    std::string text;
    if (!readFile(arguments[1], text)) {
        return complain(ExitUsage, arguments[1] + ": can't be opened.");
    }
    Client client(context.callers);
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
    return conclude(answer);
}

int cancel(const Context &context, const std::vector<std::string> &arguments)
{
    Client client(context.callers);
    const CallAnswer answer = client.call(
        "DELETE", "/v1/services/" + arguments[0] + "/jobs/" + arguments[1] + "?member=" + arguments[2], "", CallTimeout);
    std::cout << answer.body;
    return conclude(answer);
}

int trace(const Context &context, const std::vector<std::string> &arguments)
{
    int code = ExitUnreachable;
    for (const Endpoint &endpoint : context.operators) {
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
            const double start = std::stod(textOf(fields, "startTimeUnixNano"));
            const double end = std::stod(textOf(fields, "endTimeUnixNano"));
            constexpr double NanosPerMs = 1e6;
            std::cout << textOf(fields, "spanId") << "  parent " << textOf(fields, "parentSpanId") << "  "
                      << textOf(fields, "name") << "  " << (end - start) / NanosPerMs << " ms  "
                      << span.at("attributes").at(0).at("value").at("stringValue").as_string().c_str() << "  "
                      << span.at("attributes").at(1).at("value").at("stringValue").as_string().c_str() << "\n";
        }
    }
    return code == ExitOk ? code : complain(code, "no process answered at the addresses given.");
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> All{
        {"check", "FILE", "checks a configuration without sending it", check, 1},
        {"apply", "FILE", "puts a configuration in force; --wait returns once every process reports it", apply, 1},
        {"show", "", "prints the configuration in force", show, 0},
        {"status", "", "prints the processes, their revisions and their slots", status, 0},
        {"submit", "SERVICE FILE", "submits a job and resubmits it under the same id until its outcome is known", submit, 2},
        {"cancel", "SERVICE ID MEMBER", "cancels a job in the name of its member", cancel, 3},
        {"trace", "TRACE-ID", "prints the spans that the processes keep of a trace", trace, 1},
    };
    return All;
}

} // namespace cuminscale::cli
