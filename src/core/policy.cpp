#include "core/policy.h"

#include <algorithm>
#include <map>

namespace cuminscale
{

namespace
{

/// A shuffled copy, so that a stable sort leaves equally ranked agents in random order and spreads the load over them.
std::vector<AgentSummary> shuffled(const std::vector<AgentSummary> &candidates, Random &random)
{
    std::vector<AgentSummary> result = candidates;
    std::shuffle(result.begin(), result.end(), random);
    return result;
}

class FreeSlotsFirstOffers : public OfferPolicy
{
public:
    std::vector<ProcessId> choose(const std::vector<AgentSummary> &candidates, std::uint32_t waiting, std::uint32_t maxAgents,
                                  const std::string &ownDomain, Random &random) override
    {
        std::vector<AgentSummary> ranked = shuffled(candidates, random);
        std::stable_sort(ranked.begin(), ranked.end(), [&ownDomain](const AgentSummary &a, const AgentSummary &b) {
            const bool aFree = a.freeSlots > 0;
            const bool bFree = b.freeSlots > 0;
            if (aFree != bFree) {
                return aFree;
            }
            if (aFree && (a.domain == ownDomain) != (b.domain == ownDomain)) {
                return a.domain == ownDomain;
            }
            return aFree ? a.freeSlots > b.freeSlots : a.queued < b.queued;
        });
        std::vector<ProcessId> chosen;
        std::uint32_t covered = 0;
        for (const AgentSummary &summary : ranked) {
            const bool enough = covered >= waiting && chosen.size() >= MinOffers;
            if (chosen.size() >= maxAgents || enough) {
                break;
            }
            chosen.push_back(summary.agent);
            covered += std::max(summary.freeSlots, 1U);
        }
        return chosen;
    }

private:
    /// At least two agents get an offer, because the reported free slots of the first may be out of date.
    static constexpr std::size_t MinOffers = 2;
};

class RandomOffers : public OfferPolicy
{
public:
    std::vector<ProcessId> choose(const std::vector<AgentSummary> &candidates, std::uint32_t waiting, std::uint32_t maxAgents,
                                  const std::string & /*ownDomain*/, Random &random) override
    {
        std::vector<ProcessId> chosen;
        for (const AgentSummary &summary : shuffled(candidates, random)) {
            if (chosen.size() >= std::min(maxAgents, waiting)) {
                break;
            }
            chosen.push_back(summary.agent);
        }
        return chosen;
    }
};

class FewestWaitingFirstOrder : public OfferOrder
{
public:
    bool before(const OfferInfo &first, const OfferInfo &second) const override
    {
        if (first.waiting != second.waiting) {
            return first.waiting < second.waiting;
        }
        return first.received < second.received;
    }
};

class OldestFirstOrder : public OfferOrder
{
public:
    bool before(const OfferInfo &first, const OfferInfo &second) const override
    {
        return first.received < second.received;
    }
};

class BoundedAdmission : public AdmissionPolicy
{
public:
    explicit BoundedAdmission(const Limits &limits)
        : m_limits(limits)
    { }

    std::optional<std::string> refuse(const JobSpec &spec, const CoordinatorLoad &load) const override
    {
        if (load.jobs >= m_limits.maxJobs) {
            return "The coordinator has reached its limit of jobs in progress.";
        }
        if (load.waitingTasks + spec.tasks.size() > m_limits.maxWaitingTasks) {
            return "The coordinator's queue of waiting tasks is full.";
        }
        return std::nullopt;
    }

private:
    Limits m_limits;
};

class MostFreeCoordinator : public CoordinatorPolicy
{
public:
    std::size_t choose(const std::vector<AgentSummary> &candidates, const std::vector<std::uint32_t> &recent,
                       Random &random) override
    {
        std::size_t best = 0;
        std::int64_t bestScore = 0;
        std::uint64_t ties = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const AgentSummary &summary = candidates[i];
            const std::int64_t score = static_cast<std::int64_t>(summary.freeSlots) - summary.queued - recent[i];
            ties = (i == 0 || score > bestScore) ? 1 : ties + (score == bestScore ? 1 : 0);
            const bool wins = i == 0 || score > bestScore || (score == bestScore && random() % ties == 0);
            if (wins) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }
};

class RandomCoordinator : public CoordinatorPolicy
{
public:
    std::size_t choose(const std::vector<AgentSummary> &candidates, const std::vector<std::uint32_t> & /*recent*/,
                       Random &random) override
    {
        return random() % candidates.size();
    }
};

class IdBasedLocator : public SubmissionLocator
{
public:
    ProcessId locate(const SubmissionId &id) const override
    {
        ProcessId process = id.coordinator;
        // A successor may have shut down as well. The bound guards against a cycle, which only corrupt messages can cause.
        for (int hops = 0; hops < MaxHops; ++hops) {
            const auto it = m_successors.find(process);
            if (it == m_successors.end()) {
                break;
            }
            process = it->second.successor;
        }
        return process;
    }

    bool onSuccessorAnnounced(const ProcessId &coordinator, const ProcessId &successor, TimePoint now) override
    {
        Succession &succession = m_successors[coordinator];
        const bool changed = succession.successor != successor;
        succession = Succession{successor, now};
        return changed;
    }

    void removeExpired(TimePoint now, Duration retention) override
    {
        for (auto it = m_successors.begin(); it != m_successors.end();) {
            it = now - it->second.since > retention ? m_successors.erase(it) : std::next(it);
        }
    }

private:
    struct Succession
    {
        ProcessId successor;
        TimePoint since;
    };

    static constexpr int MaxHops = 16;

    std::map<ProcessId, Succession> m_successors;
};

} // namespace

std::unique_ptr<OfferPolicy> makeFreeSlotsFirstOffers()
{
    return std::make_unique<FreeSlotsFirstOffers>();
}

std::unique_ptr<OfferPolicy> makeRandomOffers()
{
    return std::make_unique<RandomOffers>();
}

std::unique_ptr<OfferOrder> makeFewestWaitingFirstOrder()
{
    return std::make_unique<FewestWaitingFirstOrder>();
}

std::unique_ptr<OfferOrder> makeOldestFirstOrder()
{
    return std::make_unique<OldestFirstOrder>();
}

std::unique_ptr<AdmissionPolicy> makeBoundedAdmission(const Limits &limits)
{
    return std::make_unique<BoundedAdmission>(limits);
}

std::unique_ptr<CoordinatorPolicy> makeMostFreeCoordinator()
{
    return std::make_unique<MostFreeCoordinator>();
}

std::unique_ptr<CoordinatorPolicy> makeRandomCoordinator()
{
    return std::make_unique<RandomCoordinator>();
}

std::unique_ptr<SubmissionLocator> makeIdBasedLocator()
{
    return std::make_unique<IdBasedLocator>();
}

Policies makeDefaultPolicies(const Limits &limits)
{
    Policies policies;
    policies.offers = makeFreeSlotsFirstOffers();
    policies.order = makeFewestWaitingFirstOrder();
    policies.admission = makeBoundedAdmission(limits);
    policies.coordinator = makeMostFreeCoordinator();
    policies.locator = makeIdBasedLocator();
    return policies;
}

} // namespace cuminscale
