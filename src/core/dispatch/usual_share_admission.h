/// Admission that refuses first what queues ask for beyond their usual share.
#pragma once

#include "core/dispatch/admission_control.h"

namespace cuminscale::dispatch
{

/// Refuses as much work as LoadShedding, first from the queues whose present demand surges: it exceeds both their usual demand
/// and their usual share of the present total demand of their service. Their demand is cut in proportion to the surges, down to
/// their usual demand or their usual share of what is admitted, whichever is larger. Usual demand that a queue does not use is
/// lent to the queues that surge. What the surges don't cover for a second is refused from the queues with the highest demand.
///
/// Load pattern: one or two queues are requested at 1.6 to 2.6 times their usual rate for 4 to 6 s. Refusing from the queue with
/// the highest demand makes a larger queue, which is requested as usual, lose its service for the surge of a smaller one. If all
/// queues grow alike, as in the daily swing, the shares stay the same and no queue surges.
class UsualShareAdmission : public AdmissionControl
{
public:
    /// `weights` multiply the usual shares of queues, by name; 1 for the others.
    explicit UsualShareAdmission(std::map<std::string, double> weights);

    AdmissionDecision decide(TimePoint now, const QueueRule &queue, double work, double backlog) override;
    Duration retryAfter(const JobId &job, const QueueRule &queue, AdmissionDecision decision, double backlog, double capacity,
                        Duration minimum) const override;
    void setQueues(const QueueConfig &queues) override;
    DemandLedger::Digest demandDigest(TimePoint now) override;
    bool receiveDigest(TimePoint now, const Endpoint &from, const std::vector<QueueDemand> &digest) override;
    std::map<std::string, NamedDemand> fleetDemand() const override;
    std::uint64_t malformedFigures() const override;

private:
    struct QueueInfo
    {
        std::string name;
        std::string service;
        std::uint32_t urgency = 0;
    };

    /// Demand of a queue in relation to what it is entitled to, in cores.
    struct Claim
    {
        QueueKey queue;
        bool mostUrgent = false;
        double usual = 0;
        double present = 0;
        double surge = 0; ///< Present demand that neither its own entitlement nor what other queues leave unused covers.
    };

    struct MeanFraction
    {
        double value = 0;
        TimePoint updatedAt;
    };

    /// The fraction of a queue's jobs to refuse, by cause.
    struct Refusal
    {
        double surge = 0;
        double shed = 0;
    };

    /// The claims of all known queues of a service, if this fraction of the less urgent work is refused.
    std::vector<Claim> claims(const std::string &service, double shedFraction) const;
    /// Null if no queue surges, so that the queues with the highest demand are cut.
    std::optional<Refusal> refusal(QueueKey queue, const std::string &service, double shedFraction, double meanFraction) const;
    /// Returns the mean of the shed fraction of a service over the last second.
    double updateMeanFraction(TimePoint now, const std::string &service, double shedFraction);
    double weightOf(const std::string &queue) const;

    std::map<std::string, double> m_weights;
    std::map<QueueKey, QueueInfo> m_queues; ///< From the configuration and from submitted jobs.
    std::size_t m_configuredQueues = 0;
    std::map<std::string, MeanFraction> m_meanFractions; ///< By service.
    DemandLedger m_ledger;
    LoadShedding m_largestFirst;
};

} // namespace cuminscale::dispatch
