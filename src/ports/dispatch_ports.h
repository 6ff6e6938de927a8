/// Interfaces through which the dispatch core reaches the backend server, other processes, clients and the log.
#pragma once

#include "core/dispatch/messages.h"
#include "core/events.h"

namespace cuminscale::dispatch
{

/// One incarnation of a backend server. A restarted server may keep its id; the start time tells the incarnations apart.
struct ServerIncarnation
{
    std::string id;
    std::int64_t startTimeMs = 0; ///< Start time in Unix milliseconds; 0 if the server did not report it.

    auto operator<=>(const ServerIncarnation &) const noexcept = default;
};

/// A point in time on the monotonic clock of a backend server, in milliseconds.
using ServerTime = StrongId<struct ServerTimeTag, std::int64_t>;
/// A monotonically increasing number. The backend server rejects requests that carry a lower token than it has already seen.
using FencingToken = StrongId<struct FencingTokenTag, std::int64_t>;

/// The state that a backend server reports in its periodic announcements.
struct ServerAnnouncement
{
    ServerIncarnation incarnation;
    std::string service;
    std::uint64_t sequence = 0; ///< Increases with each announcement of one incarnation.
    bool draining = false;
    Resources capacity;
    std::vector<std::string> labels;
    ServerTime clock;
    std::optional<Duration> cold = Duration(0); ///< How long the server is slow; nullopt if the announced value is invalid.
};

/// Request to start a run. The server rejects it if its clock is past `notAfter`; otherwise it also extends the lease of all its
/// runs to at least that time.
struct RunStart
{
    ServerIncarnation server;
    RunRef run;
    std::shared_ptr<const std::string> payload;
    ServerTime notAfter;
    FencingToken token;
};

/// Result of a start request.
enum class StartAnswer : std::uint8_t {
    Accepted,
    StaleToken, ///< The server has already seen a higher fencing token.
    RunNumberUsed, ///< The server has already seen this run number of the task, or a higher one.
    StartDeadlinePassed, ///< The server's clock was past `notAfter`.
    NoRoom, ///< The server lacks the resources for the run.
    IncarnationMismatch, ///< Another incarnation of the server responded.
    Unhealthy, ///< The server is overloaded or unavailable; it did not start the run.
    Invalid,
    NotSent, ///< No byte of the request left this process.
    Refused, ///< As NotSent, because nothing listens at the server's address: its process has ended.
    Unknown, ///< No usable response: the run may have started, or may still start later.
};

/// Request to stop a run.
struct RunStop
{
    ServerIncarnation server;
    RunRef run;
    FencingToken token;
};

/// Request for the list of runs at the server. It also renews the lease of all its runs and acknowledges finished runs. With
/// `maxWait` it is a long poll.
struct PollRequest
{
    ServerIncarnation server; ///< Without an id, any incarnation responds.
    std::optional<ServerTime> leaseUntil; ///< Extends the lease to at least this time; empty leaves it unchanged.
    FencingToken token;
    std::uint64_t acknowledgedEnd = 0; ///< Acknowledges finished runs up to this number; the server may discard them.
    Duration maxWait{0}; ///< The server delays its response by up to this long, until a run ends; 0 for an immediate response.
};

/// A run that the server reports as running.
struct ListedRun
{
    RunRef run;
};

/// A finished run that the server reports until it is acknowledged.
struct FinishedRun
{
    std::uint64_t number = 0; ///< Position in the server's sequence of finished runs.
    RunRef run;
    RunEnd end = RunEnd::Done;
};

/// The runs at a server, as listed in its response to a PollRequest.
struct Inventory
{
    std::int64_t startTimeMs = 0; ///< As in ServerIncarnation.
    ServerTime clock; ///< The server's clock when it responded.
    std::vector<ListedRun> running;
    std::vector<FinishedRun> ended;
    bool complete = true; ///< False if the response was truncated; the remaining finished runs follow with the next PollRequest.
};

/// Why a PollRequest returned no inventory; the values have the same meaning as in StartAnswer.
enum class PollFailure : std::uint8_t { None, StaleToken, IncarnationMismatch, NotSent, Refused, Unknown };

/// The backend server that an agent manages. Responses arrive through the callbacks of AgentDispatch.
class ServerPort
{
public:
    virtual ~ServerPort() = default;

    virtual void start(RunStart &&order) = 0;
    virtual void stop(const RunStop &order) = 0;
    /// `number` is passed back with the response.
    virtual void poll(std::uint64_t number, const PollRequest &order) = 0;
};

/// Sends messages to other entries and agents. Delivery is not guaranteed.
class LinkPort
{
public:
    virtual ~LinkPort() = default;

    virtual void send(const Endpoint &to, const Envelope &envelope) = 0;
    /// Closes the connection to a peer; the next message opens a new one.
    virtual void replaceConnection(const Endpoint &to) = 0;
    /// Closes the connection to a peer that gets no further messages.
    virtual void forgetConnection(const Endpoint &to) = 0;
};

/// Log with one structured line for each decision. Never blocks; lines that can't be queued are dropped and counted.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;

    /// `event` is the name of the event; `fields` are key=value pairs.
    virtual void write(LogLevel level, const char *event, const std::string &fields) = 0;
};

/// Identifies a pending client request within one process.
using ClientTag = StrongId<struct ClientTagTag, std::uint64_t>;

/// The final result of a job, as its client receives it.
enum class JobOutcome : std::uint8_t {
    Succeeded,
    /// A task failed as many times as its queue allows (QueueRule::maxAttempts), or servers crashed under it.
    Failed,
    Cancelled,
    NotRun, ///< No task of the job has started or will start.
    NoQueue, ///< As NotRun, because the configuration in force has no queue for the request any more.
    GivenUp, ///< Abandoned before its end; some tasks may have run. A resubmission starts the whole job again.
};

/// Sends results to clients.
class ClientPort
{
public:
    virtual ~ClientPort() = default;

    /// `retryAfter` is how long the client should wait before it resubmits; zero if a retry can't help.
    virtual void answer(ClientTag client, JobOutcome answer, const char *reason, Duration retryAfter) = 0;
};

} // namespace cuminscale::dispatch
