#include "cli/check_config.h"

#include "cli/read_file.h"
#include "core/dispatch/config_check.h"
#include "platform/config_document.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <memory>

namespace cuminscale::cli
{

namespace json = boost::json;

namespace
{

using dispatch::ConfigFinding;
using dispatch::FindingSeverity;
using dispatch::QueueConfig;

const char *severityName(FindingSeverity severity)
{
    switch (severity) {
    case FindingSeverity::Error:
        return "error";
    case FindingSeverity::Warning:
        return "warning";
    case FindingSeverity::Change:
        return "change";
    }
    return "";
}

/// Parses a document; returns nullptr and adds an error that names the file if the processes would reject it.
std::shared_ptr<const QueueConfig> parseOrReport(const std::string &path, const std::string &text,
                                                 std::vector<ConfigFinding> &findings)
{
    std::string reason;
    std::shared_ptr<const QueueConfig> config = platform::parseConfig(text, reason);
    if (!config) {
        findings.push_back({FindingSeverity::Error, std::string(), path + " is rejected: " + reason});
    }
    return config;
}

void append(std::vector<ConfigFinding> &findings, const std::vector<ConfigFinding> &more)
{
    findings.insert(findings.end(), more.begin(), more.end());
}

void print(const std::string &path, const std::vector<ConfigFinding> &findings)
{
    for (const ConfigFinding &finding : findings) {
        std::cout << severityName(finding.severity) << ": "
                  << (finding.queue.empty() ? std::string() : "queue \"" + finding.queue + "\": ") << finding.text << "\n";
    }
    const auto count = [&findings](FindingSeverity severity) {
        return std::count_if(findings.begin(), findings.end(),
                             [severity](const ConfigFinding &finding) { return finding.severity == severity; });
    };
    std::cout << path << ": " << count(FindingSeverity::Error) << " errors, " << count(FindingSeverity::Warning) << " warnings, "
              << count(FindingSeverity::Change) << " changes\n";
}

void printJson(const std::vector<ConfigFinding> &findings)
{
    json::array items;
    for (const ConfigFinding &finding : findings) {
        items.push_back(
            json::object{{"severity", severityName(finding.severity)}, {"queue", finding.queue}, {"text", finding.text}});
    }
    std::cout << json::object{{"findings", std::move(items)}} << "\n";
}

} // namespace

int checkConfigFile(const Context &context, const std::vector<std::string> &arguments)
{
    const std::string &path = arguments[0];
    std::string text;
    std::string textInForce;
    for (const auto &[name, content] : {std::pair(path, &text), std::pair(context.against, &textInForce)}) {
        if (!name.empty() && !readFile(name, *content)) {
            std::cerr << "cuminscale: " << name << ": could not be read.\n";
            return ExitUsage;
        }
    }
    std::vector<ConfigFinding> findings;
    const std::shared_ptr<const QueueConfig> config = parseOrReport(path, text, findings);
    if (config) {
        const platform::ServiceList services = platform::readServiceNames(text);
        if (services.malformed) {
            findings.push_back({FindingSeverity::Warning, std::string(),
                                "the list of services can't be read; the services of the queues are not checked"});
        }
        append(findings, dispatch::checkConfig(*config, services.names));
    }
    if (!context.against.empty()) {
        const std::shared_ptr<const QueueConfig> inForce = parseOrReport(context.against, textInForce, findings);
        if (config && inForce) {
            append(findings, dispatch::compareConfigs(*inForce, *config));
        }
    }
    if (context.json) {
        printJson(findings);
    } else {
        print(path, findings);
    }
    const bool hasErrors = std::any_of(findings.begin(), findings.end(),
                                       [](const ConfigFinding &finding) { return finding.severity == FindingSeverity::Error; });
    return hasErrors ? ExitFailed : ExitOk;
}

} // namespace cuminscale::cli
