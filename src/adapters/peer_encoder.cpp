#include "adapters/peer_codec.h"

#include "proto/peer.pb.h"

#include <google/protobuf/arena.h>

namespace cuminscale
{

namespace
{

void toWire(const ProcessId &from, wire::Process *to)
{
    to->set_ip(from.endpoint.ip);
    to->set_port(from.endpoint.port);
    to->set_incarnation(from.incarnation.value());
}

void toWire(const SubmissionId &from, wire::Submission *to)
{
    toWire(from.coordinator, to->mutable_coordinator());
    to->set_sequence(from.sequence.value());
}

void toWire(const TraceContext &from, wire::Trace *to)
{
    to->set_high(from.traceHigh);
    to->set_low(from.traceLow);
    to->set_parent(from.parentSpan);
}

void toWire(const Span &from, wire::Span *to)
{
    toWire(from.context, to->mutable_context());
    to->set_span(from.spanId);
    to->set_name(from.name);
    to->set_process(from.process);
    to->set_start_us(from.start.time_since_epoch().count());
    to->set_end_us(from.end.time_since_epoch().count());
    to->set_outcome(from.outcome);
}

void toWire(const TaskResult &from, wire::Result *to)
{
    to->set_status(static_cast<std::uint32_t>(from.status));
    to->set_http_status(from.httpStatus);
    to->set_body(from.body);
    to->set_ran_us(from.ran.count());
}

void toWire(const AgentSummary &from, wire::Agent *to)
{
    toWire(from.agent, to->mutable_process());
    to->set_service(from.service);
    to->set_domain(from.domain);
    to->set_slots(from.slots);
    to->set_free_slots(from.freeSlots);
    to->set_queued(from.queued);
    to->set_revision(from.revision.value());
    to->set_leaving(from.leaving);
}

void toWire(const JobSpec &from, wire::Spec *to)
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

/// Encodes a message into its field of the envelope's `body`.
struct MessageEncoder
{
    wire::Envelope &out;

    void operator()(const msg::Heartbeat &m) const
    {
        toWire(m.summary, out.mutable_heartbeat()->mutable_brief());
        out.mutable_heartbeat()->set_is_entry(m.isEntry);
        for (const ProcessId &process : m.answersFor) {
            toWire(process, out.mutable_heartbeat()->add_answers_for());
        }
    }

    void operator()(const msg::HeartbeatReply &m) const
    {
        wire::HeartbeatReply *to = out.mutable_heartbeat_reply();
        for (const ProcessId &entry : m.entries) {
            toWire(entry, to->add_entries());
        }
        for (const AgentSummary &agent : m.agents) {
            toWire(agent, to->add_agents());
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
        toWire(m.id, to->mutable_id());
        toWire(*m.spec, to->mutable_spec());
        to->set_budget_us(m.budget.count());
        to->set_refuse_with(m.refuseWith);
        if (m.trace.sampled) {
            toWire(m.trace, to->mutable_trace());
        }
    }

    void operator()(const msg::Await &m) const
    {
        toWire(m.id, out.mutable_await()->mutable_id());
    }

    void operator()(const msg::Cancel &m) const
    {
        toWire(m.id, out.mutable_cancel()->mutable_id());
        out.mutable_cancel()->set_member(m.member);
    }

    static void jobReplyToWire(const msg::JobReply &m, wire::JobReply *to)
    {
        toWire(m.id, to->mutable_id());
        to->set_state(static_cast<std::uint32_t>(m.state));
        to->set_reason(m.reason);
        to->set_retry_after_us(m.retryAfter.count());
        to->set_outcome_unknown(m.outcomeUnknown);
        to->set_done(m.done);
        to->set_total(m.total);
        to->set_free_slots(m.freeSlots);
        for (const TaskResult &result : m.results) {
            toWire(result, to->add_results());
        }
        for (const Span &span : m.spans) {
            toWire(span, to->add_spans());
        }
    }

    void operator()(const msg::JobReply &m) const
    {
        jobReplyToWire(m, out.mutable_job_reply());
    }

    void operator()(const msg::Handoff &m) const
    {
        wire::Handoff *to = out.mutable_handoff();
        toWire(m.coordinator, to->mutable_coordinator());
        to->set_low_water(m.lowWater.value());
        to->set_part(m.part);
        to->set_last(m.last);
        for (const msg::HandoffItem &item : m.items) {
            wire::HandoffItem *wireItem = to->add_items();
            jobReplyToWire(item.end, wireItem->mutable_end());
            wireItem->set_digest_high(item.digest.high);
            wireItem->set_digest_low(item.digest.low);
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
        toWire(m.job, to->mutable_job());
        to->set_member(m.member);
        to->set_kind(m.kind);
        to->set_waiting(m.waiting);
    }

    void operator()(const msg::Withdraw &m) const
    {
        toWire(m.job, out.mutable_withdraw()->mutable_job());
    }

    void operator()(const msg::Claim &m) const
    {
        wire::Claim *to = out.mutable_claim();
        to->set_claim(m.claim.value());
        toWire(m.job, to->mutable_job());
        to->set_want(m.want);
    }

    void operator()(const msg::Grant &m) const
    {
        wire::Grant *to = out.mutable_grant();
        to->set_claim(m.claim.value());
        toWire(m.job, to->mutable_job());
        to->set_waiting(m.waiting);
        to->set_budget_us(m.budget.count());
        if (m.trace.sampled) {
            toWire(m.trace, to->mutable_trace());
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
            toWire(item.job, result->mutable_job());
            result->set_claim(item.claim.value());
            result->set_index(item.index.value());
            toWire(item.result, result->mutable_result());
            for (const Span &span : item.spans) {
                toWire(span, result->add_spans());
            }
        }
    }

    void operator()(const msg::ResultsAck &m) const
    {
        for (const TaskRef &ref : m.items) {
            wire::TaskRef *to = out.mutable_results_ack()->add_items();
            toWire(ref.job, to->mutable_job());
            to->set_claim(ref.claim.value());
            to->set_index(ref.index.value());
        }
    }

    void operator()(const msg::Query &m) const
    {
        out.mutable_query()->set_claim(m.claim.value());
        toWire(m.job, out.mutable_query()->mutable_job());
    }

    void operator()(const msg::QueryReply &m) const
    {
        wire::QueryReply *to = out.mutable_query_reply();
        to->set_claim(m.claim.value());
        toWire(m.job, to->mutable_job());
        to->set_forgotten(m.forgotten);
        for (const TaskIndex &index : m.started) {
            to->add_started(index.value());
        }
    }

    void operator()(const msg::CancelClaim &m) const
    {
        out.mutable_cancel_claim()->set_claim(m.claim.value());
        toWire(m.job, out.mutable_cancel_claim()->mutable_job());
    }

    void operator()(const msg::Gone &m) const
    {
        out.mutable_gone()->set_meant(m.meant.value());
    }
};

} // namespace

std::string encodeEnvelope(const Envelope &envelope)
{
    google::protobuf::Arena arena;
    wire::Envelope &out = *google::protobuf::Arena::CreateMessage<wire::Envelope>(&arena);
    out.set_version(WireVersion);
    toWire(envelope.from, out.mutable_from());
    out.set_to(envelope.to.value());
    out.set_sent_at_us(envelope.sentAt.time_since_epoch().count());
    if (envelope.echo) {
        out.set_has_echo(true);
        out.set_echo_sent_at_us(envelope.echo->peerSentAt.time_since_epoch().count());
        out.set_echo_held_us(envelope.echo->held.count());
    }
    std::visit(MessageEncoder{out}, envelope.message);
    return out.SerializeAsString();
}

} // namespace cuminscale
