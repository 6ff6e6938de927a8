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
    Shelf &shelf = m_shelves[from];
    shelf.asking = false;
    if (minted.count == 0) {
        return;
    }
    // A repeated message would hand out the same ids twice.
    if (minted.first < shelf.seenEnd) {
        return;
    }
    shelf.seenEnd = Sequence(minted.first.value() + minted.count);
    shelf.ranges.push_back(Range{minted.first, Sequence(minted.first.value() + minted.count), step.now()});
    shelf.count += minted.count;
}

std::optional<SubmissionId> IdStock::take(Step &step, const PeerTable &peers, const std::string &service, const ProcessId &avoid)
{
    std::vector<AgentBrief> candidates;
    std::vector<std::uint32_t> recent;
    for (const AgentBrief &brief : peers.usableAgents(step.now(), peers.suspectAfter(), service)) {
        const auto it = m_shelves.find(brief.agent);
        if (it != m_shelves.end() && it->second.count > 0 && brief.agent != avoid) {
            candidates.push_back(brief);
            recent.push_back(it->second.recent);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t chosen = m_policies.coordinator->choose(candidates, recent, step.random());
    Shelf &shelf = m_shelves[candidates[chosen].agent];
    while (shelf.ranges.front().next == shelf.ranges.front().end) {
        shelf.ranges.pop_front();
    }
    Range &range = shelf.ranges.front();
    const SubmissionId id{candidates[chosen].agent, range.next};
    range.next = Sequence(range.next.value() + 1);
    --shelf.count;
    ++shelf.recent;
    return id;
}

void IdStock::onReported(const ProcessId &coordinator)
{
    const auto it = m_shelves.find(coordinator);
    if (it != m_shelves.end()) {
        it->second.recent = 0;
    }
}

void IdStock::drop(const ProcessId &coordinator)
{
    const auto it = m_shelves.find(coordinator);
    if (it != m_shelves.end()) {
        it->second.ranges.clear();
        it->second.count = 0;
    }
}

void IdStock::erase(const ProcessId &coordinator)
{
    m_shelves.erase(coordinator);
}

bool IdStock::filled() const noexcept
{
    return std::any_of(m_shelves.begin(), m_shelves.end(),
                       [](const std::pair<const ProcessId, Shelf> &shelf) { return shelf.second.count > 0; });
}

void IdStock::refill(Step &step, const PeerTable &peers)
{
    const Duration useWithin = m_settings.timing.rememberAnswers / 2;
    for (const AgentBrief &brief : peers.agents(step.now(), peers.suspectAfter())) {
        if (brief.leaving || brief.service.empty()) {
            continue;
        }
        Shelf &shelf = m_shelves[brief.agent];
        while (!shelf.ranges.empty() && step.now() - shelf.ranges.front().arrived > useWithin) {
            shelf.count -= shelf.ranges.front().end.value() - shelf.ranges.front().next.value();
            shelf.ranges.pop_front();
        }
        const bool low = shelf.count < m_settings.limits.idStock / 2;
        const bool mayAsk = !shelf.asking || step.now() - shelf.asked >= m_settings.timing.resendAfter;
        if (low && mayAsk) {
            shelf.asking = true;
            shelf.asked = step.now();
            step.sendControl(brief.agent, msg::Mint{m_settings.limits.idStock});
        }
    }
}

} // namespace cuminscale
