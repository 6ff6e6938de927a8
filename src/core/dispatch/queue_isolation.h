/// Confinement of queues whose tasks crash backend servers.
#pragma once

#include "core/dispatch/fleet_view.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace cuminscale::dispatch
{

/// Decides which queues may use only a fixed part of their service's servers, because their tasks crash servers faster than these
/// come back.
///
/// Load pattern: several jobs a second crash each server that starts one of their tasks, and a server is away for seconds. Each
/// such job is known only after its second crash, so without confinement most servers of the service are down, for the jobs of
/// all queues. Servers that crash for other reasons do so once or together, with tasks of any queue.
class QueueIsolation
{
public:
    /// Counts a submitted job towards the demand of its queue. `work` is the expected CPU time, in the same unit for all calls.
    void recordDemand(TimePoint now, const std::string &service, const std::string &queue, double work);

    /// Records the crash of a server of a service that has `servers` servers. Returns the name of the queue that becomes isolated
    /// by it; a queue of which this entry has had no job has an empty name.
    std::optional<std::string> recordCrash(TimePoint now, const std::string &service, std::size_t servers, const Endpoint &server,
                                           const std::vector<QueueKey> &suspectQueues);

    bool isIsolated(TimePoint now, const std::string &service, QueueKey queue) const;

    /// Whether any queue of the service is isolated.
    bool affectsService(TimePoint now, const std::string &service) const;

    /// Forgets queues without recent demand.
    void expire(TimePoint now);

private:
    struct Crash
    {
        TimePoint at;
        Endpoint server;
        std::vector<QueueKey> suspectQueues;
    };

    struct Queue
    {
        std::string name;
        double recentWork = 0; ///< Submitted work, with exponential decay.
        TimePoint updatedAt;
        TimePoint isolatedUntil;

        /// The recent work as of `now`.
        double workAt(TimePoint now) const;
    };

    struct Service
    {
        std::deque<Crash> crashes; ///< Of the last few seconds, oldest first.
        std::map<QueueKey, Queue> queues;
        TimePoint isolatedUntil; ///< The latest of all its queues.

        /// The queue's part of the blame for the crashes; the suspected queues share that for a crash.
        double blameShare(QueueKey queue) const;
        bool causesCrashes(QueueKey queue, std::size_t servers) const;
        /// The queue's part of the recent work of all queues.
        double demandShare(TimePoint now, QueueKey queue) const;
    };

    std::map<std::string, Service> m_services;
    TimePoint m_expiredAt;
};

/// The part of the servers fit for a task that isolated queues are confined to. It does not change while servers crash and come
/// back, and entries that know the same agents choose the same servers.
std::set<Endpoint> isolationServers(const FleetView &fleet, const std::string &service, const StepSpec &step);

} // namespace cuminscale::dispatch
