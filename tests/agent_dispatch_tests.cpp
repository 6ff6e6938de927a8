#include "core/dispatch/agent_dispatch.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

constexpr Endpoint EntryAddress{1, 7000};

/// Records the calls of an agent to its backend server and answers none of them.
class RecordingServer : public ServerPort
{
public:
    void start(RunStart &&order) override
    {
        starts.push_back(std::move(order));
    }

    void stop(const RunStop &order) override
    {
        stops.push_back(order);
    }

    void poll(std::uint64_t number, const PollRequest &order) override
    {
        lastPollNumber = number;
        polls.push_back(order);
    }

    std::vector<RunStart> starts;
    std::vector<RunStop> stops;
    std::vector<PollRequest> polls;
    std::uint64_t lastPollNumber = 0;
};

/// Records the last message to each peer.
class RecordingLinks : public LinkPort
{
public:
    void send(const Endpoint &to, const dispatch::Envelope &envelope) override
    {
        lastEnvelopes[to] = envelope;
    }

    void replaceConnection(const Endpoint &) override { }
    void forgetConnection(const Endpoint &) override { }

    std::map<Endpoint, dispatch::Envelope> lastEnvelopes;
};

class DiscardingLog : public DecisionLog
{
public:
    void write(LogLevel, const char *, const std::string &) override { }
};

/// An agent whose server has announced itself and has answered a poll with no active runs.
struct AgentFixture
{
    AgentFixture()
        : agent(settings(), server, links, log, now)
    {
        announce(Resources{12000, 1000, 0});
        answerPoll(1);
        lastAnsweredPoll = server.lastPollNumber;
    }

    void announce(const ServerIncarnation &incarnation, std::uint64_t sequence, bool draining = false)
    {
        ServerAnnouncement announcement = makeAnnouncement(Resources{12000, 1000, 0});
        announcement.incarnation = incarnation;
        announcement.sequence = sequence;
        announcement.draining = draining;
        agent.onAnnouncement(now, announcement);
    }

    /// Answers the outstanding polls as the given server does: it rejects those that name another one, and lists `running`.
    void answerPolls(const ServerIncarnation &running, const std::vector<RunRef> &runs = {})
    {
        while (server.lastPollNumber != lastAnsweredPoll) {
            lastAnsweredPoll = server.lastPollNumber;
            const PollRequest poll = server.polls.back();
            if (poll.server.id != running.id) {
                agent.onPollAnswered(now, lastAnsweredPoll, std::nullopt, PollFailure::IncarnationMismatch);
                continue;
            }
            Inventory inventory;
            inventory.startTimeMs = running.startTimeMs;
            inventory.clock = serverClock();
            for (const RunRef &run : runs) {
                inventory.running.push_back(ListedRun{run});
            }
            agent.onPollAnswered(now, lastAnsweredPoll, inventory, PollFailure::None);
            if (poll.maxWait > Duration(0) || !runs.empty()) {
                return; // The next poll is a long one, which waits for a run to end.
            }
        }
    }

    /// Whether the last report to the entry says that the agent takes orders.
    bool reportsAccepting() const
    {
        return std::get<AgentReport>(links.lastEnvelopes.at(EntryAddress).message).load.accepting;
    }

    static AgentSettings settings()
    {
        AgentSettings result;
        result.self = ProcessId{Endpoint{2, 7000}, Incarnation(9)};
        result.service = "svc";
        result.entries = {EntryAddress};
        result.firstToken = FencingToken(1);
        return result;
    }

    /// The server's clock: 5 s when the test begins.
    ServerTime serverClock() const
    {
        return ServerTime(5000 + std::chrono::duration_cast<milliseconds>(now - TimePoint(seconds(100))).count());
    }

    ServerAnnouncement makeAnnouncement(const Resources &capacity, std::int64_t startTimeMs = 1)
    {
        ServerAnnouncement announcement;
        announcement.incarnation = ServerIncarnation{"s", startTimeMs};
        announcement.service = "svc";
        announcement.sequence = ++lastAnnouncement;
        announcement.capacity = capacity;
        announcement.clock = serverClock();
        return announcement;
    }

    void announce(const Resources &capacity, std::int64_t startTimeMs = 1)
    {
        agent.onAnnouncement(now, makeAnnouncement(capacity, startTimeMs));
    }

    /// Answers the last poll for the incarnation that started at this time, with the runs that it lists.
    void answerPoll(std::int64_t startTimeMs, std::vector<ListedRun> running = {}, std::vector<FinishedRun> ended = {})
    {
        Inventory inventory;
        inventory.startTimeMs = startTimeMs;
        inventory.clock = serverClock();
        inventory.running = std::move(running);
        inventory.ended = std::move(ended);
        agent.onPollAnswered(now, server.lastPollNumber, inventory, PollFailure::None);
    }

    const AgentReport &lastReport() const
    {
        return std::get<AgentReport>(links.lastEnvelopes.at(EntryAddress).message);
    }

    TimePoint lastReportAt() const
    {
        return links.lastEnvelopes.at(EntryAddress).sentAt;
    }

    void tickFor(Duration length)
    {
        const TimePoint end = now + length;
        while (now < end) {
            now += milliseconds(15);
            agent.onTick(now);
        }
    }

    /// Delivers a message from the entry. It echoes the last message of the agent, or an earlier one, so the agent must have sent
    /// one before.
    void receiveFromEntry(dispatch::Message &&message, std::uint64_t eventsSeen = 0,
                          std::optional<TimePoint> echoOf = std::nullopt)
    {
        dispatch::Envelope envelope;
        envelope.from = ProcessId{sender, entryIncarnation};
        envelope.toIncarnation = Incarnation(9);
        envelope.fromEntry = true;
        envelope.sentAt = now;
        const TimePoint lastSentAt = links.lastEnvelopes.count(sender) > 0 ? links.lastEnvelopes.at(sender).sentAt : TimePoint();
        envelope.echoOf = echoOf.value_or(lastSentAt);
        envelope.echoHeld = now - envelope.echoOf - messageAge;
        envelope.eventsSeen = eventsSeen;
        envelope.message = std::move(message);
        const std::size_t pollsBefore = server.polls.size();
        agent.onMessage(now, envelope);
        const bool confirming = agent.ledger().waiting() > 0 && agent.ledger().booked() == 0 && server.polls.size() > pollsBefore;
        if (answersConfirmation && confirming) {
            answerPoll(server.polls.back().server.startTimeMs);
        }
    }

    StartOrder makeOrder(const char *job, Duration estimate, Duration slack, std::uint32_t tasks)
    {
        StartOrder result;
        result.number = ++lastOrderNumber;
        result.job = *JobId::parse(job);
        result.need = Resources{3000, 10, 0};
        result.estimate = estimate;
        result.inTimeWithin = slack;
        result.startWithin = seconds(3);
        result.payload = std::make_shared<const std::string>("x");
        for (std::uint32_t i = 0; i < tasks; ++i) {
            result.runs.push_back(OrderedRun{i, RunNumber(1)});
        }
        return result;
    }

    /// Starts a run for the entry, which is not heard again unless the test sends its messages. Returns the server's time at
    /// which the run must have ended.
    ServerTime startRunOfEntryThatFails()
    {
        tickFor(milliseconds(300));
        receiveFromEntry(makeOrder("00000000000000f1", milliseconds(900), milliseconds(90), 1));
        agent.onStartAnswered(now, server.starts.at(0).run, StartAnswer::Accepted);
        return ServerTime(serverClock().value() + 1200);
    }

    /// The latest time to which a poll or a start request has extended the lease.
    ServerTime latestLease() const
    {
        ServerTime result;
        for (const PollRequest &poll : server.polls) {
            result = std::max(result, poll.leaseUntil.value_or(ServerTime()));
        }
        for (const RunStart &start : server.starts) {
            result = std::max(result, start.notAfter);
        }
        return result;
    }

    TimePoint now{seconds(100)};
    RecordingServer server;
    RecordingLinks links;
    DiscardingLog log;
    AgentDispatch agent;
    std::uint64_t lastOrderNumber = 0;
    std::uint64_t lastAnnouncement = 0;
    std::uint64_t lastAnsweredPoll = 0;
    Endpoint sender = EntryAddress; ///< The entry whose messages receiveFromEntry() delivers.
    Incarnation entryIncarnation{3}; ///< Its incarnation.
    /// The poll before the first start on an idle server is answered by the incarnation that it is for.
    bool answersConfirmation = true;
    Duration messageAge{0}; ///< Upper bound of the age of a message from the entry, as the agent computes it.
};

constexpr std::int64_t FarFutureMs = 9'000'000'000'000'000'000;

} // namespace

TEST_CASE("An unanswered start request makes the agent poll the server, even if no other call is in progress")
{
    // Scenario: a server fails just after it has answered the poll before its first start, and all start requests are lost.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000aa", milliseconds(100), milliseconds(90), 1));
    fixture.tickFor(milliseconds(15));
    REQUIRE(fixture.server.starts.size() == 1);
    const std::size_t pollsBefore = fixture.server.polls.size();
    fixture.tickFor(milliseconds(60));
    REQUIRE(fixture.server.polls.size() > pollsBefore);
}

TEST_CASE("A shutdown waits until the coordinator has acknowledged the result of the last run")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000ac", milliseconds(100), milliseconds(90), 1));
    fixture.agent.shutDown(fixture.now);
    fixture.tickFor(milliseconds(15));
    REQUIRE_FALSE(fixture.agent.drained(fixture.now));
    fixture.agent.onStartAnswered(fixture.now, fixture.server.starts.at(0).run, StartAnswer::Unhealthy);
    REQUIRE(fixture.agent.ledger().records().empty());
    REQUIRE_FALSE(fixture.agent.drained(fixture.now));
    fixture.receiveFromEntry(EntryReport(), 100);
    REQUIRE(fixture.agent.drained(fixture.now));
}

TEST_CASE("Events for an entry that was removed and is known again get numbers that it has not seen")
{
    AgentFixture fixture;
    const Endpoint found{3, 7000};
    fixture.agent.addEntries(fixture.now, {found});
    const auto receive = [&fixture, &found](dispatch::Message &&message) {
        dispatch::Envelope envelope;
        envelope.from = ProcessId{found, Incarnation(4)};
        envelope.toIncarnation = Incarnation(9);
        envelope.fromEntry = true;
        envelope.sentAt = fixture.now;
        envelope.message = std::move(message);
        fixture.agent.onMessage(fixture.now, envelope);
    };
    // The age of this order is unknown, so it is refused with an event.
    receive(fixture.makeOrder("00000000000000ad", milliseconds(100), milliseconds(90), 1));
    const std::uint64_t first = std::get<AgentReport>(fixture.links.lastEnvelopes.at(found).message).events.at(0).number;
    fixture.tickFor(seconds(11));
    receive(fixture.makeOrder("00000000000000ae", milliseconds(100), milliseconds(90), 1));
    const AgentReport report = std::get<AgentReport>(fixture.links.lastEnvelopes.at(found).message);
    REQUIRE(report.events.at(0).number > first);
    REQUIRE(report.oldestEvent == report.events.at(0).number);
}

TEST_CASE("After a restart that a poll has shown, nothing is started on the capacity of the former incarnation")
{
    // Scenario: a server restarts under its id with a smaller capacity. The poll is answered before its first announcement.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000b1", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 1);
    fixture.tickFor(milliseconds(45));
    fixture.answerPoll(2);
    fixture.answerPoll(2);
    REQUIRE(fixture.agent.ledger().records().empty());
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000b2", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.back().run.task.job == *JobId::parse("00000000000000b1"));
    fixture.lastAnnouncement = 0;
    fixture.announce(Resources{6000, 1000, 0}, 2);
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000b3", milliseconds(100), milliseconds(90), 3));
    REQUIRE(fixture.agent.ledger().booked() == 2);
}

TEST_CASE("A capacity that was announced too long ago is not used")
{
    // Scenario: the capacity of a server shrinks while its agent is paused. The order arrives before the next announcement.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.now += seconds(5);
    SECTION("without another announcement")
    {
        fixture.receiveFromEntry(fixture.makeOrder("00000000000000b4", milliseconds(100), milliseconds(90), 1));
        REQUIRE(fixture.server.starts.empty());
        REQUIRE(fixture.agent.ledger().records().empty());
    }
    SECTION("with an announcement that was delayed for as long")
    {
        ServerAnnouncement late = fixture.makeAnnouncement(Resources{12000, 1000, 0});
        late.clock = ServerTime(5400);
        fixture.agent.onAnnouncement(fixture.now, late);
        fixture.answerPoll(1);
        fixture.receiveFromEntry(fixture.makeOrder("00000000000000b4", milliseconds(100), milliseconds(90), 1));
        REQUIRE(fixture.server.starts.empty());
    }
    // Nothing is wrong with the server: it gets work again as soon as it says its capacity.
    fixture.announce(Resources{3000, 1000, 0});
    fixture.answerPoll(1);
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000b5", milliseconds(100), milliseconds(90), 2));
    REQUIRE(fixture.server.starts.size() == 1);
}

TEST_CASE("A start request can't take effect after the capacity that it relies on has become too old")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.now = TimePoint(seconds(100)) + milliseconds(4200);
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000b6", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 1);
    REQUIRE(fixture.server.starts[0].notAfter <= ServerTime(5000 + 4500));
}

TEST_CASE("Queued runs that exceed a capacity that has shrunk do not wait, nor keep runs behind them waiting")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000c1", milliseconds(400), milliseconds(90), 4));
    StartOrder large = fixture.makeOrder("00000000000000c2", milliseconds(100), milliseconds(20), 1);
    large.need = Resources{8000, 10, 0};
    fixture.receiveFromEntry(std::move(large));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000c3", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.agent.ledger().waiting() == 2);
    fixture.announce(Resources{6000, 1000, 0});
    REQUIRE_FALSE(fixture.lastReport().events.empty());
    const RunEvent handedBack = fixture.lastReport().events.back();
    REQUIRE(handedBack.run.task.job == *JobId::parse("00000000000000c2"));
    REQUIRE(handedBack.end == RunEnd::NeverStarted);
    REQUIRE(handedBack.reason == RefusalReason::NoRoom);
    // The other one starts once what runs fits with it: three of the four runs have to end.
    for (std::uint64_t n = 1; n <= 4; ++n) {
        const RunStart start = fixture.server.starts.at(n - 1);
        fixture.agent.onStartAnswered(fixture.now, start.run, StartAnswer::Accepted);
    }
    std::vector<FinishedRun> ended;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        REQUIRE(fixture.server.starts.size() == 4);
        ended.push_back(FinishedRun{n, fixture.server.starts.at(n - 1).run, RunEnd::Done});
        std::vector<ListedRun> running;
        for (std::size_t i = n; i < 4; ++i) {
            running.push_back(ListedRun{fixture.server.starts.at(i).run});
        }
        fixture.answerPoll(1, std::move(running), ended);
    }
    REQUIRE(fixture.server.starts.size() == 5);
    REQUIRE(fixture.server.starts.back().run.task.job == *JobId::parse("00000000000000c3"));
}

TEST_CASE("Entries learn of a changed capacity at once")
{
    // Load pattern: jobs arrive several times within a heartbeat, so that an entry would place them on capacity that is gone.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    const Resources shrunk{4000, 500, 0};
    fixture.announce(shrunk);
    REQUIRE(fixture.lastReport().load.capacity == shrunk);
    StartOrder order = fixture.makeOrder("00000000000000c4", milliseconds(100), milliseconds(90), 2);
    fixture.receiveFromEntry(std::move(order));
    REQUIRE(fixture.agent.ledger().waiting() == 1);
    const Resources grown{12000, 1000, 0};
    fixture.announce(grown);
    REQUIRE(fixture.lastReport().load.capacity == grown);
    // The queued run has started on the capacity that was added.
    REQUIRE(fixture.lastReport().load.free.cpuMilli == 6000);
    // An announcement that says nothing new is not passed on.
    fixture.now += milliseconds(1);
    fixture.announce(grown);
    REQUIRE(fixture.lastReportAt() < fixture.now);
}

TEST_CASE("A report of another id that claims a far later start does not make the agent ignore its server for good")
{
    AgentFixture fixture;
    const ServerIncarnation real{"s", 1};
    fixture.announce(ServerIncarnation{"odd", FarFutureMs}, 1);
    fixture.answerPolls(real);
    for (std::uint64_t sequence = 2; sequence < 6; ++sequence) {
        fixture.tickFor(milliseconds(1500));
        fixture.announce(real, sequence);
        fixture.answerPolls(real);
    }
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.reportsAccepting());
    REQUIRE(fixture.server.polls.back().server == real);
}

TEST_CASE("A report with the server's id that claims a far later start does not make the agent ignore its server for good")
{
    AgentFixture fixture;
    const ServerIncarnation real{"s", 1};
    fixture.announce(ServerIncarnation{"s", FarFutureMs}, 1);
    fixture.answerPolls(real);
    fixture.announce(real, 2);
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.reportsAccepting());
    REQUIRE(fixture.server.polls.back().server == real);
}

TEST_CASE("A report of another server does not end the lease of the runs at the server that still answers")
{
    for (const ServerIncarnation &odd :
         {ServerIncarnation{"odd", FarFutureMs}, ServerIncarnation{"odd", 0}, ServerIncarnation{"s", FarFutureMs}}) {
        AgentFixture fixture;
        const ServerIncarnation real{"s", 1};
        fixture.tickFor(milliseconds(300));
        fixture.receiveFromEntry(fixture.makeOrder("00000000000000aa", milliseconds(100), milliseconds(90), 1));
        REQUIRE(fixture.server.starts.size() == 1);
        const RunRef run = fixture.server.starts.at(0).run;
        const FencingToken token = fixture.server.starts.at(0).token;
        fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Accepted);
        fixture.answerPolls(real, {run});
        fixture.announce(odd, 1);
        for (int i = 0; i < 3; ++i) {
            fixture.answerPolls(real, {run});
            const PollRequest &poll = fixture.server.polls.back();
            INFO(odd.id << " " << odd.startTimeMs);
            REQUIRE(poll.server == real);
            REQUIRE(poll.leaseUntil);
            REQUIRE(poll.token == token);
        }
        REQUIRE(fixture.reportsAccepting());
    }
}

TEST_CASE("A first report of another id does not make the agent ignore the server that answers")
{
    AgentFixture fixture;
    const ServerIncarnation real{"r", 7};
    fixture.agent.onServerLeft(fixture.now, "s");
    fixture.announce(ServerIncarnation{"odd", FarFutureMs}, 1);
    fixture.answerPolls(real);
    fixture.announce(real, 1);
    fixture.answerPolls(real);
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.server.polls.back().server == real);
}

TEST_CASE("A server that restarted under another id is followed once it rejects a poll for the former one")
{
    AgentFixture fixture;
    const ServerIncarnation restarted{"t", 2};
    fixture.announce(restarted, 1);
    fixture.answerPolls(restarted);
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.server.polls.back().server == restarted);
    // A report of the former life that was delayed changes nothing.
    fixture.announce(ServerIncarnation{"s", 1}, 2);
    fixture.answerPolls(restarted);
    REQUIRE(fixture.server.polls.back().server == restarted);
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.reportsAccepting());
}

TEST_CASE("One report with a huge sequence number does not make the agent ignore all later ones")
{
    AgentFixture fixture;
    const ServerIncarnation real{"s", 1};
    fixture.announce(real, UINT64_MAX, true);
    for (std::uint64_t sequence = 2; sequence < 6; ++sequence) {
        fixture.tickFor(milliseconds(1500));
        fixture.announce(real, sequence);
        fixture.answerPolls(real);
    }
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.reportsAccepting());
}

TEST_CASE("Delayed reports do not undo a newer one, even if the server has been silent since")
{
    AgentFixture fixture;
    const ServerIncarnation real{"s", 1};
    fixture.announce(real, 9, true);
    fixture.announce(real, 8);
    fixture.tickFor(seconds(4));
    fixture.answerPolls(real);
    fixture.announce(real, 8);
    fixture.announce(real, 7);
    fixture.tickFor(milliseconds(300));
    REQUIRE_FALSE(fixture.reportsAccepting());
}

TEST_CASE("A server that rejects every fencing token is not polled at full speed, and the token does not overflow")
{
    AgentFixture fixture;
    fixture.agent.onServerLeft(fixture.now, "s");
    fixture.announce(ServerIncarnation{"s", 2}, 1);
    for (int i = 0; i < 1000 && fixture.server.lastPollNumber != fixture.lastAnsweredPoll; ++i) {
        fixture.lastAnsweredPoll = fixture.server.lastPollNumber;
        fixture.agent.onPollAnswered(fixture.now, fixture.lastAnsweredPoll, std::nullopt, PollFailure::StaleToken);
        REQUIRE(fixture.server.polls.back().token > FencingToken(0));
    }
    REQUIRE(fixture.server.polls.size() < 100);
    // The server has restarted and has seen no token.
    fixture.tickFor(seconds(1));
    fixture.answerPolls(ServerIncarnation{"s", 2});
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.reportsAccepting());
}

TEST_CASE("The crash of a server is reported with the tasks that had just been started there")
{
    AgentFixture fixture;
    const ServerIncarnation real{"s", 1};
    fixture.tickFor(milliseconds(300));
    const auto start = [&fixture](const char *job) {
        StartOrder order = fixture.makeOrder(job, milliseconds(100), milliseconds(90), 1);
        order.queue = queueKey("q");
        fixture.receiveFromEntry(std::move(order));
        return fixture.server.starts.back().run;
    };
    const RunRef listed = start("00000000000000d0");
    fixture.agent.onStartAnswered(fixture.now, listed, StartAnswer::Accepted);
    fixture.answerPolls(real, {listed});
    fixture.now += milliseconds(60); // Longer than a server survives the start of a deadly task.
    const RunRef suspect = start("00000000000000d1");
    fixture.agent.onStartAnswered(fixture.now, suspect, StartAnswer::Unknown);
    SECTION("when its connections are refused")
    {
        fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Refused);
    }
    SECTION("when it restarts after it has been silent for longer than the lease")
    {
        fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Unknown);
        fixture.tickFor(milliseconds(1500));
        REQUIRE(fixture.agent.ledger().records().empty());
        REQUIRE(fixture.lastReport().crashes.empty());
        fixture.lastAnsweredPoll = 0;
        fixture.announce(ServerIncarnation{"s", 2}, 1);
        fixture.answerPolls(ServerIncarnation{"s", 2});
    }
    const std::vector<ServerCrash> crashes = fixture.lastReport().crashes;
    REQUIRE(crashes.size() == 1);
    REQUIRE(crashes[0].suspects == std::vector<dispatch::TaskRef>{suspect.task});
    REQUIRE(crashes[0].unanswered.empty());
    REQUIRE(crashes[0].bystanders == std::vector<dispatch::TaskRef>{listed.task});
    REQUIRE(crashes[0].suspectQueues == std::vector<QueueKey>{queueKey("q")});
    REQUIRE(fixture.agent.counters().serverCrashes == 1);
}

TEST_CASE("A start without an answer does not count as begun if a run that was listed just before may have crashed the server")
{
    // Scenario: a task crashes its server some milliseconds after it was listed, just as the start request of another task is on
    // its way. That task may never have begun.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000d4", milliseconds(100), milliseconds(90), 1));
    const RunRef listed = fixture.server.starts.back().run;
    fixture.agent.onStartAnswered(fixture.now, listed, StartAnswer::Accepted);
    fixture.answerPolls(ServerIncarnation{"s", 1}, {listed});
    const bool listedLongBefore = GENERATE(false, true);
    fixture.now += listedLongBefore ? milliseconds(60) : milliseconds(5);
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000d5", milliseconds(100), milliseconds(90), 1));
    const RunRef unanswered = fixture.server.starts.back().run;
    fixture.agent.onStartAnswered(fixture.now, unanswered, StartAnswer::Unknown);
    fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Refused);
    const std::vector<ServerCrash> crashes = fixture.lastReport().crashes;
    REQUIRE(crashes.size() == 1);
    const std::vector<dispatch::TaskRef> first{listed.task};
    const std::vector<dispatch::TaskRef> second{unanswered.task};
    const std::vector<dispatch::TaskRef> none;
    CHECK(crashes[0].suspects == (listedLongBefore ? second : first));
    CHECK(crashes[0].unanswered == (listedLongBefore ? none : second));
    CHECK(crashes[0].bystanders == (listedLongBefore ? first : none));
    // The task has crashed another server before, as a suspect.
    CrashHistory history;
    history.record(fixture.now, ProcessId{Endpoint{3, 7000}, Incarnation(1)}, ServerCrash{1, second, {}, {}, {}});
    history.record(fixture.now, ProcessId{Endpoint{2, 7000}, Incarnation(9)}, crashes[0]);
    CHECK(history.exceedsLimit(unanswered.task.job) == listedLongBefore);
    CHECK_FALSE(history.exceedsLimit(listed.task.job));
}

TEST_CASE("The crash of an idle server under its first start is reported before the server has restarted")
{
    // Load pattern: a task that has crashed a server is tried again on an idle one, and the next trial needs this crash.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000d6", milliseconds(100), milliseconds(90), 1));
    const RunRef run = fixture.server.starts.at(0).run;
    const std::uint64_t pollsBefore = fixture.server.polls.size();
    fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Unknown);
    fixture.tickFor(milliseconds(15));
    REQUIRE(fixture.server.polls.size() == pollsBefore + 1);
    fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Refused);
    REQUIRE(fixture.lastReport().crashes.size() == 1);
    REQUIRE(fixture.lastReport().crashes[0].suspects == std::vector<dispatch::TaskRef>{run.task});
}

TEST_CASE("One crash of a server is reported once, although its runs are settled only after its restart")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000d2", milliseconds(100), milliseconds(90), 1));
    fixture.agent.onStartAnswered(fixture.now, fixture.server.starts.at(0).run, StartAnswer::Accepted);
    // The first poll that the new incarnation answers shows the restart; then connections are refused again.
    fixture.answerPoll(2);
    fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Refused);
    REQUIRE(fixture.agent.counters().serverCrashes == 1);
}

TEST_CASE("A draining server that ends is not taken for one that has crashed")
{
    // Scenario: its deregistration is lost while a long task still runs there.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000d3", seconds(5), milliseconds(90), 1));
    fixture.agent.onStartAnswered(fixture.now, fixture.server.starts.at(0).run, StartAnswer::Accepted);
    fixture.announce(ServerIncarnation{"s", 1}, 9, true);
    fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Refused);
    REQUIRE(fixture.agent.counters().serverCrashes == 0);
}

TEST_CASE("If the suspects of a crash exceed the size of a report, those started last are in it")
{
    AgentFixture fixture;
    fixture.announce(Resources{1000000, 100000, 0});
    fixture.tickFor(milliseconds(300));
    for (int i = 0; i < 90; ++i) {
        fixture.now += milliseconds(1);
        char job[17];
        std::snprintf(job, sizeof(job), "%016x", 0xe000 + i);
        fixture.receiveFromEntry(fixture.makeOrder(job, milliseconds(500), milliseconds(90), 1));
        fixture.agent.onStartAnswered(fixture.now, fixture.server.starts.back().run, StartAnswer::Accepted);
    }
    const dispatch::TaskRef last = fixture.server.starts.back().run.task;
    REQUIRE(fixture.agent.ledger().booked() == 90);
    fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Refused);
    REQUIRE(fixture.lastReport().crashes.at(0).suspects.front() == last);
}

TEST_CASE("The runs of an entry that falls silent twice are stopped each time, even if the agent was paused between")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(EntryReport());
    fixture.tickFor(seconds(1));
    REQUIRE(fixture.agent.counters().coordinatorsSilent == 1);
    // The order has been on its way for at most 100 ms.
    fixture.messageAge = milliseconds(100);
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000f1", milliseconds(900), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 1);
    fixture.agent.onStartAnswered(fixture.now, fixture.server.starts[0].run, StartAnswer::Accepted);
    // This process is paused for less than the lease of the run, and the entry has ended meanwhile.
    fixture.now += milliseconds(650);
    fixture.agent.onTick(fixture.now);
    REQUIRE(fixture.agent.counters().coordinatorsSilent == 2);
    REQUIRE(fixture.server.stops.size() == 1);
}

TEST_CASE("The lease does not outlast the runs of a silent coordinator, although polls are answered and stops are not")
{
    AgentFixture fixture;
    const ServerTime latest = fixture.startRunOfEntryThatFails();
    const std::size_t before = fixture.server.polls.size();
    const dispatch::RunRef run = fixture.server.starts[0].run;
    for (int i = 0; i < 100; ++i) {
        fixture.tickFor(milliseconds(15));
        fixture.answerPoll(1, {ListedRun{run}});
    }
    REQUIRE(fixture.server.stops.size() > 1);
    REQUIRE(fixture.server.polls.size() > before);
    REQUIRE(fixture.latestLease() > ServerTime(latest.value() - 300));
    REQUIRE(fixture.latestLease() <= latest);
}

TEST_CASE("The lease does not outlast the runs of a coordinator that has restarted")
{
    AgentFixture fixture;
    const ServerTime latest = fixture.startRunOfEntryThatFails();
    const dispatch::RunRef run = fixture.server.starts[0].run;
    fixture.entryIncarnation = Incarnation(4);
    for (int i = 0; i < 100; ++i) {
        fixture.receiveFromEntry(EntryReport());
        fixture.tickFor(milliseconds(15));
        fixture.answerPoll(1, {ListedRun{run}});
    }
    REQUIRE(fixture.server.stops.size() > 1);
    REQUIRE(fixture.latestLease() <= latest);
}

TEST_CASE("The lease does not outlast the runs of a coordinator that is heard again after they were to be stopped")
{
    AgentFixture fixture;
    const ServerTime latest = fixture.startRunOfEntryThatFails();
    const dispatch::RunRef run = fixture.server.starts[0].run;
    for (int i = 0; i < 100; ++i) {
        if (i > 55) {
            fixture.receiveFromEntry(EntryReport());
        }
        fixture.tickFor(milliseconds(15));
        fixture.answerPoll(1, {ListedRun{run}});
    }
    REQUIRE(fixture.server.stops.size() > 1);
    REQUIRE(fixture.latestLease() <= latest);
}

TEST_CASE("The lease does not outlast the runs of a job that its coordinator can't have confirmed")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    StartOrder order = fixture.makeOrder("00000000000000f2", milliseconds(900), milliseconds(90), 1);
    order.requestedAt = fixture.now;
    order.admittedAt = fixture.now;
    fixture.receiveFromEntry(std::move(order));
    const ServerTime latest(fixture.serverClock().value() + 1200);
    const dispatch::RunRef run = fixture.server.starts.at(0).run;
    fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Accepted);
    for (int i = 0; i < 100; ++i) {
        fixture.receiveFromEntry(EntryReport());
        fixture.tickFor(milliseconds(15));
        fixture.answerPoll(1, {ListedRun{run}});
    }
    REQUIRE(fixture.agent.counters().runsUnconfirmed == 1);
    REQUIRE(fixture.latestLease() > ServerTime(latest.value() - 300));
    REQUIRE(fixture.latestLease() <= latest);
}

TEST_CASE("The loss of a coordinator does not extend the time that the runs of its unconfirmed jobs have left")
{
    const bool restarts = GENERATE(false, true);
    const int heardFor = GENERATE(10, 30, 60);
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    StartOrder order = fixture.makeOrder("00000000000000f2", milliseconds(900), milliseconds(90), 1);
    order.requestedAt = fixture.now;
    order.admittedAt = fixture.now;
    fixture.receiveFromEntry(std::move(order));
    const ServerTime latest(fixture.serverClock().value() + 1200);
    const dispatch::RunRef run = fixture.server.starts.at(0).run;
    fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Accepted);
    for (int i = 0; i < 150; ++i) {
        if (i > heardFor && restarts) {
            fixture.entryIncarnation = Incarnation(4);
        }
        if (i <= heardFor || restarts) {
            fixture.receiveFromEntry(EntryReport());
        }
        fixture.tickFor(milliseconds(15));
        fixture.answerPoll(1, {ListedRun{run}});
    }
    REQUIRE(fixture.latestLease() <= latest);
}

TEST_CASE("A start request does not extend the lease of runs whose coordinator has failed")
{
    AgentFixture fixture;
    const ServerTime latest = fixture.startRunOfEntryThatFails();
    const dispatch::RunRef run = fixture.server.starts[0].run;
    std::size_t answered = 1;
    // The server ends the run with its lease.
    for (int i = 0; i < 100 && fixture.serverClock() <= fixture.latestLease(); ++i) {
        fixture.tickFor(milliseconds(15));
        fixture.sender = Endpoint{3, 7000};
        fixture.receiveFromEntry(EntryReport());
        fixture.receiveFromEntry(
            fixture.makeOrder(("00000000000000" + std::to_string(10 + i % 90)).c_str(), milliseconds(50), milliseconds(90), 1));
        fixture.answerPoll(1, {ListedRun{run}});
        // The server refuses the runs, so that there are resources for the next one.
        for (; answered < fixture.server.starts.size(); ++answered) {
            fixture.agent.onStartAnswered(fixture.now, fixture.server.starts[answered].run, StartAnswer::NoRoom);
        }
    }
    REQUIRE(fixture.server.starts.size() > 40);
    REQUIRE(fixture.latestLease() <= latest);
}

TEST_CASE("A run is not started under a lease that may outlast its coordinator")
{
    // Scenario: runs of another entry keep the lease 0.7 s ahead while a run waits for resources, and its coordinator has been
    // silent for 0.6 s when these are free.
    AgentFixture fixture;
    const Endpoint silentEntry = fixture.sender;
    fixture.tickFor(milliseconds(300));
    fixture.sender = Endpoint{3, 7000};
    fixture.receiveFromEntry(EntryReport());
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000f3", milliseconds(900), milliseconds(90), 4));
    const std::vector<RunStart> started = fixture.server.starts;
    REQUIRE(started.size() == 4);
    std::vector<ListedRun> listed;
    for (const RunStart &start : started) {
        fixture.agent.onStartAnswered(fixture.now, start.run, StartAnswer::Accepted);
        listed.push_back(ListedRun{start.run});
    }
    fixture.sender = silentEntry;
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000f1", milliseconds(900), milliseconds(90), 1));
    REQUIRE(fixture.agent.ledger().waiting() == 1);
    const ServerTime latest(fixture.serverClock().value() + 1200);
    fixture.sender = Endpoint{3, 7000};
    for (int i = 0; i < 40; ++i) {
        fixture.receiveFromEntry(EntryReport());
        fixture.tickFor(milliseconds(15));
        fixture.answerPoll(1, listed);
    }
    REQUIRE(fixture.latestLease() > latest);
    const FinishedRun ended{1, listed.back().run, RunEnd::Done};
    listed.pop_back();
    fixture.answerPoll(1, listed, {ended});
    REQUIRE(fixture.server.starts.size() == started.size());
    REQUIRE(fixture.agent.ledger().waiting() == 0);
}

TEST_CASE("The stops of a lost coordinator's many runs do not wait for a timer")
{
    AgentFixture fixture;
    fixture.announce(Resources{300000, 10000, 0});
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000f1", milliseconds(900), milliseconds(90), 100));
    for (std::size_t i = 0; i < fixture.server.starts.size(); ++i) {
        const dispatch::RunRef run = fixture.server.starts[i].run;
        fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Accepted);
    }
    REQUIRE(fixture.server.starts.size() == 100);
    fixture.entryIncarnation = Incarnation(4);
    fixture.receiveFromEntry(EntryReport());
    // The HTTP client refuses more than 32 calls at a time.
    REQUIRE(fixture.server.stops.size() == 16);
    // A call that was not sent, as all connections are in use, lets no other one follow at once.
    fixture.agent.onStopAnswered(fixture.now, fixture.server.stops[0].run, false);
    REQUIRE(fixture.server.stops.size() == 16);
    for (std::size_t i = 1; i < fixture.server.stops.size(); ++i) {
        const dispatch::RunRef run = fixture.server.stops[i].run;
        fixture.agent.onStopAnswered(fixture.now, run, true);
    }
    REQUIRE(fixture.server.stops.size() == 100);
    // The one that was not sent is repeated.
    fixture.tickFor(milliseconds(45));
    REQUIRE(fixture.server.stops.size() > 100);
}

TEST_CASE("The deregistration of a server ends its runs only once the server does not respond any more")
{
    // Scenario: a server that leaves restarts under its id, and its deregistration arrives after the new incarnation has begun
    // runs.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000d4", milliseconds(400), milliseconds(90), 1));
    const dispatch::RunRef run = fixture.server.starts.at(0).run;
    fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Accepted);
    fixture.agent.onServerLeft(fixture.now, "s");
    REQUIRE(fixture.agent.ledger().booked() == 1);
    REQUIRE_FALSE(fixture.lastReport().load.accepting);
    SECTION("it runs")
    {
        for (int i = 0; i < 40; ++i) {
            fixture.tickFor(milliseconds(30));
            fixture.answerPoll(1, {ListedRun{run}});
        }
        REQUIRE(fixture.agent.ledger().booked() == 1);
        fixture.announce(Resources{12000, 1000, 0});
        REQUIRE(fixture.reportsAccepting());
    }
    SECTION("its process has ended")
    {
        fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::Refused);
        REQUIRE(fixture.agent.ledger().booked() == 0);
        REQUIRE(fixture.lastReport().events.back().end == RunEnd::Lost);
        REQUIRE(fixture.agent.counters().serverCrashes == 0);
    }
    SECTION("nothing is heard of it")
    {
        fixture.tickFor(seconds(1));
        REQUIRE(fixture.agent.ledger().booked() == 0);
    }
}

TEST_CASE("Another run of a task that is recorded here is stopped, and nothing starts beside it")
{
    // Scenario: run 1 of a task counts as lost or never started, and its server, which executes requests late, begins it after
    // run 2 has been queued here.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000e1", milliseconds(400), milliseconds(90), 4));
    StartOrder order = fixture.makeOrder("00000000000000e2", milliseconds(100), milliseconds(90), 1);
    order.runs[0].run = RunNumber(2);
    fixture.receiveFromEntry(std::move(order));
    const std::vector<RunStart> started = fixture.server.starts;
    REQUIRE(started.size() == 4);
    REQUIRE(fixture.agent.ledger().waiting() == 1);
    std::vector<ListedRun> listed;
    std::vector<FinishedRun> ended;
    for (const RunStart &start : started) {
        fixture.agent.onStartAnswered(fixture.now, start.run, StartAnswer::Accepted);
        ended.push_back(FinishedRun{ended.size() + 1, start.run, RunEnd::Done});
    }
    const dispatch::RunRef former{dispatch::TaskRef{*JobId::parse("00000000000000e2"), 0, 0, 0}, RunNumber(1)};
    listed.push_back(ListedRun{former});
    fixture.answerPoll(1, listed, ended);
    REQUIRE(fixture.server.stops.size() == 1);
    REQUIRE(fixture.server.stops[0].run == former);
    fixture.tickFor(milliseconds(30));
    REQUIRE(fixture.server.starts.size() == 4);
    fixture.answerPoll(1);
    REQUIRE(fixture.server.starts.size() == 5);
    REQUIRE(fixture.server.starts[4].run.run == RunNumber(2));
}

TEST_CASE("A run may begin until the latest deadline of its start requests")
{
    // Scenario: the response to a poll is read late, so that the estimate of the server's clock falls back. The deadline of the
    // repeated start request is earlier than that of the first one, which the server may still execute.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000d1", milliseconds(100), milliseconds(90), 1));
    const std::uint64_t startedPoll = fixture.server.lastPollNumber;
    fixture.tickFor(milliseconds(45));
    REQUIRE(fixture.server.lastPollNumber > startedPoll);
    Inventory read;
    read.startTimeMs = 1;
    read.clock = ServerTime(fixture.serverClock().value() - 150);
    fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, read, PollFailure::None);
    fixture.tickFor(milliseconds(90));
    const std::vector<RunStart> starts = fixture.server.starts;
    REQUIRE(starts.size() > 1);
    const RunStart &earliest = *std::min_element(starts.begin(), starts.end(),
                                                 [](const RunStart &a, const RunStart &b) { return a.notAfter < b.notAfter; });
    const RunStart &latest = *std::max_element(starts.begin(), starts.end(),
                                               [](const RunStart &a, const RunStart &b) { return a.notAfter < b.notAfter; });
    REQUIRE(starts.back().notAfter < latest.notAfter);
    for (std::size_t i = 0; i < starts.size(); ++i) {
        fixture.agent.onStartAnswered(fixture.now, starts[0].run, StartAnswer::Unknown);
    }
    // A poll after the deadline of the last request and before that of another one does not show that the run can't begin.
    const auto answerAt = [&fixture](ServerTime clock) {
        Inventory inventory;
        inventory.startTimeMs = 1;
        inventory.clock = clock;
        fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, inventory, PollFailure::None);
    };
    answerAt(ServerTime(latest.notAfter.value() - 1));
    REQUIRE(fixture.agent.ledger().booked() == 1);
    answerAt(ServerTime(latest.notAfter.value() + 1));
    REQUIRE(fixture.agent.ledger().booked() == 0);
    REQUIRE(earliest.notAfter < latest.notAfter);
}

TEST_CASE("A repeated order does not start a run that was refused, however many others the agent has refused since")
{
    // Load pattern: jobs of 2,000 tasks come faster than the agent can queue them. The entry repeats an order after 0.1 s or more
    // if it has not heard the refusal, which is in one of many reports; it then goes on with another run of the task.
    const std::uint32_t refusedSince = GENERATE(0U, 2000U, 6000U);
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    StartOrder order = fixture.makeOrder("00000000000000e1", milliseconds(400), milliseconds(90), 1);
    order.need = Resources{14000, 10, 0};
    StartOrder repeated = order;
    fixture.receiveFromEntry(std::move(order));
    for (std::uint32_t refused = 0; refused < refusedSince; refused += 1000) {
        StartOrder others = fixture.makeOrder("00000000000000e2", milliseconds(400), milliseconds(90), 0);
        others.need = Resources{14000, 10, 0};
        for (std::uint32_t i = 0; i < 1000; ++i) {
            others.runs.push_back(OrderedRun{i, RunNumber(refused / 1000 + 1)});
        }
        fixture.receiveFromEntry(std::move(others));
    }
    fixture.tickFor(milliseconds(150));
    fixture.announce(Resources{24000, 1000, 0}); // Now there would be room.
    fixture.receiveFromEntry(std::move(repeated));
    fixture.tickFor(milliseconds(15));
    INFO("refused since: " << refusedSince);
    CHECK(fixture.server.starts.empty());
}

TEST_CASE("A restart of an idle server as another kind is noticed before a run is started there")
{
    // Scenario: a server restarts at its address with other labels. A run that needs a label of the former incarnation arrives
    // before the first announcement of the new one.
    AgentFixture fixture;
    fixture.answersConfirmation = false;
    fixture.tickFor(milliseconds(300));
    const std::size_t pollsBefore = fixture.server.polls.size();
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000101", milliseconds(100), milliseconds(90), 2));
    REQUIRE(fixture.server.starts.empty());
    REQUIRE(fixture.server.polls.size() == pollsBefore + 1);
    REQUIRE(fixture.server.polls.back().maxWait == Duration(0));
    SECTION("under its id")
    {
        fixture.answerPoll(2);
    }
    SECTION("under another id")
    {
        fixture.agent.onPollAnswered(fixture.now, fixture.server.lastPollNumber, std::nullopt, PollFailure::IncarnationMismatch);
    }
    // The entry can place the runs elsewhere at once.
    REQUIRE(fixture.agent.ledger().records().empty());
    const std::vector<RunEvent> events = fixture.lastReport().events;
    REQUIRE(std::count_if(
                events.begin(), events.end(),
                [](const RunEvent &event) { return event.kind == RunEvent::Kind::Ended && event.end == RunEnd::NeverStarted; })
            == 2);
    REQUIRE_FALSE(fixture.reportsAccepting());
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000102", milliseconds(100), milliseconds(90), 1));
    fixture.tickFor(milliseconds(60));
    REQUIRE(fixture.server.starts.empty());
}

TEST_CASE("An idle server is polled again before each first start, however short the idle time was")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000103", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 1);
    const RunRef run = fixture.server.starts[0].run;
    fixture.answersConfirmation = false;
    SECTION("after a run has ended")
    {
        fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Accepted);
        fixture.answerPoll(1, {}, {FinishedRun{1, run, RunEnd::Done}});
        fixture.answerPoll(1);
    }
    SECTION("after a run was refused")
    {
        fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::NoRoom);
    }
    fixture.now += milliseconds(1);
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000104", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 1);
    fixture.answerPoll(1);
    REQUIRE(fixture.server.starts.size() == 2);
}

TEST_CASE("No start request is sent or repeated on a response of the server that is too old")
{
    // Scenario: this process is paused. Meanwhile the server may have restarted, and the end of the connection is read last.
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000105", milliseconds(400), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 1);
    const bool answered = GENERATE(true, false);
    if (answered) {
        fixture.agent.onStartAnswered(fixture.now, fixture.server.starts[0].run, StartAnswer::Accepted);
    }
    fixture.now += milliseconds(210);
    fixture.answersConfirmation = false;
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000106", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 1);
    if (!answered) {
        fixture.agent.onTick(fixture.now);
        REQUIRE(fixture.server.starts.size() == 1);
    } else {
        // The response to the poll from before the pause is as old.
        fixture.answerPoll(1, {ListedRun{fixture.server.starts[0].run}});
        REQUIRE(fixture.server.polls.back().maxWait == Duration(0));
        fixture.answerPoll(1, {ListedRun{fixture.server.starts[0].run}});
        REQUIRE(fixture.server.starts.size() == 2);
    }
}

TEST_CASE("Runs that were placed by the labels of a former incarnation do not start on the next one")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000107", milliseconds(400), milliseconds(90), 5));
    REQUIRE(fixture.server.starts.size() == 4);
    const TimePoint lastReportAt = fixture.lastReportAt();
    fixture.now += milliseconds(10);
    ServerAnnouncement announcement = fixture.makeAnnouncement(Resources{12000, 1000, 0}, 2);
    announcement.labels = {"other"};
    fixture.agent.onAnnouncement(fixture.now, announcement);
    fixture.answerPoll(2);
    fixture.answerPoll(2);
    fixture.answerPoll(2);
    fixture.tickFor(milliseconds(15));
    REQUIRE(fixture.reportsAccepting());
    REQUIRE(fixture.agent.ledger().waiting() == 0);
    REQUIRE(fixture.server.starts.size() == 4);
    // This order was sent before the entry could know of the restart.
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000108", milliseconds(100), milliseconds(90), 1), 0, lastReportAt);
    fixture.answerPoll(2);
    REQUIRE(fixture.server.starts.size() == 4);
    REQUIRE(fixture.lastReport().events.back().reason == RefusalReason::TooOld);
    fixture.receiveFromEntry(fixture.makeOrder("0000000000000109", milliseconds(100), milliseconds(90), 1));
    REQUIRE(fixture.server.starts.size() == 5);
}

TEST_CASE("An idle server that does not answer gets no start request, and its runs are handed back within 100 ms")
{
    AgentFixture fixture;
    fixture.answersConfirmation = false;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("000000000000010a", milliseconds(100), milliseconds(90), 1));
    fixture.tickFor(milliseconds(100));
    REQUIRE(fixture.server.starts.empty());
    REQUIRE(fixture.agent.ledger().records().empty());
    REQUIRE(fixture.lastReport().events.back().reason == RefusalReason::Unreachable);
    REQUIRE_FALSE(fixture.reportsAccepting());
    // A late response shows that it is there.
    fixture.answerPoll(1);
    fixture.tickFor(milliseconds(300));
    REQUIRE(fixture.reportsAccepting());
}

TEST_CASE("Reports name the jobs whose runs do not belong to a coordinator that they name")
{
    AgentFixture fixture;
    fixture.startRunOfEntryThatFails();
    const JobKey job = JobId::parse("00000000000000f1")->key();
    /// The next report that names entries. The server answers polls.
    bool ended = false;
    const auto nextReport = [&]() {
        do {
            fixture.tickFor(milliseconds(15));
            if (!ended) {
                fixture.answerPoll(1, {ListedRun{fixture.server.starts.at(0).run}});
            }
        } while (fixture.lastReportAt() != fixture.now || !fixture.lastReport().liveEntries);
        return fixture.lastReport();
    };
    REQUIRE(nextReport().examined);
    REQUIRE(fixture.lastReport().formerJobs.empty());
    const bool restarts = GENERATE(true, false);
    if (restarts) {
        fixture.entryIncarnation = Incarnation(4);
        fixture.receiveFromEntry(EntryReport());
        // A new incarnation gets a report at once.
        REQUIRE(fixture.lastReportAt() == fixture.now);
        REQUIRE(fixture.lastReport().liveEntries == std::vector<LiveEntry>{LiveEntry{fixture.sender, Incarnation(4)}});
    } else {
        while (!nextReport().liveEntries->empty()) { }
    }
    REQUIRE(fixture.lastReport().formerJobs == std::vector<JobKey>{job});
    fixture.answerPoll(
        1, {},
        {FinishedRun{1, dispatch::RunRef{dispatch::TaskRef{*JobId::parse("00000000000000f1"), 0, 0, 0}, RunNumber(1)},
                     RunEnd::Stopped}});
    ended = true;
    REQUIRE(nextReport().formerJobs.empty());
}

TEST_CASE("An agent that has just started claims to know the runs of its server only once it has listed them")
{
    RecordingServer server;
    RecordingLinks links;
    DiscardingLog log;
    AgentFixture other;
    AgentDispatch agent(AgentFixture::settings(), server, links, log, other.now);
    TimePoint now = other.now;
    const auto report = [&]() {
        now += milliseconds(210);
        agent.onTick(now);
        return std::get<AgentReport>(links.lastEnvelopes.at(other.sender).message);
    };
    REQUIRE_FALSE(report().examined);
    agent.onAnnouncement(now, other.makeAnnouncement(Resources{12000, 1000, 0}));
    REQUIRE_FALSE(report().examined);
    Inventory inventory;
    inventory.startTimeMs = 1;
    inventory.clock = other.serverClock();
    const dispatch::RunRef run{dispatch::TaskRef{*JobId::parse("00000000000000f1"), 0, 0, 0}, RunNumber(1)};
    inventory.running = {ListedRun{run}};
    SECTION("An incomplete list does not show all runs")
    {
        inventory.complete = false;
        agent.onPollAnswered(now, server.lastPollNumber, inventory, PollFailure::None);
        REQUIRE_FALSE(report().examined);
    }
    SECTION("Runs of a former agent are former jobs, and too many of them are not listed")
    {
        const bool tooMany = GENERATE(false, true);
        for (std::uint32_t i = 0; tooMany && i < 512; ++i) {
            dispatch::RunRef another = run;
            const std::string digits = "0123456789abcdef";
            std::string id = "0000000000000000";
            id[13] = digits[i / 256];
            id[14] = digits[i / 16 % 16];
            id[15] = digits[i % 16];
            another.task.job = *JobId::parse("1" + id.substr(1));
            inventory.running.push_back(ListedRun{another});
        }
        agent.onPollAnswered(now, server.lastPollNumber, inventory, PollFailure::None);
        REQUIRE(report().examined == !tooMany);
        REQUIRE(report().formerJobs.size() == (tooMany ? 0 : 1));
    }
}

TEST_CASE("An agent whose server has gone shows after its start that there are no runs")
{
    // Guards against a fleet that waits after a restart for agents whose servers have left: these never announce themselves.
    RecordingServer server;
    RecordingLinks links;
    DiscardingLog log;
    AgentFixture other;
    TimePoint now = other.now;
    AgentDispatch agent(AgentFixture::settings(), server, links, log, now);
    now += milliseconds(15);
    agent.onTick(now);
    const std::uint64_t poll = server.lastPollNumber;
    REQUIRE(poll > 0);
    const PollFailure failure = GENERATE(PollFailure::Refused, PollFailure::Unknown, PollFailure::NotSent);
    agent.onPollAnswered(now, poll, std::nullopt, failure);
    now += milliseconds(510);
    agent.onTick(now);
    REQUIRE(std::get<AgentReport>(links.lastEnvelopes.at(other.sender).message).examined == (failure == PollFailure::Refused));
    // Without an answer it asks again.
    REQUIRE((server.lastPollNumber > poll) == (failure != PollFailure::Refused));
    agent.onAnnouncement(now, other.makeAnnouncement(Resources{12000, 1000, 0}));
    now += milliseconds(210);
    agent.onTick(now);
    REQUIRE_FALSE(std::get<AgentReport>(links.lastEnvelopes.at(other.sender).message).examined);
}

TEST_CASE("An agent refuses orders for jobs that were requested long before it heard their coordinator")
{
    // Guards against a second run: an entry may have relied on a report that did not name the coordinator, and the job's client
    // has submitted it there.
    const Duration jobAge = GENERATE(Duration(milliseconds(650)), Duration(milliseconds(750)));
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    const bool heardBefore = GENERATE(false, true);
    if (heardBefore) {
        fixture.receiveFromEntry(EntryReport());
        fixture.tickFor(milliseconds(720));
    }
    StartOrder order = fixture.makeOrder("00000000000000f2", milliseconds(900), milliseconds(90), 1);
    order.requestedAt = fixture.now - jobAge;
    order.admittedAt = fixture.now;
    fixture.receiveFromEntry(order);
    REQUIRE(fixture.server.starts.size() == (jobAge > milliseconds(700) ? 0 : 1));
}

TEST_CASE("An agent that has just started reports every 200 ms to the entries that it has not heard")
{
    RecordingServer server;
    RecordingLinks links;
    DiscardingLog log;
    AgentSettings settings = AgentFixture::settings();
    settings.entries.clear();
    for (std::uint32_t i = 1; i <= 20; ++i) {
        settings.entries.push_back(Endpoint{100 + i, 7000});
    }
    TimePoint now{seconds(100)};
    AgentDispatch agent(settings, server, links, log, now);
    const auto reported = [&](Duration within) {
        return std::count_if(
            links.lastEnvelopes.begin(), links.lastEnvelopes.end(),
            [&](const std::pair<const Endpoint, dispatch::Envelope> &item) { return now - item.second.sentAt < within; });
    };
    const auto tickFor = [&](Duration length) {
        for (const TimePoint end = now + length; now < end;) {
            now += milliseconds(15);
            agent.onTick(now);
        }
    };
    tickFor(milliseconds(1500));
    REQUIRE(reported(milliseconds(215)) == 16);
    tickFor(milliseconds(2000));
    REQUIRE(reported(milliseconds(1015)) == 20);
}

TEST_CASE("A task that waits near its data is handed back at the limit of its order, and one without a limit waits on")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    fixture.receiveFromEntry(fixture.makeOrder("00000000000000c1", milliseconds(500), milliseconds(900), 4));
    REQUIRE(fixture.server.starts.size() == 4);
    const bool limited = GENERATE(true, false);
    fixture.messageAge = milliseconds(20);
    StartOrder order = fixture.makeOrder("00000000000000c2", milliseconds(100), milliseconds(900), 1);
    order.waitWithin = limited ? milliseconds(65) : Duration(0);
    fixture.receiveFromEntry(order);
    REQUIRE(fixture.agent.ledger().waiting() == 1);
    // The limit counts from the sending of the order.
    fixture.tickFor(milliseconds(45));
    REQUIRE(fixture.agent.ledger().waiting() == 1);
    fixture.tickFor(milliseconds(15));
    REQUIRE(fixture.agent.ledger().waiting() == (limited ? 0 : 1));
    if (limited) {
        const RunEvent event = fixture.lastReport().events.back();
        REQUIRE(event.run.task.job == order.job);
        REQUIRE(event.end == RunEnd::NeverStarted);
        REQUIRE(event.reason == RefusalReason::WaitExpired);
    }
}

TEST_CASE("An agent reports the run times of all runs relative to those on an ordinary server")
{
    AgentFixture fixture;
    fixture.tickFor(milliseconds(300));
    std::uint64_t ended = 0;
    for (int job = 0; job < 30; ++job) {
        const std::string id = std::to_string(1'000'000'000'000'000ULL + static_cast<std::uint64_t>(job));
        StartOrder order = fixture.makeOrder(id.c_str(), milliseconds(60), milliseconds(90), 1);
        order.baseline = milliseconds(50);
        fixture.receiveFromEntry(std::move(order));
        const dispatch::RunRef run = fixture.server.starts.back().run;
        fixture.agent.onStartAnswered(fixture.now, run, StartAnswer::Accepted);
        fixture.tickFor(milliseconds(75));
        fixture.receiveFromEntry(EntryReport());
        fixture.answerPoll(1, {}, {FinishedRun{++ended, run, RunEnd::Done}});
        fixture.answerPoll(1);
        fixture.announce(Resources{12000, 1000, 0});
    }
    fixture.tickFor(milliseconds(300));
    CHECK(fixture.lastReport().load.slowness == Approx(1.5).epsilon(0.06));
    CHECK(fixture.lastReport().load.slownessWeight > 20);
}
