#include "core/dispatch/fleet_view.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

constexpr std::size_t MaxAgents = 4096;
/// An agent that has missed two heartbeats gets no new work.
constexpr Duration AgentStaleTimeout = milliseconds(500);

/// What is missing of a resource as a multiple of what is in use; 0 or less if nothing is missing.
double missingShare(std::int64_t missing, std::int64_t used)
{
    return static_cast<double>(missing) / static_cast<double>(std::max<std::int64_t>(used, 1));
}

} // namespace

Resources AgentView::availableFor(Duration slack, std::uint32_t urgency, TimePoint now) const
{
    Resources available = load.free;
    available.cpuMilli -= urgency == MostUrgent ? 0 : load.reservedCpuMilli;
    std::int64_t ahead = load.queued.ahead(slack + session.silence(now));
    std::int64_t unreportedAhead = 0;
    for (const UnreportedOrder &order : unreportedOrders) {
        available -= Resources{order.cpuMilli, order.memoryMb, order.accelerators};
        unreportedAhead += order.startDeadline - now <= slack ? order.cpuMilli : 0;
    }
    // The agent starts tasks as their orders arrive while it has capacity, and queues the others by latest start.
    if (available.cpuMilli < 0) {
        ahead += std::min(-available.cpuMilli, unreportedAhead);
        available.cpuMilli = 0;
    }
    // Runs that a shrunk capacity does not hold end before anything else starts.
    ahead += std::max<std::int64_t>(-load.free.cpuMilli, 0);
    available.cpuMilli -= ahead;
    return available;
}

Duration AgentView::expectedWait(const Resources &need, const Resources &free) const
{
    if (need.fits(free)) {
        return Duration(0);
    }
    // If all runs take about the time L, busy capacity B is released at the rate B / L, and the remaining work is B x L / 2.
    const std::int64_t bookedCpu = load.capacity.cpuMilli - load.free.cpuMilli;
    const double runTime = 2.0 * std::max(load.runningWork, 1.0) / static_cast<double>(std::max<std::int64_t>(bookedCpu, 1));
    const double waitedRuns =
        std::max({missingShare(need.cpuMilli - free.cpuMilli, bookedCpu),
                  missingShare(need.memoryMb - free.memoryMb, load.capacity.memoryMb - free.memoryMb),
                  missingShare(need.accelerators - free.accelerators, load.capacity.accelerators - free.accelerators)});
    return Duration(static_cast<std::int64_t>(waitedRuns * runTime));
}

std::int64_t AgentView::excessCpu() const
{
    std::int64_t excess = load.queued.total() - load.free.cpuMilli;
    for (const UnreportedOrder &order : unreportedOrders) {
        excess += order.cpuMilli;
    }
    return excess;
}

bool AgentView::hasLabel(std::string_view label) const
{
    return label.empty() || std::find(load.labels.begin(), load.labels.end(), label) != load.labels.end();
}

AgentView *FleetView::find(const Endpoint &endpoint)
{
    const Agents::iterator it = m_agents.find(endpoint);
    return it == m_agents.end() ? nullptr : &it->second;
}

AgentView *FleetView::findOrAdd(const Endpoint &endpoint, TimePoint now)
{
    if (m_agents.size() >= MaxAgents && m_agents.count(endpoint) == 0) {
        return nullptr;
    }
    AgentView &agent = m_agents.try_emplace(endpoint, now).first->second;
    agent.endpoint = endpoint;
    return &agent;
}

void FleetView::applyReport(AgentView &agent, const AgentReport &report)
{
    agent.service = report.service;
    agent.domain = report.domain;
    agent.load = report.load;
    while (!agent.unreportedOrders.empty() && agent.unreportedOrders.front().order <= report.ordersSeen) {
        agent.unreportedOrders.pop_front();
    }
}

bool FleetView::usable(const AgentView &agent, const std::string &service, TimePoint now)
{
    return agent.load.accepting && !agent.evacuated && agent.service == service && agent.session.silence(now) < AgentStaleTimeout;
}

bool FleetView::hasServerFor(const std::string &service, const Resources &need, std::string_view requiredLabel) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const Agents::value_type &item) {
        const AgentView &agent = item.second;
        return agent.service == service && !agent.evacuated && (need.fits(agent.load.capacity) || agent.load.cold > Duration(0))
            && agent.hasLabel(requiredLabel);
    });
}

std::string FleetView::summary(TimePoint now) const
{
    std::size_t usable = 0;
    std::size_t suspect = 0;
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    std::int64_t queued = 0;
    Duration oldest{0};
    double slowest = 0;
    for (const Agents::value_type &item : m_agents) {
        const AgentView &agent = item.second;
        if (!FleetView::usable(agent, agent.service, now)) {
            continue;
        }
        ++usable;
        suspect += agent.health.suspect(now) ? 1 : 0;
        capacity += agent.load.capacity.cpuMilli;
        free += agent.load.free.cpuMilli;
        queued += agent.load.queued.total();
        oldest = std::max(oldest, agent.session.silence(now));
        slowest = std::max(slowest, agent.health.slowness(now));
    }
    return "agents=" + std::to_string(m_agents.size()) + " usable=" + std::to_string(usable)
        + " suspect=" + std::to_string(suspect) + " capacity_cpu=" + std::to_string(capacity)
        + " free_cpu=" + std::to_string(free) + " queued_cpu=" + std::to_string(queued) + " slowest=" + std::to_string(slowest)
        + " oldest_report_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(oldest).count());
}

double FleetView::backlog(const std::string &service, TimePoint now) const
{
    std::int64_t excess = 0;
    std::int64_t capacity = 0;
    for (const Agents::value_type &item : m_agents) {
        if (usable(item.second, service, now)) {
            excess += item.second.excessCpu();
            capacity += item.second.load.capacity.cpuMilli;
        }
    }
    return capacity == 0 ? 0.0 : static_cast<double>(std::max<std::int64_t>(excess, 0)) / static_cast<double>(capacity);
}

double FleetView::usableCores(const std::string &service, TimePoint now) const
{
    constexpr double MilliPerCore = 1e3;
    std::int64_t capacity = 0;
    for (const Agents::value_type &item : m_agents) {
        capacity += usable(item.second, service, now) ? item.second.load.capacity.cpuMilli : 0;
    }
    return static_cast<double>(capacity) / MilliPerCore;
}

std::size_t FleetView::usableCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_agents.begin(), m_agents.end(), [now](const Agents::value_type &item) {
        return usable(item.second, item.second.service, now);
    }));
}

} // namespace cuminscale::dispatch
