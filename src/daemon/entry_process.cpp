#include "daemon/entry_process.h"

#include "daemon/metrics_text.h"
#include "platform/config_document.h"

namespace cuminscale
{

namespace
{

/// The load balancer checks health once a second and removes an entry after two failures in a row, so new connections arrive for
/// up to this long after the entry has stopped being ready.
constexpr Duration BalancerReactionTime = milliseconds(2600);
/// Jobs end this long before the end of the grace period, after which the platform kills the process.
constexpr Duration JobEndMargin = milliseconds(500);
/// Whatever is unanswered this long before the end of the grace period is given up, without waiting for confirmations of agents.
constexpr Duration GiveUpMargin = milliseconds(300);
/// The process exits this long before the end of the grace period, even if an answer has not been sent completely.
constexpr Duration ExitMargin = milliseconds(100);

} // namespace

EntryProcess::EntryProcess(const DispatchSettings &settings, const std::string &settingsPath)
    : DispatchProcess(settings, settingsPath)
    , m_gateway(&DispatchProcess::now)
{
    openLink();
    dispatch::EntrySettings entry;
    entry.self = m_self;
    entry.domain = settings.domain;
    entry.entries = settings.entries;
    entry.remoteDataFactor = settings.remoteDataFactor;
    entry.decidesDataLocality = settings.decidesDataLocality;
    entry.followsEvacuations = settings.followsEvacuations;
    entry.admission = settings.admission;
    entry.queueWeights = settings.queueWeights;
    entry.maxHeldJobs = settings.maxHeldJobs;
    m_dispatch = std::make_unique<dispatch::EntryDispatch>(entry, *m_link, m_gateway, m_log, now());
    m_dispatch->onNewerConfig = [this](const dispatch::ConfigBlob &config) {
        applyConfig(config.document, "peer");
    };
    m_gateway.setDispatch(*m_dispatch);
    m_clientServer = std::make_unique<HttpServer>(m_context, settings.clientsListen, httpLimits(),
                                                  [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                                      receiveRequest(std::move(request), exchange);
                                                  });
    m_readyServer = std::make_unique<HttpServer>(m_context, settings.readyListen, httpLimits(),
                                                 [this](HttpRequest &&, const std::shared_ptr<HttpExchange> &exchange) {
                                                     HttpResponse response;
                                                     response.status = isReady(now()) ? 200 : 503;
                                                     response.body = "{}";
                                                     exchange->respond(std::move(response));
                                                 });
    platform::StoreClient::Handlers handlers;
    handlers.onConfigDocument = [this](const std::string &document) {
        applyConfig(document, "store");
    };
    handlers.onEntries = [this](const std::vector<Endpoint> &entries) {
        m_dispatch->addEntries(now(), entries);
    };
    handlers.onEvacuations = [this](const dispatch::Evacuations &evacuations) {
        m_dispatch->setEvacuations(now(), evacuations);
    };
    handlers.onAgents = [this](const std::vector<Endpoint> &agents) {
        m_dispatch->addListedAgents(now(), agents);
    };
    m_store = std::make_unique<platform::StoreClient>(m_context, settings.store, m_log, std::move(handlers));
    if (settings.followsEvacuations) {
        m_store->followConfigAndEvacuations();
    } else {
        m_store->followConfig();
    }
    m_store->readAgentLists();
    m_store->registerEntry(settings.node, m_self.endpoint);
}

void EntryProcess::receiveRequest(HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange)
{
    const bool shutsDown = m_shutdownRequestedAt != TimePoint();
    if (!m_gateway.configured() && !shutsDown && !request.connectionEnded && m_unconfigured.hasRoom(request.body.size())) {
        m_unconfigured.add(now(), std::move(request), exchange);
        return;
    }
    m_gateway.handle(std::move(request), exchange, now());
}

void EntryProcess::releaseUnconfigured()
{
    m_unconfigured.releaseAll([this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange, TimePoint arrivedAt) {
        m_gateway.handle(std::move(request), exchange, arrivedAt);
    });
}

bool EntryProcess::isReady(TimePoint time) const
{
    return m_shutdownRequestedAt == TimePoint() && m_gateway.configured() && m_dispatch->usableAgents(time) > 0
        && m_dispatch->mayAdmit(time) && !m_dispatch->cpuOverloadDetector().isOverloaded();
}

void EntryProcess::applyConfig(const std::string &document, const char *source)
{
    std::string reason;
    const std::shared_ptr<const dispatch::QueueConfig> config = platform::parseConfig(document, reason);
    if (!config) {
        m_log.write(LogLevel::Error, "config-refused", std::string("source=") + source + " reason=\"" + reason + "\"");
        return;
    }
    if (config->version <= m_dispatch->config().version) {
        return;
    }
    m_dispatch->setConfig(dispatch::ConfigBlob{config->version, document});
    m_dispatch->setQueues(config);
    m_gateway.setConfig(config);
    HttpLimits limits = httpLimits();
    limits.maxBodyBytes = config->limits.maxBodyBytes;
    limits.maxHeaderBytes = config->limits.maxHeaderBytes;
    limits.idleTimeout = config->limits.idleTimeout;
    m_clientServer->setLimits(limits);
    m_log.write(LogLevel::Info, "config-adopted",
                "version=" + std::to_string(config->version) + " source=" + source
                    + " queues=" + std::to_string(config->queues.size()));
    releaseUnconfigured();
}

void EntryProcess::onTick(TimePoint time, Duration lag)
{
    m_dispatch->cpuOverloadDetector().recordTick(time, lag);
    m_unconfigured.releaseExpired(time,
                                  [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange,
                                         TimePoint arrivedAt) { m_gateway.handle(std::move(request), exchange, arrivedAt); });
    m_dispatch->onTick(time);
    if (const std::optional<std::vector<Endpoint>> agents = m_dispatch->agentListDue(time)) {
        m_store->writeAgentList(*agents);
    }
}

void EntryProcess::onPeerMessage(const dispatch::Envelope &envelope)
{
    m_dispatch->onMessage(now(), envelope);
}

void EntryProcess::onShutdownRequested(TimePoint time)
{
    m_clientServer->startDraining();
    releaseUnconfigured();
    m_dispatch->setShutdownDeadline(time + m_settings.stopGrace - JobEndMargin);
    m_store->unregister();
}

bool EntryProcess::shutdownDone(TimePoint time)
{
    const Duration since = time - m_shutdownRequestedAt;
    // A load balancer without another entry that is ready sends new connections here until they are refused. The entry stops
    // accepting in the first moment without an unanswered request, or when the jobs have ended.
    const bool jobsEnded = since >= m_settings.stopGrace - JobEndMargin;
    if ((since < BalancerReactionTime || m_dispatch->unanswered() > 0) && !jobsEnded) {
        return false;
    }
    m_clientServer->closeIdleConnections();
    if (since >= m_settings.stopGrace - GiveUpMargin) {
        m_dispatch->giveUpUnanswered(time);
    }
    if (!m_clientServer->hasConnections() || m_lastTurnTaken) {
        return true;
    }
    // What arrived while the process was delayed is handled before the next tick.
    m_lastTurnTaken = since >= m_settings.stopGrace - ExitMargin;
    return false;
}

void EntryProcess::onSettings(const DispatchSettings &settings)
{
    m_dispatch->addEntries(now(), settings.entries);
}

void EntryProcess::onStopped()
{
    m_clientServer.reset();
}

std::string EntryProcess::renderMetrics(TimePoint time) const
{
    const dispatch::EntryCounters &counters = m_dispatch->counters();
    const std::pair<const char *, std::uint64_t> rows[] = {
        {"jobs_submitted", counters.submitted},
        {"jobs_joined", counters.joined},
        {"jobs_succeeded", counters.succeeded},
        {"jobs_succeeded_late", counters.succeededLate},
        {"jobs_failed", counters.failed},
        {"jobs_refused_at_once", counters.refusedAtOnce},
        {"jobs_refused_surge", counters.refusedSurge},
        {"jobs_refused_later", counters.refusedLater},
        {"jobs_refused_unread", counters.refusedUnread},
        {"jobs_cancelled", counters.cancelled},
        {"clients_gone", counters.clientsGone},
        {"jobs_abandoned", counters.abandoned},
        {"jobs_not_admitted", counters.notAdmitted},
        {"jobs_held", counters.held},
        {"jobs_held_admitted", counters.heldAdmitted},
        {"jobs_unconfirmed", counters.unconfirmed},
        {"runs_ordered", counters.runsOrdered},
        {"runs_handed_back", counters.runsHandedBack},
        {"runs_failed", counters.runsFailed},
        {"runs_restarted", counters.runsRestarted},
        {"work_discarded_core_seconds", counters.discardedMilliCoreMs / 1'000'000},
        {"placements_near", counters.placementsNear},
        {"placements_remote", counters.placementsRemote},
        {"waits_expired", counters.waitsExpired},
        {"orders_repeated", counters.ordersRepeated},
        {"connections_replaced", counters.connectionsReplaced},
        {"configs_from_peers", counters.configsFromPeers},
        {"jobs_crashing_servers", counters.crashingJobs},
        {"queues_isolated", counters.queuesIsolated},
        {"evacuated_domains", m_dispatch->evacuations().domains.size()},
        {"evacuations_unknown", counters.unknownDomains},
        {"operator_items_ignored", m_store->operatorItemsIgnored()},
        {"demand_figures_malformed", m_dispatch->admission().malformedFigures()},
        {"store_calls", m_store->calls()},
        {"store_failures", m_store->failures()},
        {"config_version", m_dispatch->config().version},
        {"jobs_unanswered", m_dispatch->unanswered()},
        {"agents_usable", m_dispatch->usableAgents(time)},
        {"admission_evidence_agents", m_dispatch->admissionEvidenceAgents()},
    };
    MetricsText metrics;
    for (const std::pair<const char *, std::uint64_t> &row : rows) {
        metrics.add(row.first, row.second);
    }
    std::map<std::string, double> usual;
    std::map<std::string, double> present;
    for (const std::pair<const std::string, dispatch::AdmissionControl::NamedDemand> &demand :
         m_dispatch->admission().fleetDemand()) {
        usual[demand.first] = demand.second.usual;
        present[demand.first] = demand.second.present;
    }
    metrics.add("queue_usual_cpu", "queue", usual);
    metrics.add("queue_present_cpu", "queue", present);
    metrics.add("job_duration_seconds", "queue", m_dispatch->jobDurations());
    return metrics.text();
}

} // namespace cuminscale
