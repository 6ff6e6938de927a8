/// Typed messages between processes. Plain values: the wire form lives in src/adapters/peer_encoder.cpp and peer_decoder.cpp.
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

/// A 128-bit digest of a submission's body, compared to tell a resubmission from a conflicting one.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    constexpr auto operator<=>(const Digest &) const noexcept = default;
};

/// The W3C trace context of a submission: the trace, and the span that is the parent of the next hop.
struct TraceContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t parentSpan = 0;
    bool sampled = false;
};

/// One finished hop of a traced submission.
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

/// What a caller declares about one task. Declared values are hints that may be far off.
struct TaskSpec
{
    std::string payload;
    Duration declaredRun{0};
    std::uint64_t declaredBytes = 0;
};

/// A caller's job as the entry parsed it; immutable once built.
struct JobSpec
{
    std::string service;
    std::string member;
    std::string kind;
    bool repeatable = false;
    std::vector<TaskSpec> tasks;
    Digest digest;
    TraceContext trace;
};

/// How one task ended at the backend server.
enum class TaskStatus : std::uint8_t {
    Succeeded, ///< The backend server answered with success.
    Failed, ///< The backend server answered with an error.
    Unknown, ///< Started, but the end was lost.
    NotStarted, ///< The backend server was never asked; the task may be granted again.
};

/// The end of one task.
struct TaskResult
{
    TaskStatus status = TaskStatus::Unknown;
    std::uint32_t httpStatus = 0;
    std::string body;
    Duration ran{0};
};

/// What a coordinator or an entry knows of one agent.
struct AgentBrief
{
    ProcessId agent;
    std::string service;
    std::string domain;
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    Revision revision;
    bool leaving = false;
};

/// Names one granted task.
struct TaskRef
{
    SubmissionId job;
    ClaimId claim;
    TaskIndex index;

    constexpr auto operator<=>(const TaskRef &) const noexcept = default;
};

/// What a coordinator says of a submission.
enum class JobState : std::uint8_t {
    Accepted, ///< Recorded; tasks may be running.
    Refused, ///< Barred: nothing was or will be started under this id.
    Complete, ///< Every task succeeded.
    Failed, ///< Ended without a whole answer.
    Conflict, ///< The id belongs to another body.
    Expired, ///< Below the low-water mark and no longer remembered; never started from here on.
    NotKnown, ///< Never submitted.
};

namespace msg
{

/// A process tells another that it lives, and what it offers. Entries leave the service empty.
struct Heartbeat
{
    AgentBrief brief;
    bool isEntry = false;
    std::vector<ProcessId> answersFor; ///< Coordinators that have ended and left the sender their records.
};

/// An entry's answer to an agent: the entries there are, some agents of the same service, and the revision in force.
struct HeartbeatReply
{
    std::vector<ProcessId> entries;
    std::vector<AgentBrief> agents;
    Revision revision;
    Duration nextAfter{0}; ///< How long the agent had better wait with its next heartbeat.
};

/// A configuration newer than the one the receiver has reported.
struct ConfigPush
{
    Revision revision;
    std::string changeId;
    std::string document;
};

/// An entry asks a coordinator for submission ids.
struct Mint
{
    std::uint32_t count = 0;
};

/// Ids [first, first + count) of the sender, for the receiving entry alone.
struct Minted
{
    Sequence first;
    std::uint32_t count = 0;
};

/// Work under an id. The budget is what is left of the deadline when the message is sent.
struct Submit
{
    SubmissionId id;
    std::shared_ptr<const JobSpec> spec;
    Duration budget{0};
    TraceContext trace;
    /// When not empty, the id is to be barred with this reason unless it has been submitted before. An entry that will not
    /// pass a job on can say "not run" only this way, as the same job may have come through another entry.
    std::string refuseWith;
};

/// Asks for the state of a submission, without its body.
struct Await
{
    SubmissionId id;
};

/// Cancels a submission; when it has not been seen yet, bars it.
struct Cancel
{
    SubmissionId id;
    std::string member;
};

/// The coordinator's answer to Submit, Await and Cancel.
struct JobReply
{
    SubmissionId id;
    JobState state = JobState::NotKnown;
    std::string reason;
    Duration retryAfter{0};
    bool outcomeUnknown = false; ///< For Failed: whether some task may have run with its end lost.
    std::uint32_t done = 0;
    std::uint32_t total = 0;
    std::vector<TaskResult> results; ///< For Complete: one for each task, in order.
    std::vector<Span> spans;
    std::uint32_t freeSlots = 0; ///< Free slots at the coordinator's own backend server.
};

/// A coordinator has waiting tasks for whoever has a free slot.
struct Offer
{
    SubmissionId job;
    std::string member;
    std::string kind;
    std::uint32_t waiting = 0;
};

/// The job has no waiting tasks any more.
struct Withdraw
{
    SubmissionId job;
};

/// An agent with free slots asks for up to `want` tasks. Each claim is answered by one grant at most.
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

/// Answers a claim. An empty list of tasks means that there is nothing left to grant.
struct Grant
{
    ClaimId claim;
    SubmissionId job;
    std::vector<GrantedTask> tasks;
    std::uint32_t waiting = 0; ///< Tasks still waiting at the coordinator after this grant.
    Duration budget{0};
    TraceContext trace;
};

/// The end of one granted task.
struct ResultItem
{
    SubmissionId job;
    ClaimId claim;
    TaskIndex index;
    TaskResult result;
    std::vector<Span> spans;
};

/// Ends of granted tasks, repeated until they are acknowledged.
struct Results
{
    std::vector<ResultItem> items;
    std::uint32_t freeSlots = 0;
};

/// The coordinator has recorded these ends.
struct ResultsAck
{
    std::vector<TaskRef> items;
};

/// The coordinator is in doubt about a grant. The receiver bars the claim if none of its tasks have started.
struct Query
{
    ClaimId claim;
    SubmissionId job;
};

/// Answers Query: these tasks of the claim are running or ended; all others of it are barred and will never start.
struct QueryReply
{
    ClaimId claim;
    SubmissionId job;
    std::vector<TaskIndex> started;
    bool forgotten = false; ///< The claim is so old that the receiver can't tell whether its tasks were started.
};

/// The coordinator no longer wants the claim's tasks.
struct CancelClaim
{
    ClaimId claim;
    SubmissionId job;
};

/// What is remembered of one ended submission.
struct HandoffItem
{
    JobReply end;
    Digest digest;
};

/// A coordinator that shuts down leaves its records, or those it has inherited, to another process, in parts.
struct Handoff
{
    ProcessId coordinator;
    Sequence lowWater;
    std::vector<HandoffItem> items;
    std::uint64_t part = 0;
    bool last = false; ///< Of this coordinator's. Before it has come in, the receiver can't speak for the ids.
};

/// The part has been taken in, or will not be, as the receiver is shutting down itself.
struct HandoffAck
{
    std::uint64_t part = 0;
    bool refused = false;
};

/// The receiver of a message is not the incarnation that the message was meant for.
struct Gone
{
    Incarnation meant;
};

} // namespace msg

/// Every message between processes.
using Message =
    std::variant<msg::Heartbeat, msg::HeartbeatReply, msg::ConfigPush, msg::Mint, msg::Minted, msg::Submit, msg::Await,
                 msg::Cancel, msg::JobReply, msg::Offer, msg::Withdraw, msg::Claim, msg::Grant, msg::Results, msg::ResultsAck,
                 msg::Query, msg::QueryReply, msg::CancelClaim, msg::Gone, msg::Handoff, msg::HandoffAck>;

/// A time of sending that the sender of a message has read in an earlier message of the receiver's. The receiver, whose own
/// clock it is, learns from it how old the message can be at most, whatever either clock shows.
struct Echo
{
    TimePoint theirSentAt; ///< On the receiver's clock.
    Duration held{0}; ///< How long ago that message came in, when this one was sent.
};

/// A message with its sender, the incarnation it is meant for, and the sender's time of sending.
struct Envelope
{
    ProcessId from;
    Incarnation to;
    TimePoint sentAt;
    std::optional<Echo> echo;
    Message message;
};

} // namespace cuminscale
