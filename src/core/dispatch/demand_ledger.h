/// Demand of the fleet's clients by queue, measured here and reported by the other entries.
#pragma once

#include "core/dispatch/messages.h"

#include <map>
#include <vector>

namespace cuminscale::dispatch
{

/// Measures the work that clients request, by queue: the usual demand over tens of seconds and the present one over the last
/// seconds. Adds what the other entries measure, which they send as digests.
///
/// Load pattern: one queue is requested at 1.6 to 2.6 times its usual rate for 4 to 6 s, possibly 3.5 s after the first request.
/// The usual demand must still be that of before at the end of the burst: it is learned slowly while jobs are refused, and the
/// excess over a multiple of it is not learned, as a burst goes on for up to two seconds before it causes a backlog.
class DemandLedger
{
public:
    /// Demand for one queue, in cores.
    struct Demand
    {
        double usual = 0;
        double present = 0;
    };
    using Demands = std::map<QueueKey, Demand>;

    /// Entries of a digest; the largest demands are sent.
    static constexpr std::size_t MaxDigestQueues = 16;
    /// Queues measured here. The one with the least demand is evicted for a new one.
    static constexpr std::size_t MaxOwnQueues = 64;
    /// Queues of the whole fleet. Further ones in digests are ignored.
    static constexpr std::size_t MaxFleetQueues = 256;

    /// Counts requested work, in core-seconds.
    void record(TimePoint now, QueueKey queue, double work);

    /// Slows the learning of the usual demand for some time. Called while the backlog requires refusals.
    void slowLearning(TimePoint now);

    /// Takes over the digest of another entry in place of its former one. Figures that can't be right are ignored and counted,
    /// among them those far above the own demand and all figures of the others. Returns whether all figures were valid.
    bool receive(TimePoint now, const Endpoint &from, const std::vector<QueueDemand> &digest);

    struct Digest
    {
        /// The demand measured here, largest first. Empty until it has been measured for some seconds.
        std::vector<QueueDemand> demands;
        TimePoint changedAt; ///< When the present demand was first seen to differ much from that of earlier digests.
    };

    Digest digest(TimePoint now);

    /// Whether the usual demand is known: measured here for some seconds, or reported by another entry. False while there are
    /// more queues than are measured here, as the usual demand of an evicted queue is lost.
    bool isMeasured(TimePoint now) const;

    /// Demand of the fleet. At most 0.1 s old as far as it is measured here.
    const Demands &fleet(TimePoint now);
    /// The same as of the last update, with the digests that had been received by then. Calls of record(), digest() and fleet()
    /// update it after 0.1 s.
    const Demands &lastFleet() const noexcept
    {
        return m_fleet;
    }

    /// Number of figures in digests that were ignored.
    std::uint64_t malformedFigures() const noexcept
    {
        return m_malformedFigures;
    }

private:
    struct OwnQueue
    {
        double recentWork = 0; ///< Core-seconds as of the last update, with exponential decay.
        double usual = 0; ///< Cores.
        double usualWeight = 0; ///< Time that the mean `usual` covers, in seconds, with exponential decay.
    };

    struct PeerDigest
    {
        TimePoint receivedAt;
        std::vector<QueueDemand> demands;
        double largest = 0; ///< Largest figure of `demands`.
    };

    /// Whether this entry has measured its own demand for long enough.
    bool measuresUsualDemand(TimePoint now) const;
    /// Present demand of a queue here, in cores, as of the last update.
    double present(const OwnQueue &queue) const;
    /// Decays the demands and learns the usual ones, in steps of at least the update interval.
    void update(TimePoint now);
    void mergeFleet(TimePoint now);
    /// Largest figure that a digest of this entry may contain, in view of the own demand and the digests of the others.
    double maxCpuMilliFrom(TimePoint now, const Endpoint &from) const;
    /// Sets m_changedAt if the present demand differs much from that at m_changedAt.
    void detectChange(TimePoint now);
    /// Mean demand of the other entries; empty without digests.
    Demands meanOfPeers(TimePoint now) const;
    /// The part of a queue's present demand that counts as usual; below 1 in a burst.
    double learnedPart(QueueKey queue, double fleetTotal) const;

    std::map<QueueKey, OwnQueue> m_own;
    std::map<Endpoint, PeerDigest> m_digests;
    Demands m_fleet;
    bool m_fleetOutdated = false; ///< A digest has been received since m_fleet was computed.
    TimePoint m_firstRecordAt; ///< Zero before the first record.
    TimePoint m_evictedAt; ///< Zero before the first eviction of a queue.
    TimePoint m_updatedAt;
    TimePoint m_slowUntil;
    std::map<QueueKey, double> m_presentAtChange; ///< By queue, in cores.
    TimePoint m_changedAt;
    std::uint64_t m_malformedFigures = 0;
};

} // namespace cuminscale::dispatch
