#include "core/agent_core.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

constexpr const char *LogComponent = "agent";
/// Minimum time from the shutdown request to the handoff, so that entries learn in time that the agent is leaving.
constexpr Duration MinDrainTime = milliseconds(1200);

/// Time for which the process keeps running after the handoff, so that entries learn of the successor first.
constexpr Duration HandoffLingerTime = milliseconds(500);

/// Weight for rendezvous hashing: spreads agents over the entries, and keeps most assignments when entries join or leave.
std::size_t rendezvousWeight(const Endpoint &entry, const ProcessId &agent)
{
    return combineHash(IdHash()(entry), IdHash()(agent));
}

} // namespace

AgentCore::AgentCore(const CoreSettings &settings, Policies policies)
    : m_settings(settings)
    , m_policies(std::move(policies))
    , m_random(settings.identity.seed)
    , m_peers(m_settings.timing)
    , m_coordinator(m_settings, m_policies)
    , m_executor(m_settings, m_policies)
{ }

void AgentCore::handle(TimePoint now, Event &&event, Effects &effects)
{
    const std::size_t firstEffect = effects.size();
    Step step(now, m_settings, m_counters, m_random, effects);
    m_coordinator.setFreeSlots(m_executor.spareSlots(now));
    if (event::PeerMessageReceived *arrived = std::get_if<event::PeerMessageReceived>(&event)) {
        onPeerMessage(step, std::move(arrived->envelope));
    } else if (event::BackendFinished *finished = std::get_if<event::BackendFinished>(&event)) {
        m_executor.onBackendFinished(step, std::move(*finished));
    } else if (const event::BackendAnnounced *announced = std::get_if<event::BackendAnnounced>(&event)) {
        m_heartbeatDue = m_executor.onAnnounced(step, *announced) || m_heartbeatDue;
    } else if (const event::CallerRequestReceived *received = std::get_if<event::CallerRequestReceived>(&event)) {
        onStatusRequest(step, *received);
    } else if (std::holds_alternative<event::Tick>(event)) {
        tick(step);
    } else if (std::holds_alternative<event::ShutdownRequested>(event)) {
        onShutdown(step);
    }
    finishEvent(step);
    m_peers.attachEchoSources(effects, firstEffect);
}

void AgentCore::finishEvent(Step &step)
{
    do {
        while (std::optional<Envelope> envelope = step.takeLoopback()) {
            handleMessage(step, envelope->from, std::move(envelope->message), Duration::zero());
        }
        m_executor.flush(step);
        m_coordinator.flush(step);
    } while (step.hasLoopback());
    if (m_heartbeatDue) {
        sendHeartbeats(step);
    }
}

void AgentCore::onPeerMessage(Step &step, Envelope &&envelope)
{
    const PeerTable::ReceivedMessage received = m_peers.recordMessage(step.now(), envelope);
    if (!received.accepted) {
        step.count(Counter::StaleDropped);
        return;
    }
    if (received.ended) {
        onProcessEnded(step, *received.ended);
    }
    if (!isForThisIncarnation(step, envelope)) {
        return;
    }
    handleMessage(step, envelope.from, std::move(envelope.message), received.age);
}

void AgentCore::handleMessage(Step &step, const ProcessId &from, Message &&message, std::optional<Duration> age)
{
    struct Visitor
    {
        AgentCore &core;
        Step &step;
        const ProcessId &from;
        std::optional<Duration> age;

        void operator()(const msg::Heartbeat &) const { }
        void operator()(const msg::HeartbeatReply &m) const
        {
            core.onHeartbeatReply(step, from, m);
        }
        void operator()(const msg::ConfigPush &m) const
        {
            core.onConfigPush(step, from, m);
        }
        void operator()(const msg::Mint &m) const
        {
            core.m_coordinator.onMint(step, from, m);
        }
        void operator()(const msg::Minted &) const { }
        void operator()(const msg::Submit &m) const
        {
            if (m.id.coordinator == step.self()) {
                core.m_coordinator.onSubmit(step, from, m, age, core.m_peers);
            } else {
                core.m_takenOverRecords.answer(step, from, m.id, &m.spec->digest);
            }
        }
        void operator()(const msg::Await &m) const
        {
            if (m.id.coordinator == step.self()) {
                core.m_coordinator.onAwait(step, from, m);
            } else {
                core.m_takenOverRecords.answer(step, from, m.id, nullptr);
            }
        }
        void operator()(const msg::Cancel &m) const
        {
            if (m.id.coordinator == step.self()) {
                core.m_coordinator.onCancel(step, from, m);
            } else {
                core.m_takenOverRecords.answer(step, from, m.id, nullptr);
            }
        }
        void operator()(const msg::JobReply &) const { }
        void operator()(const msg::Offer &m) const
        {
            core.m_executor.onOffer(step, from, m);
        }
        void operator()(const msg::Withdraw &m) const
        {
            core.m_executor.onWithdraw(from, m);
        }
        void operator()(const msg::Claim &m) const
        {
            core.m_coordinator.onClaim(step, from, m);
        }
        void operator()(const msg::Grant &m) const
        {
            core.m_executor.onGrant(step, from, m);
        }
        void operator()(const msg::Results &m) const
        {
            core.m_peers.correctFreeSlots(from, m.freeSlots);
            core.m_coordinator.onResults(step, from, m);
        }
        void operator()(const msg::ResultsAck &m) const
        {
            core.m_executor.onResultsAck(from, m);
        }
        void operator()(const msg::Query &m) const
        {
            core.m_executor.onQuery(step, from, m);
        }
        void operator()(const msg::QueryReply &m) const
        {
            core.m_coordinator.onQueryReply(step, from, m);
        }
        void operator()(const msg::CancelClaim &m) const
        {
            core.m_executor.onCancelClaim(step, from, m);
        }
        void operator()(const msg::Gone &) const { }
        void operator()(const msg::Handoff &m) const
        {
            core.m_takenOverRecords.onHandoff(step, from, m, core.m_leaving);
            core.m_heartbeatDue = core.m_heartbeatDue || m.last;
        }
        void operator()(const msg::HandoffAck &m) const
        {
            if (!core.m_handoffSender.onAck(step, from, m)) {
                core.chooseSuccessor(step);
            }
        }
    };
    std::visit(Visitor{*this, step, from, age}, message);
}

void AgentCore::onProcessEnded(Step &step, const ProcessId &ended)
{
    m_executor.onProcessEnded(step, ended);
    m_coordinator.onProcessEnded(step, ended);
}

void AgentCore::onHeartbeatReply(Step &step, const ProcessId &from, const msg::HeartbeatReply &reply)
{
    // The longest interval that any entry requests applies. Halving the previous value with each reply lets the interval
    // shrink once that entry requests less.
    m_heartbeatInterval = std::max(reply.nextAfter, m_heartbeatInterval / 2);
    m_peers.recordSummary(from, AgentSummary{from, "", "", 0, 0, 0, reply.revision, false}, true);
    for (AgentSummary summary : reply.agents) {
        summary.service = m_executor.service();
        if (summary.agent.endpoint == step.self().endpoint) {
            continue;
        }
        const std::optional<Incarnation> known = m_peers.incarnationAt(summary.agent.endpoint);
        m_peers.recordIndirectSummary(step.now(), summary);
        if (known && *known < summary.agent.incarnation) {
            onProcessEnded(step, ProcessId{summary.agent.endpoint, *known});
        }
    }
    std::vector<Endpoint> entries;
    for (const ProcessId &entry : reply.entries) {
        entries.push_back(entry.endpoint);
    }
    if (!entries.empty() && entries != m_knownEntries) {
        m_knownEntries = std::move(entries);
        attachToEntries(step);
    }
}

void AgentCore::onConfigPush(Step &step, const ProcessId & /*from*/, const msg::ConfigPush &push)
{
    const ConfigVersion version{push.revision, push.changeId, push.document};
    if (m_config.offer(step, version) == ActiveConfig::OfferResult::Adopted) {
        m_heartbeatDue = true;
    }
}

void AgentCore::attachToEntries(Step &step)
{
    std::vector<Endpoint> candidates = m_knownEntries.empty() ? m_settings.seeds : m_knownEntries;
    std::sort(candidates.begin(), candidates.end(), [&step](const Endpoint &a, const Endpoint &b) {
        return rendezvousWeight(a, step.self()) > rendezvousWeight(b, step.self());
    });
    candidates.resize(std::min<std::size_t>(candidates.size(), m_settings.entriesPerAgent));
    m_attachedEntries = std::move(candidates);
}

AgentSummary AgentCore::ownSummary(TimePoint now) const
{
    AgentSummary summary;
    summary.agent = m_settings.identity.self;
    summary.service = m_executor.service();
    summary.domain = m_settings.identity.domain;
    summary.slots = m_executor.slots();
    summary.freeSlots = m_executor.freeSlots(now);
    summary.queued = m_executor.offersHeld();
    summary.revision = m_config.revision();
    summary.leaving = !m_executor.accepting(now);
    return summary;
}

void AgentCore::sendHeartbeats(Step &step)
{
    m_heartbeatDue = false;
    m_lastHeartbeat = step.now();
    for (const Endpoint &entry : m_attachedEntries) {
        step.sendControl(ProcessId{entry, Incarnation()},
                         msg::Heartbeat{ownSummary(step.now()), false, m_takenOverRecords.coordinators()});
    }
}

void AgentCore::tick(Step &step)
{
    const Timing &timing = m_settings.timing;
    m_peers.setHeartbeatInterval(m_heartbeatInterval);
    if (m_attachedEntries.empty()) {
        attachToEntries(step);
    }
    m_executor.tick(step);
    m_coordinator.tick(step, m_peers);
    for (const Endpoint &endpoint : m_peers.takeConnectionsToReplace(step.now(), m_peers.suspectAfter())) {
        step.replaceConnection(endpoint);
    }
    for (const ProcessId &removed : m_peers.removeSilent(step.now(), m_peers.goneAfter())) {
        step.add(effect::ForgetConnection{removed.endpoint});
        const auto it = std::find(m_knownEntries.begin(), m_knownEntries.end(), removed.endpoint);
        if (it != m_knownEntries.end()) {
            m_knownEntries.erase(it);
            attachToEntries(step);
        }
    }
    if (step.now() - m_lastHeartbeat >= std::max(timing.heartbeatInterval, m_heartbeatInterval)) {
        m_heartbeatDue = true;
    }
    m_takenOverRecords.tick(step.now(), timing.answerRetention);
    if (m_leaving && !m_stopped) {
        continueShutdown(step);
    }
}

void AgentCore::continueShutdown(Step &step)
{
    const bool minDrainTimePassed = step.now() - m_leavingSince >= MinDrainTime;
    if (!m_handoffSender.started()) {
        if (minDrainTimePassed && m_coordinator.idle() && m_executor.idle()) {
            startHandoff(step);
        }
        return;
    }
    m_handoffSender.tick(step);
    if (m_handoffSender.timedOut(step.now())) {
        chooseSuccessor(step);
        return;
    }
    if (!m_handoffSender.finished()) {
        return;
    }
    // Entries learn of the successor from its heartbeats; until then they still send requests to this process.
    if (m_handoffFinished == TimePoint()) {
        m_handoffFinished = step.now();
    }
    if (step.now() - m_handoffFinished >= HandoffLingerTime) {
        stop(step);
    }
}

void AgentCore::startHandoff(Step &step)
{
    for (msg::Handoff &part : m_coordinator.closeAndExportRecords()) {
        m_handoffSender.add(std::move(part));
    }
    for (msg::Handoff &handoff : m_takenOverRecords.toHandoffs()) {
        m_handoffSender.add(std::move(handoff));
    }
    chooseSuccessor(step);
}

void AgentCore::chooseSuccessor(Step &step)
{
    m_triedSuccessors.insert(m_handoffSender.successor());
    for (const AgentSummary &summary : m_peers.usableAgents(step.now(), m_peers.suspectAfter(), m_executor.service())) {
        if (summary.agent != step.self() && m_triedSuccessors.count(summary.agent) == 0) {
            m_handoffSender.start(summary.agent, step.now());
            m_handoffSender.tick(step);
            step.log(LogLevel::Info, LogComponent, "Handing off the submission records to " + toString(summary.agent) + ".");
            return;
        }
    }
    step.log(LogLevel::Warning, LogComponent,
             "No other agent takes over the submission records; calls about their ids will be answered with an unknown outcome.");
    stop(step);
}

void AgentCore::stop(Step &step)
{
    m_stopped = true;
    step.log(LogLevel::Info, LogComponent, "Shutdown is complete; the process exits.");
    step.add(effect::Stopped{});
}

void AgentCore::onShutdown(Step &step)
{
    if (m_leaving) {
        return;
    }
    m_leaving = true;
    m_leavingSince = step.now();
    m_coordinator.startLeaving();
    m_executor.startLeaving();
    m_heartbeatDue = true;
    step.log(LogLevel::Info, LogComponent, "Shutting down: no new work is accepted.");
}

void AgentCore::onStatusRequest(Step &step, const event::CallerRequestReceived &received)
{
    CallerReply reply;
    if (std::holds_alternative<call::ShowStatus>(received.call)) {
        reply.kind = CallerReply::Kind::Status;
        reply.status = status(step.now());
    } else {
        reply.kind = CallerReply::Kind::NotFound;
        reply.text = "An agent answers only status requests.";
    }
    step.add(effect::ReplyCaller{received.tag, std::move(reply)});
}

StatusReport AgentCore::status(TimePoint now) const
{
    StatusReport report;
    report.self = m_settings.identity.self;
    report.role = "agent";
    report.domain = m_settings.identity.domain;
    report.revision = m_config.revision();
    report.leaving = m_leaving;
    report.ready = m_executor.accepting(now);
    report.entries = m_peers.entries(now, m_peers.suspectAfter());
    report.agents = m_peers.agents(now, m_peers.goneAfter());
    report.agents.push_back(ownSummary(now));
    report.jobs = m_coordinator.activeJobs();
    report.waitingTasks = m_coordinator.waitingTasks();
    report.counters = m_counters;
    return report;
}

} // namespace cuminscale
