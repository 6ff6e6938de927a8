#include "daemon/agent_process.h"

#include "daemon/metrics_text.h"

namespace cuminscale
{

namespace
{

/// The process exits this long before the end of the grace period, after which the platform kills it.
constexpr Duration GraceMargin = milliseconds(300);
/// Minimum time from the shutdown request to the exit, so that final run results can be retransmitted to the entries.
constexpr Duration MinShutdownTime = milliseconds(400);
/// A running agent reads the list of entries from the store only after it has had no live entry for this long. It does so
/// rarely, because all processes share the store's rate limits.
constexpr Duration EntryLookupDelay = seconds(2);
constexpr Duration EntryLookupInterval = seconds(2);

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

AgentProcess::AgentProcess(const DispatchSettings &settings, const std::string &settingsPath)
    : DispatchProcess(settings, settingsPath)
    , m_gateway(m_context, settings.server, &DispatchProcess::now)
    , m_lastContactAt(now())
{
    openLink();
    dispatch::AgentSettings agent;
    agent.self = m_self;
    agent.domain = settings.domain;
    agent.service = settings.service;
    agent.entries = settings.entries;
    agent.followsEvacuations = settings.followsEvacuations;
    agent.firstToken = dispatch::FencingToken(wallClockMs());
    agent.timing.leaseDuration = std::min(agent.timing.leaseDuration, settings.maxLease);
    m_dispatch = std::make_unique<dispatch::AgentDispatch>(agent, m_gateway, *m_link, m_log, now());
    m_gateway.setDispatch(*m_dispatch);
    m_announcementServer =
        std::make_unique<HttpServer>(m_context, settings.announceListen, httpLimits(),
                                     [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                         m_gateway.handle(std::move(request), exchange);
                                     });
    platform::StoreClient::Handlers handlers;
    handlers.onConfigDocument = [](const std::string &) {
    };
    handlers.onEntries = [this](const std::vector<Endpoint> &entries) {
        m_dispatch->addEntries(now(), entries);
    };
    m_store = std::make_unique<platform::StoreClient>(m_context, settings.store, m_log, std::move(handlers));
    // The settings name few entries, and these may be the last ones to start after a power failure.
    m_store->listEntries();
}

void AgentProcess::onTick(TimePoint time, Duration)
{
    m_dispatch->onTick(time);
    if (m_dispatch->hasLiveEntry(time)) {
        m_lastContactAt = time;
    } else if (time - m_lastContactAt > EntryLookupDelay && time - m_lastLookupAt > EntryLookupInterval) {
        m_lastLookupAt = time;
        m_store->listEntries();
    }
}

void AgentProcess::onPeerMessage(const dispatch::Envelope &envelope)
{
    m_dispatch->onMessage(now(), envelope);
}

void AgentProcess::onShutdownRequested(TimePoint time)
{
    m_dispatch->shutDown(time);
}

bool AgentProcess::shutdownDone(TimePoint time)
{
    const Duration since = time - m_shutdownRequestedAt;
    return (m_dispatch->drained(time) && since >= MinShutdownTime) || since >= m_settings.stopGrace - GraceMargin;
}

void AgentProcess::onSettings(const DispatchSettings &settings)
{
    m_dispatch->addEntries(now(), settings.entries);
}

std::string AgentProcess::renderMetrics(TimePoint) const
{
    const dispatch::AgentCounters &counters = m_dispatch->counters();
    const dispatch::RunLedger &ledger = m_dispatch->ledger();
    const std::pair<const char *, std::uint64_t> rows[] = {
        {"orders_taken", counters.ordersTaken},
        {"runs_started", counters.runsStarted},
        {"runs_done", counters.runsDone},
        {"runs_failed", counters.runsFailed},
        {"runs_stopped", counters.runsStopped},
        {"runs_lapsed", counters.runsLapsed},
        {"runs_lost", counters.runsLost},
        {"runs_handed_back", counters.runsRefused},
        {"runs_refused_evacuated", counters.runsRefusedEvacuated},
        {"evacuated_domains", m_dispatch->evacuations().domains.size()},
        {"starts_unanswered", counters.startsUnanswered},
        {"starts_repeated", counters.startsRepeated},
        {"leases_limited", counters.leasesLimited},
        {"looks_failed", counters.pollsFailed},
        {"runs_unconfirmed", counters.runsUnconfirmed},
        {"coordinators_silent", counters.coordinatorsSilent},
        {"connections_replaced", counters.connectionsReplaced},
        {"server_crashes", counters.serverCrashes},
        {"cold_times_invalid", counters.coldTimesInvalid},
        {"store_calls", m_store->calls()},
        {"runs_booked", ledger.booked()},
        {"runs_waiting", ledger.waiting()},
    };
    MetricsText metrics;
    for (const std::pair<const char *, std::uint64_t> &row : rows) {
        metrics.add(row.first, row.second);
    }
    metrics.add("run_wait_seconds", m_dispatch->waitTimes());
    metrics.add("run_duration_seconds", m_dispatch->runTimes());
    return metrics.text();
}

} // namespace cuminscale
