#include "adapters/status_render.h"

#include "adapters/zmq_peers.h"

#include <boost/json.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace cuminscale
{

namespace json = boost::json;

namespace
{

json::object renderAgent(const AgentSummary &summary)
{
    return json::object{{"process", toString(summary.agent)},   {"service", summary.service},
                        {"failure_domain", summary.domain},     {"slots", summary.slots},
                        {"free_slots", summary.freeSlots},      {"queued", summary.queued},
                        {"revision", summary.revision.value()}, {"leaving", summary.leaving}};
}

void addMetric(std::string &text, const std::string &name, const std::string &labels, const std::string &value)
{
    text += "cuminscale_" + name + labels + " " + value + "\n";
}

void addTraffic(std::string &text, const char *trafficClass, const char *direction, const Traffic &traffic)
{
    const std::string labels = std::string("{class=\"") + trafficClass + "\",direction=\"" + direction + "\"}";
    addMetric(text, "peer_messages_total", labels, std::to_string(traffic.messages.load()));
    addMetric(text, "peer_bytes_total", labels, std::to_string(traffic.bytes.load()));
}

} // namespace

ProcessUsage readProcessUsage()
{
    ProcessUsage usage;
    rusage self{};
    getrusage(RUSAGE_SELF, &self);
    constexpr double SecondsPerMicrosecond = 1e-6;
    usage.cpuSeconds = static_cast<double>(self.ru_utime.tv_sec + self.ru_stime.tv_sec)
        + SecondsPerMicrosecond * static_cast<double>(self.ru_utime.tv_usec + self.ru_stime.tv_usec);
    std::ifstream statm("/proc/self/statm");
    std::uint64_t pages = 0;
    std::uint64_t resident = 0;
    if (statm >> pages >> resident) {
        usage.residentBytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return usage;
}

std::string renderStatusJson(const StatusReport &report)
{
    json::array entries;
    for (const ProcessId &entry : report.entries) {
        entries.emplace_back(toString(entry));
    }
    json::array agents;
    for (const AgentSummary &agent : report.agents) {
        agents.push_back(renderAgent(agent));
    }
    json::object counters;
    for (std::size_t i = 0; i < static_cast<std::size_t>(Counter::Total); ++i) {
        counters[counterName(static_cast<Counter>(i))] = report.counters.get(static_cast<Counter>(i));
    }
    const json::object body{{"process", toString(report.self)},
                            {"role", report.role},
                            {"failure_domain", report.domain},
                            {"revision", report.revision.value()},
                            {"ready", report.ready},
                            {"leaving", report.leaving},
                            {"jobs", report.jobs},
                            {"waiting_tasks", report.waitingTasks},
                            {"pending_calls", report.pendingCalls},
                            {"entries", std::move(entries)},
                            {"agents", std::move(agents)},
                            {"counters", std::move(counters)}};
    return json::serialize(body) + "\n";
}

std::string renderMetrics(const StatusReport &report, const TrafficCounters &traffic, const ProcessUsage &usage,
                          std::uint64_t storeCalls)
{
    std::string text;
    for (std::size_t i = 0; i < static_cast<std::size_t>(Counter::Total); ++i) {
        const Counter counter = static_cast<Counter>(i);
        addMetric(text, std::string(counterName(counter)) + "_total", "", std::to_string(report.counters.get(counter)));
    }
    addMetric(text, "jobs", "", std::to_string(report.jobs));
    addMetric(text, "waiting_tasks", "", std::to_string(report.waitingTasks));
    addMetric(text, "pending_calls", "", std::to_string(report.pendingCalls));
    addMetric(text, "config_revision", "", std::to_string(report.revision.value()));
    addMetric(text, "known_agents", "", std::to_string(report.agents.size()));
    addMetric(text, "known_entries", "", std::to_string(report.entries.size()));
    addTraffic(text, "control", "sent", traffic.controlSent);
    addTraffic(text, "control", "received", traffic.controlReceived);
    addTraffic(text, "work", "sent", traffic.workSent);
    addTraffic(text, "work", "received", traffic.workReceived);
    addMetric(text, "store_calls_total", "", std::to_string(storeCalls));
    addMetric(text, "process_cpu_seconds_total", "", std::to_string(usage.cpuSeconds));
    addMetric(text, "process_resident_bytes", "", std::to_string(usage.residentBytes));
    return text;
}

} // namespace cuminscale
