/// Interfaces of the core's scheduling, admission and routing policies, so that an alternative can be compared to the default.
#pragma once

#include "core/messages.h"
#include "core/settings.h"

#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cuminscale
{

/// Random number generator of the core, seeded from the settings so that runs are reproducible.
using Random = std::mt19937_64;

/// Selects the agents that a coordinator offers waiting tasks to.
class OfferPolicy
{
public:
    virtual ~OfferPolicy() = default;

    /// Returns at most `maxAgents` of the candidates for a job with `waiting` tasks to grant.
    virtual std::vector<ProcessId> choose(const std::vector<AgentSummary> &candidates, std::uint32_t waiting,
                                          std::uint32_t maxAgents, const std::string &ownDomain, Random &random) = 0;
};

/// An offered job, as known to the agent.
struct OfferInfo
{
    SubmissionId job;
    std::string member;
    std::string kind;
    std::uint32_t waiting = 0; ///< Tasks not yet granted to any agent.
    TimePoint received;
};

/// Orders the offers that an agent claims tasks from.
class OfferOrder
{
public:
    virtual ~OfferOrder() = default;

    /// Whether the first offer precedes the second; a strict weak ordering.
    virtual bool before(const OfferInfo &first, const OfferInfo &second) const = 0;
};

/// Load of a coordinator when a submission arrives.
struct CoordinatorLoad
{
    std::uint32_t jobs = 0; ///< Jobs in progress.
    std::uint32_t waitingTasks = 0;
};

/// Admission control of a coordinator.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /// The reason to refuse the submission, or nothing if it is admitted.
    virtual std::optional<std::string> refuse(const JobSpec &spec, const CoordinatorLoad &load) const = 0;
};

/// Selects the coordinator whose submission id an entry uses next.
class CoordinatorPolicy
{
public:
    virtual ~CoordinatorPolicy() = default;

    /// Returns an index into the candidates, which must not be empty. `recent` holds, for each candidate, how many of its ids
    /// this entry has used since the candidate last reported its load.
    virtual std::size_t choose(const std::vector<AgentSummary> &candidates, const std::vector<std::uint32_t> &recent,
                               Random &random) = 0;
};

/// Locates the process that holds the record of a submission.
class SubmissionLocator
{
public:
    virtual ~SubmissionLocator() = default;

    /// The process to send messages about the submission to.
    virtual ProcessId locate(const SubmissionId &id) const = 0;

    /// Records that `successor` has taken over the records of a coordinator that has shut down. Returns false if this was
    /// known already.
    virtual bool onSuccessorAnnounced(const ProcessId &coordinator, const ProcessId &successor, TimePoint now) = 0;

    /// Removes successions that have not been confirmed for longer than `retention`.
    virtual void removeExpired(TimePoint now, Duration retention) = 0;
};

/// The policies of one core.
struct Policies
{
    std::unique_ptr<OfferPolicy> offers;
    std::unique_ptr<OfferOrder> order;
    std::unique_ptr<AdmissionPolicy> admission;
    std::unique_ptr<CoordinatorPolicy> coordinator;
    std::unique_ptr<SubmissionLocator> locator;
};

/// Agents with free slots first, and of these the coordinator's own failure domain first; offers to as many agents as are needed
/// to cover the waiting tasks.
std::unique_ptr<OfferPolicy> makeFreeSlotsFirstOffers();
/// Baseline for comparison: random agents, whatever load they report.
std::unique_ptr<OfferPolicy> makeRandomOffers();
/// Job with the fewest waiting tasks first; of equal ones, the oldest offer.
std::unique_ptr<OfferOrder> makeFewestWaitingFirstOrder();
/// Baseline for comparison: oldest offer first.
std::unique_ptr<OfferOrder> makeOldestFirstOrder();
/// Refuses submissions above the limits on jobs in progress and on waiting tasks.
std::unique_ptr<AdmissionPolicy> makeBoundedAdmission(const Limits &limits);
/// Coordinator with the most free slots, less its queued offers and the ids used since its last report; ties are broken at
/// random.
std::unique_ptr<CoordinatorPolicy> makeMostFreeCoordinator();
/// Baseline for comparison: random coordinator.
std::unique_ptr<CoordinatorPolicy> makeRandomCoordinator();
/// The coordinator embedded in the id, or the successor that has taken over its records.
std::unique_ptr<SubmissionLocator> makeIdBasedLocator();
/// The policies used in production.
Policies makeDefaultPolicies(const Limits &limits);

} // namespace cuminscale
