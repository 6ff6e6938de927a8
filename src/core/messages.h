/// Messages between processes, as plain values. src/adapters/peer_encoder.cpp and peer_decoder.cpp convert them to the wire
/// format.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminscale
{

/// A 128-bit digest of a submission's body, to distinguish a resubmission from a conflicting submission under the same id.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    constexpr auto operator<=>(const Digest &) const noexcept = default;
};

/// The W3C trace context of a submission: the trace id, and the span that is the parent of the receiver's spans.
struct TraceContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t parentSpan = 0;
    bool sampled = false;
};

/// A finished span of a traced submission.
struct Span
{
    TraceContext context;
    std::uint64_t spanId = 0;
    std::string name;
    std::string process;
    TimePoint start;
    TimePoint end;
    std::string outcome;
};

/// One task as declared by the caller. The declared values are hints and may be far off.
struct TaskSpec
{
    std::string payload;
    Duration declaredRun{0};
    std::uint64_t declaredBytes = 0;
};

/// A caller's job as parsed by the entry; immutable once built.
struct JobSpec
{
    std::string service;
    std::string member;
    std::string kind;
    bool repeatable = false; ///< Whether tasks are idempotent, so that the entry may retry or hedge a single request.
    std::vector<TaskSpec> tasks;
    Digest digest;
    TraceContext trace;
};

/// How one task ended at the backend server.
enum class TaskStatus : std::uint8_t {
    Succeeded, ///< The backend server responded with success.
    Failed, ///< The backend server responded with an error.
    Unknown, ///< Started, but the result was lost.
    NotStarted, ///< Never sent to the backend server; the task may be granted again.
};

/// The result of one task.
struct TaskResult
{
    TaskStatus status = TaskStatus::Unknown;
    std::uint32_t httpStatus = 0;
    std::string body;
    Duration ran{0}; ///< Execution time.
};

/// State that an agent reports in heartbeats. Entries report the same with most fields empty.
struct AgentSummary
{
    ProcessId agent;
    std::string service;
    std::string domain;
    std::uint32_t slots = 0; ///< Tasks that the agent's backend server can run at the same time.
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0; ///< Offers that the agent holds.
    Revision revision; ///< Of the active configuration.
    bool leaving = false; ///< Shutting down; agents also set it while they accept no work.
};

/// Identifies one granted task.
struct TaskRef
{
    SubmissionId job;
    ClaimId claim;
    TaskIndex index;

    constexpr auto operator<=>(const TaskRef &) const noexcept = default;
};

/// State of a submission, as reported by its coordinator.
enum class JobState : std::uint8_t {
    Accepted, ///< Recorded; tasks may be running.
    Refused, ///< The id has a tombstone: no task was or will be started under it.
    Complete, ///< Every task succeeded.
    Failed, ///< Ended without a successful result of every task.
    Conflict, ///< The id was used for a submission with another body, or the job belongs to another member.
    Expired, ///< Never issued, or below the low-water mark without a record; no task will be started from now on.
    NotKnown, ///< Not submitted so far, or the age of the submission cannot be bounded: submit again.
};

namespace msg
{

/// Liveness and load report of a process. Entries leave the service empty.
struct Heartbeat
{
    AgentSummary summary;
    bool isEntry = false;
    std::vector<ProcessId> answersFor; ///< Ended coordinators whose records the sender has taken over.
};

/// An entry's reply to an agent's heartbeat: the known entries, some agents of the same service, and the active revision.
struct HeartbeatReply
{
    std::vector<ProcessId> entries;
    std::vector<AgentSummary> agents;
    Revision revision;
    Duration nextAfter{0}; ///< Requested time until the agent's next heartbeat.
};

/// A configuration newer than the one that the receiver has reported.
struct ConfigPush
{
    Revision revision;
    std::string changeId;
    std::string document;
};

/// Requests submission ids from a coordinator.
struct Mint
{
    std::uint32_t count = 0;
};

/// Answers Mint: submission ids [first, first + count) of the sender, for exclusive use by the receiving entry.
struct Minted
{
    Sequence first;
    std::uint32_t count = 0;
};

/// Submits a job under an id. The budget is the time left until the deadline when the message is sent.
struct Submit
{
    SubmissionId id;
    std::shared_ptr<const JobSpec> spec;
    Duration budget{0};
    TraceContext trace;
    /// If not empty, the coordinator refuses the submission with this reason and leaves a tombstone, unless the id has been
    /// submitted before or has expired. An entry that rejects a job needs this to answer "not run", because the same job may have
    /// been submitted through another entry.
    std::string refuseWith;
};

/// Queries the state of a submission, and subscribes to its end if it is in progress.
struct Await
{
    SubmissionId id;
};

/// Cancels a submission. An id that has not been submitted yet gets a tombstone.
struct Cancel
{
    SubmissionId id;
    std::string member;
};

/// The coordinator's reply to Submit, Await and Cancel.
struct JobReply
{
    SubmissionId id;
    JobState state = JobState::NotKnown;
    std::string reason;
    Duration retryAfter{0};
    bool outcomeUnknown = false; ///< For Failed: whether a task may have run whose result was lost.
    std::uint32_t done = 0; ///< Tasks that have succeeded.
    std::uint32_t total = 0; ///< Tasks of the job.
    std::vector<TaskResult> results; ///< For Complete: the result of each task, in order.
    std::vector<Span> spans;
    std::uint32_t freeSlots = 0; ///< Of the coordinator's own backend server, less the waiting tasks of the offers that it holds.
};

/// Offers the waiting tasks of a job. An agent with free slots answers with a Claim.
struct Offer
{
    SubmissionId job;
    std::string member;
    std::string kind;
    std::uint32_t waiting = 0;
};

/// Withdraws an offer: the job has ended, so its waiting tasks are no longer granted.
struct Withdraw
{
    SubmissionId job;
};

/// Requests up to `want` tasks for free slots. At most one grant of a claim takes effect.
struct Claim
{
    ClaimId claim;
    SubmissionId job;
    std::uint32_t want = 0;
};

/// One granted task.
struct GrantedTask
{
    TaskIndex index;
    std::string payload;
};

/// Answers a claim. An empty task list means that there is nothing left to grant.
struct Grant
{
    ClaimId claim;
    SubmissionId job;
    std::vector<GrantedTask> tasks;
    std::uint32_t waiting = 0; ///< Tasks still waiting at the coordinator after this grant.
    Duration budget{0}; ///< Time left until the deadline when the message is sent.
    TraceContext trace;
};

/// The result of one granted task.
struct ResultItem
{
    SubmissionId job;
    ClaimId claim;
    TaskIndex index;
    TaskResult result;
    std::vector<Span> spans;
};

/// Results of granted tasks, retransmitted until they are acknowledged.
struct Results
{
    std::vector<ResultItem> items;
    std::uint32_t freeSlots = 0;
};

/// Acknowledges results.
struct ResultsAck
{
    std::vector<TaskRef> items;
};

/// Asks which tasks of a claim have started, when a grant may have been lost. The agent closes the claim if it is still open,
/// so that a grant that arrives later starts nothing.
struct Query
{
    ClaimId claim;
    SubmissionId job;
};

/// Answers Query: unless `forgotten` is set, the listed tasks of the claim have been started, and no other task has been or will
/// be started under it.
struct QueryReply
{
    ClaimId claim;
    SubmissionId job;
    std::vector<TaskIndex> started;
    bool forgotten = false; ///< The agent can't tell: it has dropped unacknowledged results of this claim or of a later one.
};

/// Aborts the tasks of a claim.
struct CancelClaim
{
    ClaimId claim;
    SubmissionId job;
};

/// The record of one ended submission.
struct HandoffItem
{
    JobReply end;
    Digest digest;
};

/// One part of the records that a process hands off when it shuts down: its own as a coordinator, or those that it has taken
/// over from another.
struct Handoff
{
    ProcessId coordinator;
    Sequence lowWater; ///< Ids below it that have no record are expired.
    std::vector<HandoffItem> items;
    std::uint64_t part = 0;
    bool last = false; ///< Last part of this coordinator's records. Until it arrives, the receiver does not answer for the ids.
};

/// Acknowledges a part of a handoff, or refuses it because the receiver is shutting down as well.
struct HandoffAck
{
    std::uint64_t part = 0;
    bool refused = false;
};

/// Sent back when a message was addressed to an earlier incarnation of the process that received it.
struct Gone
{
    Incarnation meant; ///< The incarnation that the message was addressed to.
};

} // namespace msg

/// Any message between processes.
using Message =
    std::variant<msg::Heartbeat, msg::HeartbeatReply, msg::ConfigPush, msg::Mint, msg::Minted, msg::Submit, msg::Await,
                 msg::Cancel, msg::JobReply, msg::Offer, msg::Withdraw, msg::Claim, msg::Grant, msg::Results, msg::ResultsAck,
                 msg::Query, msg::QueryReply, msg::CancelClaim, msg::Gone, msg::Handoff, msg::HandoffAck>;

/// The send time of an earlier message from the receiver, returned to it. Since it is on the receiver's own clock, the receiver
/// can compute an upper bound on the age of the message without synchronized clocks.
struct Echo
{
    TimePoint peerSentAt; ///< On the receiver's clock.
    Duration held{0}; ///< Time between the arrival of that message and the sending of this one.
};

/// A message with its sender, the incarnation that it is addressed to (zero for any), and the send time on the sender's clock.
struct Envelope
{
    ProcessId from;
    Incarnation to;
    TimePoint sentAt;
    std::optional<Echo> echo;
    Message message;
};

} // namespace cuminscale
