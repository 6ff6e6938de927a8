#include "core/dispatch/usual_share_admission.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cuminscale::dispatch
{

namespace
{

/// A queue surges if its present demand exceeds its entitlement by this factor. The present demand of a queue with some forty
/// jobs a second varies by a tenth by itself.
constexpr double SurgeThreshold = 1.15;
/// Time constant of the mean shed fraction. The backlog varies within tenths of a second, as jobs arrive as groups of tasks.
constexpr double MeanFractionSeconds = 1.0;
/// Queues known from submitted jobs alone, before the configuration names them.
constexpr std::size_t MaxUnconfiguredQueues = 256;
/// Assumed length of a surge, to estimate how much of its work is refused in all.
constexpr double SurgeSeconds = 5.0;
/// Longest period that the retries of refused surge jobs are spread over, as a multiple of the minimum delay.
constexpr double MaxSurgeRetrySteps = 20.0;

} // namespace

UsualShareAdmission::UsualShareAdmission(std::map<std::string, double> weights)
    : m_weights(std::move(weights))
{ }

double UsualShareAdmission::weightOf(const std::string &queue) const
{
    const std::map<std::string, double>::const_iterator it = m_weights.find(queue);
    return it == m_weights.end() ? 1.0 : it->second;
}

void UsualShareAdmission::setQueues(const QueueConfig &queues)
{
    m_queues.clear();
    std::set<std::string> services;
    for (const std::shared_ptr<const QueueRule> &rule : queues.queues) {
        m_queues[queueKey(rule->name)] = QueueInfo{rule->name, rule->service, rule->urgency};
        services.insert(rule->service);
    }
    // A mean that starts anew would start at the present fraction, and a peak would be cut from the largest queue.
    std::erase_if(m_meanFractions, [&services](const std::pair<const std::string, MeanFraction> &item) {
        return services.count(item.first) == 0;
    });
    m_configuredQueues = m_queues.size();
}

std::vector<UsualShareAdmission::Claim> UsualShareAdmission::claims(const std::string &service, double shedFraction) const
{
    std::vector<Claim> claims;
    double totalShares = 0;
    double totalPresent = 0;
    double totalAdmitted = 0;
    std::vector<double> shares;
    for (const DemandLedger::Demands::value_type &item : m_ledger.lastFleet()) {
        const std::map<QueueKey, QueueInfo>::const_iterator info = m_queues.find(item.first);
        if (info == m_queues.end() || info->second.service != service) {
            continue;
        }
        claims.push_back(Claim{item.first, info->second.urgency == MostUrgent, item.second.usual, item.second.present, 0.0});
        shares.push_back(item.second.usual * weightOf(info->second.name));
        totalShares += shares.back();
        totalPresent += item.second.present;
        totalAdmitted += item.second.present * (claims.back().mostUrgent ? 1.0 : 1.0 - shedFraction);
    }
    double totalSurge = 0;
    double unused = 0;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        Claim &claim = claims[i];
        const double share = totalShares > 0.0 ? shares[i] / totalShares : 0.0;
        if (claim.present > SurgeThreshold * std::max(share * totalPresent, claim.usual)) {
            claim.surge = claim.present - std::max(share * totalAdmitted, claim.usual);
        }
        totalSurge += claim.surge;
        unused += std::max(claim.usual - claim.present, 0.0);
    }
    for (Claim &claim : claims) {
        claim.surge *= totalSurge > unused ? 1.0 - unused / totalSurge : 0.0;
    }
    return claims;
}

std::optional<UsualShareAdmission::Refusal> UsualShareAdmission::refusal(QueueKey queue, const std::string &service,
                                                                         double shedFraction, double meanFraction) const
{
    double lessUrgent = 0;
    double surges = 0;
    double ofSurgingQueues = 0; // Their whole demand.
    std::vector<double> remaining; // Demand by queue without the surges.
    std::optional<Claim> own;
    for (const Claim &claim : claims(service, shedFraction)) {
        if (claim.mostUrgent) {
            continue;
        }
        lessUrgent += claim.present;
        surges += claim.surge;
        ofSurgingQueues += claim.surge > 0.0 ? claim.present : 0.0;
        remaining.push_back(claim.present - claim.surge);
        if (claim.queue == queue) {
            own = claim;
        }
    }
    if (surges <= 0.0 || !own || own->present <= 0.0) {
        return std::nullopt;
    }
    const double toRefuse = shedFraction * lessUrgent;
    const double ofSurges = std::min(toRefuse, surges);
    // The queues with the highest demand are cut if the surges are too small for the mean backlog, too. A peak of the backlog is
    // borne by the queues that surge, beyond their surges, as long as they have enough demand.
    const double ofLargest =
        std::max({std::min(shedFraction, meanFraction) * lessUrgent - surges, toRefuse - ofSurgingQueues, 0.0});
    const double ofPeak = toRefuse - ofSurges - ofLargest;
    const double level = LoadShedding::fairLevel(std::move(remaining), ofLargest);
    Refusal refusal;
    refusal.shed = std::max(own->present - own->surge - level, 0.0) / own->present;
    refusal.surge = own->surge * (ofSurges / surges) / own->present;
    const double left = ofSurgingQueues - surges - ofLargest;
    if (ofPeak > 0.0 && own->surge > 0.0) {
        refusal.surge += (1.0 - refusal.surge - refusal.shed) * (ofPeak < left ? ofPeak / left : 1.0);
    }
    return refusal;
}

double UsualShareAdmission::updateMeanFraction(TimePoint now, const std::string &service, double shedFraction)
{
    MeanFraction &mean = m_meanFractions[service];
    const double elapsed = std::max(std::chrono::duration<double>(now - mean.updatedAt).count(), 0.0);
    mean.value += (shedFraction - mean.value) * (1.0 - std::exp(-elapsed / MeanFractionSeconds));
    mean.updatedAt = now;
    return mean.value;
}

AdmissionDecision UsualShareAdmission::decide(TimePoint now, const QueueRule &queue, double work, double backlog)
{
    const QueueKey key = queueKey(queue.name);
    if (m_queues.count(key) == 0 && m_queues.size() < m_configuredQueues + MaxUnconfiguredQueues) {
        m_queues.emplace(key, QueueInfo{queue.name, queue.service, queue.urgency});
    }
    const double shedFraction = LoadShedding::shedFraction(backlog);
    const double meanFraction = updateMeanFraction(now, queue.service, shedFraction);
    if (shedFraction > 0.0) {
        m_ledger.slowLearning(now);
    }
    m_ledger.record(now, key, work);
    // The former policy counts the job in any case, so that both policies agree when no queue surges.
    const double largestFirst = m_largestFirst.refusalFraction(now, queue.name, queue.urgency, work, backlog);
    if (queue.urgency == MostUrgent || shedFraction <= 0.0) {
        return AdmissionDecision::Admit;
    }
    Refusal refused{0.0, largestFirst};
    if (m_ledger.isMeasured(now)) {
        refused = refusal(key, queue.service, shedFraction, meanFraction).value_or(refused);
    }
    if (!m_largestFirst.addRefusalCredit(queue.name, refused.surge + refused.shed)) {
        return AdmissionDecision::Admit;
    }
    return refused.surge > refused.shed ? AdmissionDecision::RefuseSurge : AdmissionDecision::Shed;
}

Duration UsualShareAdmission::retryAfter(const JobId &job, const QueueRule &queue, AdmissionDecision decision, double backlog,
                                         double capacity, Duration minimum) const
{
    if (decision != AdmissionDecision::RefuseSurge) {
        return LoadShedding::retryAfter(job, backlog, minimum);
    }
    const double shedFraction = LoadShedding::shedFraction(backlog);
    double surge = 0;
    double toRefuse = 0;
    double free = capacity;
    for (const Claim &claim : claims(queue.service, shedFraction)) {
        surge += claim.mostUrgent ? 0.0 : claim.surge;
        toRefuse += claim.mostUrgent ? 0.0 : claim.present * shedFraction;
        free -= claim.usual;
    }
    const double refused = std::min(surge, toRefuse);
    const double minimumSeconds = std::max(std::chrono::duration<double>(minimum).count(), 1e-3);
    const double servedWithin = free > 0.0 ? refused * SurgeSeconds / free / minimumSeconds : MaxSurgeRetrySteps;
    const std::size_t steps = static_cast<std::size_t>(std::ceil(std::clamp(servedWithin, 1.0, MaxSurgeRetrySteps)));
    return minimum * static_cast<std::int64_t>(1 + JobIdHash()(job) % steps);
}

DemandLedger::Digest UsualShareAdmission::demandDigest(TimePoint now)
{
    return m_ledger.digest(now);
}

bool UsualShareAdmission::receiveDigest(TimePoint now, const Endpoint &from, const std::vector<QueueDemand> &digest)
{
    return m_ledger.receive(now, from, digest);
}

std::map<std::string, AdmissionControl::NamedDemand> UsualShareAdmission::fleetDemand() const
{
    std::map<std::string, NamedDemand> named;
    for (const DemandLedger::Demands::value_type &item : m_ledger.lastFleet()) {
        const std::map<QueueKey, QueueInfo>::const_iterator info = m_queues.find(item.first);
        if (info != m_queues.end()) {
            named[info->second.name] = NamedDemand{item.second.usual, item.second.present};
        }
    }
    return named;
}

std::uint64_t UsualShareAdmission::malformedFigures() const
{
    return m_ledger.malformedFigures();
}

} // namespace cuminscale::dispatch
