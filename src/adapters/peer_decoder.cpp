#include "adapters/peer_codec.h"

#include "proto/peer.pb.h"

#include <google/protobuf/arena.h>

namespace cuminscale
{

namespace
{

/// The largest value of TaskStatus and JobState on the wire.
constexpr std::uint32_t LastTaskStatus = static_cast<std::uint32_t>(TaskStatus::NotStarted);
constexpr std::uint32_t LastJobState = static_cast<std::uint32_t>(JobState::NotKnown);
/// A job that is larger than this was not sent by an entry of ours.
constexpr int MaxTasksOnWire = 100000;

ProcessId get(const wire::Process &from)
{
    return ProcessId{Endpoint{from.ip(), static_cast<std::uint16_t>(from.port())}, Incarnation(from.incarnation())};
}

SubmissionId get(const wire::Submission &from)
{
    return SubmissionId{get(from.coordinator()), Sequence(from.sequence())};
}

/// Only sampled contexts travel, so one that arrives is sampled.
TraceContext get(const wire::Trace &from)
{
    return TraceContext{from.high(), from.low(), from.parent(), true};
}

Span get(const wire::Span &from)
{
    return Span{get(from.context()),
                from.span(),
                from.name(),
                from.process(),
                TimePoint(Duration(from.start_us())),
                TimePoint(Duration(from.end_us())),
                from.outcome()};
}

TaskResult get(const wire::Result &from)
{
    // A status that this version does not know may stand for a start, so it counts as one whose end is lost.
    const TaskStatus status = from.status() <= LastTaskStatus ? static_cast<TaskStatus>(from.status()) : TaskStatus::Unknown;
    return TaskResult{status, from.http_status(), from.body(), Duration(from.ran_us())};
}

AgentBrief get(const wire::Agent &from)
{
    return AgentBrief{get(from.process()),       from.service(), from.domain(), from.slots(), from.free_slots(), from.queued(),
                      Revision(from.revision()), from.leaving()};
}

std::shared_ptr<const JobSpec> get(const wire::Spec &from)
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

msg::Heartbeat read(const wire::Heartbeat &from)
{
    msg::Heartbeat m{get(from.brief()), from.is_entry(), {}};
    for (const wire::Process &process : from.answers_for()) {
        m.answersFor.push_back(get(process));
    }
    return m;
}

msg::HeartbeatReply read(const wire::HeartbeatReply &from)
{
    msg::HeartbeatReply m;
    for (const wire::Process &entry : from.entries()) {
        m.entries.push_back(get(entry));
    }
    for (const wire::Agent &agent : from.agents()) {
        m.agents.push_back(get(agent));
    }
    m.revision = Revision(from.revision());
    m.nextAfter = Duration(from.next_after_us());
    return m;
}

std::optional<Message> read(const wire::Submit &from)
{
    if (!from.has_spec() || from.spec().tasks_size() == 0 || from.spec().tasks_size() > MaxTasksOnWire) {
        return std::nullopt;
    }
    msg::Submit m;
    m.id = get(from.id());
    m.spec = get(from.spec());
    m.budget = Duration(from.budget_us());
    m.refuseWith = from.refuse_with();
    if (from.has_trace()) {
        m.trace = get(from.trace());
    }
    return Message(std::move(m));
}

std::optional<msg::JobReply> readReply(const wire::JobReply &from)
{
    if (from.state() > LastJobState) {
        return std::nullopt;
    }
    msg::JobReply m;
    m.id = get(from.id());
    m.state = static_cast<JobState>(from.state());
    m.reason = from.reason();
    m.retryAfter = Duration(from.retry_after_us());
    m.outcomeUnknown = from.outcome_unknown();
    m.done = from.done();
    m.total = from.total();
    m.freeSlots = from.free_slots();
    for (const wire::Result &result : from.results()) {
        m.results.push_back(get(result));
    }
    for (const wire::Span &span : from.spans()) {
        m.spans.push_back(get(span));
    }
    if (m.state == JobState::Complete && m.results.size() != m.total) {
        return std::nullopt;
    }
    return m;
}

std::optional<Message> read(const wire::JobReply &from)
{
    std::optional<msg::JobReply> reply = readReply(from);
    return reply ? std::optional<Message>(std::move(*reply)) : std::nullopt;
}

std::optional<Message> read(const wire::Handoff &from)
{
    msg::Handoff m{get(from.coordinator()), Sequence(from.low_water()), {}, from.part(), from.last()};
    for (const wire::HandoffItem &item : from.items()) {
        std::optional<msg::JobReply> end = readReply(item.end());
        if (!end) {
            return std::nullopt;
        }
        m.items.push_back(msg::HandoffItem{std::move(*end), Digest{item.digest_high(), item.digest_low()}});
    }
    return Message(std::move(m));
}

msg::Grant read(const wire::Grant &from)
{
    msg::Grant m;
    m.claim = ClaimId(from.claim());
    m.job = get(from.job());
    m.waiting = from.waiting();
    m.budget = Duration(from.budget_us());
    if (from.has_trace()) {
        m.trace = get(from.trace());
    }
    for (const wire::GrantedTask &task : from.tasks()) {
        m.tasks.push_back(msg::GrantedTask{TaskIndex(task.index()), task.payload()});
    }
    return m;
}

msg::Results read(const wire::Results &from)
{
    msg::Results m;
    m.freeSlots = from.free_slots();
    for (const wire::ResultItem &item : from.items()) {
        msg::ResultItem result{get(item.job()), ClaimId(item.claim()), TaskIndex(item.index()), get(item.result()), {}};
        for (const wire::Span &span : item.spans()) {
            result.spans.push_back(get(span));
        }
        m.items.push_back(std::move(result));
    }
    return m;
}

msg::ResultsAck read(const wire::ResultsAck &from)
{
    msg::ResultsAck m;
    for (const wire::TaskRef &ref : from.items()) {
        m.items.push_back(TaskRef{get(ref.job()), ClaimId(ref.claim()), TaskIndex(ref.index())});
    }
    return m;
}

msg::QueryReply read(const wire::QueryReply &from)
{
    msg::QueryReply m{ClaimId(from.claim()), get(from.job()), {}, from.forgotten()};
    for (const std::uint32_t index : from.started()) {
        m.started.push_back(TaskIndex(index));
    }
    return m;
}

std::optional<Message> readBody(const wire::Envelope &in)
{
    using Case = wire::Envelope::BodyCase;
    switch (in.body_case()) {
    case Case::kHeartbeat:
        return read(in.heartbeat());
    case Case::kHeartbeatReply:
        return read(in.heartbeat_reply());
    case Case::kConfigPush:
        return msg::ConfigPush{Revision(in.config_push().revision()), in.config_push().change_id(), in.config_push().document()};
    case Case::kMint:
        return msg::Mint{in.mint().count()};
    case Case::kMinted:
        return msg::Minted{Sequence(in.minted().first()), in.minted().count()};
    case Case::kSubmit:
        return read(in.submit());
    case Case::kAwait:
        return msg::Await{get(in.await().id())};
    case Case::kCancel:
        return msg::Cancel{get(in.cancel().id()), in.cancel().member()};
    case Case::kJobReply:
        return read(in.job_reply());
    case Case::kOffer:
        return msg::Offer{get(in.offer().job()), in.offer().member(), in.offer().kind(), in.offer().waiting()};
    case Case::kWithdraw:
        return msg::Withdraw{get(in.withdraw().job())};
    case Case::kClaim:
        return msg::Claim{ClaimId(in.claim().claim()), get(in.claim().job()), in.claim().want()};
    case Case::kGrant:
        return read(in.grant());
    case Case::kResults:
        return read(in.results());
    case Case::kResultsAck:
        return read(in.results_ack());
    case Case::kQuery:
        return msg::Query{ClaimId(in.query().claim()), get(in.query().job())};
    case Case::kQueryReply:
        return read(in.query_reply());
    case Case::kCancelClaim:
        return msg::CancelClaim{ClaimId(in.cancel_claim().claim()), get(in.cancel_claim().job())};
    case Case::kGone:
        return msg::Gone{Incarnation(in.gone().meant())};
    case Case::kHandoff:
        return read(in.handoff());
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
    // Malformed bytes are an outcome here; the library would print each.
    static const bool Silenced = (google::protobuf::SetLogHandler(nullptr), true);
    static_cast<void>(Silenced);
    google::protobuf::Arena arena;
    wire::Envelope &in = *google::protobuf::Arena::CreateMessage<wire::Envelope>(&arena);
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.version() != WireVersion) {
        return std::nullopt;
    }
    Envelope envelope;
    envelope.from = get(in.from());
    envelope.to = Incarnation(in.to());
    envelope.sentAt = TimePoint(Duration(in.sent_at_us()));
    if (in.has_echo()) {
        envelope.echo = Echo{TimePoint(Duration(in.echo_sent_at_us())), Duration(in.echo_held_us())};
    }
    if (envelope.from.incarnation == Incarnation() || envelope.from.endpoint.port == 0) {
        return std::nullopt;
    }
    std::optional<Message> message = readBody(in);
    if (!message) {
        return std::nullopt;
    }
    envelope.message = std::move(*message);
    return envelope;
}

} // namespace cuminscale
