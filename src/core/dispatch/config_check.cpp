#include "core/dispatch/config_check.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cuminscale::dispatch
{

namespace
{

/// Shortest run time that a job can state for its critical path.
constexpr Duration ShortestRun = milliseconds(1);

std::string formatValue(const std::string &value)
{
    return "\"" + value + "\"";
}

std::string formatValue(std::uint64_t value)
{
    return std::to_string(value);
}

std::string formatValue(Duration value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count()) + " ms";
}

std::string formatValue(bool value)
{
    return value ? "true" : "false";
}

/// Formats with as many digits as distinguish the value from all others, so that a change is never shown between equal texts.
std::string formatValue(double value)
{
    constexpr std::size_t MaxDigits = 32;
    std::array<char, MaxDigits> buf{};
    const std::to_chars_result result = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), result.ptr};
}

/// Adds "FIELD: OLD -> NEW" to a comma-separated list if the values differ.
template <typename T>
void appendChange(std::string &changes, const char *field, const T &before, const T &after)
{
    if (before != after) {
        changes += (changes.empty() ? "" : ", ") + std::string(field) + ": " + formatValue(before) + " -> " + formatValue(after);
    }
}

std::string describeChanges(const QueueRule &before, const QueueRule &after)
{
    std::string changes;
    appendChange(changes, "host", before.host, after.host);
    appendChange(changes, "prefix", before.prefix, after.prefix);
    appendChange(changes, "service", before.service, after.service);
    appendChange<std::uint64_t>(changes, "urgency", before.urgency, after.urgency);
    appendChange<std::uint64_t>(changes, "attempts", before.maxAttempts, after.maxAttempts);
    appendChange(changes, "timeout", before.timeout, after.timeout);
    appendChange(changes, "latency objective", before.latencyObjective, after.latencyObjective);
    appendChange(changes, "work factor", before.workFactor, after.workFactor);
    appendChange(changes, "needs advice", before.needsAdvice, after.needsAdvice);
    return changes;
}

std::string describeChanges(const RequestLimits &before, const RequestLimits &after)
{
    std::string changes;
    appendChange<std::uint64_t>(changes, "header bytes", before.maxHeaderBytes, after.maxHeaderBytes);
    appendChange<std::uint64_t>(changes, "body bytes", before.maxBodyBytes, after.maxBodyBytes);
    appendChange(changes, "header timeout", before.headerTimeout, after.headerTimeout);
    appendChange(changes, "idle timeout", before.idleTimeout, after.idleTimeout);
    return changes;
}

/// Reports limits of a queue that can't all be kept. A timeout of 0 means no limit.
void checkLimits(const QueueRule &queue, std::vector<ConfigFinding> &findings)
{
    if (queue.timeout == Duration(0)) {
        return;
    }
    const Duration objective = Duration(static_cast<Duration::rep>(static_cast<double>(ShortestRun.count()) * queue.workFactor))
        + queue.latencyObjective;
    const Duration attempt = std::max(objective, ShortestRun);
    if (objective > queue.timeout) {
        findings.push_back({FindingSeverity::Warning, queue.name,
                            "the latency objective of the shortest possible job, " + formatValue(objective)
                                + ", is beyond the timeout of " + formatValue(queue.timeout)});
    } else if (queue.maxAttempts > queue.timeout / attempt) {
        findings.push_back({FindingSeverity::Warning, queue.name,
                            std::to_string(queue.maxAttempts) + " attempts of " + formatValue(attempt)
                                + ", the latency objective of the shortest possible job, do not fit in the timeout of "
                                + formatValue(queue.timeout)});
    }
}

void checkPrefix(const QueueRule &queue, std::vector<ConfigFinding> &findings)
{
    if (queue.prefix.empty() || queue.prefix.front() != '/' || queue.prefix.back() != '/') {
        findings.push_back(
            {FindingSeverity::Error, queue.name, "the prefix " + formatValue(queue.prefix) + " must begin and end with \"/\""});
    }
}

using QueuesByName = std::unordered_map<std::string_view, const QueueRule *>;

QueuesByName indexByName(const QueueConfig &config)
{
    QueuesByName result;
    result.reserve(config.queues.size());
    for (const std::shared_ptr<const QueueRule> &queue : config.queues) {
        result.emplace(queue->name, queue.get());
    }
    return result;
}

} // namespace

std::vector<ConfigFinding> checkConfig(const QueueConfig &config, const std::optional<std::vector<std::string>> &services)
{
    std::vector<ConfigFinding> findings;
    std::unordered_set<std::string_view> names;
    std::map<std::pair<std::string_view, std::string_view>, const QueueRule *> routes;
    std::unordered_set<std::string_view> knownServices;
    if (services) {
        knownServices.insert(services->begin(), services->end());
    }
    const QueueRule *longest = nullptr;
    for (const std::shared_ptr<const QueueRule> &queue : config.queues) {
        if (!names.insert(queue->name).second) {
            findings.push_back({FindingSeverity::Error, queue->name, "an earlier queue has the same name"});
        }
        checkPrefix(*queue, findings);
        if (services && !knownServices.contains(queue->service)) {
            findings.push_back({FindingSeverity::Error, queue->name,
                                "the service " + formatValue(queue->service) + " is not in the list of services"});
        }
        // QueueConfig::match() takes the longest matching prefix of the host and, of equally long ones, the first. Two matching
        // prefixes of one length are equal, so only a queue with the same host and prefix can hide another completely.
        const auto [route, isNew] = routes.try_emplace({queue->host, queue->prefix}, queue.get());
        if (!isNew) {
            findings.push_back({FindingSeverity::Warning, queue->name,
                                "never matches: the earlier queue " + formatValue(route->second->name) + " has the same host "
                                    + formatValue(queue->host) + " and prefix " + formatValue(queue->prefix)});
        }
        checkLimits(*queue, findings);
        if (longest == nullptr || queue->timeout > longest->timeout) {
            longest = queue.get();
        }
    }
    if (longest != nullptr && config.limits.idleTimeout < longest->timeout) {
        findings.push_back({FindingSeverity::Warning, std::string(),
                            "the idle timeout of " + formatValue(config.limits.idleTimeout)
                                + " is below the longest timeout of a queue, " + formatValue(longest->timeout) + " of "
                                + formatValue(longest->name)});
    }
    return findings;
}

std::vector<ConfigFinding> compareConfigs(const QueueConfig &inForce, const QueueConfig &next)
{
    std::vector<ConfigFinding> findings;
    // Entries and agents ignore a document unless its version is higher than theirs.
    if (next.version <= inForce.version) {
        findings.push_back({FindingSeverity::Error, std::string(),
                            "the version " + std::to_string(next.version) + " must be higher than that in force, "
                                + std::to_string(inForce.version)});
    }
    const QueuesByName before = indexByName(inForce);
    const QueuesByName after = indexByName(next);
    for (const std::shared_ptr<const QueueRule> &queue : inForce.queues) {
        if (before.at(queue->name) == queue.get() && !after.contains(queue->name)) {
            findings.push_back({FindingSeverity::Change, queue->name, "removed"});
        }
    }
    for (const std::shared_ptr<const QueueRule> &queue : next.queues) {
        if (after.at(queue->name) != queue.get()) {
            continue;
        }
        const QueuesByName::const_iterator it = before.find(queue->name);
        if (it == before.end()) {
            findings.push_back({FindingSeverity::Change, queue->name, "added"});
            continue;
        }
        const std::string changes = describeChanges(*it->second, *queue);
        if (!changes.empty()) {
            findings.push_back({FindingSeverity::Change, queue->name, "changed: " + changes});
        }
    }
    const std::string changes = describeChanges(inForce.limits, next.limits);
    if (!changes.empty()) {
        findings.push_back({FindingSeverity::Change, std::string(), "limits changed: " + changes});
    }
    return findings;
}

} // namespace cuminscale::dispatch
