#include "core/dispatch/entry_dispatch.h"
#include "core/dispatch/format.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const ProcessId Self{Endpoint{1, 7000}, Incarnation(5)};
const ProcessId OtherEntry{Endpoint{2, 7000}, Incarnation(6)};
const ProcessId Agent{Endpoint{9, 7000}, Incarnation(7)};
const JobId Job1 = *JobId::parse("00000000000000a1");

/// Records the messages to each peer.
class RecordingLinks : public LinkPort
{
public:
    void send(const Endpoint &to, const dispatch::Envelope &envelope) override
    {
        sent[to].push_back(envelope);
    }

    void replaceConnection(const Endpoint &) override { }
    void forgetConnection(const Endpoint &) override { }

    /// The messages of one type to a peer.
    template <typename T>
    std::vector<T> messagesTo(const Endpoint &to) const
    {
        std::vector<T> found;
        const std::map<Endpoint, std::vector<dispatch::Envelope>>::const_iterator it = sent.find(to);
        if (it != sent.end()) {
            for (const dispatch::Envelope &envelope : it->second) {
                if (const T *message = std::get_if<T>(&envelope.message)) {
                    found.push_back(*message);
                }
            }
        }
        return found;
    }

    std::map<Endpoint, std::vector<dispatch::Envelope>> sent;
};

class RecordingClients : public ClientPort
{
public:
    void answer(ClientTag client, JobOutcome answer, const char *, Duration) override
    {
        answers[client.value()] = answer;
    }

    std::map<std::uint64_t, JobOutcome> answers;
};

class DiscardingLog : public DecisionLog
{
public:
    void write(LogLevel, const char *, const std::string &) override { }
};

/// An entry with one other entry and one agent, whose messages the test writes.
struct EntryFixture
{
    EntryFixture()
        : entry(settings(), links, clients, log, now)
    {
        std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
        rule->name = "q";
        rule->service = "svc";
        rule->workFactor = 1.6;
        rule->latencyObjective = milliseconds(60);
        rule->maxAttempts = 4;
        queue = rule;
        otherReport.uptime = seconds(10);
        receiveFromEntry(otherReport);
        receiveReport({});
    }

    static EntrySettings settings()
    {
        EntrySettings result;
        result.self = Self;
        result.domain = "d0";
        return result;
    }

    static std::shared_ptr<const dispatch::JobSpec> makeSpec(Duration estimate)
    {
        std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>();
        spec->payload = "x";
        StepSpec step;
        step.count = 1;
        step.need = Resources{1000, 10, 0};
        step.estimate = estimate;
        spec->steps.push_back(step);
        return spec;
    }

    dispatch::Envelope envelopeFrom(const ProcessId &from, dispatch::Message &&message) const
    {
        dispatch::Envelope envelope;
        envelope.from = from;
        envelope.toIncarnation = Self.incarnation;
        envelope.fromEntry = !(from == Agent);
        envelope.sentAt = now;
        envelope.echoOf = now - messageDelay;
        envelope.message = std::move(message);
        return envelope;
    }

    void receiveFromEntry(dispatch::Message &&message)
    {
        entry.onMessage(now, envelopeFrom(OtherEntry, std::move(message)));
    }

    AgentReport makeReport() const
    {
        AgentReport report;
        report.service = "svc";
        report.domain = "d0";
        report.load.accepting = true;
        report.load.capacity = Resources{16000, 64000, 0};
        report.load.free = Resources{16000, 64000, 0};
        report.ordersSeen = ordersSeen;
        return report;
    }

    /// Delivers a report of the agent with these events, numbered after the ones sent before.
    void receiveReport(std::vector<RunEvent> events)
    {
        AgentReport report = makeReport();
        for (RunEvent &event : events) {
            event.number = ++lastEvent;
        }
        report.oldestEvent = events.empty() ? 0 : events.front().number;
        report.events = std::move(events);
        entry.onMessage(now, envelopeFrom(Agent, std::move(report)));
    }

    static RunEvent makeEvent(RunEvent::Kind kind, RunEnd end = RunEnd::Done)
    {
        RunEvent event;
        event.run = dispatch::RunRef{dispatch::TaskRef{Job1, 0, 0, 0}, RunNumber(1)};
        event.kind = kind;
        event.end = end;
        event.ran = milliseconds(50);
        return event;
    }

    void submit(std::uint64_t client, Duration timeout, Duration estimate = milliseconds(50))
    {
        entry.submit(now, ClientTag(client), queue, Job1, makeSpec(estimate), timeout);
    }

    void cancel(Duration timeout = seconds(2))
    {
        entry.cancel(now, Job1, timeout, [this](CancelOutcome outcome) { cancelOutcomes.push_back(outcome); });
    }

    /// Advances the time in ticks, with heartbeats of the agent and the other entry.
    void runFor(Duration length)
    {
        const TimePoint end = now + length;
        while (now < end) {
            now += milliseconds(15);
            receiveReport({});
            receiveFromEntry(otherReport);
            entry.onTick(now);
        }
    }

    TimePoint now{seconds(100)};
    RecordingLinks links;
    RecordingClients clients;
    DiscardingLog log;
    std::shared_ptr<const QueueRule> queue;
    EntryReport otherReport;
    std::vector<CancelOutcome> cancelOutcomes;
    std::uint64_t lastEvent = 0;
    std::uint64_t ordersSeen = 0; ///< The orders up to this number count in the load that the agent reports.
    Duration messageDelay{0}; ///< Time until a message of the entry is echoed.
    EntryDispatch entry;
};

/// Three entries that exchange their messages in virtual time, and one agent that reports to all of them.
class EntryGroup
{
public:
    static constexpr std::size_t Entries = 3;

    /// `listed` is the number of entries, the first ones, whose addresses are in the settings of all.
    explicit EntryGroup(std::size_t listed = Entries)
        : m_listed(listed)
    {
        std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
        rule->name = "q";
        rule->service = "svc";
        rule->workFactor = 1.6;
        rule->latencyObjective = milliseconds(60);
        rule->maxAttempts = 4;
        m_queue = rule;
        for (std::size_t i = 0; i < Entries; ++i) {
            m_nodes.push_back(std::make_unique<Node>(*this, i));
            start(i);
        }
        runFor(seconds(4));
    }

    /// Ends an entry without notice and starts it as a new incarnation.
    void start(std::size_t i)
    {
        EntrySettings settings;
        settings.self = ProcessId{endpoint(i), Incarnation(++m_lastIncarnation)};
        settings.domain = "d" + std::to_string(i);
        for (std::size_t other = 0; other < m_listed; ++other) {
            settings.entries.push_back(endpoint(other));
        }
        Node &node = *m_nodes[i];
        node.dispatch = std::make_unique<EntryDispatch>(settings, node, node, m_log, m_now);
    }

    /// Ends an entry for good.
    void remove(std::size_t i)
    {
        m_nodes[i]->dispatch.reset();
    }

    /// Cuts an entry off from all other processes, or connects it again.
    void cutOff(std::size_t i, bool cut)
    {
        m_nodes[i]->cut = cut;
    }

    /// Cuts an entry off from the other entries only, or connects it again.
    void cutOffFromEntries(std::size_t i, bool cut)
    {
        m_nodes[i]->cutFromEntries = cut;
    }

    void runFor(Duration length)
    {
        const TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += milliseconds(15);
            std::vector<Sent> arriving;
            arriving.swap(m_sent);
            for (const Sent &message : arriving) {
                deliver(message);
            }
            for (std::size_t i = 0; i < Entries; ++i) {
                if (m_nodes[i]->dispatch) {
                    reportTo(i);
                    m_nodes[i]->dispatch->onTick(m_now);
                }
            }
        }
    }

    void cancel(std::size_t i, Duration timeout = milliseconds(1500))
    {
        m_nodes[i]->dispatch->cancel(m_now, Job1, timeout, [this](CancelOutcome outcome) { outcomes.push_back(outcome); });
    }

    void submit(std::size_t i, std::uint64_t client)
    {
        m_nodes[i]->dispatch->submit(m_now, ClientTag(client), m_queue, Job1, EntryFixture::makeSpec(milliseconds(50)),
                                     seconds(2));
    }

    bool mayAdmit(std::size_t i) const
    {
        return m_nodes[i]->dispatch->mayAdmit(m_now);
    }

    std::vector<CancelOutcome> outcomes;
    std::map<std::uint64_t, JobOutcome> answers;
    std::size_t startOrders = 0;
    std::set<std::size_t> orderedBy; ///< Entries that have sent start orders.

private:
    struct Sent
    {
        std::size_t from;
        Endpoint to;
        dispatch::Envelope envelope;
    };

    struct Node : LinkPort, ClientPort
    {
        Node(EntryGroup &owner, std::size_t number)
            : group(owner)
            , index(number)
        { }

        void send(const Endpoint &to, const dispatch::Envelope &envelope) override
        {
            group.m_sent.push_back(Sent{index, to, envelope});
        }

        void replaceConnection(const Endpoint &) override { }
        void forgetConnection(const Endpoint &) override { }

        void answer(ClientTag client, JobOutcome outcome, const char *, Duration) override
        {
            group.answers[client.value()] = outcome;
        }

        EntryGroup &group;
        std::size_t index;
        std::unique_ptr<EntryDispatch> dispatch;
        bool cut = false;
        bool cutFromEntries = false;
    };

    static Endpoint endpoint(std::size_t i)
    {
        return Endpoint{static_cast<std::uint32_t>(i + 1), 7000};
    }

    void deliver(const Sent &message)
    {
        const Node &from = *m_nodes[message.from];
        if (message.to == Agent.endpoint) {
            if (!from.cut && std::holds_alternative<StartOrder>(message.envelope.message)) {
                ++startOrders;
                orderedBy.insert(message.from);
            }
            return;
        }
        Node &to = *m_nodes[message.to.ip - 1];
        if (to.dispatch && !from.cut && !to.cut && !from.cutFromEntries && !to.cutFromEntries) {
            to.dispatch->onMessage(m_now, message.envelope);
        }
    }

    /// Sends a report of the agent. It names the entries that run and reach the agent.
    void reportTo(std::size_t i)
    {
        if (m_nodes[i]->cut) {
            return;
        }
        AgentReport report;
        report.service = "svc";
        report.domain = "d0";
        report.load.accepting = true;
        report.load.capacity = Resources{16000, 64000, 0};
        report.load.free = Resources{16000, 64000, 0};
        report.liveEntries.emplace();
        for (std::size_t other = 0; other < Entries; ++other) {
            if (m_nodes[other]->dispatch && !m_nodes[other]->cut) {
                report.liveEntries->push_back(LiveEntry{endpoint(other), Incarnation()});
            }
        }
        dispatch::Envelope envelope;
        envelope.from = Agent;
        envelope.sentAt = m_now;
        envelope.echoOf = m_now;
        envelope.message = std::move(report);
        m_nodes[i]->dispatch->onMessage(m_now, envelope);
    }

    TimePoint m_now{seconds(100)};
    std::size_t m_listed;
    DiscardingLog m_log;
    std::shared_ptr<const QueueRule> m_queue;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Sent> m_sent;
    std::uint64_t m_lastIncarnation = 0;
};

} // namespace

TEST_CASE("Entries that wait for a job learn that it was given up only once its runs have stopped")
{
    // Scenario: a client resubmits through another entry while the first entry gives the job up. If the other entry learned of it
    // at once, it would start the task while the first run may still be stopping.
    EntryFixture fixture;
    fixture.submit(1, milliseconds(600), milliseconds(300));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.receiveFromEntry(JoinJob{Job1});
    fixture.runFor(milliseconds(700));
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    for (const JobStatus &status : fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint)) {
        REQUIRE(status.state == JobStatus::State::Active);
    }
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped)});
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).back().state == JobStatus::State::Refused);
}

TEST_CASE("A job whose coordinator has restarted is not started elsewhere while its former runs may not have stopped")
{
    // Scenario: the connection of a client breaks, the entry is killed a second later and restarts within 200 ms, and the client
    // resubmits to another entry. The new incarnation does not know the job, whose run the agents are still stopping.
    const bool resubmittedBeforeRestart = GENERATE(true, false);
    EntryFixture fixture;
    const Duration coordinatorTimeout = EntryFixture::settings().timing.coordination.formerJobsTimeout;
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.runFor(seconds(3));
    const TimePoint lastHeardAt = fixture.now;
    if (resubmittedBeforeRestart) {
        fixture.submit(1, seconds(4));
    }
    const auto receiveFromNewIncarnation = [&fixture](dispatch::Message &&message) {
        dispatch::Envelope envelope = fixture.envelopeFrom(OtherEntry, std::move(message));
        envelope.from.incarnation = Incarnation(OtherEntry.incarnation.value() + 1);
        fixture.entry.onMessage(fixture.now, envelope);
    };
    fixture.now += milliseconds(200);
    receiveFromNewIncarnation(EntryReport());
    if (!resubmittedBeforeRestart) {
        fixture.submit(1, seconds(4));
    }
    while (fixture.now + milliseconds(15) < lastHeardAt + coordinatorTimeout) {
        fixture.now += milliseconds(15);
        fixture.receiveReport({});
        receiveFromNewIncarnation(EntryReport());
        receiveFromNewIncarnation(JobStatus{Job1, JobStatus::State::Unknown});
        fixture.entry.onTick(fixture.now);
        REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
    }
    fixture.now = lastHeardAt + coordinatorTimeout;
    receiveFromNewIncarnation(JobStatus{Job1, JobStatus::State::Unknown});
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
}

TEST_CASE("A client of a joined job whose deadline has passed is answered and its job is not run with another deadline")
{
    EntryFixture fixture;
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.receiveFromEntry(fixture.otherReport);
    fixture.submit(1, milliseconds(100));
    REQUIRE(fixture.links.messagesTo<JoinJob>(OtherEntry.endpoint).size() == 1);
    // The process has no turn until after the deadline, and the answer of the other entry is read first.
    fixture.now += milliseconds(200);
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Refused});
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
}

TEST_CASE("Clients of a joined job keep their own deadlines")
{
    EntryFixture fixture;
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.receiveFromEntry(fixture.otherReport);
    fixture.submit(1, seconds(2));
    fixture.submit(2, milliseconds(100));
    fixture.runFor(milliseconds(300));
    REQUIRE(fixture.clients.answers.count(1) == 0);
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::GivenUp);
    // The job is submitted here with the remaining time of the first client when the coordinator does not know it any more.
    fixture.otherReport.activeJobs.clear();
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Unknown});
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint)[0].startWithin < milliseconds(1700));
}

TEST_CASE("A client that resubmits a job in progress extends its deadline")
{
    EntryFixture fixture;
    fixture.submit(1, milliseconds(200), milliseconds(50));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.submit(2, seconds(1));
    fixture.runFor(milliseconds(300));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended)});
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::Succeeded);
}

TEST_CASE("The status of a job whose coordinator has been removed is handled")
{
    EntryFixture fixture;
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.receiveFromEntry(fixture.otherReport);
    fixture.submit(1, seconds(30));
    const TimePoint end = fixture.now + seconds(11);
    while (fixture.now < end) {
        fixture.now += milliseconds(15);
        fixture.receiveReport({});
        fixture.entry.onTick(fixture.now);
    }
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Refused});
}

TEST_CASE("Events that the agent has dropped do not block the later ones")
{
    // Scenario: the entry was out of the agent's reach so long that the agent dropped the first events for it.
    EntryFixture fixture;
    fixture.submit(1, seconds(2));
    fixture.lastEvent = 40;
    fixture.receiveReport(
        {EntryFixture::makeEvent(RunEvent::Kind::Started), EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Done)});
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Succeeded);
}

TEST_CASE("Runs that a restarted agent has lost are not counted as outstanding")
{
    EntryFixture fixture;
    fixture.submit(1, seconds(2));
    REQUIRE(fixture.entry.fleet().agents().at(Agent.endpoint).outstandingRuns == 1);
    dispatch::Envelope envelope = fixture.envelopeFrom(Agent, fixture.makeReport());
    envelope.from.incarnation = Incarnation(8);
    fixture.entry.onMessage(fixture.now, envelope);
    // The task has been placed again.
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 2);
    REQUIRE(fixture.entry.fleet().agents().at(Agent.endpoint).outstandingRuns == 1);
}

TEST_CASE("During a shutdown, jobs that can't end in time are refused and those in progress are answered at its end")
{
    // Scenario: the load balancer has no other entry that is ready and sends jobs here until the process exits.
    EntryFixture fixture;
    fixture.submit(1, seconds(5), milliseconds(400));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.entry.setShutdownDeadline(fixture.now + milliseconds(500));
    fixture.runFor(milliseconds(300));
    fixture.entry.submit(fixture.now, ClientTag(2), fixture.queue, *JobId::parse("00000000000000a2"),
                         EntryFixture::makeSpec(milliseconds(400)), seconds(5));
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::NotRun);
    fixture.runFor(milliseconds(250));
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    REQUIRE(fixture.entry.unanswered() == 0);
}

TEST_CASE("A request that awaits confirmation when the process must exit is answered")
{
    // Scenario: an entry short of processor time notices the end of its shutdown late, while an agent doesn't answer.
    EntryFixture fixture;
    fixture.entry.setShutdownDeadline(fixture.now + milliseconds(200));
    fixture.submit(1, seconds(5));
    fixture.otherReport.activeJobs = {JobId::parse("00000000000000a2")->key()};
    fixture.receiveFromEntry(fixture.otherReport);
    fixture.entry.submit(fixture.now, ClientTag(2), fixture.queue, *JobId::parse("00000000000000a2"),
                         EntryFixture::makeSpec(milliseconds(50)), seconds(5));
    fixture.now += milliseconds(240);
    fixture.entry.onTick(fixture.now);
    fixture.submit(3, seconds(5));
    REQUIRE(fixture.entry.unanswered() > 0);
    fixture.entry.giveUpUnanswered(fixture.now);
    REQUIRE(fixture.entry.unanswered() == 0);
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::GivenUp);
    REQUIRE(fixture.clients.answers.count(3) == 1);
}

TEST_CASE("While messages to agents are delayed, orders are not repeated and jobs that would be late are refused at once")
{
    // Load pattern: the entry's link is narrower than its load. Each order carries the payload of its job, so repeating orders
    // that are merely late would keep the link busy for good.
    EntryFixture fixture;
    fixture.now += milliseconds(1);
    fixture.submit(1, seconds(2), milliseconds(300));
    fixture.messageDelay = milliseconds(400);
    fixture.runFor(milliseconds(380));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    const JobId late = *JobId::parse("00000000000000a2");
    fixture.entry.submit(fixture.now, ClientTag(2), fixture.queue, late, EntryFixture::makeSpec(milliseconds(50)), seconds(2));
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::NotRun);
    // The echo shows that the agent has received later messages: the order or its answer is lost.
    fixture.messageDelay = Duration(0);
    fixture.runFor(milliseconds(30));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 2);
}

TEST_CASE("An entry that lags requests the configuration from a peer, and answers the request of another")
{
    // Scenario: the store does not serve this entry; its peers have a newer version.
    EntryFixture fixture;
    dispatch::ConfigBlob received;
    fixture.entry.onNewerConfig = [&](const dispatch::ConfigBlob &config) {
        received = config;
        fixture.entry.setConfig(config);
    };
    const TimePoint end = fixture.now + milliseconds(1000);
    while (fixture.now < end) {
        fixture.now += milliseconds(15);
        fixture.receiveReport({});
        dispatch::Envelope envelope = fixture.envelopeFrom(OtherEntry, EntryReport());
        envelope.configVersion = 5;
        fixture.entry.onMessage(fixture.now, envelope);
        fixture.entry.onTick(fixture.now);
    }
    REQUIRE(fixture.links.messagesTo<dispatch::ConfigRequest>(OtherEntry.endpoint).size() == 1);
    fixture.receiveFromEntry(dispatch::ConfigBlob{5, "document"});
    REQUIRE(received.version == 5);
    // The other entry restarts without a configuration.
    dispatch::Envelope request = fixture.envelopeFrom(OtherEntry, dispatch::ConfigRequest());
    request.from.incarnation = Incarnation(OtherEntry.incarnation.value() + 1);
    fixture.entry.onMessage(fixture.now, request);
    REQUIRE(fixture.links.messagesTo<dispatch::ConfigBlob>(OtherEntry.endpoint).size() == 1);
}

TEST_CASE("A job with a later step that no server can hold is refused before its first step runs")
{
    EntryFixture fixture;
    std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>(*EntryFixture::makeSpec(milliseconds(50)));
    StepSpec later = spec->steps.front();
    later.after = {0};
    SECTION("for lack of memory")
    {
        later.need.memoryMb = 65000;
    }
    SECTION("for lack of a label")
    {
        later.requiredLabel = "b";
    }
    spec->steps.push_back(later);
    fixture.entry.submit(fixture.now, ClientTag(1), fixture.queue, Job1, spec, seconds(2));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::NotRun);
}

TEST_CASE("A job under whose task two servers have crashed is failed, and not started again when it is resubmitted")
{
    EntryFixture fixture;
    const dispatch::TaskRef task{Job1, 0, 0, 0};
    const auto reportCrash = [&](std::uint64_t number) {
        AgentReport report = fixture.makeReport();
        report.crashes = {ServerCrash{number, {task}, {}, {}, {queueKey("q")}}};
        fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(Agent, std::move(report)));
    };
    fixture.submit(1, seconds(2));
    reportCrash(1);
    REQUIRE(fixture.clients.answers.empty());
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Lost)});
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 2);
    reportCrash(2);
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Failed);
    SECTION("at this entry")
    {
        fixture.submit(2, seconds(2));
        REQUIRE(fixture.clients.answers.at(2) == JobOutcome::Failed);
        REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 2);
    }
    SECTION("at an entry that did not coordinate it")
    {
        EntryFixture other;
        AgentReport report = other.makeReport();
        report.crashes = {ServerCrash{1, {task}, {}, {}, {queueKey("q")}}, ServerCrash{2, {task}, {}, {}, {queueKey("q")}}};
        other.entry.onMessage(other.now, other.envelopeFrom(Agent, std::move(report)));
        other.submit(1, seconds(2));
        REQUIRE(other.clients.answers.at(1) == JobOutcome::Failed);
        REQUIRE(other.links.messagesTo<StartOrder>(Agent.endpoint).empty());
    }
}

TEST_CASE("After a crash, one of the suspected tasks of a job is tried before its other tasks")
{
    EntryFixture fixture;
    std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>(*EntryFixture::makeSpec(milliseconds(50)));
    spec->steps[0].count = 3;
    AgentReport report = fixture.makeReport();
    report.crashes = {ServerCrash{1, {dispatch::TaskRef{Job1, 0, 0, 1}}, {}, {}, {queueKey("q")}}};
    fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(Agent, std::move(report)));
    fixture.entry.submit(fixture.now, ClientTag(1), fixture.queue, Job1, spec, seconds(2));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint)[0].runs.size() == 1);
    RunEvent done = EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Done);
    done.run.task.index = 1;
    fixture.receiveReport({done});
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 2);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint)[1].runs.size() == 2);
}

TEST_CASE("A job that was resubmitted while its runs were being stopped does not start again once it is cancelled")
{
    EntryFixture fixture;
    fixture.submit(1, milliseconds(600), milliseconds(300));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.runFor(milliseconds(700));
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    fixture.submit(2, seconds(2));
    fixture.receiveFromEntry(JoinJob{Job1});
    fixture.cancel();
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Unknown});
    REQUIRE(fixture.cancelOutcomes == std::vector<CancelOutcome>{CancelOutcome::Cancelled});
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped)});
    fixture.runFor(milliseconds(200));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::Cancelled);
    fixture.submit(3, seconds(2));
    REQUIRE(fixture.clients.answers.at(3) == JobOutcome::Cancelled);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
}

TEST_CASE("A cancellation is repeated and acknowledged only once the other entries have confirmed it")
{
    EntryFixture fixture;
    const bool listed = GENERATE(true, false);
    if (listed) {
        fixture.otherReport.activeJobs = {Job1.key()};
    }
    fixture.runFor(milliseconds(300));
    fixture.cancel();
    REQUIRE(fixture.links.messagesTo<CancelJob>(OtherEntry.endpoint).size() == 1);
    fixture.runFor(milliseconds(400));
    REQUIRE(fixture.links.messagesTo<CancelJob>(OtherEntry.endpoint).size() == 3);
    REQUIRE(fixture.cancelOutcomes.empty());
    // The answer to a join request that was sent before, and one that leaves it open whether the job is cancelled.
    fixture.messageDelay = milliseconds(450);
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Unknown});
    fixture.messageDelay = milliseconds(5);
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Active});
    REQUIRE(fixture.cancelOutcomes.empty());
    fixture.receiveFromEntry(JobStatus{Job1, listed ? JobStatus::State::Cancelled : JobStatus::State::Unknown});
    REQUIRE(fixture.cancelOutcomes == std::vector<CancelOutcome>{listed ? CancelOutcome::Cancelled : CancelOutcome::UnknownJob});
    fixture.otherReport.activeJobs.clear();
    fixture.runFor(milliseconds(400));
    REQUIRE(fixture.links.messagesTo<CancelJob>(OtherEntry.endpoint).size() == 3);
    // Its client has resubmitted it.
    fixture.submit(1, seconds(2));
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Cancelled);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
}

TEST_CASE("A job whose cancellation has arrived here from another entry does not start when it is submitted afterwards")
{
    EntryFixture fixture;
    fixture.receiveFromEntry(CancelJob{Job1});
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).size() == 1);
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint)[0].state == JobStatus::State::Unknown);
    fixture.submit(1, seconds(2));
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Cancelled);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
    fixture.runFor(seconds(31));
    fixture.submit(2, seconds(2));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
}

TEST_CASE("A job that is active here is cancelled on the order of another entry, which is told so each time it asks")
{
    EntryFixture fixture;
    fixture.submit(1, seconds(2));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.receiveFromEntry(CancelJob{Job1});
    fixture.receiveFromEntry(CancelJob{Job1});
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Cancelled);
    REQUIRE(fixture.links.messagesTo<StopOrder>(Agent.endpoint).size() == 1);
    const std::vector<JobStatus> answers = fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint);
    REQUIRE(answers.size() == 2);
    REQUIRE(answers[0].state == JobStatus::State::Cancelled);
    REQUIRE(answers[1].state == JobStatus::State::Cancelled);
}

TEST_CASE("An entry that restarts after it has confirmed a cancellation is told of it again")
{
    EntryFixture fixture;
    fixture.runFor(milliseconds(300));
    fixture.cancel();
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Unknown});
    REQUIRE(fixture.links.messagesTo<CancelJob>(OtherEntry.endpoint).size() == 1);
    dispatch::Envelope envelope = fixture.envelopeFrom(OtherEntry, EntryReport());
    envelope.from.incarnation = Incarnation(OtherEntry.incarnation.value() + 1);
    fixture.entry.onMessage(fixture.now, envelope);
    fixture.runFor(seconds(2));
    REQUIRE(fixture.links.messagesTo<CancelJob>(OtherEntry.endpoint).size() >= 2);
}

TEST_CASE("The cancellation of a job is not acknowledged while an entry that may run it is silent")
{
    EntryFixture fixture;
    fixture.runFor(milliseconds(300));
    const auto runWithoutOtherEntry = [&fixture](Duration length) {
        const TimePoint end = fixture.now + length;
        while (fixture.now < end) {
            fixture.now += milliseconds(15);
            fixture.receiveReport({});
            fixture.entry.onTick(fixture.now);
        }
    };
    SECTION("until the deadline of the client")
    {
        fixture.cancel(seconds(2));
        runWithoutOtherEntry(milliseconds(1950));
        REQUIRE(fixture.cancelOutcomes.empty());
        runWithoutOtherEntry(milliseconds(100));
        REQUIRE(fixture.cancelOutcomes == std::vector<CancelOutcome>{CancelOutcome::Unconfirmed});
    }
    SECTION("until that entry counts as failed")
    {
        fixture.submit(1, seconds(10), seconds(1));
        fixture.cancel(seconds(10));
        runWithoutOtherEntry(milliseconds(2900));
        REQUIRE(fixture.cancelOutcomes.empty());
        runWithoutOtherEntry(milliseconds(200));
        REQUIRE(fixture.cancelOutcomes == std::vector<CancelOutcome>{CancelOutcome::Cancelled});
    }
    SECTION("until this process exits")
    {
        fixture.cancel(seconds(10));
        REQUIRE(fixture.entry.unanswered() == 1);
        fixture.entry.giveUpUnanswered(fixture.now);
        REQUIRE(fixture.cancelOutcomes == std::vector<CancelOutcome>{CancelOutcome::Unconfirmed});
        REQUIRE(fixture.entry.unanswered() == 0);
    }
}

TEST_CASE("A job that is cancelled while a client waits for it here does not start here when its coordinator gives it up")
{
    EntryFixture fixture;
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.runFor(milliseconds(300));
    fixture.submit(1, seconds(4));
    fixture.cancel();
    fixture.messageDelay = milliseconds(100);
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Refused});
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Cancelled);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
}

TEST_CASE("Only the entry that a client waits for decides about the job")
{
    // Scenario: the entry that coordinated the job before sends an answer to a repeated request once more.
    EntryFixture fixture;
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.receiveFromEntry(fixture.otherReport);
    fixture.submit(1, seconds(4));
    const ProcessId former{Endpoint{3, 7000}, Incarnation(6)};
    fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(former, JobStatus{Job1, JobStatus::State::Refused}));
    fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(former, JobStatus{Job1, JobStatus::State::Unknown}));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Succeeded});
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Succeeded);
}

TEST_CASE("An answer that is older than the list that names a job does not end the job")
{
    // Scenario: the other entry did not know the job, then its client resubmitted it there. The connection was replaced between,
    // and the former one delivers the old answer last.
    const JobStatus::State state = GENERATE(JobStatus::State::Unknown, JobStatus::State::Refused);
    EntryFixture fixture;
    const dispatch::Envelope late = fixture.envelopeFrom(OtherEntry, JobStatus{Job1, state});
    fixture.now += milliseconds(400);
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.receiveFromEntry(fixture.otherReport);
    fixture.submit(1, seconds(4));
    fixture.entry.onMessage(fixture.now, late);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
    // The request is repeated, and its answer counts.
    fixture.runFor(milliseconds(200));
    REQUIRE(fixture.links.messagesTo<JoinJob>(OtherEntry.endpoint).size() == 2);
    fixture.receiveFromEntry(JobStatus{Job1, state});
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
}

TEST_CASE("A job that was given up is left to one of the entries whose clients wait for it")
{
    // Scenario: a job is given up while clients wait for it at two other entries, or at another entry and here. One of these
    // clients has lost its connection, which its entry has not noticed yet.
    EntryFixture fixture;
    const ProcessId third{Endpoint{3, 7000}, Incarnation(6)};
    const auto lastStatus = [&fixture](const ProcessId &entry) {
        return fixture.links.messagesTo<JobStatus>(entry.endpoint).back().state;
    };
    fixture.submit(1, milliseconds(600), milliseconds(300));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.receiveFromEntry(JoinJob{Job1});
    SECTION("at two other entries")
    {
        fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(third, JoinJob{Job1}));
        fixture.runFor(milliseconds(700));
        fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped)});
        REQUIRE((lastStatus(OtherEntry) == JobStatus::State::Refused) != (lastStatus(third) == JobStatus::State::Refused));
        const bool otherStarts = lastStatus(OtherEntry) == JobStatus::State::Refused;
        const ProcessId starting = otherStarts ? OtherEntry : third;
        const ProcessId waiting = otherStarts ? third : OtherEntry;
        // The others are told not to start it, also when they ask again. A client here waits for the one that does.
        REQUIRE(lastStatus(waiting) == JobStatus::State::Transferred);
        fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(waiting, JoinJob{Job1}));
        REQUIRE(lastStatus(waiting) == JobStatus::State::Transferred);
        fixture.submit(2, seconds(2));
        REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
        REQUIRE(fixture.links.messagesTo<JoinJob>(starting.endpoint).size() == 1);
        // Later, an entry that still does not know of it may start it.
        fixture.runFor(EntryFixture::settings().timing.transferRetention + milliseconds(30));
        fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(waiting, JoinJob{Job1}));
        REQUIRE(lastStatus(waiting) == JobStatus::State::Unknown);
    }
    SECTION("at another entry and here")
    {
        fixture.runFor(milliseconds(700));
        fixture.submit(2, seconds(2));
        fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped)});
        REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 2);
        fixture.receiveFromEntry(JoinJob{Job1});
        for (const JobStatus &status : fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint)) {
            REQUIRE(status.state == JobStatus::State::Active);
        }
    }
}

TEST_CASE("The runs of a job that was answered long ago do not count as ended when their agent is silent for a moment")
{
    // Scenario: a run can't be stopped for long because its server does not respond, and its agent, which reports that, is then
    // cut off for a second.
    EntryFixture fixture;
    fixture.submit(1, milliseconds(600), milliseconds(300));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.receiveFromEntry(JoinJob{Job1});
    fixture.runFor(seconds(12));
    const auto runWithoutAgent = [&fixture](Duration length) {
        const TimePoint end = fixture.now + length;
        while (fixture.now < end) {
            fixture.now += milliseconds(15);
            fixture.receiveFromEntry(fixture.otherReport);
            fixture.entry.onTick(fixture.now);
        }
    };
    runWithoutAgent(seconds(1));
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).back().state == JobStatus::State::Active);
    runWithoutAgent(seconds(10));
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).back().state == JobStatus::State::Refused);
}

TEST_CASE("A late message of a former incarnation does not replace the present one, however long that is silent")
{
    static constexpr ProcessId Peer{Endpoint{2, 7000}, Incarnation(0)};
    PeerSession session(TimePoint(seconds(100)));
    const auto receive = [&session](std::uint64_t incarnation, TimePoint sentAt, TimePoint now) {
        dispatch::Envelope envelope;
        envelope.from = ProcessId{Peer.endpoint, Incarnation(incarnation)};
        envelope.sentAt = sentAt;
        return session.receive(envelope, Self.incarnation, now);
    };
    REQUIRE(receive(6, TimePoint(seconds(50)), TimePoint(seconds(101))) == PeerSession::Arrival::NewIncarnation);
    REQUIRE(receive(7, TimePoint(seconds(52)), TimePoint(seconds(103))) == PeerSession::Arrival::NewIncarnation);
    // Sent before the peer restarted; delivered by a connection that had stopped delivering.
    REQUIRE(receive(6, TimePoint(seconds(51)), TimePoint(seconds(106))) == PeerSession::Arrival::Outdated);
    REQUIRE(receive(7, TimePoint(seconds(55)), TimePoint(seconds(106))) == PeerSession::Arrival::SameIncarnation);
    // The peer has restarted after its wall clock had been set back.
    REQUIRE(receive(5, TimePoint(seconds(56)), TimePoint(seconds(107))) == PeerSession::Arrival::Outdated);
    REQUIRE(receive(5, TimePoint(seconds(58)), TimePoint(seconds(109))) == PeerSession::Arrival::NewIncarnation);
    // Its machine has rebooted, so that its sending times start anew, and its wall clock was set back again.
    REQUIRE(receive(4, TimePoint(seconds(2)), TimePoint(seconds(113))) == PeerSession::Arrival::Outdated);
    REQUIRE(receive(4, TimePoint(seconds(9)), TimePoint(seconds(120))) == PeerSession::Arrival::NewIncarnation);
}

TEST_CASE("Two entries that wait for each other's job don't both start it")
{
    // Scenario: an entry gives a job up and leaves it to another one, which misses that and asks again, while a client resubmits
    // here and this entry asks the other one.
    EntryFixture fixture;
    fixture.otherReport.activeJobs = {Job1.key()};
    fixture.receiveFromEntry(fixture.otherReport);
    fixture.submit(1, seconds(2));
    REQUIRE(fixture.links.messagesTo<JoinJob>(OtherEntry.endpoint).size() == 1);
    fixture.receiveFromEntry(JoinJob{Job1});
    // This entry has the lower address.
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).back().state == JobStatus::State::Active);
    fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Unknown});
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
}

namespace
{

/// Has the agent name both entries as alive while time passes.
void runWithNames(EntryFixture &fixture, Duration length, bool confirming)
{
    const TimePoint end = fixture.now + length;
    while (fixture.now < end) {
        fixture.now += milliseconds(15);
        AgentReport report = fixture.makeReport();
        report.liveEntries = std::vector<LiveEntry>{LiveEntry{Self.endpoint, Self.incarnation},
                                                    LiveEntry{OtherEntry.endpoint, OtherEntry.incarnation}};
        fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(Agent, std::move(report)));
        if (confirming) {
            fixture.otherReport.confirmedList = fixture.now;
        }
        fixture.receiveFromEntry(fixture.otherReport);
        fixture.entry.onTick(fixture.now);
    }
}

} // namespace

TEST_CASE("A job that a live entry does not confirm is given up before its client submits it there")
{
    const bool confirming = GENERATE(true, false);
    EntryFixture fixture;
    runWithNames(fixture, seconds(3), true);
    fixture.submit(1, seconds(4), seconds(1));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    runWithNames(fixture, milliseconds(1080), confirming);
    REQUIRE(fixture.clients.answers.empty());
    runWithNames(fixture, milliseconds(60), confirming);
    REQUIRE(fixture.clients.answers.empty() == confirming);
    REQUIRE(fixture.links.messagesTo<StopOrder>(Agent.endpoint).size() == (confirming ? 0 : 1));
}

TEST_CASE("An entry that has just started admits no job until it has lists from the other live entries")
{
    EntryFixture fixture;
    fixture.otherReport.uptime = milliseconds(10);
    fixture.entry.addEntries(fixture.now, {Endpoint{3, 7000}});
    REQUIRE_FALSE(fixture.entry.mayAdmit(fixture.now));
    fixture.submit(1, seconds(2));
    fixture.runFor(EntryFixture::settings().timing.coordination.admissionHold - milliseconds(30));
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).empty());
    fixture.runFor(milliseconds(30));
    REQUIRE(fixture.entry.mayAdmit(fixture.now));
}

TEST_CASE("A job of which a task still runs for another coordinator is given up and not placed elsewhere")
{
    EntryFixture fixture;
    fixture.submit(1, seconds(2), milliseconds(300));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    RunEvent refused = EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::NeverStarted);
    refused.reason = RefusalReason::Duplicate;
    fixture.receiveReport({refused});
    fixture.runFor(milliseconds(200));
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
}

TEST_CASE("A job of which a task still runs for another coordinator is not handed on to those that wait for it")
{
    EntryFixture fixture;
    std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>(*EntryFixture::makeSpec(milliseconds(300)));
    spec->steps[0].count = 2;
    fixture.entry.submit(fixture.now, ClientTag(1), fixture.queue, Job1, spec, seconds(2));
    fixture.receiveFromEntry(JoinJob{Job1});
    RunEvent refused = EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::NeverStarted);
    refused.reason = RefusalReason::Duplicate;
    fixture.receiveReport({refused});
    fixture.submit(2, seconds(2), milliseconds(300));
    RunEvent stopped = EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped);
    stopped.run.task.index = 1;
    fixture.receiveReport({stopped});
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::GivenUp);
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).back().state == JobStatus::State::Transferred);
}

TEST_CASE("An entry that has restarted does not start a job whose former runs may not have ended")
{
    const Duration downtime = GENERATE(Duration(milliseconds(30)), Duration(milliseconds(300)));
    EntryGroup group;
    group.submit(1, 1);
    group.runFor(milliseconds(300));
    group.remove(1);
    group.runFor(milliseconds(30));
    const std::size_t orders = group.startOrders;
    REQUIRE(orders >= 1);
    group.runFor(downtime);
    group.start(1);
    while (!group.mayAdmit(1)) {
        group.runFor(milliseconds(15));
    }
    group.submit(1, 2);
    REQUIRE(group.startOrders == orders);
    REQUIRE(group.answers.at(2) == JobOutcome::GivenUp);
    group.runFor(milliseconds(1600));
    group.submit(1, 3);
    group.runFor(milliseconds(100));
    REQUIRE(group.startOrders > orders);
}

TEST_CASE("An entry that has just started does not rely on the list of an entry whose former runs may not have ended")
{
    // The runs of the other entry's former incarnation last until 1.2 s after its end, and its restart took 0.1 s.
    EntryFixture fixture;
    EntryDispatch restarted(EntryFixture::settings(), fixture.links, fixture.clients, fixture.log, fixture.now);
    EntryReport list;
    list.uptime = milliseconds(1050);
    restarted.onMessage(fixture.now, fixture.envelopeFrom(OtherEntry, list));
    REQUIRE_FALSE(restarted.mayAdmit(fixture.now));
}

TEST_CASE("The list of agents in the store leaves out agents that have been silent for long enough to have no runs")
{
    // Guards against a fleet that waits after a restart for agents that had left well before it.
    EntryFixture fixture;
    EntryDispatch entry(EntryFixture::settings(), fixture.links, fixture.clients, fixture.log, fixture.now);
    const Endpoint leaving{44, 7000};
    entry.addListedAgents(fixture.now, {Agent.endpoint, leaving});
    std::vector<Endpoint> written;
    const auto runFor = [&](Duration length) {
        for (const TimePoint end = fixture.now + length; fixture.now < end;) {
            fixture.now += milliseconds(100);
            entry.onMessage(fixture.now, fixture.envelopeFrom(Agent, fixture.makeReport()));
            written = entry.agentListDue(fixture.now).value_or(written);
        }
    };
    runFor(milliseconds(2900));
    REQUIRE(written == std::vector<Endpoint>{Agent.endpoint, leaving});
    runFor(milliseconds(800));
    REQUIRE(written == std::vector<Endpoint>{Agent.endpoint});
}

TEST_CASE("The reports of all agents replace the uptime of an entry that has just started")
{
    EntryFixture fixture;
    EntryDispatch restarted(EntryFixture::settings(), fixture.links, fixture.clients, fixture.log, fixture.now);
    const Endpoint unheard{3, 7000};
    restarted.addEntries(fixture.now, {unheard});
    EntryReport list;
    list.uptime = milliseconds(10);
    const auto receiveReport = [&](std::vector<LiveEntry> named, std::vector<JobKey> formerJobs = {}) {
        AgentReport report = fixture.makeReport();
        report.examined = true;
        report.liveEntries = std::move(named);
        report.formerJobs = std::move(formerJobs);
        restarted.onMessage(fixture.now, fixture.envelopeFrom(Agent, report));
    };
    const std::vector<LiveEntry> both{LiveEntry{Self.endpoint, Self.incarnation},
                                      LiveEntry{OtherEntry.endpoint, OtherEntry.incarnation}};
    receiveReport(both);
    restarted.onMessage(fixture.now, fixture.envelopeFrom(OtherEntry, list));
    // Without the lists in the store, the agents that were heard may not be all.
    REQUIRE_FALSE(restarted.mayAdmit(fixture.now));
    restarted.addListedAgents(fixture.now, {Agent.endpoint});
    REQUIRE(restarted.mayAdmit(fixture.now));
    SECTION("A job that an agent lists is refused, and does not hold up others")
    {
        receiveReport(both, {Job1.key()});
        REQUIRE(restarted.mayAdmit(fixture.now));
        restarted.submit(fixture.now, ClientTag(1), fixture.queue, Job1, EntryFixture::makeSpec(milliseconds(50)), seconds(2));
        REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
        const JobId other = *JobId::parse("00000000000000a2");
        restarted.submit(fixture.now, ClientTag(2), fixture.queue, other, EntryFixture::makeSpec(milliseconds(50)), seconds(2));
        REQUIRE(fixture.clients.answers.count(2) == 0);
    }
    SECTION("A job that an agent lists is not answered as not run although no server has room for it")
    {
        AgentReport full = fixture.makeReport();
        full.examined = true;
        full.liveEntries = both;
        full.formerJobs = {Job1.key()};
        full.load.capacity = full.load.free = Resources{1, 1, 0};
        restarted.onMessage(fixture.now, fixture.envelopeFrom(Agent, full));
        restarted.submit(fixture.now, ClientTag(1), fixture.queue, Job1, EntryFixture::makeSpec(milliseconds(50)), seconds(2));
        REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    }
    SECTION("A former incarnation that an agent has heard last may have runs")
    {
        const ProcessId former =
            GENERATE(ProcessId{OtherEntry.endpoint, Incarnation(5)}, ProcessId{Self.endpoint, Incarnation(4)});
        receiveReport({LiveEntry{former.endpoint, former.incarnation}});
        REQUIRE_FALSE(restarted.mayAdmit(fixture.now));
    }
    SECTION("An entry that an agent has heard must have sent its list")
    {
        std::vector<LiveEntry> all = both;
        all.push_back(LiveEntry{unheard, Incarnation(3)});
        receiveReport(all);
        REQUIRE_FALSE(restarted.mayAdmit(fixture.now));
    }
    SECTION("An agent of the fleet that is silent leaves the limits of time in force")
    {
        restarted.addListedAgents(fixture.now, {Endpoint{10, 7000}});
        REQUIRE_FALSE(restarted.mayAdmit(fixture.now));
        REQUIRE(restarted.mayAdmit(fixture.now + EntryFixture::settings().timing.coordination.admissionHold));
    }
}

TEST_CASE("Entries that agents name in the first reports after a start have to confirm jobs at once")
{
    // Guards against two runs: they may have been alive for long, and admit a job that its client submits again.
    const CoordinationTiming timing;
    const TimePoint start{seconds(100)};
    CoordinationRules rules(timing, start);
    ListExchange other;
    rules.recordName(start + milliseconds(50), other);
    rules.recordNames(start + milliseconds(50), true);
    REQUIRE(rules.mustConfirm(start + milliseconds(50), other));
    ListExchange namedByAnotherAgent;
    rules.recordName(start + milliseconds(300), namedByAnotherAgent);
    rules.recordNames(start + milliseconds(300), true);
    REQUIRE(rules.mustConfirm(start + milliseconds(300), namedByAnotherAgent));
    // An entry that starts later admits no job that another one coordinates.
    rules.recordNames(start + milliseconds(800), true);
    ListExchange later;
    rules.recordName(start + milliseconds(900), later);
    rules.recordNames(start + milliseconds(900), true);
    REQUIRE_FALSE(rules.mustConfirm(start + milliseconds(900), later));
    REQUIRE(rules.mustConfirm(start + milliseconds(900) + timing.firstConfirmationTimeout, later));
}

TEST_CASE("A cancelled job is not started by the entry that acknowledged its cancellation and has restarted since")
{
    const bool cancelledAtOther = GENERATE(false, true);
    const Duration wait = GENERATE(Duration(milliseconds(30)), Duration(milliseconds(300)), Duration(seconds(3)));
    EntryGroup group;
    group.cancel(cancelledAtOther ? 0 : 1);
    group.runFor(milliseconds(100));
    REQUIRE(group.outcomes == std::vector<CancelOutcome>{CancelOutcome::UnknownJob});
    group.start(1);
    if (cancelledAtOther) {
        // The only entry that sends the cancellation to others by itself ends as well.
        group.remove(0);
    }
    group.runFor(wait);
    group.submit(1, 1);
    group.runFor(seconds(3));
    group.submit(1, 2);
    group.runFor(seconds(1));
    REQUIRE(group.startOrders == 0);
    REQUIRE(group.answers.at(2) == JobOutcome::Cancelled);
    REQUIRE(group.mayAdmit(1));
}

TEST_CASE("Cancelled ids outlast restarts of all entries in turn, and are forgotten after their retention")
{
    EntryGroup group;
    group.cancel(0);
    group.runFor(seconds(1));
    for (std::size_t i = 0; i < EntryGroup::Entries; ++i) {
        group.start(i);
        group.runFor(seconds(6));
        group.submit(i, i);
        REQUIRE(group.answers.at(i) == JobOutcome::Cancelled);
    }
    group.runFor(seconds(12));
    group.submit(0, 9);
    group.runFor(seconds(1));
    REQUIRE(group.startOrders >= 1);
}

TEST_CASE("An entry that is cut off from all others does not acknowledge the cancellation of a job that may go on elsewhere")
{
    const bool fromAgents = GENERATE(true, false);
    const bool restarted = GENERATE(false, true);
    const Duration cutFor = GENERATE(Duration(milliseconds(3500)), Duration(seconds(12)));
    EntryGroup group;
    const auto cut = [&](bool value) {
        fromAgents ? group.cutOff(1, value) : group.cutOffFromEntries(1, value);
    };
    cut(true);
    if (restarted) {
        group.start(1);
    }
    group.runFor(cutFor);
    group.cancel(1);
    group.runFor(seconds(2));
    REQUIRE(group.outcomes == std::vector<CancelOutcome>{CancelOutcome::Unconfirmed});
    cut(false);
    group.runFor(seconds(1));
    group.cancel(1);
    group.runFor(milliseconds(100));
    REQUIRE(group.outcomes.back() == CancelOutcome::UnknownJob);
}

TEST_CASE("An entry that is cut off for long does not take itself for the only one")
{
    EntryGroup group(1);
    group.cutOff(0, true);
    group.runFor(seconds(12));
    group.cancel(0);
    group.runFor(seconds(2));
    REQUIRE(group.outcomes == std::vector<CancelOutcome>{CancelOutcome::Unconfirmed});
    group.cutOff(0, false);
    group.runFor(seconds(1));
    group.cancel(0);
    group.runFor(milliseconds(100));
    REQUIRE(group.outcomes.back() == CancelOutcome::UnknownJob);
}

TEST_CASE("Entries that are removed for good do not block the acknowledgement of cancellations")
{
    EntryGroup group;
    group.remove(0);
    const bool alone = GENERATE(true, false);
    if (alone) {
        group.remove(2);
    }
    group.cancel(1, seconds(4));
    group.runFor(milliseconds(3500));
    REQUIRE(group.outcomes == std::vector<CancelOutcome>{CancelOutcome::UnknownJob});
    group.cancel(1);
    group.runFor(milliseconds(100));
    REQUIRE(group.outcomes.size() == 2);
    REQUIRE(group.outcomes.back() == CancelOutcome::UnknownJob);
}

TEST_CASE("The only entry of a deployment acknowledges cancellations at once")
{
    RecordingLinks links;
    RecordingClients clients;
    DiscardingLog log;
    EntrySettings settings = EntryFixture::settings();
    settings.entries = {Self.endpoint};
    EntryDispatch entry(settings, links, clients, log, TimePoint(seconds(100)));
    std::vector<CancelOutcome> outcomes;
    entry.cancel(TimePoint(seconds(101)), Job1, seconds(2), [&](CancelOutcome outcome) { outcomes.push_back(outcome); });
    REQUIRE(outcomes == std::vector<CancelOutcome>{CancelOutcome::UnknownJob});
}

TEST_CASE("A job that is submitted again for a waiting client follows its own request and the configuration in force")
{
    // Scenario: a job is given up while the agent that runs it is gone. Its clients resubmit it to the same entry, and the
    // configuration changes before the agent's state is removed.
    EntryFixture fixture;
    fixture.submit(1, milliseconds(600), milliseconds(300));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.runFor(milliseconds(615));
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::GivenUp);
    const bool joined = GENERATE(false, true);
    if (joined) {
        // The same for a job that another entry coordinates.
        fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped)});
        fixture.otherReport.activeJobs = {Job1.key()};
        fixture.receiveFromEntry(fixture.otherReport);
    }
    std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>(*EntryFixture::makeSpec(milliseconds(50)));
    spec->payload = "y";
    spec->steps.front().need.cpuMilli = 2000;
    fixture.entry.submit(fixture.now, ClientTag(2), fixture.queue, Job1, spec, seconds(2));
    std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>(*fixture.queue);
    std::shared_ptr<dispatch::QueueConfig> config = std::make_shared<dispatch::QueueConfig>();
    config->version = 2;
    const auto endFormerSubmission = [&]() {
        if (joined) {
            fixture.otherReport.activeJobs.clear();
            fixture.receiveFromEntry(JobStatus{Job1, JobStatus::State::Refused});
        } else {
            fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped)});
        }
    };
    SECTION("with other limits and objectives")
    {
        rule->name = "q2";
        rule->urgency = 3;
        rule->latencyObjective = milliseconds(900);
        config->queues = {rule};
        fixture.entry.setQueues(config);
        endFormerSubmission();
        const std::vector<StartOrder> starts = fixture.links.messagesTo<StartOrder>(Agent.endpoint);
        REQUIRE(starts.size() == 2);
        CHECK(starts[1].queue == queueKey("q2"));
        CHECK(starts[1].urgency == 3);
        CHECK(starts[1].inTimeWithin > milliseconds(800));
        CHECK(*starts[1].payload == "y");
        CHECK(starts[1].need.cpuMilli == 2000);
    }
    SECTION("with another service")
    {
        rule->service = "other";
        config->queues = {rule};
        fixture.entry.setQueues(config);
        endFormerSubmission();
        // No agent of that service is known.
        CHECK(fixture.clients.answers.at(2) == JobOutcome::NotRun);
        CHECK(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    }
    SECTION("without its queue")
    {
        fixture.entry.setQueues(config);
        endFormerSubmission();
        CHECK(fixture.clients.answers.at(2) == JobOutcome::NoQueue);
        CHECK(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    }
    CHECK(fixture.entry.pending("q") == 0);
}

TEST_CASE("A client that resubmits a job whose runs do not end is answered at its deadline")
{
    EntryFixture fixture;
    fixture.submit(1, milliseconds(600), milliseconds(300));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.runFor(milliseconds(615));
    fixture.submit(2, milliseconds(400));
    fixture.submit(3, seconds(5));
    fixture.runFor(milliseconds(375));
    REQUIRE(fixture.clients.answers.count(2) == 0);
    fixture.runFor(milliseconds(30));
    REQUIRE(fixture.clients.answers.at(2) == JobOutcome::GivenUp);
    REQUIRE(fixture.clients.answers.count(3) == 0);
    REQUIRE(fixture.entry.unanswered() == 1);
    // The process has no turn until after the other deadline, and the end of the run is read first.
    fixture.now += seconds(5);
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped)});
    REQUIRE(fixture.clients.answers.at(3) == JobOutcome::GivenUp);
    REQUIRE(fixture.links.messagesTo<StartOrder>(Agent.endpoint).size() == 1);
    REQUIRE(fixture.entry.unanswered() == 0);
}

namespace
{

/// An entry that has just started. Neither the other entry, which its settings name, nor the agent has sent it a message.
struct StartingEntry : EntryFixture
{
    explicit StartingEntry(std::size_t maxHeldJobs = 512)
        : starting(startingSettings(maxHeldJobs), links, clients, log, now)
    { }

    static EntrySettings startingSettings(std::size_t maxHeldJobs)
    {
        EntrySettings result = settings();
        result.entries = {OtherEntry.endpoint};
        result.maxHeldJobs = maxHeldJobs;
        return result;
    }

    static JobId jobId(std::uint64_t number)
    {
        const std::string digits = std::to_string(number);
        return *JobId::parse(std::string(JobId::Digits - digits.size(), '0') + digits);
    }

    /// Submits the job with this number for the client of the same number.
    void submitJob(std::uint64_t number, Duration timeout = seconds(2), Duration estimate = milliseconds(300))
    {
        submitFor(number, number, timeout, estimate);
    }

    void submitFor(std::uint64_t client, std::uint64_t number, Duration timeout = seconds(2),
                   Duration estimate = milliseconds(300))
    {
        starting.submit(now, ClientTag(client), queue, jobId(number), makeSpec(estimate), timeout);
    }

    void hearEntry()
    {
        starting.onMessage(now, envelopeFrom(OtherEntry, otherReport));
    }

    void hearAgent(Resources free = Resources{64000, 64000, 0})
    {
        AgentReport report = makeReport();
        report.load.capacity.cpuMilli = 64000;
        report.load.free = free;
        report.load.runningWork = 16000.0 * 200000.0;
        starting.onMessage(now, envelopeFrom(Agent, report));
    }

    /// Advances the time in ticks, with messages of those that are to be heard.
    void run(Duration length, bool entryHeard, bool agentHeard)
    {
        const TimePoint end = now + length;
        while (now < end) {
            now += milliseconds(15);
            if (entryHeard) {
                hearEntry();
            }
            if (agentHeard) {
                hearAgent();
            }
            starting.onTick(now);
        }
    }

    std::vector<StartOrder> orders() const
    {
        return links.messagesTo<StartOrder>(Agent.endpoint);
    }

    /// The answer to a client; nullopt if there is none yet.
    std::optional<JobOutcome> answer(std::uint64_t client) const
    {
        const std::map<std::uint64_t, JobOutcome>::const_iterator it = clients.answers.find(client);
        return it == clients.answers.end() ? std::nullopt : std::optional(it->second);
    }

    EntryDispatch starting;
};

} // namespace

TEST_CASE("A job that arrives before admission opens waits and is served, and its objective counts from its arrival")
{
    const bool lacksEntry = GENERATE(true, false);
    StartingEntry fixture;
    fixture.run(milliseconds(15), !lacksEntry, lacksEntry);
    fixture.submitJob(1, seconds(2), milliseconds(600));
    fixture.run(milliseconds(90), !lacksEntry, lacksEntry);
    REQUIRE(fixture.orders().empty());
    REQUIRE_FALSE(fixture.answer(1));
    const TimePoint heldUntil = fixture.now;
    fixture.run(milliseconds(240), true, true);
    REQUIRE(fixture.orders().size() == 1);
    // 1.6 x 600 ms + 60 ms, less the run time, the time held and the allowance for messages.
    REQUIRE(fixture.orders()[0].inTimeWithin > Duration(0));
    REQUIRE(fixture.orders()[0].inTimeWithin < milliseconds(1020 - 600 - 90));
    REQUIRE(fixture.orders()[0].requestedAt < heldUntil);
    REQUIRE(fixture.starting.counters().held == 1);
    REQUIRE(fixture.starting.counters().heldAdmitted == 1);
}

TEST_CASE("Held jobs are released in slices, by latest start, and new ones take their place in that order")
{
    // An entry with a tenth of a core that admits hundreds of jobs at once stops serving its heartbeats.
    StartingEntry fixture;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        fixture.submitJob(i, seconds(2), milliseconds(static_cast<std::int64_t>(700 - 20 * i)));
    }
    fixture.hearAgent();
    fixture.hearEntry();
    while (fixture.orders().empty()) {
        fixture.run(milliseconds(15), true, true);
    }
    REQUIRE(fixture.orders().size() <= 8);
    REQUIRE(fixture.orders()[0].job == StartingEntry::jobId(20));
    const std::size_t released = fixture.orders().size();
    fixture.submitJob(30, seconds(2), milliseconds(30));
    REQUIRE(fixture.orders().size() == released + 1);
    fixture.submitJob(31, seconds(2), milliseconds(800));
    REQUIRE(fixture.orders().size() == released + 1);
    fixture.run(milliseconds(60), true, true);
    REQUIRE(fixture.orders().size() == 22);
    REQUIRE(fixture.orders().back().job == StartingEntry::jobId(31));
}

TEST_CASE("An entry that has just started and may not admit jobs does not answer that a job has not run")
{
    // Another entry may run the job: its list has not arrived here. The queue of held jobs is turned off, and no agent was heard.
    StartingEntry fixture(0);
    fixture.submitJob(1);
    REQUIRE(fixture.answer(1) == JobOutcome::GivenUp);
}

TEST_CASE("Held jobs wait for agents that the store lists and that have not been heard")
{
    // Guards against a release into a fleet of which no agent is usable yet, which would refuse all of them.
    StartingEntry fixture;
    std::vector<Endpoint> listed;
    for (std::uint32_t i = 0; i < 40; ++i) {
        listed.push_back(Endpoint{50 + i, 7000});
    }
    fixture.starting.addListedAgents(fixture.now, listed);
    fixture.submitJob(1);
    fixture.run(milliseconds(120), true, false);
    REQUIRE_FALSE(fixture.answer(1));
    REQUIRE(fixture.starting.counters().held == 1);
}

TEST_CASE("Jobs are not held on for others while admission stays closed after the start")
{
    // Each new job has a later start than one that is held; without the limit, all were held until they could no longer be
    // served.
    // The agent no longer names this entry, so it may have missed lists.
    StartingEntry fixture;
    const auto runUnnamed = [&](Duration length) {
        for (const TimePoint end = fixture.now + length; fixture.now < end;) {
            fixture.now += milliseconds(15);
            AgentReport report = fixture.makeReport();
            report.liveEntries = std::vector<LiveEntry>{LiveEntry{OtherEntry.endpoint, OtherEntry.incarnation}};
            fixture.starting.onMessage(fixture.now, fixture.envelopeFrom(Agent, report));
            fixture.starting.onTick(fixture.now);
        }
    };
    runUnnamed(milliseconds(1950));
    fixture.submitJob(1, seconds(4));
    REQUIRE(fixture.starting.counters().held == 1);
    runUnnamed(milliseconds(150));
    REQUIRE_FALSE(fixture.starting.mayAdmit(fixture.now));
    fixture.submitJob(2, seconds(4));
    REQUIRE(fixture.answer(2) == JobOutcome::GivenUp);
}

TEST_CASE("Jobs that became late while they were held start only on free servers, and are otherwise answered as not run")
{
    const bool capacityFree = GENERATE(true, false);
    StartingEntry fixture;
    fixture.submitJob(1);
    fixture.run(milliseconds(300), false, true);
    fixture.submitJob(2);
    fixture.hearEntry();
    fixture.hearAgent(capacityFree ? Resources{2000, 64000, 0} : Resources{1000, 64000, 0});
    fixture.now += milliseconds(15);
    fixture.starting.onTick(fixture.now);
    REQUIRE(fixture.orders().size() == (capacityFree ? 2 : 1));
    REQUIRE(fixture.orders()[0].job == StartingEntry::jobId(2));
    REQUIRE(fixture.answer(1) == (capacityFree ? std::nullopt : std::optional(JobOutcome::NotRun)));
}

TEST_CASE("Only jobs that can still be served are held, and they are answered once they can not")
{
    StartingEntry fixture;
    fixture.submitJob(1, milliseconds(340));
    REQUIRE(fixture.answer(1));
    fixture.submitJob(2, milliseconds(600));
    fixture.run(milliseconds(240), false, true);
    REQUIRE_FALSE(fixture.answer(2));
    fixture.run(milliseconds(30), false, true);
    REQUIRE(fixture.answer(2) == JobOutcome::GivenUp);
    REQUIRE(fixture.starting.unanswered() == 0);
    fixture.run(milliseconds(240), true, true);
    REQUIRE(fixture.orders().empty());
}

TEST_CASE("Jobs are not held if that is turned off, if the queue is full, or if the entry is cut off")
{
    SECTION("turned off")
    {
        StartingEntry fixture(0);
        fixture.hearAgent();
        fixture.submitJob(1);
        REQUIRE(fixture.answer(1) == JobOutcome::GivenUp);
    }
    SECTION("full")
    {
        StartingEntry fixture(2);
        fixture.hearAgent();
        fixture.submitJob(1);
        fixture.submitJob(2);
        fixture.submitJob(3);
        REQUIRE_FALSE(fixture.answer(1));
        REQUIRE_FALSE(fixture.answer(2));
        REQUIRE(fixture.answer(3) == JobOutcome::GivenUp);
        // The first ones can no longer be in time.
        fixture.run(milliseconds(300), false, true);
        fixture.submitJob(4);
        REQUIRE(fixture.answer(1) == JobOutcome::GivenUp);
        REQUIRE_FALSE(fixture.answer(4));
    }
    SECTION("cut off")
    {
        StartingEntry fixture;
        fixture.run(seconds(3), true, true);
        fixture.run(seconds(1), false, false);
        fixture.submitJob(1);
        REQUIRE(fixture.answer(1));
    }
}

TEST_CASE("A second request for a held job joins it, and both clients get its outcome")
{
    StartingEntry fixture;
    fixture.submitFor(1, 7);
    fixture.submitFor(2, 7);
    fixture.run(milliseconds(240), true, true);
    REQUIRE(fixture.orders().size() == 1);
    RunEvent done = EntryFixture::makeEvent(RunEvent::Kind::Ended);
    done.run.task.job = StartingEntry::jobId(7);
    done.number = 1;
    AgentReport report = fixture.makeReport();
    report.oldestEvent = 1;
    report.events = {done};
    fixture.starting.onMessage(fixture.now, fixture.envelopeFrom(Agent, report));
    REQUIRE(fixture.answer(1) == JobOutcome::Succeeded);
    REQUIRE(fixture.answer(2) == JobOutcome::Succeeded);
    REQUIRE(fixture.starting.unanswered() == 0);
}

TEST_CASE("A held job is served for the client that waits longest")
{
    StartingEntry fixture;
    fixture.submitFor(1, 7, milliseconds(500));
    fixture.submitFor(2, 7, seconds(3));
    fixture.run(milliseconds(300), false, true);
    fixture.run(milliseconds(30), true, true);
    REQUIRE(fixture.orders().size() == 1);
    REQUIRE(fixture.orders()[0].startWithin > seconds(2));
}

TEST_CASE("A held job that is refused at the opening is not run for another of its clients")
{
    StartingEntry fixture;
    fixture.submitFor(1, 7);
    fixture.submitFor(2, 7, seconds(4));
    fixture.run(milliseconds(300), false, true);
    fixture.hearEntry();
    fixture.hearAgent(Resources{0, 64000, 0});
    fixture.now += milliseconds(15);
    fixture.starting.onTick(fixture.now);
    REQUIRE(fixture.answer(1) == JobOutcome::NotRun);
    REQUIRE(fixture.answer(2) == JobOutcome::GivenUp);
    fixture.run(milliseconds(240), true, true);
    REQUIRE(fixture.orders().empty());
}

TEST_CASE("A cancelled held job does not start, and counts as unknown")
{
    const bool cancelledElsewhere = GENERATE(false, true);
    StartingEntry fixture;
    fixture.submitFor(1, 7);
    fixture.hearEntry();
    std::vector<CancelOutcome> outcomes;
    if (cancelledElsewhere) {
        fixture.starting.onMessage(fixture.now, fixture.envelopeFrom(OtherEntry, CancelJob{StartingEntry::jobId(7)}));
        REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).back().state == JobStatus::State::Unknown);
    } else {
        fixture.starting.cancel(fixture.now, StartingEntry::jobId(7), seconds(2),
                                [&](CancelOutcome outcome) { outcomes.push_back(outcome); });
        fixture.now += milliseconds(1);
        fixture.messageDelay = Duration(0);
        fixture.starting.onMessage(
            fixture.now, fixture.envelopeFrom(OtherEntry, JobStatus{StartingEntry::jobId(7), JobStatus::State::Unknown}));
        REQUIRE(outcomes == std::vector<CancelOutcome>{CancelOutcome::UnknownJob});
    }
    REQUIRE(fixture.answer(1) == JobOutcome::Cancelled);
    fixture.run(milliseconds(240), true, true);
    REQUIRE(fixture.orders().empty());
    REQUIRE(fixture.starting.unanswered() == 0);
}

TEST_CASE("A held job whose clients have disconnected does not start")
{
    StartingEntry fixture;
    fixture.submitFor(1, 7);
    fixture.submitFor(2, 7);
    fixture.submitFor(3, 8);
    fixture.starting.onClientDisconnected(fixture.now, ClientTag(1));
    fixture.starting.onClientDisconnected(fixture.now, ClientTag(3));
    REQUIRE(fixture.starting.unanswered() == 1);
    fixture.run(milliseconds(240), true, true);
    REQUIRE(fixture.orders().size() == 1);
    REQUIRE(fixture.orders()[0].job == StartingEntry::jobId(7));
}

TEST_CASE("Held jobs are answered at a shutdown")
{
    StartingEntry fixture;
    fixture.submitJob(1);
    fixture.starting.setShutdownDeadline(fixture.now + milliseconds(500));
    SECTION("once they can no longer end before it")
    {
        fixture.run(milliseconds(200), false, true);
        REQUIRE(fixture.answer(1) == JobOutcome::GivenUp);
    }
    SECTION("at its end")
    {
        fixture.starting.giveUpUnanswered(fixture.now);
        REQUIRE(fixture.answer(1) == JobOutcome::GivenUp);
        REQUIRE(fixture.starting.unanswered() == 0);
    }
}

TEST_CASE("Held jobs are on the list of active jobs, and other entries that ask for them wait")
{
    // Entries rely on lists of up to 1 s of age, and a client submits to another entry 1.3 s after a broken connection. An entry
    // that admitted an unlisted job after a longer wait could do so at the same time as the other one.
    StartingEntry fixture;
    fixture.submitFor(1, 7);
    fixture.run(milliseconds(210), false, true);
    REQUIRE(fixture.links.messagesTo<EntryReport>(OtherEntry.endpoint).back().activeJobs
            == std::vector<JobKey>{StartingEntry::jobId(7).key()});
    fixture.starting.onMessage(fixture.now, fixture.envelopeFrom(OtherEntry, JoinJob{StartingEntry::jobId(7)}));
    REQUIRE(fixture.links.messagesTo<JobStatus>(OtherEntry.endpoint).back().state == JobStatus::State::Active);
}

TEST_CASE("A held job that another entry lists, or whose former runs may go on, is neither started nor answered as not run")
{
    const bool ownFormer = GENERATE(false, true);
    StartingEntry fixture;
    fixture.submitFor(1, 7);
    std::vector<JobKey> &listed = ownFormer ? fixture.otherReport.formerJobs : fixture.otherReport.activeJobs;
    listed.push_back(StartingEntry::jobId(7).key());
    fixture.run(milliseconds(240), true, true);
    REQUIRE(fixture.orders().empty());
    REQUIRE(fixture.answer(1) == (ownFormer ? std::optional(JobOutcome::GivenUp) : std::nullopt));
    REQUIRE(fixture.links.messagesTo<JoinJob>(OtherEntry.endpoint).size() == (ownFormer ? 0 : 1));
}

TEST_CASE("A job that was held before a pause of its entry does not start after it")
{
    // Other entries may have taken this one for failed during the pause, and have admitted the job.
    StartingEntry fixture;
    fixture.submitFor(1, 7, seconds(4));
    fixture.now += milliseconds(800);
    fixture.hearAgent();
    fixture.run(milliseconds(400), true, true);
    REQUIRE(fixture.orders().empty());
    REQUIRE(fixture.answer(1) == JobOutcome::GivenUp);
}

TEST_CASE("A job that two restarted entries hold for the same client is ordered by one of them")
{
    EntryGroup group;
    group.start(0);
    group.start(1);
    group.submit(0, 1);
    group.runFor(milliseconds(45));
    group.submit(1, 2);
    group.runFor(milliseconds(1500));
    REQUIRE(group.orderedBy.size() == 1);
}

namespace
{

/// An entry with one agent on rack "r1", the one of EntryFixture, and one on rack "r2".
struct RackFixture : EntryFixture
{
    explicit RackFixture(bool decides = true)
        : deciding(rackSettings(decides), links, clients, log, now)
    {
        report();
    }

    static EntrySettings rackSettings(bool decides)
    {
        EntrySettings result = settings();
        result.remoteDataFactor = 2.0;
        result.decidesDataLocality = decides;
        return result;
    }

    void report(std::vector<RunEvent> nearEvents = {})
    {
        for (const ProcessId &agent : {Agent, OtherAgent}) {
            AgentReport message = makeReport();
            message.load.labels = {agent == Agent ? "r1" : "r2"};
            if (agent == Agent && !nearEvents.empty()) {
                message.oldestEvent = lastEvent + 1;
                for (RunEvent &event : nearEvents) {
                    event.number = ++lastEvent;
                }
                message.events = nearEvents;
            }
            dispatch::Envelope envelope = envelopeFrom(agent, std::move(message));
            envelope.fromEntry = false;
            deciding.onMessage(now, envelope);
        }
    }

    void submitNear(std::uint64_t client, const JobId &id, const std::string &rack = "r1")
    {
        std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>(*makeSpec(milliseconds(50)));
        spec->steps[0].preferredRack = rack;
        deciding.submit(now, ClientTag(client), queue, id, spec, seconds(2));
    }

    std::vector<StartOrder> near() const
    {
        return links.messagesTo<StartOrder>(Agent.endpoint);
    }

    std::vector<StartOrder> remote() const
    {
        return links.messagesTo<StartOrder>(OtherAgent.endpoint);
    }

    static constexpr ProcessId OtherAgent{Endpoint{10, 7000}, Incarnation(8)};

    EntryDispatch deciding;
};

} // namespace

TEST_CASE("Orders near the data of a task limit its wait, others don't")
{
    RackFixture fixture;
    fixture.submitNear(1, Job1);
    REQUIRE(fixture.near().size() == 1);
    REQUIRE(fixture.near()[0].waitWithin > Duration(0));
    REQUIRE(fixture.near()[0].estimate == milliseconds(50));
    fixture.submitNear(2, StartingEntry::jobId(2), "");
    REQUIRE((fixture.near().size() == 2 ? fixture.near() : fixture.remote()).back().waitWithin == Duration(0));
    REQUIRE(fixture.deciding.counters().placementsNear == 1);
    RackFixture notDeciding(false);
    notDeciding.submitNear(1, Job1);
    REQUIRE(notDeciding.near().at(0).waitWithin == Duration(0));
    REQUIRE(notDeciding.deciding.counters().placementsNear == 0);
}

TEST_CASE("A task that has waited near its data until the limit is placed elsewhere, and later ones avoid the rack")
{
    RackFixture fixture;
    RunEvent handedBack = EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::NeverStarted);
    handedBack.reason = RefusalReason::WaitExpired;
    fixture.submitNear(1, Job1);
    fixture.report({handedBack});
    REQUIRE(fixture.remote().size() == 1);
    // Its run time there is twice that near its data.
    REQUIRE(fixture.remote()[0].estimate == milliseconds(100));
    REQUIRE(fixture.remote()[0].waitWithin == Duration(0));
    REQUIRE(fixture.deciding.counters().waitsExpired == 1);
    REQUIRE(fixture.deciding.counters().placementsRemote == 1);
    for (std::uint64_t i = 2; i <= 6; ++i) {
        fixture.submitNear(i, StartingEntry::jobId(i));
        handedBack.run.task.job = StartingEntry::jobId(i);
        fixture.report({handedBack});
    }
    const std::size_t ordersNear = fixture.near().size();
    fixture.submitNear(9, StartingEntry::jobId(9));
    REQUIRE(fixture.near().size() == ordersNear);
    REQUIRE(fixture.remote().back().job == StartingEntry::jobId(9));
}

TEST_CASE("A run away from its data does not make its server count as slow")
{
    RackFixture fixture;
    fixture.submitNear(1, Job1, "r3");
    const bool onOther = !fixture.remote().empty();
    RunEvent done = EntryFixture::makeEvent(RunEvent::Kind::Ended);
    done.ran = milliseconds(100);
    done.number = 1;
    AgentReport report = fixture.makeReport();
    report.oldestEvent = 1;
    report.events = {done};
    const ProcessId agent = onOther ? RackFixture::OtherAgent : Agent;
    dispatch::Envelope envelope = fixture.envelopeFrom(agent, std::move(report));
    envelope.fromEntry = false;
    fixture.deciding.onMessage(fixture.now, envelope);
    REQUIRE(fixture.clients.answers.at(1) == JobOutcome::Succeeded);
    REQUIRE(fixture.deciding.fleet().agents().at(agent.endpoint).health.slowness(fixture.now) == Approx(1.0));
}

namespace
{

JobId numberedJob(std::uint64_t n)
{
    return *JobId::parse(std::to_string(1'000'000'000'000'000ULL + n));
}

RunEvent eventOf(const JobId &job, RunEvent::Kind kind, Duration ran = Duration(0))
{
    RunEvent event = EntryFixture::makeEvent(kind);
    event.run.task.job = job;
    event.ran = ran;
    return event;
}

/// Runs jobs of 100 ms, of which every thirtieth takes seven times as long if `withLongJobs`.
void runJobs(EntryFixture &fixture, bool withLongJobs)
{
    fixture.ordersSeen = 1000;
    for (std::uint64_t n = 1; n <= 70; ++n) {
        const JobId job = numberedJob(n);
        fixture.entry.submit(fixture.now, ClientTag(n), fixture.queue, job, EntryFixture::makeSpec(milliseconds(100)),
                             seconds(4));
        fixture.receiveReport({eventOf(job, RunEvent::Kind::Started)});
        const Duration ran = milliseconds(withLongJobs && n % 30 == 0 ? 700 : 100);
        fixture.runFor(milliseconds(30));
        fixture.receiveReport({eventOf(job, RunEvent::Kind::Ended, ran)});
    }
}

} // namespace

TEST_CASE("A task of a long job is not restarted, in a queue that has such jobs")
{
    // Scenario: the run of one job takes six times its expected time while the server shows no other sign of being slow. A
    // restart would discard its work, and last as long elsewhere.
    for (const bool withLongJobs : {true, false}) {
        EntryFixture fixture;
        runJobs(fixture, withLongJobs);
        const std::uint64_t restartedBefore = fixture.entry.counters().runsRestarted;
        fixture.submit(1000, seconds(4), milliseconds(100));
        fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
        fixture.runFor(milliseconds(600));
        INFO("with long jobs " << withLongJobs);
        CHECK(fixture.entry.counters().runsRestarted - restartedBefore == (withLongJobs ? 0 : 1));
        const AgentView &agent = fixture.entry.fleet().agents().at(Agent.endpoint);
        if (withLongJobs) {
            CHECK_FALSE(agent.health.suspect(fixture.now));
            CHECK(agent.health.slowness(fixture.now) < 1.2);
        }
    }
}

TEST_CASE("Late tasks of a run's own job don't count as other late runs on its server")
{
    // Guards against subtracting the contribution of this run, by its own age, from a sum that has an older task of the job: the
    // rest counted as evidence of a slow server, and the later task of a long job was restarted.
    enum class Older : std::uint8_t {
        SameStep,
        OtherStep,
        OtherJob,
    };
    for (const Older older : {Older::SameStep, Older::OtherStep, Older::OtherJob}) {
        EntryFixture fixture;
        runJobs(fixture, true);
        const std::uint64_t restartedBefore = fixture.entry.counters().runsRestarted;
        std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>(*EntryFixture::makeSpec(milliseconds(100)));
        spec->steps[0].count = older == Older::SameStep ? 2 : 1;
        if (older == Older::OtherStep) {
            spec->steps.push_back(spec->steps[0]);
        }
        fixture.entry.submit(fixture.now, ClientTag(1000), fixture.queue, Job1, spec, seconds(4));
        RunEvent second = EntryFixture::makeEvent(RunEvent::Kind::Started);
        second.run.task.index = older == Older::SameStep ? 1 : 0;
        second.run.task.step = older == Older::OtherStep ? 1 : 0;
        if (older == Older::OtherJob) {
            second.run.task.job = numberedJob(1001);
            fixture.entry.submit(fixture.now, ClientTag(1001), fixture.queue, numberedJob(1001), spec, seconds(4));
        }
        fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
        fixture.runFor(milliseconds(250));
        fixture.receiveReport({second});
        fixture.runFor(milliseconds(350));
        INFO("older task " << static_cast<int>(older));
        CHECK((fixture.entry.counters().runsRestarted > restartedBefore) == (older == Older::OtherJob));
    }
}

TEST_CASE("Runs are moved away from a server that stands still, also in a queue that has long jobs")
{
    EntryFixture fixture;
    runJobs(fixture, true);
    const std::uint64_t restartedBefore = fixture.entry.counters().runsRestarted;
    const std::uint64_t discardedBefore = fixture.entry.counters().discardedMilliCoreMs;
    fixture.submit(1000, seconds(4), milliseconds(100));
    fixture.receiveReport({EntryFixture::makeEvent(RunEvent::Kind::Started)});
    fixture.runFor(milliseconds(195));
    AgentReport report = fixture.makeReport();
    report.load.suspect = true;
    fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(Agent, std::move(report)));
    fixture.entry.onTick(fixture.now);
    REQUIRE(fixture.entry.counters().runsRestarted == restartedBefore + 1);
    REQUIRE(fixture.links.messagesTo<StopOrder>(Agent.endpoint).size() == 1);
    RunEvent stopped = EntryFixture::makeEvent(RunEvent::Kind::Ended, RunEnd::Stopped);
    stopped.ran = milliseconds(200);
    fixture.receiveReport({stopped});
    REQUIRE(fixture.entry.counters().discardedMilliCoreMs - discardedBefore == 200 * 1000);
}

namespace
{

/// An entry with an agent on rack "r1" and one on "r2". Tasks take three times as long away from their data.
struct RemoteRunFixture : RackFixture
{
    explicit RemoteRunFixture(bool withLongJobs)
        : remoteEntry(remoteSettings(), links, clients, log, now)
    {
        std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>(*queue);
        rule->latencyObjective = seconds(5);
        queue = rule;
        ordersSeen = 1000;
        reportFrom(Agent, {});
        reportFrom(OtherAgent, {});
        for (std::uint64_t n = 1; n <= 70; ++n) {
            const JobId job = numberedJob(n);
            submitTasks(n, job, "r1", 1);
            reportFrom(Agent, {eventOf(job, RunEvent::Kind::Started)});
            advance(milliseconds(30));
            reportFrom(Agent, {eventOf(job, RunEvent::Kind::Ended, milliseconds(withLongJobs && n % 30 == 0 ? 700 : 100))});
        }
    }

    static EntrySettings remoteSettings()
    {
        EntrySettings result = settings();
        result.remoteDataFactor = 3.0;
        return result;
    }

    void submitTasks(std::uint64_t client, const JobId &id, const std::string &rack, std::uint32_t tasks)
    {
        std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>(*makeSpec(milliseconds(100)));
        spec->steps[0].preferredRack = rack;
        spec->steps[0].count = tasks;
        spec->steps[0].maxPerServer = 1;
        remoteEntry.submit(now, ClientTag(client), queue, id, spec, seconds(20));
    }

    void reportFrom(const ProcessId &agent, std::vector<RunEvent> events)
    {
        AgentReport message = makeReport();
        message.load.labels = {agent == Agent ? "r1" : "r2"};
        std::uint64_t &last = m_lastEvents[agent.endpoint];
        message.oldestEvent = events.empty() ? 0 : last + 1;
        for (RunEvent &event : events) {
            event.number = ++last;
        }
        message.events = std::move(events);
        dispatch::Envelope envelope = envelopeFrom(agent, std::move(message));
        envelope.fromEntry = false;
        remoteEntry.onMessage(now, envelope);
    }

    void advance(Duration length)
    {
        const TimePoint end = now + length;
        while (now < end) {
            now += milliseconds(15);
            reportFrom(Agent, {});
            reportFrom(OtherAgent, {});
            remoteEntry.onTick(now);
        }
    }

    /// Reports the runs of the latest order to an agent as started.
    void startLatest(const ProcessId &agent)
    {
        const std::vector<StartOrder> orders = links.messagesTo<StartOrder>(agent.endpoint);
        INFO("agent " << toString(agent));
        REQUIRE_FALSE(orders.empty());
        std::vector<RunEvent> events;
        for (const OrderedRun &run : orders.back().runs) {
            RunEvent event = eventOf(orders.back().job, RunEvent::Kind::Started);
            event.run.task.index = run.index;
            event.run.run = run.run;
            events.push_back(event);
        }
        reportFrom(agent, events);
    }

    EntryDispatch remoteEntry;

private:
    std::map<Endpoint, std::uint64_t> m_lastEvents;
};

} // namespace

TEST_CASE("Tasks of a step that are equally late on two servers away from their data are not restarted")
{
    // Guards against comparing an age as near the data with one as measured: a sibling of the same age on a server where tasks
    // take three times as long seemed to have reached a third of it, and both were restarted. In this queue without long jobs,
    // a single late run is restarted.
    for (const bool sibling : {true, false}) {
        RemoteRunFixture fixture(false);
        const std::uint64_t restartedBefore = fixture.remoteEntry.counters().runsRestarted;
        fixture.submitTasks(1000, Job1, "r3", 2);
        fixture.startLatest(Agent);
        if (sibling) {
            fixture.startLatest(RackFixture::OtherAgent);
        }
        fixture.advance(milliseconds(1700));
        INFO("sibling " << sibling);
        CHECK(fixture.remoteEntry.counters().runsRestarted - restartedBefore == (sibling ? 0 : 1));
    }
}

TEST_CASE("A task that was restarted once is not restarted again before it is later than it was")
{
    // Guards against comparing the age of the stopped run as near the data with the age of the next one as measured: where tasks
    // take three times as long, the next run was stopped at the same age.
    RemoteRunFixture fixture(false);
    const std::uint64_t restartedBefore = fixture.remoteEntry.counters().runsRestarted;
    fixture.submitTasks(1000, Job1, "r3", 1);
    const std::vector<StartOrder> orders = fixture.links.messagesTo<StartOrder>(Agent.endpoint);
    const bool atFirst = !orders.empty() && orders.back().job == Job1;
    const ProcessId first = atFirst ? Agent : RackFixture::OtherAgent;
    const ProcessId next = atFirst ? RackFixture::OtherAgent : Agent;
    fixture.startLatest(first);
    fixture.advance(milliseconds(1700));
    REQUIRE(fixture.remoteEntry.counters().runsRestarted == restartedBefore + 1);
    RunEvent stopped = eventOf(Job1, RunEvent::Kind::Ended, milliseconds(1700));
    stopped.end = RunEnd::Stopped;
    fixture.reportFrom(first, {stopped});
    fixture.startLatest(next);
    fixture.advance(milliseconds(1700));
    REQUIRE(fixture.remoteEntry.counters().runsRestarted == restartedBefore + 1);
}

TEST_CASE("Orders carry the run time on an ordinary server, and an entry that has just started uses the reported speed")
{
    EntryFixture fixture;
    AgentReport slow = fixture.makeReport();
    slow.load.slowness = 2.0;
    slow.load.slownessWeight = 50;
    AgentReport fast = slow;
    fast.load.slowness = 0.5;
    fast.load.capacity = fast.load.free = Resources{500, 64000, 0};
    const ProcessId other{Endpoint{10, 7000}, Incarnation(8)};
    fixture.entry.onMessage(fixture.now, fixture.envelopeFrom(Agent, AgentReport(slow)));
    dispatch::Envelope envelope = fixture.envelopeFrom(other, AgentReport(fast));
    envelope.fromEntry = false;
    fixture.entry.onMessage(fixture.now, envelope);
    fixture.entry.onTick(fixture.now + milliseconds(50));
    // The mean of the fleet, with equal weight for each server, is the reference: 2.0 and 0.5 are relative to it.
    CHECK(fixture.entry.fleet().agents().at(Agent.endpoint).health.slowness(fixture.now) == Approx(2.0).epsilon(0.02));
    CHECK(fixture.entry.fleet().agents().at(other.endpoint).health.slowness(fixture.now) == Approx(0.5).epsilon(0.02));
    fixture.submit(1, seconds(4), milliseconds(100));
    const std::vector<StartOrder> orders = fixture.links.messagesTo<StartOrder>(Agent.endpoint);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].baseline == milliseconds(100));
    CHECK(ratio(orders[0].estimate, orders[0].baseline) == Approx(2.0).epsilon(0.02));
}

TEST_CASE("An entry confirms lists from its first heartbeat on")
{
    // An uptime of zero stands for an entry that does not. One that was cut off after that heartbeat of the other one continued
    // jobs without its confirmation, and the other one started them as well.
    StartingEntry fixture;
    fixture.starting.onTick(fixture.now);
    const std::vector<EntryReport> heartbeats = fixture.links.messagesTo<EntryReport>(OtherEntry.endpoint);
    REQUIRE(heartbeats.size() == 1);
    REQUIRE(heartbeats[0].uptime > Duration(0));
}
