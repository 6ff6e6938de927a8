#include "core/dispatch/entry_selection.h"

#include <algorithm>

namespace cuminscale::dispatch
{

EntrySelection selectEntries(const Endpoint &agent, const std::string &domain, std::vector<EntryCandidate> candidates,
                             const EntrySelectionLimits &limits)
{
    const std::size_t agentHash = IdHash()(agent);
    const auto rank = [agentHash](const EntryCandidate &entry) {
        return combineHash(agentHash, IdHash()(entry.endpoint));
    };
    std::sort(candidates.begin(), candidates.end(),
              [&rank](const EntryCandidate &a, const EntryCandidate &b) { return rank(a) > rank(b); });
    EntrySelection selection;
    std::vector<bool> taken(candidates.size(), false);
    const auto take = [&](std::size_t limit, bool ownDomainOnly) {
        for (std::size_t i = 0; i < candidates.size() && selection.attached.size() < limit; ++i) {
            if (taken[i] || (ownDomainOnly && candidates[i].domain != domain)) {
                continue;
            }
            taken[i] = true;
            (candidates[i].live ? selection.attached : selection.probed).push_back(candidates[i].endpoint);
        }
    };
    take(std::min(limits.ownDomain, limits.total), true);
    take(limits.total, false);
    return selection;
}

} // namespace cuminscale::dispatch
