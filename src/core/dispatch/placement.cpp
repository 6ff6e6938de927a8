#include "core/dispatch/placement.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Cost of an agent in another failure domain: a round trip of about 3 ms, and traffic that is charged for.
constexpr Duration OtherDomainCost = milliseconds(6);
/// Cost of a server that has no task of this request yet: one more message.
constexpr Duration AdditionalServerCost = milliseconds(4);
/// Additional cost of a fully loaded server over an idle one, so that ties go to the less loaded server.
constexpr double LoadCostUs = 15000.0;
/// Weight of the expected wait against the run time for all but the most urgent tasks. Their waits grow while they wait, as tasks
/// with less slack are started before them. With a weight of 1, long tasks wait at fast servers while slow ones are idle.
constexpr double WaitCostFactor = 1.5;
/// Cost of a second concurrent run on a server on probation: accepted only if the wait at all other servers is longer than this.
constexpr double ProbationCostUs = 300000.0;
/// Cost of a failed run as a multiple of the run time: the failure is detected at the end of the run and the task run again
/// elsewhere.
constexpr double FailureCostRuns = 3.0;

/// An agent that tasks may be assigned to, updated with each assignment.
struct Candidate
{
    AgentView *agent = nullptr;
    Resources free;
    std::uint32_t tasks = 0; ///< Assigned by this request.
    std::uint32_t stepTasks = 0; ///< Of the same step, including earlier requests.
    std::uint32_t runsAllowed = 0; ///< Limited while the server is on probation.
    bool avoided = false;
    bool remoteData = false; ///< Not on the preferred rack.
    Duration run{0}; ///< Expected run time on this server.
    Duration roundTrip{0}; ///< Of messages to the agent.
    double fixedCost = 0; ///< Independent of the server's load.
};

std::uint32_t countFor(const std::map<Endpoint, std::uint32_t> &counts, const Endpoint &endpoint)
{
    const std::map<Endpoint, std::uint32_t>::const_iterator it = counts.find(endpoint);
    return it == counts.end() ? 0 : it->second;
}

Duration runTime(const AgentView &agent, const PlacementRequest &request, TimePoint now)
{
    double run = static_cast<double>(request.expectedRun.count()) * agent.health.slowness(now);
    if (!agent.hasLabel(request.preferredRack)) {
        run *= request.remoteDataFactor;
    }
    return Duration(static_cast<std::int64_t>(run));
}

std::vector<Candidate> candidates(FleetView &fleet, const PlacementRequest &request, TimePoint now)
{
    std::vector<Candidate> found;
    std::vector<Candidate> suspects;
    found.reserve(fleet.agents().size());
    for (FleetView::Agents::value_type &item : fleet.agents()) {
        AgentView &agent = item.second;
        if (!FleetView::usable(agent, request.service, now) || !agent.hasLabel(request.requiredLabel)
            || !request.need.fits(agent.load.capacity)) {
            continue;
        }
        const bool isolationServer = request.isolationServers.count(item.first) > 0;
        if (request.isolation == Isolation::Confined && !isolationServer) {
            continue;
        }
        const bool misplaced = (request.isolation == Isolation::Outside && isolationServer)
            || (request.isolation == Isolation::Preferred && !isolationServer);
        Candidate candidate;
        candidate.agent = &agent;
        candidate.remoteData = !agent.hasLabel(request.preferredRack);
        candidate.run = runTime(agent, request, now);
        candidate.roundTrip = agent.session.roundTrip(now);
        candidate.free = agent.availableFor(request.timeToObjective - candidate.run - candidate.roundTrip, request.urgency, now);
        candidate.stepTasks = countFor(request.stepTasksByAgent, item.first);
        candidate.avoided = misplaced || std::find(request.avoid.begin(), request.avoid.end(), item.first) != request.avoid.end();
        // On probation a server gets one run, of this entry if its own runs showed the fault, otherwise of all entries.
        const bool idle = agent.load.onProbation ? agent.load.free == agent.load.capacity && agent.unreportedOrders.empty()
                                                 : agent.outstandingRuns == 0;
        const bool onProbation = agent.health.onProbation() || agent.load.onProbation;
        candidate.runsAllowed = onProbation ? (idle ? 1 : 0) : UINT32_MAX;
        candidate.fixedCost = static_cast<double>((candidate.run + candidate.roundTrip).count())
            + FailureCostRuns * agent.health.failureRate() * static_cast<double>(request.expectedRun.count());
        candidate.fixedCost += agent.domain == request.domain ? 0.0 : static_cast<double>(OtherDomainCost.count());
        (agent.health.suspect(now) || agent.load.suspect || candidate.avoided ? suspects : found).push_back(candidate);
    }
    return found.empty() ? suspects : found;
}

/// Cost of the expected wait, in microseconds.
double waitCost(Duration wait, std::uint32_t urgency)
{
    return (urgency == MostUrgent ? 1.0 : WaitCostFactor) * static_cast<double>(wait.count());
}

/// Cost of assigning a task to a candidate, in microseconds.
double cost(const Candidate &candidate, double weightedWait)
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(candidate.agent->load.capacity.cpuMilli, 1));
    const double used = 1.0 - static_cast<double>(candidate.free.cpuMilli) / capacity;
    double total = candidate.fixedCost + weightedWait + LoadCostUs * std::max(used, 0.0);
    total += candidate.tasks > 0 ? 0.0 : static_cast<double>(AdditionalServerCost.count());
    total += candidate.tasks < candidate.runsAllowed ? 0.0 : ProbationCostUs;
    return total;
}

/// The candidate of the lowest cost.
struct Best
{
    Candidate *candidate = nullptr;
    double cost = 0;
    Duration wait{0};
    double weightedWait = 0; ///< The part of the cost that is due to the wait.

    void consider(Candidate &other, double otherCost, Duration otherWait, double otherWeightedWait)
    {
        if (candidate == nullptr || otherCost < cost) {
            *this = Best{&other, otherCost, otherWait, otherWeightedWait};
        }
    }

    std::optional<DataLocality::Option> option() const
    {
        if (candidate == nullptr) {
            return std::nullopt;
        }
        // The additional weight of the wait is not overhead: overhead beyond a limit counts as a sign of a faulty server.
        const Duration overhead = Duration(static_cast<std::int64_t>(cost - weightedWait)) - candidate->run;
        return DataLocality::Option{wait, candidate->run, overhead};
    }
};

double utilisation(const std::vector<Candidate> &candidates)
{
    double free = 0;
    double capacity = 0;
    for (const Candidate &candidate : candidates) {
        free += static_cast<double>(std::max<std::int64_t>(candidate.free.cpuMilli, 0));
        capacity += static_cast<double>(candidate.agent->load.capacity.cpuMilli);
    }
    return capacity == 0 ? 0.0 : 1.0 - free / capacity;
}

} // namespace

std::vector<Placement> EarliestFinish::place(FleetView &fleet, const PlacementRequest &request, TimePoint now) const
{
    std::vector<Candidate> eligible = candidates(fleet, request, now);
    const bool decidesLocality = request.locality != nullptr && !request.preferredRack.empty();
    const double used = decidesLocality ? utilisation(eligible) : 0.0;
    std::vector<Placement> places;
    for (std::uint32_t task = 0; task < request.tasks; ++task) {
        Best best;
        Best remote; // Servers off the rack, if they are compared separately.
        for (Candidate &candidate : eligible) {
            const bool full = request.maxPerServer > 0 && candidate.stepTasks >= request.maxPerServer;
            if (full) {
                continue;
            }
            const Duration wait = candidate.agent->expectedWait(request.need, candidate.free);
            Best &group = decidesLocality && candidate.remoteData ? remote : best;
            const double weightedWait = waitCost(wait, request.urgency);
            group.consider(candidate, cost(candidate, weightedWait), wait, weightedWait);
        }
        DataLocality::Choice choice;
        if (decidesLocality) {
            choice = request.locality->choose(
                now, {request.preferredRack, best.option(), remote.option(), request.timeToObjective, used, request.handedBack});
            best = choice.near ? best : remote;
            best.wait = choice.wait;
        }
        if (best.candidate == nullptr) {
            return {};
        }
        Candidate &chosen = *best.candidate;
        chosen.free -= request.need;
        ++chosen.tasks;
        ++chosen.stepTasks;
        places.push_back(
            Placement{chosen.agent, best.wait, best.wait + chosen.run, chosen.roundTrip, chosen.remoteData, choice.waitWithin});
    }
    return places;
}

std::vector<Placement> RoundRobin::place(FleetView &fleet, const PlacementRequest &request, TimePoint now) const
{
    std::vector<Candidate> eligible = candidates(fleet, request, now);
    std::vector<Placement> places;
    for (std::uint32_t task = 0; task < request.tasks && !eligible.empty(); ++task) {
        Candidate &next = eligible[m_next++ % eligible.size()];
        places.push_back(Placement{next.agent, Duration(0), request.expectedRun, Duration(0), next.remoteData, Duration(0)});
    }
    return places;
}

} // namespace cuminscale::dispatch
