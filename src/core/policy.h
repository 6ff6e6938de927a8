/// The replaceable choices of the core, each behind a small interface so that a baseline runs beside it.
#pragma once

#include "core/messages.h"
#include "core/settings.h"

#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cuminscale
{

/// The core's random numbers; seeded from the settings so that a run can be repeated.
using Random = std::mt19937_64;

/// Chooses the agents that a coordinator offers waiting tasks to.
class OfferPolicy
{
public:
    virtual ~OfferPolicy() = default;

    /// Picks at most `most` of the candidates for a job with that many waiting tasks.
    virtual std::vector<ProcessId> choose(const std::vector<AgentBrief> &candidates, std::uint32_t waiting, std::uint32_t most,
                                          const std::string &ownDomain, Random &random) = 0;
};

/// What an agent knows of one job that is on offer to it.
struct OfferView
{
    SubmissionId job;
    std::string member;
    std::string kind;
    std::uint32_t waiting = 0;
    TimePoint received;
};

/// Chooses the offer that a free slot claims from next.
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;

    /// Whether the first offer goes before the second; a strict weak order.
    virtual bool before(const OfferView &first, const OfferView &second) const = 0;
};

/// What a coordinator holds when a submission arrives.
struct LoadView
{
    std::uint32_t jobs = 0;
    std::uint32_t waitingTasks = 0;
};

/// Decides whether a coordinator takes a submission on.
class Admission
{
public:
    virtual ~Admission() = default;

    /// The reason for refusing, or nothing to admit.
    virtual std::optional<std::string> refuse(const JobSpec &spec, const LoadView &load) const = 0;
};

/// Chooses the coordinator whose ids an entry hands out next.
class CoordinatorChoice
{
public:
    virtual ~CoordinatorChoice() = default;

    /// Index into the candidates, which is never empty. `recent` counts what this entry has sent to each since its last report.
    virtual std::size_t choose(const std::vector<AgentBrief> &candidates, const std::vector<std::uint32_t> &recent,
                               Random &random) = 0;
};

/// Finds the process that answers for a submission.
class Locator
{
public:
    virtual ~Locator() = default;

    /// The process to ask about an id.
    virtual ProcessId locate(const SubmissionId &id) const = 0;

    /// Another process answers for the ids of one that has shut down. Returns whether that is news.
    virtual bool onSucceeded(const ProcessId &coordinator, const ProcessId &successor, TimePoint now) = 0;

    /// Forgets successions older than the limit.
    virtual void forgetOld(TimePoint now, Duration remember) = 0;
};

/// All choices of a core.
struct Policies
{
    std::unique_ptr<OfferPolicy> offers;
    std::unique_ptr<QueueOrder> order;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<CoordinatorChoice> coordinator;
    std::unique_ptr<Locator> locator;
};

/// Free slots first, own failure domain before others; as many agents as it takes to cover the waiting tasks.
std::unique_ptr<OfferPolicy> makeFreeSlotsFirstOffers();
/// Baseline: random agents, regardless of what they report.
std::unique_ptr<OfferPolicy> makeRandomOffers();
/// Fewest waiting tasks first, then the oldest offer.
std::unique_ptr<QueueOrder> makeFewestLeftOrder();
/// Baseline: the oldest offer first.
std::unique_ptr<QueueOrder> makeFirstComeOrder();
/// Refuses over the limits on jobs and waiting tasks.
std::unique_ptr<Admission> makeBoundedAdmission(const Limits &limits);
/// Most free slots after what was sent recently, ties at random.
std::unique_ptr<CoordinatorChoice> makeMostFreeCoordinator();
/// Baseline: any coordinator.
std::unique_ptr<CoordinatorChoice> makeRandomCoordinator();
/// The process that the id names, or whoever has taken over its records.
std::unique_ptr<Locator> makeEmbeddedLocator();
/// The shipped set of choices.
Policies makeDefaultPolicies(const Limits &limits);

} // namespace cuminscale
