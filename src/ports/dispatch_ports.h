/// What the outside does for the dispatch decisions.
#pragma once

#include "core/dispatch/messages.h"
#include "core/events.h"

namespace cuminscale::dispatch
{

/// One life of a backend server. A restart may keep the id; the time of birth tells the lives apart.
struct ServerLife
{
    std::string id;
    std::int64_t bornMs = 0; ///< Unix milliseconds of the start; 0 where it was not given.

    auto operator<=>(const ServerLife &) const noexcept = default;
};

/// A moment on the steady clock of a backend server, in milliseconds.
using ServerTime = StrongId<struct ServerTimeTag, std::int64_t>;
/// A number that only grows; the backend server does nothing for an older one.
using FencingToken = StrongId<struct FencingTokenTag, std::int64_t>;

/// What a backend server says of itself, from its own announcements.
struct ServerAnnouncement
{
    ServerLife life;
    std::string service;
    std::uint64_t sequence = 0; ///< Grows with each announcement of one life.
    bool draining = false;
    Resources capacity;
    std::vector<std::string> labels;
    ServerTime clock;
};

/// An order to begin a run. It can't begin after `notAfter` on the server's clock.
struct RunStart
{
    ServerLife server;
    RunRef run;
    std::shared_ptr<const std::string> payload;
    ServerTime notAfter;
    FencingToken token;
};

/// How a start was answered.
enum class StartAnswer : std::uint8_t {
    Accepted,
    FencedOff, ///< The server has seen a higher token.
    RunNumberUsed,
    TooLate,
    NoRoom,
    WrongLife, ///< Another life of the server is there.
    Unhealthy, ///< Nothing was done.
    Invalid,
    NotSent, ///< No byte left this process.
    Unknown, ///< It may have begun, or may begin later.
};

struct RunStop
{
    ServerLife server;
    RunRef run;
    FencingToken token;
};

/// Renews the lease, takes note of ends, and lists what runs.
struct Look
{
    ServerLife server;
    std::optional<ServerTime> leaseUntil;
    FencingToken token;
    std::uint64_t endsSeen = 0; ///< Ends up to this number may be forgotten.
    Duration waitForEnd{0}; ///< The answer is held back this long unless a run ends.
};

/// A run that the server lists.
struct ListedRun
{
    RunRef run;
};

/// An end that the server lists.
struct ListedEnd
{
    std::uint64_t number = 0;
    RunRef run;
    RunEnd end = RunEnd::Done;
};

/// The answer to a look.
struct Inventory
{
    std::int64_t bornMs = 0;
    ServerTime clock;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    bool whole = true; ///< False when further ends are to come with the next look.
};

/// How a look ended when there is no inventory.
enum class LookFailure : std::uint8_t { None, FencedOff, WrongLife, NotSent, Unknown };

/// The backend server beside an agent.
class ServerPort
{
public:
    virtual ~ServerPort() = default;

    virtual void start(RunStart &&order) = 0;
    virtual void stop(const RunStop &order) = 0;
    /// `number` comes back with the answer.
    virtual void look(std::uint64_t number, const Look &order) = 0;
};

/// Other processes of the system.
class LinkPort
{
public:
    virtual ~LinkPort() = default;

    virtual void send(const Endpoint &to, const Envelope &envelope) = 0;
    virtual void replaceConnection(const Endpoint &to) = 0;
    virtual void forgetConnection(const Endpoint &to) = 0;
};

/// Takes one structured line a decision. Never blocks; may drop lines and counts what it drops.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;

    /// `event` names the kind of line; `fields` are key=value pairs.
    virtual void write(LogLevel level, const char *event, const std::string &fields) = 0;
};

/// Identifies one client's request that waits for its answer, within one process.
using ClientTag = StrongId<struct ClientTagTag, std::uint64_t>;

/// The final word to a client about its job.
enum class JobAnswer : std::uint8_t {
    Succeeded,
    Failed, ///< A task has failed as often as its queue allows.
    Cancelled,
    NotRun, ///< Nothing of it has run or will run.
    GivenUp, ///< Not ended, and not worked on any more; it may have run in part. Sending it again runs it anew.
};

/// Answers clients.
class ClientPort
{
public:
    virtual ~ClientPort() = default;

    /// `retryAfter` tells when coming back can help; zero where it can't.
    virtual void answer(ClientTag client, JobAnswer answer, const char *reason, Duration retryAfter) = 0;
};

} // namespace cuminscale::dispatch
