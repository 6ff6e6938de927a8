/// Which jobs an entry refuses while the load exceeds the capacity of the fleet.
#pragma once

#include "core/dispatch/demand_ledger.h"
#include "core/dispatch/load_shedding.h"
#include "core/dispatch/queue_config.h"

#include <map>
#include <string>
#include <vector>

namespace cuminscale::dispatch
{

enum class AdmissionDecision : std::uint8_t {
    Admit,
    Shed, ///< Refused to shorten the backlog.
    RefuseSurge, ///< Refused as part of what the queue's clients request beyond their usual share.
};

/// Decides on the jobs submitted to one entry. Has no clock and no randomness; callers pass the current time.
class AdmissionControl
{
public:
    AdmissionControl() = default;
    virtual ~AdmissionControl() = default;
    AdmissionControl(const AdmissionControl &) = delete;
    AdmissionControl &operator=(const AdmissionControl &) = delete;

    /// Counts a submitted job towards the demand of its queue, and decides on it. `work` is its expected CPU time in
    /// core-seconds; `backlog` is the waiting demand as a fraction of the capacity of the queue's service.
    virtual AdmissionDecision decide(TimePoint now, const QueueRule &queue, double work, double backlog) = 0;

    /// Delay after which the client of a job with this decision may retry. `capacity` is that of the usable servers of the
    /// queue's service, in cores.
    virtual Duration retryAfter(const JobId &job, const QueueRule &queue, AdmissionDecision decision, double backlog,
                                double capacity, Duration minimum) const;

    /// Sets the queues of the configuration in force.
    virtual void setQueues(const QueueConfig &queues);

    /// Demand measured here, for the other entries; empty if they don't need it.
    virtual DemandLedger::Digest demandDigest(TimePoint now);

    /// Takes over the digest of another entry. Returns false if some of its figures were invalid and ignored.
    virtual bool receiveDigest(TimePoint now, const Endpoint &from, const std::vector<QueueDemand> &digest);

    /// Usual and present demand of the fleet in cores, by queue name, as of the last decision or digest.
    struct NamedDemand
    {
        double usual = 0;
        double present = 0;
    };
    virtual std::map<std::string, NamedDemand> fleetDemand() const;

    /// Number of figures in digests that were ignored.
    virtual std::uint64_t malformedFigures() const;
};

/// Refuses a fraction of the work that grows with the backlog, from the queues with the highest demand: see LoadShedding.
class LargestFirstAdmission : public AdmissionControl
{
public:
    AdmissionDecision decide(TimePoint now, const QueueRule &queue, double work, double backlog) override;

private:
    LoadShedding m_shedding;
};

} // namespace cuminscale::dispatch
