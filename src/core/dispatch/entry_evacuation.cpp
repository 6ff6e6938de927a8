#include "core/dispatch/entry_dispatch.h"

#include <algorithm>

namespace cuminscale::dispatch
{

void EntryDispatch::adoptEvacuations(TimePoint now, const Evacuations &evacuations, const Endpoint *peer)
{
    if (!m_settings.followsEvacuations || !m_evacuations.adopt(evacuations)) {
        return;
    }
    m_unknownDomainsDueAt = now + m_settings.timing.unknownDomainDelay;
    for (FleetView::Agents::value_type &item : m_fleet.agents()) {
        item.second.evacuated = m_evacuations.isEvacuated(item.second.domain);
    }
    m_log.write(LogLevel::Info, "evacuations-adopted",
                "revision=" + std::to_string(evacuations.revision) + " domains=" + m_evacuations.describe()
                    + " source=" + (peer == nullptr ? "store" : toString(*peer)));
}

void EntryDispatch::checkUnknownDomains(TimePoint now)
{
    if (m_unknownDomainsDueAt == TimePoint() || now < m_unknownDomainsDueAt) {
        return;
    }
    m_unknownDomainsDueAt = TimePoint();
    std::set<std::string> known{m_settings.domain};
    for (const FleetView::Agents::value_type &item : m_fleet.agents()) {
        known.insert(item.second.domain);
    }
    for (const std::pair<const Endpoint, EntryPeer> &item : m_entries) {
        known.insert(item.second.domain);
    }
    for (const std::string &domain : m_evacuations.valid().domains) {
        if (known.count(domain) == 0) {
            ++m_counters.unknownDomains;
            m_log.write(LogLevel::Warning, "evacuation-unknown",
                        "domain=" + domain + " revision=" + std::to_string(m_evacuations.valid().revision)
                            + " reason=no-process-known");
        }
    }
}

} // namespace cuminscale::dispatch
