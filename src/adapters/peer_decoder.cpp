#include "adapters/peer_codec.h"

#include "proto/peer.pb.h"

#include <google/protobuf/arena.h>

namespace cuminscale
{

namespace
{

/// The last enumerators. Larger values on the wire come from another version or are corrupt.
constexpr std::uint32_t LastTaskStatus = static_cast<std::uint32_t>(TaskStatus::NotStarted);
constexpr std::uint32_t LastJobState = static_cast<std::uint32_t>(JobState::NotKnown);
/// The setting `max_tasks_per_job` can't exceed this, so no entry sends a larger job.
constexpr int MaxTasksPerJob = 100000;

constexpr std::uint32_t MaxPort = 65535;

/// A port out of range is decoded as 0, which is no valid address.
ProcessId fromWire(const wire::Process &from)
{
    const std::uint32_t port = from.port() <= MaxPort ? from.port() : 0;
    return ProcessId{Endpoint{from.ip(), static_cast<std::uint16_t>(port)}, Incarnation(from.incarnation())};
}

SubmissionId fromWire(const wire::Submission &from)
{
    return SubmissionId{fromWire(from.coordinator()), Sequence(from.sequence())};
}

/// Only sampled contexts are sent, so a received one is always sampled.
TraceContext fromWire(const wire::Trace &from)
{
    return TraceContext{from.high(), from.low(), from.parent(), true};
}

Span fromWire(const wire::Span &from)
{
    return Span{
        fromWire(from.context()),           from.span(),   from.name(), from.process(), TimePoint(Duration(from.start_us())),
        TimePoint(Duration(from.end_us())), from.outcome()};
}

TaskResult fromWire(const wire::Result &from)
{
    // A status that this version does not know may mean that the task has started, so it is decoded as started with an unknown
    // outcome.
    const TaskStatus status = from.status() <= LastTaskStatus ? static_cast<TaskStatus>(from.status()) : TaskStatus::Unknown;
    return TaskResult{status, from.http_status(), from.body(), Duration(from.ran_us())};
}

AgentSummary fromWire(const wire::Agent &from)
{
    return AgentSummary{fromWire(from.process()),  from.service(), from.domain(), from.slots(), from.free_slots(), from.queued(),
                        Revision(from.revision()), from.leaving()};
}

std::shared_ptr<const JobSpec> fromWire(const wire::Spec &from)
{
    std::shared_ptr<JobSpec> spec = std::make_shared<JobSpec>();
    spec->service = from.service();
    spec->member = from.member();
    spec->kind = from.kind();
    spec->repeatable = from.repeatable();
    spec->digest = Digest{from.digest_high(), from.digest_low()};
    spec->tasks.reserve(static_cast<std::size_t>(from.tasks_size()));
    for (const wire::Task &task : from.tasks()) {
        spec->tasks.push_back(TaskSpec{task.payload(), Duration(task.declared_run_us()), task.declared_bytes()});
    }
    return spec;
}

msg::Heartbeat decodeMessage(const wire::Heartbeat &from)
{
    msg::Heartbeat m{fromWire(from.brief()), from.is_entry(), {}};
    for (const wire::Process &process : from.answers_for()) {
        m.answersFor.push_back(fromWire(process));
    }
    return m;
}

msg::HeartbeatReply decodeMessage(const wire::HeartbeatReply &from)
{
    msg::HeartbeatReply m;
    for (const wire::Process &entry : from.entries()) {
        m.entries.push_back(fromWire(entry));
    }
    for (const wire::Agent &agent : from.agents()) {
        m.agents.push_back(fromWire(agent));
    }
    m.revision = Revision(from.revision());
    m.nextAfter = Duration(from.next_after_us());
    return m;
}

std::optional<Message> decodeMessage(const wire::Submit &from)
{
    if (!from.has_spec() || from.spec().tasks_size() == 0 || from.spec().tasks_size() > MaxTasksPerJob) {
        return std::nullopt;
    }
    msg::Submit m;
    m.id = fromWire(from.id());
    m.spec = fromWire(from.spec());
    m.budget = Duration(from.budget_us());
    m.refuseWith = from.refuse_with();
    if (from.has_trace()) {
        m.trace = fromWire(from.trace());
    }
    return Message(std::move(m));
}

std::optional<msg::JobReply> decodeJobReply(const wire::JobReply &from)
{
    if (from.state() > LastJobState) {
        return std::nullopt;
    }
    msg::JobReply m;
    m.id = fromWire(from.id());
    m.state = static_cast<JobState>(from.state());
    m.reason = from.reason();
    m.retryAfter = Duration(from.retry_after_us());
    m.outcomeUnknown = from.outcome_unknown();
    m.done = from.done();
    m.total = from.total();
    m.freeSlots = from.free_slots();
    for (const wire::Result &result : from.results()) {
        m.results.push_back(fromWire(result));
    }
    for (const wire::Span &span : from.spans()) {
        m.spans.push_back(fromWire(span));
    }
    if (m.state == JobState::Complete && m.results.size() != m.total) {
        return std::nullopt;
    }
    return m;
}

std::optional<Message> decodeMessage(const wire::JobReply &from)
{
    std::optional<msg::JobReply> reply = decodeJobReply(from);
    return reply ? std::optional<Message>(std::move(*reply)) : std::nullopt;
}

std::optional<Message> decodeMessage(const wire::Handoff &from)
{
    msg::Handoff m{fromWire(from.coordinator()), Sequence(from.low_water()), {}, from.part(), from.last()};
    for (const wire::HandoffItem &item : from.items()) {
        std::optional<msg::JobReply> end = decodeJobReply(item.end());
        if (!end) {
            return std::nullopt;
        }
        m.items.push_back(msg::HandoffItem{std::move(*end), Digest{item.digest_high(), item.digest_low()}});
    }
    return Message(std::move(m));
}

msg::Grant decodeMessage(const wire::Grant &from)
{
    msg::Grant m;
    m.claim = ClaimId(from.claim());
    m.job = fromWire(from.job());
    m.waiting = from.waiting();
    m.budget = Duration(from.budget_us());
    if (from.has_trace()) {
        m.trace = fromWire(from.trace());
    }
    for (const wire::GrantedTask &task : from.tasks()) {
        m.tasks.push_back(msg::GrantedTask{TaskIndex(task.index()), task.payload()});
    }
    return m;
}

msg::Results decodeMessage(const wire::Results &from)
{
    msg::Results m;
    m.freeSlots = from.free_slots();
    for (const wire::ResultItem &item : from.items()) {
        msg::ResultItem result{fromWire(item.job()), ClaimId(item.claim()), TaskIndex(item.index()), fromWire(item.result()), {}};
        for (const wire::Span &span : item.spans()) {
            result.spans.push_back(fromWire(span));
        }
        m.items.push_back(std::move(result));
    }
    return m;
}

msg::ResultsAck decodeMessage(const wire::ResultsAck &from)
{
    msg::ResultsAck m;
    for (const wire::TaskRef &ref : from.items()) {
        m.items.push_back(TaskRef{fromWire(ref.job()), ClaimId(ref.claim()), TaskIndex(ref.index())});
    }
    return m;
}

msg::QueryReply decodeMessage(const wire::QueryReply &from)
{
    msg::QueryReply m{ClaimId(from.claim()), fromWire(from.job()), {}, from.forgotten()};
    for (const std::uint32_t index : from.started()) {
        m.started.push_back(TaskIndex(index));
    }
    return m;
}

std::optional<Message> decodeBody(const wire::Envelope &in)
{
    using Case = wire::Envelope::BodyCase;
    switch (in.body_case()) {
    case Case::kHeartbeat:
        return decodeMessage(in.heartbeat());
    case Case::kHeartbeatReply:
        return decodeMessage(in.heartbeat_reply());
    case Case::kConfigPush:
        return msg::ConfigPush{Revision(in.config_push().revision()), in.config_push().change_id(), in.config_push().document()};
    case Case::kMint:
        return msg::Mint{in.mint().count()};
    case Case::kMinted:
        return msg::Minted{Sequence(in.minted().first()), in.minted().count()};
    case Case::kSubmit:
        return decodeMessage(in.submit());
    case Case::kAwait:
        return msg::Await{fromWire(in.await().id())};
    case Case::kCancel:
        return msg::Cancel{fromWire(in.cancel().id()), in.cancel().member()};
    case Case::kJobReply:
        return decodeMessage(in.job_reply());
    case Case::kOffer:
        return msg::Offer{fromWire(in.offer().job()), in.offer().member(), in.offer().kind(), in.offer().waiting()};
    case Case::kWithdraw:
        return msg::Withdraw{fromWire(in.withdraw().job())};
    case Case::kClaim:
        return msg::Claim{ClaimId(in.claim().claim()), fromWire(in.claim().job()), in.claim().want()};
    case Case::kGrant:
        return decodeMessage(in.grant());
    case Case::kResults:
        return decodeMessage(in.results());
    case Case::kResultsAck:
        return decodeMessage(in.results_ack());
    case Case::kQuery:
        return msg::Query{ClaimId(in.query().claim()), fromWire(in.query().job())};
    case Case::kQueryReply:
        return decodeMessage(in.query_reply());
    case Case::kCancelClaim:
        return msg::CancelClaim{ClaimId(in.cancel_claim().claim()), fromWire(in.cancel_claim().job())};
    case Case::kGone:
        return msg::Gone{Incarnation(in.gone().meant())};
    case Case::kHandoff:
        return decodeMessage(in.handoff());
    case Case::kHandoffAck:
        return msg::HandoffAck{in.handoff_ack().part(), in.handoff_ack().refused()};
    case Case::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::optional<Envelope> decodeEnvelope(std::string_view bytes)
{
    // Malformed input is expected and returned as nullopt. Without this, protobuf would print a message for each occurrence.
    static const bool LogDisabled = (google::protobuf::SetLogHandler(nullptr), true);
    static_cast<void>(LogDisabled);
    google::protobuf::Arena arena;
    wire::Envelope &in = *google::protobuf::Arena::CreateMessage<wire::Envelope>(&arena);
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.version() != WireVersion) {
        return std::nullopt;
    }
    Envelope envelope;
    envelope.from = fromWire(in.from());
    envelope.to = Incarnation(in.to());
    envelope.sentAt = TimePoint(Duration(in.sent_at_us()));
    if (in.has_echo()) {
        envelope.echo = Echo{TimePoint(Duration(in.echo_sent_at_us())), Duration(in.echo_held_us())};
    }
    if (envelope.from.incarnation == Incarnation() || envelope.from.endpoint.port == 0) {
        return std::nullopt;
    }
    std::optional<Message> message = decodeBody(in);
    if (!message) {
        return std::nullopt;
    }
    envelope.message = std::move(*message);
    return envelope;
}

} // namespace cuminscale
