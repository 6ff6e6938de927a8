/// Inputs (events) and outputs (effects) of the decision core, as plain values.
#pragma once

#include "core/messages.h"
#include "core/settings.h"
#include "core/status.h"
#include "cuminscale/outcome.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminscale
{

/// One version of the operators' configuration, as stored and as sent between processes.
struct ConfigVersion
{
    Revision revision;
    std::string changeId;
    std::string document;
    /// Ids of the most recent changes, including this one. Kept in the store to tell whether a write whose response was lost has
    /// been applied, even after another operator's change has replaced it.
    std::vector<std::string> recentChanges;
};

/// Requests of callers and operators, parsed and checked against the size limits.
namespace call
{

/// Requests new submission ids for a service.
struct MintIds
{
    std::string service;
    std::uint32_t count = 1;
};

/// Submits or resubmits a job under an id that the caller has requested before. Idempotent.
struct SubmitJob
{
    SubmissionId id;
    std::shared_ptr<const JobSpec> spec;
    Duration deadline{0};
    bool wait = true;
};

/// Submits a single task, under an id that the entry takes from its prefetched ids.
struct SubmitRequest
{
    std::shared_ptr<const JobSpec> spec;
    Duration deadline{0};
};

/// Queries the state of a job; with `wait`, the reply is delayed until the job has ended.
struct QueryJob
{
    SubmissionId id;
    bool wait = false;
};

/// Cancels a job on behalf of a member.
struct CancelJob
{
    SubmissionId id;
    std::string member;
};

/// Requests the active configuration.
struct ShowConfig
{ };

/// Replaces the configuration if its revision is still `base` (compare and swap).
struct ApplyConfig
{
    Revision base;
    std::string changeId;
    std::string document;
};

/// Requests the state of this process and of the peers it knows.
struct ShowStatus
{ };

} // namespace call

/// Any request of a caller or an operator.
using CallerRequest = std::variant<call::MintIds, call::SubmitJob, call::SubmitRequest, call::QueryJob, call::CancelJob,
                                   call::ShowConfig, call::ApplyConfig, call::ShowStatus>;

/// Inputs of the core.
namespace event
{

/// A message from a peer was received.
struct PeerMessageReceived
{
    Envelope envelope;
};

/// A request was received. It is answered by one ReplyCaller with the same tag.
struct CallerRequestReceived
{
    CallerTag tag;
    CallerRequest call;
};

/// The caller disconnected before it was answered.
struct CallerDisconnected
{
    CallerTag tag;
};

/// The backend server announced itself or renewed its announcement.
struct BackendAnnounced
{
    std::string service;
    Endpoint endpoint;
    std::uint32_t slots = 0; ///< Tasks that it can run at the same time.
    std::uint32_t connections = 0; ///< Connections that it accepts; the agent needs one for each running task.
    Duration validFor{0};
    bool leaving = false;
};

/// A task run at the backend server has ended.
struct BackendFinished
{
    RunId run;
    TaskResult result;
};

/// A configuration was read from the store.
struct StoreConfigRead
{
    ConfigVersion config;
};

/// The list of registered entries was read from the store.
struct StoreEntriesRead
{
    std::vector<ProcessId> entries;
};

/// A WriteConfig has ended.
struct StoreWriteEnded
{
    enum class How : std::uint8_t { Written, Conflict, Unreachable };
    CallerTag tag;
    How how = How::Unreachable;
    ConfigVersion current; ///< Content of the store, if known.
};

/// Periodic timer event.
struct Tick
{ };

/// The platform requests an orderly shutdown: work in progress is finished first.
struct ShutdownRequested
{ };

} // namespace event

/// Any input of the core.
using Event = std::variant<event::PeerMessageReceived, event::CallerRequestReceived, event::CallerDisconnected,
                           event::BackendAnnounced, event::BackendFinished, event::StoreConfigRead, event::StoreEntriesRead,
                           event::StoreWriteEnded, event::Tick, event::ShutdownRequested>;

/// The reply to a request.
struct CallerReply
{
    /// Determines the form of the reply and which fields are set.
    enum class Kind : std::uint8_t { Ids, Job, Config, Applied, Conflict, Status, BadRequest, NotFound, Refused };
    Kind kind = Kind::Refused;
    Outcome outcome = Ran{};
    bool undecided = false; ///< No coordinator has answered; a retry under the same id may learn the outcome.
    std::string text; ///< The reason or the configuration document, depending on the kind.
    std::vector<SubmissionId> ids;
    std::optional<msg::JobReply> job;
    Revision revision;
    std::string changeId;
    std::optional<StatusReport> status;
    TraceContext trace;
};

/// Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Outputs of the core.
namespace effect
{

/// Send a message. A zero incarnation addresses any process at the endpoint.
struct SendPeer
{
    /// Timestamps of an earlier message from the receiver, from which the Echo is computed when this message is sent.
    struct EchoSource
    {
        TimePoint peerSentAt; ///< On the clock of the peer.
        TimePoint receivedAt; ///< On the clock of this process.
    };

    ProcessId to;
    Message message;
    std::optional<EchoSource> echoSource;

    /// Builds the envelope, with the echo computed for a message sent at `now`.
    Envelope makeEnvelope(const ProcessId &from, TimePoint now) &&
    {
        std::optional<Echo> echo;
        if (echoSource) {
            echo = Echo{echoSource->peerSentAt, now - echoSource->receivedAt};
        }
        return Envelope{from, to.incarnation, now, echo, std::move(message)};
    }
};

/// Close the outgoing connection to a silent peer and open a new one.
struct ReplaceConnection
{
    Endpoint endpoint;
};

/// Close the connection to a peer that has been removed.
struct ForgetConnection
{
    Endpoint endpoint;
};

/// Start a task at the backend server. Answered by one BackendFinished.
struct StartTask
{
    RunId run;
    Endpoint backend;
    std::string payload;
    SubmissionId job;
    TaskIndex index;
    TraceContext trace;
    Duration timeout{0};
};

/// Abort a task run at the backend server.
struct AbortTask
{
    RunId run;
};

/// Answer a caller.
struct ReplyCaller
{
    CallerTag tag;
    CallerReply reply;
};

/// Replace the configuration in the store if its revision is still `base`. Answered by one StoreWriteEnded.
struct WriteConfig
{
    CallerTag tag;
    Revision base;
    ConfigVersion next;
    /// Write nothing and only report whether the change was applied earlier, because `base` is known to be out of date.
    bool checkOnly = false;
};

/// Write a log line.
struct LogLine
{
    LogLevel level = LogLevel::Info;
    const char *component = ""; ///< Name of the component that logs.
    std::string text;
};

/// Export a finished trace span.
struct SpanEnded
{
    Span span;
};

/// The orderly shutdown is complete; the process can exit.
struct Stopped
{ };

} // namespace effect

/// Any output of the core.
using Effect =
    std::variant<effect::SendPeer, effect::ReplaceConnection, effect::ForgetConnection, effect::StartTask, effect::AbortTask,
                 effect::ReplyCaller, effect::WriteConfig, effect::LogLine, effect::SpanEnded, effect::Stopped>;
/// Outputs of one event, in order.
using Effects = std::vector<Effect>;

/// A decision core: a deterministic state machine without access to clocks, sockets, threads or random devices. The same events
/// at the same times give the same effects.
class Core
{
public:
    virtual ~Core() = default;

    /// Handles one event at the given time and appends the resulting effects.
    virtual void handle(TimePoint now, Event &&event, Effects &effects) = 0;
};

} // namespace cuminscale
