#include "core/dispatch/agent_dispatch.h"

namespace cuminscale::dispatch
{

void AgentDispatch::adoptEvacuations(TimePoint now, const Endpoint &from, const Evacuations &evacuations)
{
    const bool wasEvacuated = evacuated();
    if (!m_settings.followsEvacuations || !m_evacuations.adopt(evacuations)) {
        return;
    }
    m_log.write(LogLevel::Info, "evacuations-adopted",
                "revision=" + std::to_string(evacuations.revision) + " domains=" + m_evacuations.describe()
                    + " source=" + toString(from) + " evacuated=" + (evacuated() ? "1" : "0")
                    + " runs=" + std::to_string(m_ledger.booked()) + " waiting=" + std::to_string(m_ledger.waiting()));
    if (evacuated() == wasEvacuated) {
        return;
    }
    if (evacuated()) {
        refuseQueuedRuns(now, RefusalReason::Draining);
    }
    reportToAll(now);
}

} // namespace cuminscale::dispatch
