#include "core/status.h"

namespace cuminscale
{

const char *counterName(Counter counter) noexcept
{
    static constexpr const char *Names[] = {
        "control_messages_sent",
        "work_messages_sent",
        "tasks_started",
        "tasks_succeeded",
        "tasks_failed",
        "tasks_unknown",
        "tasks_aborted",
        "jobs_accepted",
        "jobs_complete",
        "jobs_failed",
        "jobs_refused",
        "resubmissions",
        "conflicts",
        "expired_ids",
        "offers_sent",
        "claims_sent",
        "empty_grants",
        "claims_barred",
        "late_grants_dropped",
        "queries_sent",
        "resends",
        "stale_dropped",
        "wrong_incarnation",
        "connections_replaced",
        "calls_refused",
        "calls_unknown",
        "request_retries",
        "request_hedges",
        "config_refused",
    };
    static_assert(std::size(Names) == static_cast<std::size_t>(Counter::Total));
    return Names[static_cast<std::size_t>(counter)];
}

} // namespace cuminscale
