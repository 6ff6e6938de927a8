#include "core/dispatch/queue_isolation.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// One in this many servers takes the isolated queues.
constexpr std::size_t ServersPerIsolationServer = 4;
/// A queue with a larger part of the work is not isolated: the isolation servers would have to refuse most of it.
constexpr double MaxDemandShare = 0.5;
constexpr Duration DemandTimeConstant = seconds(2);
/// Crashes are evidence for this long, somewhat more than a restart takes.
constexpr Duration CrashMemory = seconds(4);
/// A queue is isolated only if one in this many servers has crashed within CrashMemory.
constexpr std::size_t ServersPerCrash = 4;
/// Its tasks must have been suspected this many times, at intervals of at least SeparateCrashInterval: servers of a rack or
/// failure domain that crash together are no evidence against a queue.
constexpr std::size_t MinSeparateCrashes = 3;
constexpr Duration SeparateCrashInterval = milliseconds(100);
/// A queue is isolated, and stays so, only with more than this part of the blame for the crashes.
constexpr double MinBlameShare = 0.5;
/// How long a queue stays isolated after the last crash that its tasks are suspected of.
constexpr Duration IsolationPeriod = seconds(5);
constexpr Duration ExpiryInterval = seconds(10);

std::size_t dividedUp(std::size_t n, std::size_t divisor)
{
    return (n + divisor - 1) / divisor;
}

} // namespace

double QueueIsolation::Queue::workAt(TimePoint now) const
{
    const double elapsedTimeConstants =
        static_cast<double>((now - updatedAt).count()) / static_cast<double>(DemandTimeConstant.count());
    return recentWork * std::exp(-elapsedTimeConstants);
}

void QueueIsolation::recordDemand(TimePoint now, const std::string &service, const std::string &queue, double work)
{
    Queue &demand = m_services[service].queues[queueKey(queue)];
    demand.name = queue;
    demand.recentWork = demand.workAt(now) + work;
    demand.updatedAt = now;
}

std::optional<std::string> QueueIsolation::recordCrash(TimePoint now, const std::string &service, std::size_t servers,
                                                       const Endpoint &server, const std::vector<QueueKey> &suspectQueues)
{
    Service &state = m_services[service];
    while (!state.crashes.empty() && now - state.crashes.front().at > CrashMemory) {
        state.crashes.pop_front();
    }
    state.crashes.push_back(Crash{now, server, suspectQueues});
    std::optional<std::string> added;
    for (const QueueKey queue : suspectQueues) {
        const bool isolated = isIsolated(now, service, queue);
        const bool extended = isolated && state.blameShare(queue) > MinBlameShare;
        const bool begun = !isolated && state.causesCrashes(queue, servers) && state.demandShare(now, queue) <= MaxDemandShare;
        if (!extended && !begun) {
            continue;
        }
        Queue &suspect = state.queues[queue];
        suspect.isolatedUntil = now + IsolationPeriod;
        state.isolatedUntil = now + IsolationPeriod;
        if (!isolated) {
            added = suspect.name;
        }
    }
    return added;
}

double QueueIsolation::Service::blameShare(QueueKey queue) const
{
    double blame = 0;
    for (const Crash &crash : crashes) {
        const std::vector<QueueKey> &suspects = crash.suspectQueues;
        if (std::find(suspects.begin(), suspects.end(), queue) != suspects.end()) {
            blame += 1.0 / static_cast<double>(suspects.size());
        }
    }
    return crashes.empty() ? 0.0 : blame / static_cast<double>(crashes.size());
}

bool QueueIsolation::Service::causesCrashes(QueueKey queue, std::size_t servers) const
{
    std::set<Endpoint> crashedServers;
    std::size_t separateCrashes = 0;
    TimePoint lastSeparate;
    for (const Crash &crash : crashes) {
        crashedServers.insert(crash.server);
        const bool suspected =
            std::find(crash.suspectQueues.begin(), crash.suspectQueues.end(), queue) != crash.suspectQueues.end();
        if (suspected && (separateCrashes == 0 || crash.at - lastSeparate >= SeparateCrashInterval)) {
            ++separateCrashes;
            lastSeparate = crash.at;
        }
    }
    return separateCrashes >= MinSeparateCrashes && crashedServers.size() >= dividedUp(servers, ServersPerCrash)
        && blameShare(queue) > MinBlameShare;
}

double QueueIsolation::Service::demandShare(TimePoint now, QueueKey queue) const
{
    double total = 0;
    double own = 0;
    for (const std::pair<const QueueKey, Queue> &item : queues) {
        const double work = item.second.workAt(now);
        total += work;
        own += item.first == queue ? work : 0.0;
    }
    return total > 0 ? own / total : 0.0;
}

bool QueueIsolation::isIsolated(TimePoint now, const std::string &service, QueueKey queue) const
{
    const std::map<std::string, Service>::const_iterator state = m_services.find(service);
    if (state == m_services.end()) {
        return false;
    }
    const std::map<QueueKey, Queue>::const_iterator it = state->second.queues.find(queue);
    return it != state->second.queues.end() && now < it->second.isolatedUntil;
}

bool QueueIsolation::affectsService(TimePoint now, const std::string &service) const
{
    const std::map<std::string, Service>::const_iterator state = m_services.find(service);
    return state != m_services.end() && now < state->second.isolatedUntil;
}

void QueueIsolation::expire(TimePoint now)
{
    if (now - m_expiredAt < ExpiryInterval) {
        return;
    }
    m_expiredAt = now;
    for (std::pair<const std::string, Service> &service : m_services) {
        std::map<QueueKey, Queue> &queues = service.second.queues;
        for (std::map<QueueKey, Queue>::iterator it = queues.begin(); it != queues.end();) {
            const TimePoint usedAt = std::max(it->second.updatedAt, it->second.isolatedUntil);
            it = now - usedAt > ExpiryInterval ? queues.erase(it) : std::next(it);
        }
    }
}

std::set<Endpoint> isolationServers(const FleetView &fleet, const std::string &service, const StepSpec &step)
{
    std::vector<std::pair<std::size_t, Endpoint>> ranked;
    for (const FleetView::Agents::value_type &item : fleet.agents()) {
        const AgentView &agent = item.second;
        if (agent.service == service && !agent.evacuated && agent.hasLabel(step.requiredLabel)
            && step.need.fits(agent.load.capacity)) {
            ranked.emplace_back(IdHash()(item.first), item.first);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(dividedUp(ranked.size(), ServersPerIsolationServer));
    std::set<Endpoint> servers;
    for (const std::pair<std::size_t, Endpoint> &item : ranked) {
        servers.insert(item.second);
    }
    return servers;
}

} // namespace cuminscale::dispatch
