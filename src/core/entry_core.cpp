#include "core/entry_core.h"

#include "core/refusal.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

constexpr const char *Part = "entry";
/// For work whose caller and kind name no deadline.
constexpr Duration DefaultDeadline = seconds(60);
/// Agents of the same service named in one heartbeat reply: as many as let heartbeats come every second, within these.
constexpr std::int64_t FewestNamed = 4;
constexpr std::int64_t MostNamed = 32;
constexpr double NamedWithinS = 1.0;
/// Bytes of a heartbeat with its reply, but for the agents that the reply names, and of each of these.
constexpr std::int64_t ExchangeBytes = 250;
constexpr std::int64_t NamedAgentBytes = 40;
/// Parts of the control budget that heartbeats of agents and of other entries may take; the rest is for ids and the
/// configuration.
constexpr double HeartbeatPart = 0.6;
constexpr double EntriesPart = 0.2;
/// Bytes of a heartbeat between entries, sent and received.
constexpr double EntryHeartbeatBytes = 200;
/// The balancer takes this long at most to notice that the entry is not ready.
constexpr Duration LeaveNoSoonerThan = milliseconds(1500);
/// An entry of a system without agents becomes ready after this, to say so.
constexpr Duration ReadyAfter = seconds(5);
/// The tag of a write that no operator waits for.
constexpr CallerTag NoCaller{0};

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
    const std::size_t first = effects.size();
    Step step(now, m_settings, m_counters, m_random, effects);
    if (event::PeerArrived *arrived = std::get_if<event::PeerArrived>(&event)) {
        onPeer(step, std::move(arrived->envelope));
    } else if (event::CallerAsked *asked = std::get_if<event::CallerAsked>(&event)) {
        onCall(step, std::move(*asked));
    } else if (const event::CallerGone *gone = std::get_if<event::CallerGone>(&event)) {
        m_calls.callerGone(step, gone->tag);
    } else if (const event::StoreConfigSeen *config = std::get_if<event::StoreConfigSeen>(&event)) {
        onConfigSeen(step, config->config, true);
    } else if (const event::StoreEntriesSeen *entries = std::get_if<event::StoreEntriesSeen>(&event)) {
        m_registered.clear();
        for (const ProcessId &entry : entries->entries) {
            m_registered.push_back(entry.endpoint);
        }
    } else if (const event::StoreWriteEnded *ended = std::get_if<event::StoreWriteEnded>(&event)) {
        onWriteEnded(step, *ended);
    } else if (std::holds_alternative<event::Tick>(event)) {
        tick(step);
    } else if (std::holds_alternative<event::ShutdownAsked>(event) && !m_leaving) {
        m_leaving = true;
        m_leavingSince = now;
        step.log(LogLevel::Info, Part, "Shutting down: the balancer is told that this entry is not ready.");
    }
    m_peers.addEchoes(effects, first);
}

void EntryCore::onPeer(Step &step, Envelope &&envelope)
{
    const PeerTable::Hearing hearing = m_peers.heard(step.now(), envelope);
    if (!hearing.accepted) {
        step.count(Counter::StaleDropped);
        return;
    }
    if (hearing.ended) {
        m_calls.onProcessEnded(step, *hearing.ended);
    }
    if (!isForThisLife(step, envelope)) {
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
        onConfigSeen(step, ConfigVersion{push->revision, push->changeId, push->document}, false);
    } else if (const msg::Gone *gone = std::get_if<msg::Gone>(&envelope.message)) {
        // The sender lives at that address now, so the incarnation that was meant is over.
        m_calls.onProcessEnded(step, ProcessId{from.endpoint, gone->meant});
    }
}

void EntryCore::onHeartbeat(Step &step, const ProcessId &from, const msg::Heartbeat &heartbeat)
{
    m_peers.report(from, heartbeat.brief, heartbeat.isEntry);
    if (heartbeat.brief.revision < m_config.revision()) {
        step.sendControl(from, m_config.push());
    }
    if (heartbeat.isEntry) {
        return;
    }
    m_calls.stock().onReported(from);
    for (const ProcessId &coordinator : heartbeat.answersFor) {
        m_calls.onSucceeded(step, coordinator, from);
    }
    msg::HeartbeatReply reply;
    reply.entries = m_peers.entries(step.now(), m_peers.suspectAfter());
    reply.entries.push_back(step.self());
    std::sort(reply.entries.begin(), reply.entries.end());
    reply.agents = sampleFor(step, heartbeat.brief);
    reply.revision = m_config.revision();
    reply.nextAfter = m_agentPeriod;
    step.sendControl(from, std::move(reply));
}

std::vector<AgentBrief> EntryCore::sampleFor(Step &step, const AgentBrief &agent)
{
    std::vector<AgentBrief> sample;
    if (agent.service.empty()) {
        return sample;
    }
    for (const AgentBrief &brief : m_peers.agents(step.now(), m_peers.suspectAfter())) {
        if (brief.service == agent.service && brief.agent != agent.agent) {
            sample.push_back(brief);
            // The receiver knows its own service, and needs no other's revision.
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

void EntryCore::onCall(Step &step, event::CallerAsked &&asked)
{
    const CallerTag tag = asked.tag;
    if (const call::SubmitJob *job = std::get_if<call::SubmitJob>(&asked.call)) {
        submit(step, tag, *job->spec, job->deadline, asked.call);
    } else if (const call::SubmitRequest *request = std::get_if<call::SubmitRequest>(&asked.call)) {
        submit(step, tag, *request->spec, request->deadline, asked.call);
    } else if (const call::MintIds *mint = std::get_if<call::MintIds>(&asked.call)) {
        m_calls.mintIds(step, tag, *mint);
    } else if (const call::QueryJob *query = std::get_if<call::QueryJob>(&asked.call)) {
        m_calls.queryJob(step, tag, *query);
    } else if (const call::CancelJob *cancel = std::get_if<call::CancelJob>(&asked.call)) {
        m_calls.cancelJob(step, tag, *cancel);
    } else if (call::ApplyConfig *apply = std::get_if<call::ApplyConfig>(&asked.call)) {
        applyConfig(step, tag, std::move(*apply));
    } else if (std::holds_alternative<call::ShowConfig>(asked.call)) {
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

void EntryCore::submit(Step &step, CallerTag tag, const JobSpec &spec, Duration declared, const CallerCall &call)
{
    Duration deadline = declared > Duration::zero() ? declared : DefaultDeadline;
    const auto turnAway = [&](CallerReply::Kind kind, const std::string &reason) {
        if (const call::SubmitJob *job = std::get_if<call::SubmitJob>(&call)) {
            m_calls.refuseJob(step, tag, *job, reason);
        } else {
            refuse(step, tag, kind, reason);
        }
    };
    // Before any configuration is known, as when the store is down at the first start, work goes to whoever announced itself.
    if (m_config.revision() != Revision()) {
        const std::map<std::string, ServiceRule> &services = m_config.document().services;
        const auto service = services.find(spec.service);
        if (service == services.end()) {
            turnAway(CallerReply::Kind::NotFound, "There is no service named '" + spec.service + "'.");
            return;
        }
        const ServiceRule &rule = service->second;
        if (!rule.members.empty() && rule.members.count(spec.member) == 0) {
            turnAway(CallerReply::Kind::BadRequest, "The service has no member named '" + spec.member + "'.");
            return;
        }
        const auto kind = rule.kinds.find(spec.kind);
        if (!rule.kinds.empty() && kind == rule.kinds.end()) {
            turnAway(CallerReply::Kind::BadRequest, "The service has no kind of work named '" + spec.kind + "'.");
            return;
        }
        if (declared == Duration::zero() && kind != rule.kinds.end() && kind->second.deadline > Duration::zero()) {
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
        refuse(step, tag, CallerReply::Kind::Refused, "This entry has no store in its settings.");
        return;
    }
    // Below the revision in force nothing is written, whatever a restored store holds; but the change may have been accepted
    // earlier and been followed by others, which only the store's list of recent changes can tell.
    const bool outOfDate = call.base < m_config.revision();
    const ConfigVersion next{Revision(call.base.value() + 1), std::move(call.changeId), std::move(call.document), {}};
    m_writes.emplace(tag, next);
    step.add(effect::WriteConfig{tag, call.base, next, outOfDate});
}

void EntryCore::onWriteEnded(Step &step, const event::StoreWriteEnded &ended)
{
    const auto it = m_writes.find(ended.tag);
    const bool known = it != m_writes.end();
    const ConfigVersion written = known ? it->second : ended.current;
    if (known) {
        m_writes.erase(it);
    }
    CallerReply answer;
    switch (ended.how) {
    case event::StoreWriteEnded::How::Written:
        onConfigSeen(step, written, false);
        answer.kind = CallerReply::Kind::Applied;
        answer.revision = written.revision;
        answer.changeId = written.changeId;
        break;
    case event::StoreWriteEnded::How::Conflict:
        onConfigSeen(step, ended.current, true);
        // What the operator has to start from is what is in force, which a restored store may be behind.
        answer.kind = CallerReply::Kind::Conflict;
        answer.text = m_config.version().document;
        answer.revision = m_config.revision();
        answer.changeId = m_config.version().changeId;
        break;
    case event::StoreWriteEnded::How::Unreachable:
        answer.kind = CallerReply::Kind::Applied;
        answer.outcome = Unknown{"The store did not answer; apply again with the same change id to learn what happened."};
        answer.text = "The store did not answer; apply again with the same change id to learn what happened.";
        answer.changeId = written.changeId;
        break;
    }
    if (ended.tag != NoCaller) {
        reply(step, ended.tag, std::move(answer));
    }
}

void EntryCore::onConfigSeen(Step &step, const ConfigVersion &version, bool fromStore)
{
    const ConfigKeeper::Verdict verdict = m_config.offer(step, version);
    if (verdict == ConfigKeeper::Verdict::Adopted) {
        spreadConfig(step);
    }
    if (verdict == ConfigKeeper::Verdict::Older && fromStore) {
        step.log(LogLevel::Warning, Part, "The store holds an older configuration than the one in force; it is written back.");
        step.add(effect::WriteConfig{NoCaller, version.revision, m_config.version(), false});
    }
}

void EntryCore::spreadConfig(Step &step)
{
    for (const ProcessId &peer : m_peers.behind(step.now(), m_peers.suspectAfter(), m_config.revision())) {
        step.sendControl(peer, m_config.push());
    }
}

void EntryCore::heartbeatEntries(Step &step)
{
    m_lastHeartbeat = step.now();
    AgentBrief brief;
    brief.agent = step.self();
    brief.domain = m_settings.identity.domain;
    brief.revision = m_config.revision();
    brief.leaving = m_leaving;
    std::vector<Endpoint> others = m_registered;
    others.insert(others.end(), m_settings.seeds.begin(), m_settings.seeds.end());
    for (const ProcessId &entry : m_peers.entries(step.now(), m_peers.goneAfter())) {
        others.push_back(entry.endpoint);
    }
    std::sort(others.begin(), others.end());
    others.erase(std::unique(others.begin(), others.end()), others.end());
    const double needed =
        EntryHeartbeatBytes * static_cast<double>(others.size()) / (EntriesPart * m_settings.limits.controlBytesPerSecond);
    m_entryPeriod = std::max(m_settings.timing.heartbeatEvery, Duration(static_cast<std::int64_t>(needed * 1e6)));
    for (const Endpoint &other : others) {
        if (other != step.self().endpoint) {
            step.sendControl(ProcessId{other, Incarnation()}, msg::Heartbeat{brief, true, {}});
        }
    }
}

void EntryCore::tick(Step &step)
{
    if (m_began == TimePoint()) {
        m_began = step.now();
    }
    const Timing &timing = m_settings.timing;
    paceHeartbeats(step);
    m_peers.setPeriod(std::max(m_agentPeriod, m_entryPeriod));
    m_calls.tick(step);
    if (step.now() - m_lastHeartbeat >= std::max(timing.heartbeatEvery, m_entryPeriod)) {
        heartbeatEntries(step);
    }
    for (const Endpoint &endpoint : m_peers.dueForReplacement(step.now(), m_peers.suspectAfter())) {
        step.replaceConnection(endpoint);
    }
    for (const ProcessId &silent : m_peers.forgetSilent(step.now(), m_peers.goneAfter())) {
        step.add(effect::ForgetConnection{silent.endpoint});
    }
    drainIfDone(step);
}

void EntryCore::drainIfDone(Step &step)
{
    const bool longEnough = step.now() - m_leavingSince >= LeaveNoSoonerThan;
    if (m_leaving && !m_stopped && longEnough && m_calls.size() == 0 && m_writes.empty()) {
        m_stopped = true;
        step.log(LogLevel::Info, Part, "Every caller has its answer; the process ends.");
        step.add(effect::Stopped{});
    }
}

void EntryCore::paceHeartbeats(Step &step)
{
    const std::int64_t attached =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(m_peers.agents(step.now(), m_peers.goneAfter()).size()));
    const double budget = HeartbeatPart * m_settings.limits.controlBytesPerSecond;
    const std::int64_t room = static_cast<std::int64_t>(budget * NamedWithinS) / attached - ExchangeBytes;
    m_sampleSize = static_cast<std::size_t>(std::clamp(room / NamedAgentBytes, FewestNamed, MostNamed));
    const std::int64_t named = std::min(static_cast<std::int64_t>(m_sampleSize), attached);
    const double needed = static_cast<double>(attached * (ExchangeBytes + NamedAgentBytes * named)) / budget;
    m_agentPeriod = std::max(m_settings.timing.heartbeatEvery, Duration(static_cast<std::int64_t>(needed * 1e6)));
}

bool EntryCore::ready(TimePoint now) const
{
    // An entry that has just started knows no agent yet and would refuse what its neighbours can serve.
    const bool settled = m_calls.stocked() || (m_began != TimePoint() && now - m_began > ReadyAfter);
    return !m_leaving && settled;
}

StatusReport EntryCore::status(TimePoint now) const
{
    StatusReport report;
    report.self = m_settings.identity.self;
    report.role = "entry";
    report.domain = m_settings.identity.domain;
    report.revision = m_config.revision();
    report.leaving = m_leaving;
    report.ready = ready(now);
    report.entries = m_peers.entries(now, m_peers.suspectAfter());
    report.entries.push_back(m_settings.identity.self);
    report.agents = m_peers.agents(now, m_peers.suspectAfter());
    report.pendingCalls = m_calls.size();
    report.counters = m_counters;
    return report;
}

} // namespace cuminscale
