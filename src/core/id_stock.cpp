#include "core/id_stock.h"

#include <algorithm>

namespace cuminscale
{

IdStock::IdStock(const CoreSettings &settings, Policies &policies)
    : m_settings(settings)
    , m_policies(policies)
{ }

void IdStock::onMinted(Step &step, const ProcessId &from, const msg::Minted &minted)
{
    CoordinatorIds &ids = m_coordinators[from];
    ids.requestPending = false;
    if (minted.count == 0) {
        return;
    }
    // Ids from a repeated message must not be added again, or each would be issued twice.
    if (minted.first < ids.highestEnd) {
        return;
    }
    ids.highestEnd = Sequence(minted.first.value() + minted.count);
    ids.ranges.push_back(Range{minted.first, Sequence(minted.first.value() + minted.count), step.now()});
    ids.count += minted.count;
}

std::optional<SubmissionId> IdStock::take(Step &step, const PeerTable &peers, const std::string &service, const ProcessId &avoid)
{
    std::vector<AgentSummary> candidates;
    std::vector<std::uint32_t> recent;
    for (const AgentSummary &summary : peers.usableAgents(step.now(), peers.suspectAfter(), service)) {
        const auto it = m_coordinators.find(summary.agent);
        if (it != m_coordinators.end() && it->second.count > 0 && summary.agent != avoid) {
            candidates.push_back(summary);
            recent.push_back(it->second.takenSinceReport);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t chosen = m_policies.coordinator->choose(candidates, recent, step.random());
    CoordinatorIds &ids = m_coordinators[candidates[chosen].agent];
    while (ids.ranges.front().next == ids.ranges.front().end) {
        ids.ranges.pop_front();
    }
    Range &range = ids.ranges.front();
    const SubmissionId id{candidates[chosen].agent, range.next};
    range.next = Sequence(range.next.value() + 1);
    --ids.count;
    ++ids.takenSinceReport;
    return id;
}

void IdStock::onReported(const ProcessId &coordinator)
{
    const auto it = m_coordinators.find(coordinator);
    if (it != m_coordinators.end()) {
        it->second.takenSinceReport = 0;
    }
}

void IdStock::discardIds(const ProcessId &coordinator)
{
    const auto it = m_coordinators.find(coordinator);
    if (it != m_coordinators.end()) {
        it->second.ranges.clear();
        it->second.count = 0;
    }
}

void IdStock::forgetCoordinator(const ProcessId &coordinator)
{
    m_coordinators.erase(coordinator);
}

bool IdStock::hasIds() const noexcept
{
    return std::any_of(m_coordinators.begin(), m_coordinators.end(),
                       [](const std::pair<const ProcessId, CoordinatorIds> &entry) { return entry.second.count > 0; });
}

void IdStock::refill(Step &step, const PeerTable &peers)
{
    // As long as the coordinator stays within its limits, its low-water mark passes no id that was issued less than
    // answerRetention ago. Ids are discarded at half of that age, which leaves the caller time to submit.
    const Duration maxAge = m_settings.timing.answerRetention / 2;
    for (const AgentSummary &summary : peers.agents(step.now(), peers.suspectAfter())) {
        if (summary.leaving || summary.service.empty()) {
            continue;
        }
        CoordinatorIds &ids = m_coordinators[summary.agent];
        while (!ids.ranges.empty() && step.now() - ids.ranges.front().receivedAt > maxAge) {
            ids.count -= ids.ranges.front().end.value() - ids.ranges.front().next.value();
            ids.ranges.pop_front();
        }
        const bool low = ids.count < m_settings.limits.idPrefetchCount / 2;
        const bool mayRequest = !ids.requestPending || step.now() - ids.lastRequestAt >= m_settings.timing.resendAfter;
        if (low && mayRequest) {
            ids.requestPending = true;
            ids.lastRequestAt = step.now();
            step.sendControl(summary.agent, msg::Mint{m_settings.limits.idPrefetchCount});
        }
    }
}

} // namespace cuminscale
