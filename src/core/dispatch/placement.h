/// Assignment of a step's tasks to agents.
#pragma once

#include "core/dispatch/data_locality.h"
#include "core/dispatch/fleet_view.h"

#include <set>

namespace cuminscale::dispatch
{

/// Which servers a step may use while tasks crash servers; see QueueIsolation.
enum class Isolation : std::uint8_t {
    None,
    Outside, ///< Not the isolation servers, unless there are no others.
    Preferred, ///< The isolation servers, unless none of them is usable.
    Confined, ///< Only the isolation servers.
};

/// The waiting tasks of one step, with their constraints.
struct PlacementRequest
{
    std::string service;
    std::string domain; ///< The entry's failure domain: traffic to others costs more.
    Resources need;
    Duration expectedRun{0}; ///< On a healthy server.
    Duration timeToObjective{0}; ///< From now to the job's objective.
    std::string requiredLabel;
    std::string preferredRack;
    /// Run time of a task away from preferredRack, as a multiple of that near it.
    double remoteDataFactor = 1.5;
    /// Decides between servers on preferredRack and others; if null, the earliest expected finish does.
    const DataLocality *locality = nullptr;
    bool handedBack = false; ///< One of these tasks has waited on preferredRack until the limit.
    std::uint32_t maxPerServer = 0;
    std::uint32_t urgency = 0; ///< Of the queue; 0 is the most urgent.
    std::uint32_t tasks = 1;
    std::vector<Endpoint> avoid; ///< Agents on which a run of these tasks did not complete; used only if there are no others.
    Isolation isolation = Isolation::None;
    std::set<Endpoint> isolationServers; ///< Empty for Isolation::None.
    std::map<Endpoint, std::uint32_t> stepTasksByAgent; ///< Tasks of the same step, running or completed, for maxPerServer.
};

/// The agent chosen for one task.
struct Placement
{
    AgentView *agent = nullptr;
    Duration wait{0};
    Duration finish{0}; ///< Expected, from now, without the time that messages take.
    Duration roundTrip{0}; ///< Of messages to the agent and back.
    bool remoteData = false; ///< The server is not on the task's preferred rack.
    Duration waitWithin{0}; ///< As in StartOrder.
};

class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Returns one place per task, or nothing if some task can't be placed.
    virtual std::vector<Placement> place(FleetView &fleet, const PlacementRequest &request, TimePoint now) const = 0;
};

/// Assigns each task to the agent with the earliest expected finish.
///
/// Jobs consist of several short tasks and end with the last one, so the slowest server determines a job's duration: the cost of
/// an agent combines waiting time, run time, the measured slowness of its server and the time that messages to it take. A job is
/// spread over no more servers than capacity requires, as each additional one may be a slow one and costs a message.
class EarliestFinish : public PlacementPolicy
{
public:
    std::vector<Placement> place(FleetView &fleet, const PlacementRequest &request, TimePoint now) const override;
};

/// Baseline for comparisons: takes the agents in turn, regardless of load.
class RoundRobin : public PlacementPolicy
{
public:
    std::vector<Placement> place(FleetView &fleet, const PlacementRequest &request, TimePoint now) const override;

private:
    mutable std::size_t m_next = 0;
};

} // namespace cuminscale::dispatch
