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

void put(const ProcessId &from, wire::Process *to)
{
    to->set_ip(from.endpoint.ip);
    to->set_port(from.endpoint.port);
    to->set_incarnation(from.incarnation.value());
}

ProcessId get(const wire::Process &from)
{
    return ProcessId{Endpoint{from.ip(), static_cast<std::uint16_t>(from.port())}, Incarnation(from.incarnation())};
}

void put(const SubmissionId &from, wire::Submission *to)
{
    put(from.coordinator, to->mutable_coordinator());
    to->set_sequence(from.sequence.value());
}

SubmissionId get(const wire::Submission &from)
{
    return SubmissionId{get(from.coordinator()), Sequence(from.sequence())};
}

void put(const TraceContext &from, wire::Trace *to)
{
    to->set_high(from.traceHigh);
    to->set_low(from.traceLow);
    to->set_parent(from.parentSpan);
}

/// Only sampled contexts travel, so one that arrives is sampled.
TraceContext get(const wire::Trace &from)
{
    return TraceContext{from.high(), from.low(), from.parent(), true};
}

void put(const Span &from, wire::Span *to)
{
    put(from.context, to->mutable_context());
    to->set_span(from.spanId);
    to->set_name(from.name);
    to->set_process(from.process);
    to->set_start_us(from.start.time_since_epoch().count());
    to->set_end_us(from.end.time_since_epoch().count());
    to->set_outcome(from.outcome);
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

void put(const TaskResult &from, wire::Result *to)
{
    to->set_status(static_cast<std::uint32_t>(from.status));
    to->set_http_status(from.httpStatus);
    to->set_body(from.body);
    to->set_ran_us(from.ran.count());
}

TaskResult get(const wire::Result &from)
{
    // A status that this version does not know may stand for a start, so it counts as one whose end is lost.
    const TaskStatus status = from.status() <= LastTaskStatus ? static_cast<TaskStatus>(from.status()) : TaskStatus::Unknown;
    return TaskResult{status, from.http_status(), from.body(), Duration(from.ran_us())};
}

void put(const AgentBrief &from, wire::Agent *to)
{
    put(from.agent, to->mutable_process());
    to->set_service(from.service);
    to->set_domain(from.domain);
    to->set_slots(from.slots);
    to->set_free_slots(from.freeSlots);
    to->set_queued(from.queued);
    to->set_revision(from.revision.value());
    to->set_leaving(from.leaving);
}

AgentBrief get(const wire::Agent &from)
{
    return AgentBrief{get(from.process()),       from.service(), from.domain(), from.slots(), from.free_slots(), from.queued(),
                      Revision(from.revision()), from.leaving()};
}

void put(const JobSpec &from, wire::Spec *to)
{
    to->set_service(from.service);
    to->set_member(from.member);
    to->set_kind(from.kind);
    to->set_repeatable(from.repeatable);
    to->set_digest_high(from.digest.high);
    to->set_digest_low(from.digest.low);
    for (const TaskSpec &task : from.tasks) {
        wire::Task *out = to->add_tasks();
        out->set_payload(task.payload);
        out->set_declared_run_us(task.declaredRun.count());
        out->set_declared_bytes(task.declaredBytes);
    }
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

/// Writes each message into its field of the envelope.
struct Writer
{
    wire::Envelope &out;

    void operator()(const msg::Heartbeat &m) const
    {
        put(m.brief, out.mutable_heartbeat()->mutable_brief());
        out.mutable_heartbeat()->set_is_entry(m.isEntry);
        for (const ProcessId &process : m.answersFor) {
            put(process, out.mutable_heartbeat()->add_answers_for());
        }
    }

    void operator()(const msg::HeartbeatReply &m) const
    {
        wire::HeartbeatReply *to = out.mutable_heartbeat_reply();
        for (const ProcessId &entry : m.entries) {
            put(entry, to->add_entries());
        }
        for (const AgentBrief &agent : m.agents) {
            put(agent, to->add_agents());
        }
        to->set_revision(m.revision.value());
        to->set_next_after_us(m.nextAfter.count());
    }

    void operator()(const msg::ConfigPush &m) const
    {
        wire::ConfigPush *to = out.mutable_config_push();
        to->set_revision(m.revision.value());
        to->set_change_id(m.changeId);
        to->set_document(m.document);
    }

    void operator()(const msg::Mint &m) const
    {
        out.mutable_mint()->set_count(m.count);
    }

    void operator()(const msg::Minted &m) const
    {
        out.mutable_minted()->set_first(m.first.value());
        out.mutable_minted()->set_count(m.count);
    }

    void operator()(const msg::Submit &m) const
    {
        wire::Submit *to = out.mutable_submit();
        put(m.id, to->mutable_id());
        put(*m.spec, to->mutable_spec());
        to->set_budget_us(m.budget.count());
        to->set_refuse_with(m.refuseWith);
        if (m.trace.sampled) {
            put(m.trace, to->mutable_trace());
        }
    }

    void operator()(const msg::Await &m) const
    {
        put(m.id, out.mutable_await()->mutable_id());
    }

    void operator()(const msg::Cancel &m) const
    {
        put(m.id, out.mutable_cancel()->mutable_id());
        out.mutable_cancel()->set_member(m.member);
    }

    static void putReply(const msg::JobReply &m, wire::JobReply *to)
    {
        put(m.id, to->mutable_id());
        to->set_state(static_cast<std::uint32_t>(m.state));
        to->set_reason(m.reason);
        to->set_retry_after_us(m.retryAfter.count());
        to->set_outcome_unknown(m.outcomeUnknown);
        to->set_done(m.done);
        to->set_total(m.total);
        to->set_free_slots(m.freeSlots);
        for (const TaskResult &result : m.results) {
            put(result, to->add_results());
        }
        for (const Span &span : m.spans) {
            put(span, to->add_spans());
        }
    }

    void operator()(const msg::JobReply &m) const
    {
        putReply(m, out.mutable_job_reply());
    }

    void operator()(const msg::Handoff &m) const
    {
        wire::Handoff *to = out.mutable_handoff();
        put(m.coordinator, to->mutable_coordinator());
        to->set_low_water(m.lowWater.value());
        to->set_part(m.part);
        to->set_last(m.last);
        for (const msg::HandoffItem &item : m.items) {
            wire::HandoffItem *added = to->add_items();
            putReply(item.end, added->mutable_end());
            added->set_digest_high(item.digest.high);
            added->set_digest_low(item.digest.low);
        }
    }

    void operator()(const msg::HandoffAck &m) const
    {
        out.mutable_handoff_ack()->set_part(m.part);
        out.mutable_handoff_ack()->set_refused(m.refused);
    }

    void operator()(const msg::Offer &m) const
    {
        wire::Offer *to = out.mutable_offer();
        put(m.job, to->mutable_job());
        to->set_member(m.member);
        to->set_kind(m.kind);
        to->set_waiting(m.waiting);
    }

    void operator()(const msg::Withdraw &m) const
    {
        put(m.job, out.mutable_withdraw()->mutable_job());
    }

    void operator()(const msg::Claim &m) const
    {
        wire::Claim *to = out.mutable_claim();
        to->set_claim(m.claim.value());
        put(m.job, to->mutable_job());
        to->set_want(m.want);
    }

    void operator()(const msg::Grant &m) const
    {
        wire::Grant *to = out.mutable_grant();
        to->set_claim(m.claim.value());
        put(m.job, to->mutable_job());
        to->set_waiting(m.waiting);
        to->set_budget_us(m.budget.count());
        if (m.trace.sampled) {
            put(m.trace, to->mutable_trace());
        }
        for (const msg::GrantedTask &task : m.tasks) {
            wire::GrantedTask *granted = to->add_tasks();
            granted->set_index(task.index.value());
            granted->set_payload(task.payload);
        }
    }

    void operator()(const msg::Results &m) const
    {
        wire::Results *to = out.mutable_results();
        to->set_free_slots(m.freeSlots);
        for (const msg::ResultItem &item : m.items) {
            wire::ResultItem *result = to->add_items();
            put(item.job, result->mutable_job());
            result->set_claim(item.claim.value());
            result->set_index(item.index.value());
            put(item.result, result->mutable_result());
            for (const Span &span : item.spans) {
                put(span, result->add_spans());
            }
        }
    }

    void operator()(const msg::ResultsAck &m) const
    {
        for (const TaskRef &ref : m.items) {
            wire::TaskRef *to = out.mutable_results_ack()->add_items();
            put(ref.job, to->mutable_job());
            to->set_claim(ref.claim.value());
            to->set_index(ref.index.value());
        }
    }

    void operator()(const msg::Query &m) const
    {
        out.mutable_query()->set_claim(m.claim.value());
        put(m.job, out.mutable_query()->mutable_job());
    }

    void operator()(const msg::QueryReply &m) const
    {
        wire::QueryReply *to = out.mutable_query_reply();
        to->set_claim(m.claim.value());
        put(m.job, to->mutable_job());
        to->set_forgotten(m.forgotten);
        for (const TaskIndex &index : m.started) {
            to->add_started(index.value());
        }
    }

    void operator()(const msg::CancelClaim &m) const
    {
        out.mutable_cancel_claim()->set_claim(m.claim.value());
        put(m.job, out.mutable_cancel_claim()->mutable_job());
    }

    void operator()(const msg::Gone &m) const
    {
        out.mutable_gone()->set_meant(m.meant.value());
    }
};

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

std::string encodeEnvelope(const Envelope &envelope)
{
    google::protobuf::Arena arena;
    wire::Envelope &out = *google::protobuf::Arena::CreateMessage<wire::Envelope>(&arena);
    out.set_version(WireVersion);
    put(envelope.from, out.mutable_from());
    out.set_to(envelope.to.value());
    out.set_sent_at_us(envelope.sentAt.time_since_epoch().count());
    if (envelope.echo) {
        out.set_has_echo(true);
        out.set_echo_sent_at_us(envelope.echo->theirSentAt.time_since_epoch().count());
        out.set_echo_held_us(envelope.echo->held.count());
    }
    std::visit(Writer{out}, envelope.message);
    return out.SerializeAsString();
}

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
