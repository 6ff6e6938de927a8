#include "core/dispatch/data_locality.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// Half-life of the outcomes of waits. A hot key lasts for seconds, and a rack that is avoided must be tried again.
constexpr double HalfLifeUs = 500000.0;
/// Weight of the assumption that waits succeed, in outcomes: a rack is not avoided because of a few failures among the first
/// ones.
constexpr double PriorOutcomes = 2.0;
/// Utilisation from which the capacity that remote runs use is taken from other tasks.
constexpr double BusyUtilisation = 0.7;
/// Utilisation from which no task with a server near its data runs elsewhere: remote runs would keep the fleet full, and the jobs
/// that they displace are more than those that they serve.
constexpr double FullUtilisation = 0.85;
/// A handed back task costs a message to the entry, its tick and an order.
constexpr Duration HandBackTime = milliseconds(10);
/// Tasks of a step differ by a sixth in their run times, and the last one ends the job.
constexpr double RunTimeMargin = 1.15;
/// Entries expect too short waits while their views are older than the queue that other entries have just built.
constexpr double WaitMargin = 2.0;
constexpr double MaxFailedShare = 0.5;
/// A server that fails runs or is on probation costs more than this.
constexpr Duration MaxOverheadDifference = milliseconds(100);
/// Agents check the limit every 15 ms.
constexpr Duration MinWaitWithin = milliseconds(15);
/// Bounds the memory: clients name the racks.
constexpr std::size_t MaxRacks = 1024;

double decay(Duration age)
{
    return std::exp2(-static_cast<double>(std::max(age, Duration(0)).count()) / HalfLifeUs);
}

Duration scaledBy(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace

DataLocality::Choice DataLocality::choose(TimePoint now, const Request &request) const
{
    const Duration remoteWait = request.remote ? request.remote->wait : Duration(0);
    if (!request.near || !request.remote) {
        return Choice{request.near.has_value(), request.near ? request.near->wait : remoteWait, Duration(0)};
    }
    const Option &near = *request.near;
    const Option &remote = *request.remote;
    if (near.overhead > remote.overhead + MaxOverheadDifference) {
        return Choice{false, remote.wait, Duration(0)};
    }
    const bool secondWait = request.handedBack && near.wait > Duration(0);
    const double failed = secondWait ? 1.0 : failedShare(now, request.rack);
    const Duration nearWait = scaledBy(near.wait, WaitMargin);
    const bool nearInTime = nearWait + near.run <= request.timeToObjective;
    const bool remoteInTime = remote.wait + remote.run <= request.timeToObjective;
    // A task whose wait has failed would wait without a limit, so a full fleet does not keep it near its data.
    const bool mayRunElsewhere = remoteInTime && (request.utilisation <= FullUtilisation || secondWait);
    if (!mayRunElsewhere) {
        // Handing a task back would not help one that can't be in time elsewhere. While most waits fail, it is expected to be
        // late near its data as well, unless a server is free.
        const bool expectedLate = near.wait > Duration(0) && failed > MaxFailedShare;
        const bool earlierNear = near.total() <= remote.total();
        const bool full = remoteInTime;
        return Choice{nearInTime || earlierNear || full, expectedLate ? std::max(nearWait, request.timeToObjective) : nearWait,
                      Duration(0)};
    }
    if (!nearInTime) {
        return Choice{false, remote.wait, Duration(0)};
    }
    const Duration extraRun = remote.run - near.run;
    const double busy = std::clamp((request.utilisation - BusyUtilisation) / (1.0 - BusyUtilisation), 0.0, 1.0);
    const Duration capacityCost = scaledBy(std::max(extraRun, Duration(0)), busy);
    const Duration moveCost = HandBackTime + std::max(remote.overhead - near.overhead, Duration(0));
    const Duration paying = std::max(remote.wait + extraRun + capacityCost - moveCost, Duration(0));
    // A wait that fails costs the limit and the move on top of the remote run.
    const Duration nearCost =
        scaledBy(near.total(), 1.0 - failed) + scaledBy(paying + HandBackTime + remote.total() + capacityCost, failed);
    if (nearCost > remote.total() + capacityCost) {
        return Choice{false, remote.wait, Duration(0)};
    }
    Duration limit = std::max(paying, MinWaitWithin);
    // Once handed back, the task must still be able to end in time elsewhere.
    const Duration left = request.timeToObjective - remote.wait - scaledBy(remote.run, RunTimeMargin) - moveCost;
    if (left < MinWaitWithin && near.wait > Duration(0)) {
        return Choice{false, remote.wait, Duration(0)};
    }
    limit = std::max(std::min(limit, left), MinWaitWithin);
    return Choice{true, near.wait, limit};
}

double DataLocality::failedShare(TimePoint now, const std::string &rack) const
{
    const std::map<std::string, Rack>::const_iterator it = m_racks.find(rack);
    if (it == m_racks.end()) {
        return 0.0;
    }
    const double factor = decay(now - it->second.updatedAt);
    const double expired = it->second.expired * factor;
    return expired / (expired + it->second.started * factor + PriorOutcomes);
}

DataLocality::Rack &DataLocality::decayed(TimePoint now, const std::string &rack)
{
    if (m_racks.size() >= MaxRacks && m_racks.count(rack) == 0) {
        m_racks.erase(
            std::min_element(m_racks.begin(), m_racks.end(),
                             [](const std::pair<const std::string, Rack> &a, const std::pair<const std::string, Rack> &b) {
                                 return a.second.updatedAt < b.second.updatedAt;
                             }));
    }
    Rack &state = m_racks[rack];
    const double factor = decay(now - state.updatedAt);
    state.started *= factor;
    state.expired *= factor;
    state.updatedAt = now;
    return state;
}

void DataLocality::recordStarted(TimePoint now, const std::string &rack)
{
    decayed(now, rack).started += 1.0;
}

void DataLocality::recordExpired(TimePoint now, const std::string &rack)
{
    decayed(now, rack).expired += 1.0;
}

} // namespace cuminscale::dispatch
