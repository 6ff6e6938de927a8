#include "core/entry_core.h"

#include "core/refusal.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

constexpr const char *LogComponent = "entry";
/// Used when neither the caller nor the configuration of the kind sets a deadline.
constexpr Duration DefaultDeadline = seconds(60);
/// Bounds on the agents listed in one heartbeat reply. Within them, the list is as long as the control budget allows with a
/// heartbeat from every agent every TargetHeartbeatIntervalS.
constexpr std::int64_t MinSampledAgents = 4;
constexpr std::int64_t MaxSampledAgents = 32;
constexpr double TargetHeartbeatIntervalS = 1.0;
/// Bytes of a heartbeat and its reply without the listed agents, and of each listed agent.
constexpr std::int64_t HeartbeatExchangeBytes = 250;
constexpr std::int64_t SampledAgentBytes = 40;
/// Shares of the control budget for heartbeats with agents and with other entries. The rest is left for submission ids and
/// configuration updates.
constexpr double AgentHeartbeatShare = 0.6;
constexpr double EntryHeartbeatShare = 0.2;
/// Bytes sent and received per heartbeat interval for each other entry.
constexpr double EntryHeartbeatBytes = 200;
/// The load balancer may route calls to the entry for this long after its readiness check has started to fail.
constexpr Duration MinDrainTime = milliseconds(1500);
/// An entry that finds no agents becomes ready after this time, so that callers get an explicit refusal.
constexpr Duration MaxReadinessDelay = seconds(5);
/// Tag of store writes that no caller waits for.
constexpr CallerTag InternalWriteTag{0};

} // namespace

EntryCore::EntryCore(const CoreSettings &settings, Policies policies)
    : m_settings(settings)
    , m_policies(std::move(policies))
    , m_random(settings.identity.seed)
    , m_peers(m_settings.timing)
    , m_calls(m_settings, m_policies, m_peers)
{ }

void EntryCore::handle(TimePoint now, Event &&event, Effects &effects)
{
    const std::size_t firstEffect = effects.size();
    Step step(now, m_settings, m_counters, m_random, effects);
    if (event::PeerMessageReceived *arrived = std::get_if<event::PeerMessageReceived>(&event)) {
        onPeerMessage(step, std::move(arrived->envelope));
    } else if (event::CallerRequestReceived *received = std::get_if<event::CallerRequestReceived>(&event)) {
        onCallerRequest(step, std::move(*received));
    } else if (const event::CallerDisconnected *disconnected = std::get_if<event::CallerDisconnected>(&event)) {
        m_calls.onCallerDisconnected(step, disconnected->tag);
    } else if (const event::StoreConfigRead *config = std::get_if<event::StoreConfigRead>(&event)) {
        offerConfig(step, config->config, true);
    } else if (const event::StoreEntriesRead *entries = std::get_if<event::StoreEntriesRead>(&event)) {
        m_registeredEntries.clear();
        for (const ProcessId &entry : entries->entries) {
            m_registeredEntries.push_back(entry.endpoint);
        }
    } else if (const event::StoreWriteEnded *ended = std::get_if<event::StoreWriteEnded>(&event)) {
        onStoreWriteEnded(step, *ended);
    } else if (std::holds_alternative<event::Tick>(event)) {
        tick(step);
    } else if (std::holds_alternative<event::ShutdownRequested>(event) && !m_leaving) {
        m_leaving = true;
        m_leavingSince = now;
        step.log(LogLevel::Info, LogComponent, "Shutting down: the readiness check fails from now on.");
    }
    m_peers.attachEchoSources(effects, firstEffect);
}

void EntryCore::onPeerMessage(Step &step, Envelope &&envelope)
{
    const PeerTable::ReceivedMessage received = m_peers.recordMessage(step.now(), envelope);
    if (!received.accepted) {
        step.count(Counter::StaleDropped);
        return;
    }
    if (received.ended) {
        m_calls.onProcessEnded(step, *received.ended);
    }
    if (!isForThisIncarnation(step, envelope)) {
        return;
    }
    const ProcessId &from = envelope.from;
    if (const msg::Heartbeat *heartbeat = std::get_if<msg::Heartbeat>(&envelope.message)) {
        onHeartbeat(step, from, *heartbeat);
    } else if (const msg::JobReply *reply = std::get_if<msg::JobReply>(&envelope.message)) {
        m_calls.onJobReply(step, from, *reply);
    } else if (const msg::Minted *minted = std::get_if<msg::Minted>(&envelope.message)) {
        m_calls.onMinted(step, from, *minted);
    } else if (const msg::ConfigPush *push = std::get_if<msg::ConfigPush>(&envelope.message)) {
        offerConfig(step, ConfigVersion{push->revision, push->changeId, push->document}, false);
    } else if (const msg::Gone *gone = std::get_if<msg::Gone>(&envelope.message)) {
        // The sender now runs at that address, so the incarnation that the message was sent to has ended.
        m_calls.onProcessEnded(step, ProcessId{from.endpoint, gone->meant});
    }
}

void EntryCore::onHeartbeat(Step &step, const ProcessId &from, const msg::Heartbeat &heartbeat)
{
    m_peers.recordSummary(from, heartbeat.summary, heartbeat.isEntry);
    if (heartbeat.summary.revision < m_config.revision()) {
        step.sendControl(from, m_config.push());
    }
    if (heartbeat.isEntry) {
        return;
    }
    m_calls.idStock().onReported(from);
    for (const ProcessId &coordinator : heartbeat.answersFor) {
        m_calls.onSuccessorAnnounced(step, coordinator, from);
    }
    msg::HeartbeatReply reply;
    reply.entries = m_peers.entries(step.now(), m_peers.suspectAfter());
    reply.entries.push_back(step.self());
    std::sort(reply.entries.begin(), reply.entries.end());
    reply.agents = sampleAgentsFor(step, heartbeat.summary);
    reply.revision = m_config.revision();
    reply.nextAfter = m_agentHeartbeatInterval;
    step.sendControl(from, std::move(reply));
}

std::vector<AgentSummary> EntryCore::sampleAgentsFor(Step &step, const AgentSummary &agent)
{
    std::vector<AgentSummary> sample;
    if (agent.service.empty()) {
        return sample;
    }
    for (const AgentSummary &summary : m_peers.agents(step.now(), m_peers.suspectAfter())) {
        if (summary.service == agent.service && summary.agent != agent.agent) {
            sample.push_back(summary);
            // Left out to save bytes: the receiver knows its own service and does not use the revision of other agents.
            sample.back().service.clear();
            sample.back().revision = Revision();
        }
    }
    if (sample.size() > m_sampleSize) {
        std::shuffle(sample.begin(), sample.end(), step.random());
        sample.resize(m_sampleSize);
    }
    return sample;
}

void EntryCore::reply(Step &step, CallerTag tag, CallerReply reply)
{
    step.add(effect::ReplyCaller{tag, std::move(reply)});
}

void EntryCore::refuse(Step &step, CallerTag tag, CallerReply::Kind kind, std::string reason)
{
    step.count(Counter::CallsRefused);
    CallerReply answer;
    answer.kind = kind;
    answer.text = reason;
    answer.outcome = Refusal::beforeSending(std::move(reason));
    reply(step, tag, std::move(answer));
}

void EntryCore::onCallerRequest(Step &step, event::CallerRequestReceived &&received)
{
    const CallerTag tag = received.tag;
    if (const call::SubmitJob *job = std::get_if<call::SubmitJob>(&received.call)) {
        submit(step, tag, *job->spec, job->deadline, received.call);
    } else if (const call::SubmitRequest *request = std::get_if<call::SubmitRequest>(&received.call)) {
        submit(step, tag, *request->spec, request->deadline, received.call);
    } else if (const call::MintIds *mint = std::get_if<call::MintIds>(&received.call)) {
        m_calls.mintIds(step, tag, *mint);
    } else if (const call::QueryJob *query = std::get_if<call::QueryJob>(&received.call)) {
        m_calls.queryJob(step, tag, *query);
    } else if (const call::CancelJob *cancel = std::get_if<call::CancelJob>(&received.call)) {
        m_calls.cancelJob(step, tag, *cancel);
    } else if (call::ApplyConfig *apply = std::get_if<call::ApplyConfig>(&received.call)) {
        applyConfig(step, tag, std::move(*apply));
    } else if (std::holds_alternative<call::ShowConfig>(received.call)) {
        CallerReply answer;
        answer.kind = CallerReply::Kind::Config;
        answer.text = m_config.version().document;
        answer.revision = m_config.revision();
        answer.changeId = m_config.version().changeId;
        reply(step, tag, std::move(answer));
    } else {
        CallerReply answer;
        answer.kind = CallerReply::Kind::Status;
        answer.status = status(step.now());
        reply(step, tag, std::move(answer));
    }
}

void EntryCore::submit(Step &step, CallerTag tag, const JobSpec &spec, Duration declaredDeadline, const CallerRequest &call)
{
    Duration deadline = declaredDeadline > Duration::zero() ? declaredDeadline : DefaultDeadline;
    const auto refuseSubmission = [&](CallerReply::Kind kind, const std::string &reason) {
        if (const call::SubmitJob *job = std::get_if<call::SubmitJob>(&call)) {
            m_calls.refuseJob(step, tag, *job, reason);
        } else {
            refuse(step, tag, kind, reason);
        }
    };
    // Without a configuration, as when the store is down at the first start, the service, member and kind are not checked:
    // work goes to any agent whose backend server has announced the service.
    if (m_config.revision() != Revision()) {
        const std::map<std::string, ServiceRule> &services = m_config.document().services;
        const auto service = services.find(spec.service);
        if (service == services.end()) {
            refuseSubmission(CallerReply::Kind::NotFound, "There is no service named '" + spec.service + "'.");
            return;
        }
        const ServiceRule &rule = service->second;
        if (!rule.members.empty() && rule.members.count(spec.member) == 0) {
            refuseSubmission(CallerReply::Kind::BadRequest, "The service has no member named '" + spec.member + "'.");
            return;
        }
        const auto kind = rule.kinds.find(spec.kind);
        if (!rule.kinds.empty() && kind == rule.kinds.end()) {
            refuseSubmission(CallerReply::Kind::BadRequest, "The service has no kind of work named '" + spec.kind + "'.");
            return;
        }
        if (declaredDeadline == Duration::zero() && kind != rule.kinds.end() && kind->second.deadline > Duration::zero()) {
            deadline = kind->second.deadline;
        }
    }
    if (const call::SubmitJob *job = std::get_if<call::SubmitJob>(&call)) {
        m_calls.submitJob(step, tag, *job, deadline);
    } else {
        m_calls.submitRequest(step, tag, std::get<call::SubmitRequest>(call), deadline);
    }
}

void EntryCore::applyConfig(Step &step, CallerTag tag, call::ApplyConfig &&call)
{
    ConfigError error;
    if (!parseConfigDocument(call.document, error)) {
        refuse(step, tag, CallerReply::Kind::BadRequest, error.path + ": " + error.reason + ".");
        return;
    }
    if (m_config.revision() != Revision() && call.changeId == m_config.version().changeId) {
        CallerReply answer;
        answer.kind = CallerReply::Kind::Applied;
        answer.revision = m_config.revision();
        answer.changeId = call.changeId;
        reply(step, tag, std::move(answer));
        return;
    }
    if (!m_settings.hasStore) {
        refuse(step, tag, CallerReply::Kind::Refused,
               "The settings of this entry name no store, so the configuration cannot be changed here.");
        return;
    }
    // A change based on an older revision than the active one is never written, even if a restored store is at that revision.
    // It may still have been accepted earlier and been followed by other changes: the list of recent changes in the store shows
    // that, so the store is read.
    const bool outOfDate = call.base < m_config.revision();
    const ConfigVersion next{Revision(call.base.value() + 1), std::move(call.changeId), std::move(call.document), {}};
    m_pendingWrites.emplace(tag, next);
    step.add(effect::WriteConfig{tag, call.base, next, outOfDate});
}

void EntryCore::onStoreWriteEnded(Step &step, const event::StoreWriteEnded &ended)
{
    const auto it = m_pendingWrites.find(ended.tag);
    const bool pending = it != m_pendingWrites.end();
    const ConfigVersion written = pending ? it->second : ended.current;
    if (pending) {
        m_pendingWrites.erase(it);
    }
    CallerReply answer;
    switch (ended.how) {
    case event::StoreWriteEnded::How::Written:
        offerConfig(step, written, false);
        answer.kind = CallerReply::Kind::Applied;
        answer.revision = written.revision;
        answer.changeId = written.changeId;
        break;
    case event::StoreWriteEnded::How::Conflict:
        offerConfig(step, ended.current, true);
        // The operator has to start from the active configuration; a restored store may hold an older one.
        answer.kind = CallerReply::Kind::Conflict;
        answer.text = m_config.version().document;
        answer.revision = m_config.revision();
        answer.changeId = m_config.version().changeId;
        break;
    case event::StoreWriteEnded::How::Unreachable:
        answer.kind = CallerReply::Kind::Applied;
        answer.outcome =
            Unknown{"The store did not answer; retry with the same change id to learn whether the change was applied."};
        answer.text = "The store did not answer; retry with the same change id to learn whether the change was applied.";
        answer.changeId = written.changeId;
        break;
    }
    if (ended.tag != InternalWriteTag) {
        reply(step, ended.tag, std::move(answer));
    }
}

void EntryCore::offerConfig(Step &step, const ConfigVersion &version, bool fromStore)
{
    const ActiveConfig::OfferResult result = m_config.offer(step, version);
    if (result == ActiveConfig::OfferResult::Adopted) {
        pushConfigToOutdatedPeers(step);
    }
    if (result == ActiveConfig::OfferResult::Older && fromStore) {
        step.log(LogLevel::Warning, LogComponent,
                 "The store holds an older configuration than the active one; writing the active one back to the store.");
        step.add(effect::WriteConfig{InternalWriteTag, version.revision, m_config.version(), false});
    }
}

void EntryCore::pushConfigToOutdatedPeers(Step &step)
{
    for (const ProcessId &peer : m_peers.peersBelowRevision(step.now(), m_peers.suspectAfter(), m_config.revision())) {
        step.sendControl(peer, m_config.push());
    }
}

void EntryCore::sendEntryHeartbeats(Step &step)
{
    m_lastHeartbeat = step.now();
    AgentSummary summary;
    summary.agent = step.self();
    summary.domain = m_settings.identity.domain;
    summary.revision = m_config.revision();
    summary.leaving = m_leaving;
    std::vector<Endpoint> others = m_registeredEntries;
    others.insert(others.end(), m_settings.seeds.begin(), m_settings.seeds.end());
    for (const ProcessId &entry : m_peers.entries(step.now(), m_peers.goneAfter())) {
        others.push_back(entry.endpoint);
    }
    std::sort(others.begin(), others.end());
    others.erase(std::unique(others.begin(), others.end()), others.end());
    const double neededSeconds = EntryHeartbeatBytes * static_cast<double>(others.size())
        / (EntryHeartbeatShare * m_settings.limits.controlBytesPerSecond);
    m_entryHeartbeatInterval =
        std::max(m_settings.timing.heartbeatInterval, Duration(static_cast<std::int64_t>(neededSeconds * 1e6)));
    for (const Endpoint &other : others) {
        if (other != step.self().endpoint) {
            step.sendControl(ProcessId{other, Incarnation()}, msg::Heartbeat{summary, true, {}});
        }
    }
}

void EntryCore::tick(Step &step)
{
    if (m_firstTick == TimePoint()) {
        m_firstTick = step.now();
    }
    const Timing &timing = m_settings.timing;
    updateAgentHeartbeatInterval(step);
    m_peers.setHeartbeatInterval(std::max(m_agentHeartbeatInterval, m_entryHeartbeatInterval));
    m_calls.tick(step);
    if (step.now() - m_lastHeartbeat >= std::max(timing.heartbeatInterval, m_entryHeartbeatInterval)) {
        sendEntryHeartbeats(step);
    }
    for (const Endpoint &endpoint : m_peers.takeConnectionsToReplace(step.now(), m_peers.suspectAfter())) {
        step.replaceConnection(endpoint);
    }
    for (const ProcessId &removed : m_peers.removeSilent(step.now(), m_peers.goneAfter())) {
        step.add(effect::ForgetConnection{removed.endpoint});
    }
    stopIfDrained(step);
}

void EntryCore::stopIfDrained(Step &step)
{
    const bool minDrainTimePassed = step.now() - m_leavingSince >= MinDrainTime;
    if (m_leaving && !m_stopped && minDrainTimePassed && m_calls.size() == 0 && m_pendingWrites.empty()) {
        m_stopped = true;
        step.log(LogLevel::Info, LogComponent, "All pending calls are answered; the process exits.");
        step.add(effect::Stopped{});
    }
}

void EntryCore::updateAgentHeartbeatInterval(Step &step)
{
    const std::int64_t agentCount =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(m_peers.agents(step.now(), m_peers.goneAfter()).size()));
    const double budget = AgentHeartbeatShare * m_settings.limits.controlBytesPerSecond;
    const std::int64_t sampleBytes =
        static_cast<std::int64_t>(budget * TargetHeartbeatIntervalS) / agentCount - HeartbeatExchangeBytes;
    m_sampleSize = static_cast<std::size_t>(std::clamp(sampleBytes / SampledAgentBytes, MinSampledAgents, MaxSampledAgents));
    const std::int64_t sampled = std::min(static_cast<std::int64_t>(m_sampleSize), agentCount);
    const double neededSeconds =
        static_cast<double>(agentCount * (HeartbeatExchangeBytes + SampledAgentBytes * sampled)) / budget;
    m_agentHeartbeatInterval =
        std::max(m_settings.timing.heartbeatInterval, Duration(static_cast<std::int64_t>(neededSeconds * 1e6)));
}

bool EntryCore::isReady(TimePoint now) const
{
    // An entry that has just started knows no agents and would reject work that other entries can forward.
    const bool warmedUp = m_calls.hasIds() || (m_firstTick != TimePoint() && now - m_firstTick > MaxReadinessDelay);
    return !m_leaving && warmedUp;
}

StatusReport EntryCore::status(TimePoint now) const
{
    StatusReport report;
    report.self = m_settings.identity.self;
    report.role = "entry";
    report.domain = m_settings.identity.domain;
    report.revision = m_config.revision();
    report.leaving = m_leaving;
    report.ready = isReady(now);
    report.entries = m_peers.entries(now, m_peers.suspectAfter());
    report.entries.push_back(m_settings.identity.self);
    report.agents = m_peers.agents(now, m_peers.suspectAfter());
    report.pendingCalls = m_calls.size();
    report.counters = m_counters;
    return report;
}

} // namespace cuminscale
