#include "core/dispatch/demand_ledger.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cuminscale::dispatch
{

namespace
{

/// Decay of the usual demand. It covers several bursts of 4 to 6 s, and follows a change of the load within a minute.
constexpr double UsualSeconds = 20.0;
/// Decay of the present demand; bursts last for seconds.
constexpr double PresentSeconds = 1.5;
/// The present demand is not extrapolated from less time than this after the first record.
constexpr double MinPresentSeconds = 0.2;
constexpr Duration UpdateInterval = milliseconds(100);
/// Time from the first record until the usual demand is known. Bursts were seen to start 3.5 s after the first request.
constexpr Duration MinMeasuredTime = seconds(2);
/// Weight of the other entries' mean usual demand, as that of an entry that has just started: its own first requests may be those
/// of a burst.
constexpr double PeerMeanSeconds = 5.0;
constexpr Duration DigestRetention = seconds(3);
/// Learning stays slow for this long after the last refusal, as the backlog can be short for a moment within a burst.
constexpr Duration SlowLearningDuration = seconds(2);
/// Rate of learning while jobs are refused. Not 0, as a fleet that is overloaded for minutes must learn a new mix of its load.
constexpr double SlowLearningRate = 0.1;
/// The excess over this multiple of the usual demand is not learned, so that the start of a burst, before it causes refusals,
/// adds little. A demand that doubles for good is still learned within a minute, and that of a new queue within two.
constexpr double MaxLearnedGrowth = 1.5;
/// New queues are learned up to this fraction of the total demand at once.
constexpr double MinLearnedShare = 0.1;
/// Queues are removed once their demand is below this, in cores.
constexpr double NegligibleDemand = 1e-3;
constexpr double MilliPerCore = 1e3;
/// Largest figure of a digest as a multiple of the largest one of the other digests and the own demand. Entries of one fleet
/// differ by a factor of 6 in their cores, and a burst adds a factor of 2.6. A larger figure would outweigh the demand of the
/// whole fleet, so that the usual demand would never seem to be exceeded.
constexpr double MaxRatioToOthers = 20.0;
/// The largest figure of the others counts as at least this much, in millicores, so that an entry that receives hardly any jobs
/// accepts the digests of busy ones.
constexpr double MinLargestOfOthers = 5.0 * MilliPerCore;
/// Largest figure while there is no other demand to compare with; above the cores of any fleet.
constexpr double MaxCpuMilli = 1e6 * MilliPerCore;
/// Change of a queue's present demand, as a fraction of the total one, that the other entries learn of with the next heartbeat. A
/// burst of 1.8 times a queue with a quarter of the demand exceeds it in half a second.
constexpr double MaxUnreportedChange = 0.05;
constexpr std::size_t MaxPeers = 1024;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool isValid(double cpuMilli, double maximum)
{
    return std::isfinite(cpuMilli) && cpuMilli >= 0.0 && cpuMilli <= maximum;
}

} // namespace

bool DemandLedger::measuresUsualDemand(TimePoint now) const
{
    return m_firstRecordAt != TimePoint() && now - m_firstRecordAt >= MinMeasuredTime;
}

bool DemandLedger::isMeasured(TimePoint now) const
{
    // A queue that comes back after its eviction would seem to surge with all its demand until its usual demand is learned again.
    if (m_evictedAt != TimePoint() && secondsOf(now - m_evictedAt) < UsualSeconds) {
        return false;
    }
    return measuresUsualDemand(now)
        || std::any_of(m_digests.begin(), m_digests.end(), [now](const std::pair<const Endpoint, PeerDigest> &digest) {
               return now - digest.second.receivedAt <= DigestRetention;
           });
}

double DemandLedger::present(const OwnQueue &queue) const
{
    const double measured = std::max(secondsOf(m_updatedAt - m_firstRecordAt), MinPresentSeconds);
    return queue.recentWork / (PresentSeconds * (1.0 - std::exp(-measured / PresentSeconds)));
}

void DemandLedger::record(TimePoint now, QueueKey queue, double work)
{
    if (!std::isfinite(work) || work < 0.0) {
        return;
    }
    if (m_firstRecordAt == TimePoint()) {
        m_firstRecordAt = now;
        m_updatedAt = now;
        // Digests may have arrived before the first request, and the next update takes place after the update interval.
        mergeFleet(now);
    }
    update(now);
    std::map<QueueKey, OwnQueue>::iterator it = m_own.find(queue);
    if (it == m_own.end()) {
        if (m_own.size() >= MaxOwnQueues) {
            m_evictedAt = now;
            m_own.erase(
                std::min_element(m_own.begin(), m_own.end(),
                                 [](const std::pair<const QueueKey, OwnQueue> &a, const std::pair<const QueueKey, OwnQueue> &b) {
                                     return a.second.recentWork + a.second.usual < b.second.recentWork + b.second.usual;
                                 }));
        }
        it = m_own.try_emplace(queue).first;
        // The queue had no demand in the time measured so far.
        it->second.usualWeight = UsualSeconds * (1.0 - std::exp(-secondsOf(m_updatedAt - m_firstRecordAt) / UsualSeconds));
    }
    // The work decays from the last update on, so work of a later time counts more.
    it->second.recentWork += work * std::exp(secondsOf(now - m_updatedAt) / PresentSeconds);
}

void DemandLedger::slowLearning(TimePoint now)
{
    m_slowUntil = now + SlowLearningDuration;
}

double DemandLedger::learnedPart(QueueKey queue, double fleetTotal) const
{
    const Demands::const_iterator it = m_fleet.find(queue);
    if (it == m_fleet.end() || it->second.present <= 0.0) {
        return 1.0;
    }
    const double limit = std::max(MaxLearnedGrowth * it->second.usual, MinLearnedShare * fleetTotal);
    return std::min(limit / it->second.present, 1.0);
}

void DemandLedger::update(TimePoint now)
{
    if (now - m_updatedAt < UpdateInterval) {
        return;
    }
    const double elapsed = secondsOf(now - m_updatedAt);
    m_updatedAt = now;
    const bool measured = measuresUsualDemand(now);
    const double rate = measured && now < m_slowUntil ? SlowLearningRate : 1.0;
    const double decay = std::exp(-rate * elapsed / UsualSeconds);
    double fleetTotal = 0;
    for (const Demands::value_type &item : m_fleet) {
        fleetTotal += item.second.present;
    }
    const Demands peerMean = measured ? Demands() : meanOfPeers(now);
    for (std::map<QueueKey, OwnQueue>::iterator it = m_own.begin(); it != m_own.end();) {
        OwnQueue &queue = it->second;
        queue.recentWork *= std::exp(-elapsed / PresentSeconds);
        const double presentDemand = present(queue);
        const double learned = presentDemand * (measured ? learnedPart(it->first, fleetTotal) : 1.0);
        const double keptWeight = queue.usualWeight * decay;
        const double newWeight = UsualSeconds * (1.0 - decay);
        queue.usual = (queue.usual * keptWeight + learned * newWeight) / (keptWeight + newWeight);
        queue.usualWeight = keptWeight + newWeight;
        if (!measured && !peerMean.empty()) {
            const Demands::const_iterator mean = peerMean.find(it->first);
            queue.usual = mean == peerMean.end() ? 0.0 : mean->second.usual;
            queue.usualWeight = PeerMeanSeconds;
        }
        it = presentDemand + queue.usual < NegligibleDemand ? m_own.erase(it) : std::next(it);
    }
    mergeFleet(now);
}

DemandLedger::Demands DemandLedger::meanOfPeers(TimePoint now) const
{
    Demands mean;
    double peers = 0;
    for (const std::pair<const Endpoint, PeerDigest> &digest : m_digests) {
        if (now - digest.second.receivedAt > DigestRetention) {
            continue;
        }
        ++peers;
        for (const QueueDemand &demand : digest.second.demands) {
            mean[demand.queue].usual += demand.usualCpuMilli / MilliPerCore;
            mean[demand.queue].present += demand.presentCpuMilli / MilliPerCore;
        }
    }
    for (Demands::value_type &item : mean) {
        item.second.usual /= peers;
        item.second.present /= peers;
    }
    return mean;
}

void DemandLedger::mergeFleet(TimePoint now)
{
    m_fleetOutdated = false;
    m_fleet.clear();
    for (const std::pair<const QueueKey, OwnQueue> &item : m_own) {
        m_fleet[item.first] = Demand{item.second.usual, present(item.second)};
    }
    for (std::map<Endpoint, PeerDigest>::iterator it = m_digests.begin(); it != m_digests.end();) {
        if (now - it->second.receivedAt > DigestRetention) {
            it = m_digests.erase(it);
            continue;
        }
        for (const QueueDemand &demand : it->second.demands) {
            if (m_fleet.size() < MaxFleetQueues || m_fleet.count(demand.queue) > 0) {
                Demand &sum = m_fleet[demand.queue];
                sum.usual += demand.usualCpuMilli / MilliPerCore;
                sum.present += demand.presentCpuMilli / MilliPerCore;
            }
        }
        ++it;
    }
}

const DemandLedger::Demands &DemandLedger::fleet(TimePoint now)
{
    update(now);
    if (m_fleetOutdated) {
        mergeFleet(now);
    }
    return m_fleet;
}

double DemandLedger::maxCpuMilliFrom(TimePoint now, const Endpoint &from) const
{
    double largest = 0;
    if (measuresUsualDemand(now)) {
        for (const std::pair<const QueueKey, OwnQueue> &item : m_own) {
            largest = std::max({largest, item.second.usual * MilliPerCore, present(item.second) * MilliPerCore});
        }
    }
    for (const std::pair<const Endpoint, PeerDigest> &digest : m_digests) {
        if (digest.first == from || now - digest.second.receivedAt > DigestRetention) {
            continue;
        }
        largest = std::max(largest, digest.second.largest);
    }
    return largest > 0.0 ? std::min(MaxRatioToOthers * std::max(largest, MinLargestOfOthers), MaxCpuMilli) : MaxCpuMilli;
}

bool DemandLedger::receive(TimePoint now, const Endpoint &from, const std::vector<QueueDemand> &digest)
{
    const std::uint64_t malformedBefore = m_malformedFigures;
    PeerDigest taken;
    taken.receivedAt = now;
    std::set<QueueKey> seen;
    const double maximum = maxCpuMilliFrom(now, from);
    for (const QueueDemand &demand : digest) {
        const bool valid = isValid(demand.usualCpuMilli, maximum) && isValid(demand.presentCpuMilli, maximum);
        if (!valid || taken.demands.size() >= MaxDigestQueues || !seen.insert(demand.queue).second) {
            ++m_malformedFigures;
            continue;
        }
        taken.demands.push_back(demand);
        taken.largest = std::max({taken.largest, demand.usualCpuMilli, demand.presentCpuMilli});
    }
    const bool known = m_digests.count(from) > 0;
    if (!taken.demands.empty() && (known || m_digests.size() < MaxPeers)) {
        m_digests[from] = std::move(taken);
        m_fleetOutdated = true;
    }
    return m_malformedFigures == malformedBefore;
}

void DemandLedger::detectChange(TimePoint now)
{
    double total = 0;
    double change = 0;
    for (const std::pair<const QueueKey, OwnQueue> &item : m_own) {
        const std::map<QueueKey, double>::const_iterator before = m_presentAtChange.find(item.first);
        const double demand = present(item.second);
        total += demand;
        change = std::max(change, std::abs(demand - (before == m_presentAtChange.end() ? 0.0 : before->second)));
    }
    if (change <= MaxUnreportedChange * total) {
        return;
    }
    m_changedAt = now;
    m_presentAtChange.clear();
    for (const std::pair<const QueueKey, OwnQueue> &item : m_own) {
        m_presentAtChange[item.first] = present(item.second);
    }
}

DemandLedger::Digest DemandLedger::digest(TimePoint now)
{
    update(now);
    Digest result;
    if (!measuresUsualDemand(now)) {
        return result;
    }
    detectChange(now);
    result.changedAt = m_changedAt;
    std::vector<QueueDemand> &digest = result.demands;
    for (const std::pair<const QueueKey, OwnQueue> &item : m_own) {
        digest.push_back(QueueDemand{item.first, item.second.usual * MilliPerCore, present(item.second) * MilliPerCore});
    }
    std::sort(digest.begin(), digest.end(), [](const QueueDemand &a, const QueueDemand &b) {
        return std::max(a.usualCpuMilli, a.presentCpuMilli) > std::max(b.usualCpuMilli, b.presentCpuMilli);
    });
    digest.resize(std::min(digest.size(), MaxDigestQueues));
    return result;
}

} // namespace cuminscale::dispatch
