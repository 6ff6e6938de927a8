/// What the decision core is told and what it wants done, as plain values.
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

/// The operators' configuration as it is kept and passed on.
struct ConfigVersion
{
    Revision revision;
    std::string changeId;
    std::string document;
    /// Ids of the last changes, this one included, as the store keeps them: they settle a write whose answer was lost and
    /// which another operator's change has followed since.
    std::vector<std::string> recentChanges;
};

/// A caller's request, parsed and within the size limits.
namespace call
{

/// Asks for submission ids.
struct MintIds
{
    std::string service;
    std::uint32_t count = 1;
};

/// Submits a job under an id, or resubmits it.
struct SubmitJob
{
    SubmissionId id;
    std::shared_ptr<const JobSpec> spec;
    Duration deadline{0};
    bool wait = true;
};

/// A single request: one task, the id chosen by the entry.
struct SubmitRequest
{
    std::shared_ptr<const JobSpec> spec;
    Duration deadline{0};
};

/// Asks how a job stands; with wait, answers when it has ended.
struct QueryJob
{
    SubmissionId id;
    bool wait = false;
};

/// Cancels a job in the name of a member.
struct CancelJob
{
    SubmissionId id;
    std::string member;
};

/// Asks for the configuration in force.
struct ShowConfig
{ };

/// Proposes a checked configuration in place of the given revision.
struct ApplyConfig
{
    Revision base;
    std::string changeId;
    std::string document;
};

/// Asks for the state of this process and of those it knows.
struct ShowStatus
{ };

} // namespace call

/// Everything that a caller or an operator can ask.
using CallerCall = std::variant<call::MintIds, call::SubmitJob, call::SubmitRequest, call::QueryJob, call::CancelJob,
                                call::ShowConfig, call::ApplyConfig, call::ShowStatus>;

/// What the core is told.
namespace event
{

/// A message from a peer.
struct PeerArrived
{
    Envelope envelope;
};

/// A caller's request, to be answered by one ReplyCaller with the same tag.
struct CallerAsked
{
    CallerTag tag;
    CallerCall call;
};

/// The caller's connection ended before its answer.
struct CallerGone
{
    CallerTag tag;
};

/// The backend server announced or renewed itself.
struct BackendAnnounced
{
    std::string service;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    Duration validFor{0};
    bool leaving = false;
};

/// An execution at the backend server has ended.
struct BackendFinished
{
    RunId run;
    TaskResult result;
};

/// The store shows this configuration.
struct StoreConfigSeen
{
    ConfigVersion config;
};

/// The store's list of registered entries.
struct StoreEntriesSeen
{
    std::vector<ProcessId> entries;
};

/// How a proposed write ended.
struct StoreWriteEnded
{
    enum class How : std::uint8_t { Written, Conflict, Unreachable };
    CallerTag tag;
    How how = How::Unreachable;
    ConfigVersion current; ///< What the store holds now, where that is known.
};

/// Time has passed.
struct Tick
{ };

/// The platform asks the process to end without cutting anything.
struct ShutdownAsked
{ };

} // namespace event

/// Every input of the core.
using Event =
    std::variant<event::PeerArrived, event::CallerAsked, event::CallerGone, event::BackendAnnounced, event::BackendFinished,
                 event::StoreConfigSeen, event::StoreEntriesSeen, event::StoreWriteEnded, event::Tick, event::ShutdownAsked>;

/// The answer to a caller.
struct CallerReply
{
    /// The form that the answer takes.
    enum class Kind : std::uint8_t { Ids, Job, Config, Applied, Conflict, Status, BadRequest, NotFound, Refused };
    Kind kind = Kind::Refused;
    Outcome outcome = Ran{};
    bool undecided = false; ///< No coordinator has spoken; asking again under the same id may tell more.
    std::string text; ///< A reason, or the configuration document.
    std::vector<SubmissionId> ids;
    std::optional<msg::JobReply> job;
    Revision revision;
    std::string changeId;
    std::optional<StatusReport> status;
    TraceContext trace;
};

/// How urgently a log line wants to be read.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// What the core wants done.
namespace effect
{

/// Send a message. A zero incarnation means whichever process is at the address.
struct SendPeer
{
    /// A time that the receiver has sent, and when it came in here; the adapter makes an Echo of it.
    struct Heard
    {
        TimePoint theirSentAt;
        TimePoint receivedAt;
    };

    ProcessId to;
    Message message;
    std::optional<Heard> heard;

    /// The envelope as it leaves at the given time.
    Envelope seal(const ProcessId &from, TimePoint now) &&
    {
        std::optional<Echo> echo;
        if (heard) {
            echo = Echo{heard->theirSentAt, now - heard->receivedAt};
        }
        return Envelope{from, to.incarnation, now, echo, std::move(message)};
    }
};

/// Drop the outgoing connection to a silent peer and open a new one.
struct ReplaceConnection
{
    Endpoint endpoint;
};

/// The peer will not be spoken to again.
struct ForgetConnection
{
    Endpoint endpoint;
};

/// Start a task at the backend server; answered by one BackendFinished.
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

/// Give up an execution at the backend server.
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

/// Replace the configuration in the store if it still is at the base revision.
struct WriteConfig
{
    CallerTag tag;
    Revision base;
    ConfigVersion next;
    bool lookOnly = false; ///< Only tell whether the change was made earlier: the base is known to be out of date.
};

/// One line for the log.
struct LogLine
{
    LogLevel level = LogLevel::Info;
    const char *part = "";
    std::string text;
};

/// A finished span.
struct SpanEnded
{
    Span span;
};

/// Nothing is left to do; the process may end.
struct Stopped
{ };

} // namespace effect

/// Every output of the core.
using Effect =
    std::variant<effect::SendPeer, effect::ReplaceConnection, effect::ForgetConnection, effect::StartTask, effect::AbortTask,
                 effect::ReplyCaller, effect::WriteConfig, effect::LogLine, effect::SpanEnded, effect::Stopped>;
/// Outputs of one step, in order.
using Effects = std::vector<Effect>;

/// A decision core: no clock, socket, thread or random device inside; the same events give the same effects.
class Core
{
public:
    virtual ~Core() = default;

    /// Takes one event at the given time and appends what is to be done about it.
    virtual void handle(TimePoint now, Event &&event, Effects &effects) = 0;
};

} // namespace cuminscale
