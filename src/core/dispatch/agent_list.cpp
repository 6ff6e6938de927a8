#include "core/dispatch/agent_list.h"

namespace cuminscale::dispatch
{

std::optional<std::vector<Endpoint>> AgentList::due(TimePoint now, std::vector<Endpoint> &&agents)
{
    if (agents == m_written) {
        m_changedAt = TimePoint();
        return std::nullopt;
    }
    m_changedAt = m_changedAt == TimePoint() ? now : m_changedAt;
    const bool settled = now - m_changedAt >= m_timing.settleTime && now - m_writtenAt >= m_timing.minInterval;
    const bool mayReplace = m_read || now - m_startedAt >= m_timing.unreadHold;
    if (!settled || !mayReplace || agents.empty()) {
        return std::nullopt;
    }
    m_written = std::move(agents);
    m_writtenAt = now;
    m_changedAt = TimePoint();
    return m_written;
}

} // namespace cuminscale::dispatch
