/// Tests of the evacuation of failure domains: entries and agents that exchange messages in virtual time.
#include "core/dispatch/agent_dispatch.h"
#include "core/dispatch/entry_dispatch.h"

#include <catch2/catch.hpp>
#include <iomanip>
#include <sstream>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

constexpr Duration Step = milliseconds(5);

class RecordingLog : public DecisionLog
{
public:
    void write(LogLevel, const char *event, const std::string &fields) override
    {
        lines[event].push_back(fields);
    }

    std::map<std::string, std::vector<std::string>> lines;
};

/// A backend server that runs what it is told to, and the agent beside it.
struct AgentNode : ServerPort
{
    void start(RunStart &&order) override
    {
        ++starts;
        startCalls.push_back(order.run);
    }

    void stop(const RunStop &order) override
    {
        stopCalls.push_back(order.run);
    }

    void poll(std::uint64_t number, const PollRequest &order) override
    {
        polls.push_back(number);
        ends.erase(ends.begin(), std::find_if(ends.begin(), ends.end(), [&order](const FinishedRun &end) {
                       return end.number > order.acknowledgedEnd;
                   }));
    }

    /// Executes and answers the calls of the last step.
    void answerCalls(TimePoint now, Duration runTime, ServerTime clock)
    {
        for (std::map<RunRef, TimePoint>::iterator it = running.begin(); it != running.end();) {
            if (now >= it->second) {
                ends.push_back(FinishedRun{++lastEnd, it->first, RunEnd::Done});
                it = running.erase(it);
            } else {
                ++it;
            }
        }
        std::vector<RunRef> started;
        std::vector<RunRef> stopped;
        std::vector<std::uint64_t> polled;
        started.swap(startCalls);
        stopped.swap(stopCalls);
        polled.swap(polls);
        for (const RunRef &run : started) {
            running.emplace(run, now + runTime);
            if (!losesStartAnswers) {
                agent->onStartAnswered(now, run, StartAnswer::Accepted);
            }
        }
        for (const RunRef &run : stopped) {
            if (running.erase(run) > 0) {
                ends.push_back(FinishedRun{++lastEnd, run, RunEnd::Stopped});
            }
            agent->onStopAnswered(now, run, true);
        }
        for (const std::uint64_t number : polled) {
            Inventory inventory;
            inventory.startTimeMs = 1;
            inventory.clock = clock;
            inventory.ended = ends;
            for (const std::pair<const RunRef, TimePoint> &run : running) {
                inventory.running.push_back(ListedRun{run.first});
            }
            agent->onPollAnswered(now, number, inventory, PollFailure::None);
        }
    }

    Endpoint endpoint;
    std::string domain;
    std::unique_ptr<AgentDispatch> agent;
    std::uint64_t starts = 0; ///< Start requests sent.
    bool losesStartAnswers = false; ///< Start requests are executed and not answered.
    std::vector<RunRef> startCalls;
    std::vector<RunRef> stopCalls;
    std::vector<std::uint64_t> polls;
    std::map<RunRef, TimePoint> running;
    std::vector<FinishedRun> ends;
    std::uint64_t lastEnd = 0;
};

struct EntryNode : ClientPort
{
    void answer(ClientTag client, JobOutcome outcome, const char *, Duration) override
    {
        answers[client.value()] = outcome;
    }

    std::size_t count(JobOutcome outcome) const
    {
        return static_cast<std::size_t>(
            std::count_if(answers.begin(), answers.end(),
                          [outcome](const std::pair<const std::uint64_t, JobOutcome> &item) { return item.second == outcome; }));
    }

    Endpoint endpoint;
    std::unique_ptr<EntryDispatch> entry;
    std::map<std::uint64_t, JobOutcome> answers;
    bool readsStore = true;
};

/// Entries in domains d0 to d2, and agents.
class Fleet
{
public:
    struct Link : LinkPort
    {
        Link(Fleet &owner, Endpoint address)
            : fleet(owner)
            , from(address)
        { }

        void send(const Endpoint &to, const dispatch::Envelope &envelope) override
        {
            fleet.m_sent.push_back(Sent{from, to, envelope});
        }

        void replaceConnection(const Endpoint &) override { }
        void forgetConnection(const Endpoint &) override { }

        Fleet &fleet;
        Endpoint from;
    };

    explicit Fleet(const std::vector<std::string> &agentDomains = {"d0", "d0", "d1", "d1", "d2", "d2"}, bool follows = true)
        : m_follows(follows)
    {
        std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
        rule->name = "q";
        rule->service = "svc";
        rule->workFactor = 1.6;
        rule->latencyObjective = milliseconds(60);
        rule->maxAttempts = 4;
        m_queue = rule;
        for (std::uint32_t i = 0; i < entries.size(); ++i) {
            entries[i].endpoint = Endpoint{i + 1, 7000};
        }
        for (const std::string &domain : agentDomains) {
            agents.push_back(std::make_unique<AgentNode>());
            agents.back()->endpoint = Endpoint{static_cast<std::uint32_t>(100 + agents.size()), 7000};
            agents.back()->domain = domain;
        }
    }

    /// Starts all processes and lets them find each other.
    void startAll()
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            startEntry(i);
        }
        for (std::size_t i = 0; i < agents.size(); ++i) {
            startAgent(i);
        }
        runFor(seconds(4));
    }

    void startEntry(std::size_t i)
    {
        EntrySettings settings;
        settings.self = ProcessId{entries[i].endpoint, Incarnation(++m_lastIncarnation)};
        settings.domain = "d" + std::to_string(i % 3);
        settings.followsEvacuations = m_follows;
        for (const EntryNode &entry : entries) {
            settings.entries.push_back(entry.endpoint);
        }
        m_links.push_back(std::make_unique<Link>(*this, entries[i].endpoint));
        entries[i].entry = std::make_unique<EntryDispatch>(settings, *m_links.back(), entries[i], log, now);
        deliverStore(i);
    }

    void startAgent(std::size_t i)
    {
        AgentNode &node = *agents[i];
        AgentSettings settings;
        settings.self = ProcessId{node.endpoint, Incarnation(++m_lastIncarnation)};
        settings.domain = node.domain;
        settings.service = "svc";
        settings.followsEvacuations = m_follows;
        settings.firstToken = FencingToken(static_cast<std::int64_t>(m_lastIncarnation));
        for (const EntryNode &entry : entries) {
            settings.entries.push_back(entry.endpoint);
        }
        m_links.push_back(std::make_unique<Link>(*this, node.endpoint));
        node.startCalls.clear();
        node.stopCalls.clear();
        node.polls.clear();
        node.agent = std::make_unique<AgentDispatch>(settings, node, *m_links.back(), log, now);
        announce(node);
    }

    /// Changes the evacuated domains in the store.
    void evacuate(const std::vector<std::string> &domains)
    {
        store = Evacuations{store.revision + 1, domains};
        for (std::size_t i = 0; i < entries.size(); ++i) {
            deliverStore(i);
        }
    }

    /// Delivers a heartbeat of another entry with the present set to an agent.
    void informAgent(std::size_t i)
    {
        dispatch::Envelope envelope;
        envelope.from = ProcessId{Endpoint{9, 7000}, Incarnation(1)};
        envelope.fromEntry = true;
        envelope.sentAt = now;
        EntryReport heartbeat;
        heartbeat.evacuations = store;
        envelope.message = heartbeat;
        agents[i]->agent->onMessage(now, envelope);
    }

    void runFor(Duration length)
    {
        const TimePoint end = now + length;
        while (now < end) {
            now += Step;
            std::vector<Sent> arriving;
            arriving.swap(m_sent);
            for (const Sent &message : arriving) {
                deliver(message);
            }
            for (const std::unique_ptr<AgentNode> &node : agents) {
                if (node->agent) {
                    node->answerCalls(now, runTime, serverClock());
                    if (now.time_since_epoch() % seconds(1) == Duration(0)) {
                        announce(*node);
                    }
                    node->agent->onTick(now);
                }
            }
            for (EntryNode &entry : entries) {
                if (entry.entry) {
                    entry.entry->onTick(now);
                }
            }
        }
    }

    /// Submits jobs of one task each.
    void submit(std::size_t i, std::size_t jobs, Duration estimate = milliseconds(50))
    {
        std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>();
        spec->payload = "x";
        StepSpec step;
        step.count = 1;
        step.need = Resources{1000, 10, 0};
        step.estimate = estimate;
        spec->steps.push_back(step);
        for (std::size_t n = 0; n < jobs; ++n) {
            std::ostringstream id;
            id << std::hex << std::setw(16) << std::setfill('0') << ++m_lastJob;
            entries[i].entry->submit(now, ClientTag(m_lastJob), m_queue, *JobId::parse(id.str()), spec, seconds(2));
        }
    }

    std::uint64_t startsIn(const std::string &domain) const
    {
        std::uint64_t starts = 0;
        for (const std::unique_ptr<AgentNode> &node : agents) {
            starts += node->domain == domain ? node->starts : 0;
        }
        return starts;
    }

    ServerTime serverClock() const
    {
        return ServerTime(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
    }

    TimePoint now{seconds(100)};
    Evacuations store{50, {}};
    RecordingLog log;
    std::array<EntryNode, 3> entries;
    std::vector<std::unique_ptr<AgentNode>> agents;
    Duration runTime = milliseconds(50);
    std::int64_t serverCpuMilli = 4000; ///< Capacity of each server.
    std::optional<Duration> announcedCold = Duration(0); ///< As in ServerAnnouncement.
    /// Whether a message from one process to another is lost.
    std::function<bool(const Endpoint &from, const Endpoint &to)> isCut = [](const Endpoint &, const Endpoint &) {
        return false;
    };

private:
    struct Sent
    {
        Endpoint from;
        Endpoint to;
        dispatch::Envelope envelope;
    };

    void deliverStore(std::size_t i)
    {
        if (entries[i].entry && entries[i].readsStore) {
            entries[i].entry->setEvacuations(now, store);
        }
    }

    void announce(AgentNode &node)
    {
        ServerAnnouncement announcement;
        announcement.incarnation = ServerIncarnation{"s", 1};
        announcement.service = "svc";
        announcement.sequence = ++m_lastAnnouncement;
        announcement.capacity = Resources{serverCpuMilli, 1000, 0};
        announcement.cold = announcedCold;
        announcement.clock = serverClock();
        node.agent->onAnnouncement(now, announcement);
    }

    void deliver(const Sent &message)
    {
        if (isCut(message.from, message.to)) {
            return;
        }
        for (EntryNode &entry : entries) {
            if (entry.entry && entry.endpoint == message.to) {
                entry.entry->onMessage(now, message.envelope);
            }
        }
        for (const std::unique_ptr<AgentNode> &node : agents) {
            if (node->agent && node->endpoint == message.to) {
                node->agent->onMessage(now, message.envelope);
            }
        }
    }

    bool m_follows;
    std::shared_ptr<const QueueRule> m_queue;
    std::vector<std::unique_ptr<Link>> m_links;
    std::vector<Sent> m_sent;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastAnnouncement = 0;
    std::uint64_t m_lastJob = 0;
};

} // namespace

TEST_CASE("Nothing is placed in an evacuated domain, and its servers are used again at the end of the evacuation")
{
    Fleet fleet;
    fleet.startAll();
    // Entry 0 is in d0 and prefers its servers.
    fleet.submit(0, 4);
    fleet.runFor(milliseconds(200));
    const std::uint64_t startsBefore = fleet.startsIn("d0");
    REQUIRE(startsBefore == 4);
    fleet.evacuate({"d0"});
    fleet.submit(0, 8);
    REQUIRE(fleet.entries[0].entry->usableAgents(fleet.now) == 4);
    fleet.runFor(milliseconds(300));
    REQUIRE(fleet.startsIn("d0") == startsBefore);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 12);
    const ServerLoad &load = fleet.entries[0].entry->fleet().agents().at(fleet.agents[0]->endpoint).load;
    REQUIRE_FALSE(load.accepting);
    REQUIRE(load.evacuated);
    fleet.evacuate({});
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.entries[0].entry->usableAgents(fleet.now) == 6);
    fleet.submit(0, 4);
    fleet.runFor(milliseconds(200));
    REQUIRE(fleet.startsIn("d0") == startsBefore + 4);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 16);
}

TEST_CASE("Load that the remaining servers can't carry in time is refused at once")
{
    Fleet fleet;
    fleet.startAll();
    fleet.evacuate({"d0", "d1"});
    fleet.runFor(milliseconds(400));
    // Two servers remain, with room for 8 tasks.
    fleet.runTime = milliseconds(400);
    fleet.submit(0, 8, milliseconds(400));
    fleet.runFor(milliseconds(100));
    fleet.submit(0, 4, milliseconds(50));
    REQUIRE(fleet.entries[0].count(JobOutcome::NotRun) == 4);
    fleet.runFor(milliseconds(500));
    REQUIRE(fleet.startsIn("d0") + fleet.startsIn("d1") == 0);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 8);
}

TEST_CASE("Without the setting, no process adopts or sends evacuations, and entries admit jobs without them")
{
    Fleet fleet({"d0", "d1"}, false);
    fleet.store = Evacuations{60, {"d0"}};
    fleet.startAll();
    fleet.informAgent(0);
    REQUIRE(fleet.entries[0].entry->evacuations().revision == 0);
    REQUIRE(fleet.agents[0]->agent->evacuations().revision == 0);
    fleet.submit(0, 2);
    fleet.runFor(milliseconds(200));
    REQUIRE(fleet.startsIn("d0") == 2);
    REQUIRE(fleet.log.lines.count("evacuations-adopted") == 0);
}

TEST_CASE("An entry that the store turns away learns of an evacuation and of its end from the others within two heartbeats")
{
    Fleet fleet;
    fleet.entries[2].readsStore = false;
    fleet.startAll();
    REQUIRE(fleet.entries[2].entry->mayAdmit(fleet.now));
    fleet.evacuate({"d2"});
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.entries[2].entry->evacuations() == fleet.store);
    fleet.submit(2, 4);
    fleet.runFor(milliseconds(200));
    REQUIRE(fleet.startsIn("d2") == 0);
    REQUIRE(fleet.entries[2].count(JobOutcome::Succeeded) == 4);
    fleet.evacuate({});
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.entries[2].entry->evacuations() == fleet.store);
}

TEST_CASE("The set of an entry whose store lags never replaces a newer one, at entries and agents")
{
    Fleet fleet;
    fleet.entries[1].readsStore = false;
    fleet.startAll();
    const Evacuations former = fleet.store;
    fleet.evacuate({"d2"});
    fleet.runFor(milliseconds(400));
    fleet.entries[1].entry->setEvacuations(fleet.now, former);
    fleet.runFor(seconds(1));
    for (const EntryNode &entry : fleet.entries) {
        REQUIRE(entry.entry->evacuations() == fleet.store);
    }
    for (const std::unique_ptr<AgentNode> &node : fleet.agents) {
        REQUIRE(node->agent->evacuations() == fleet.store);
    }
    // The lagging entry is the only one that agents hear, and has started anew.
    fleet.entries[0].entry.reset();
    fleet.entries[2].entry.reset();
    fleet.startEntry(1);
    fleet.entries[1].entry->setEvacuations(fleet.now, former);
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.entries[1].entry->evacuations() == fleet.store);
    REQUIRE(fleet.agents[4]->agent->evacuations() == fleet.store);
}

TEST_CASE("An entry admits no job before it knows any set, and one that starts without the store learns it from an agent")
{
    Fleet fleet;
    fleet.evacuate({"d0"});
    fleet.startAll();
    for (EntryNode &entry : fleet.entries) {
        entry.entry.reset();
        entry.readsStore = false;
    }
    fleet.runFor(milliseconds(500));
    fleet.startEntry(0);
    // The answers of the agents don't arrive yet. It is long enough for all other conditions of admission.
    fleet.isCut = [](const Endpoint &, const Endpoint &to) {
        return to == Endpoint{1, 7000};
    };
    fleet.runFor(seconds(3));
    REQUIRE_FALSE(fleet.entries[0].entry->mayAdmit(fleet.now));
    fleet.submit(0, 1);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 0);
    fleet.isCut = [](const Endpoint &, const Endpoint &) {
        return false;
    };
    // Agents report once a second to entries that they do not hear.
    fleet.runFor(milliseconds(1100));
    REQUIRE(fleet.entries[0].entry->evacuations() == fleet.store);
    fleet.runFor(seconds(3));
    REQUIRE(fleet.entries[0].entry->mayAdmit(fleet.now));
    fleet.submit(0, 3);
    fleet.runFor(milliseconds(200));
    REQUIRE(fleet.startsIn("d0") == 0);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 3);
}

TEST_CASE("While no set is known anywhere, no job is admitted, and a set without domains opens admission")
{
    Fleet fleet;
    for (EntryNode &entry : fleet.entries) {
        entry.readsStore = false;
    }
    fleet.startAll();
    REQUIRE_FALSE(fleet.entries[0].entry->mayAdmit(fleet.now));
    fleet.submit(0, 1);
    fleet.runFor(milliseconds(200));
    REQUIRE(fleet.entries[0].count(JobOutcome::GivenUp) == 1);
    fleet.entries[1].readsStore = true;
    fleet.evacuate({});
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.entries[0].entry->mayAdmit(fleet.now));
}

TEST_CASE("An agent of an evacuated domain hands its queued tasks back, which run elsewhere, and lets its active runs end")
{
    Fleet fleet({"d0", "d1"});
    fleet.runTime = milliseconds(300);
    fleet.startAll();
    // The server of d1 is unknown to the entries for now, so that tasks queue in d0.
    fleet.isCut = [](const Endpoint &from, const Endpoint &) {
        return from == Endpoint{102, 7000};
    };
    fleet.runFor(milliseconds(600));
    fleet.submit(0, 6, milliseconds(800));
    fleet.isCut = [](const Endpoint &, const Endpoint &) {
        return false;
    };
    fleet.runFor(milliseconds(100));
    const AgentDispatch &agent = *fleet.agents[0]->agent;
    REQUIRE(agent.ledger().booked() == 4);
    REQUIRE(agent.ledger().waiting() == 2);
    fleet.evacuate({"d0"});
    fleet.runFor(milliseconds(250));
    REQUIRE(agent.ledger().waiting() == 0);
    REQUIRE(agent.counters().runsRefusedEvacuated == 2);
    fleet.runFor(milliseconds(500));
    REQUIRE(agent.counters().runsDone == 4);
    REQUIRE(agent.counters().runsStopped == 0);
    REQUIRE(fleet.startsIn("d0") == 4);
    REQUIRE(fleet.startsIn("d1") == 2);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 6);
}

TEST_CASE("An agent refuses the orders of an entry that does not know of the evacuation yet")
{
    Fleet fleet({"d0", "d1"});
    fleet.entries[0].readsStore = false;
    fleet.startAll();
    // Entry 0 hears the agent of d0 no more, nor the other entries, but still takes it for usable.
    fleet.isCut = [](const Endpoint &, const Endpoint &to) {
        return to == Endpoint{1, 7000};
    };
    fleet.evacuate({"d0"});
    fleet.runFor(milliseconds(300));
    REQUIRE(fleet.entries[0].entry->evacuations() != fleet.store);
    REQUIRE(fleet.agents[0]->agent->evacuations() == fleet.store);
    // The lag of the answers counts as the duration of messages, so only longer jobs can be in time.
    fleet.submit(0, 2, milliseconds(600));
    fleet.runFor(milliseconds(50));
    REQUIRE(fleet.agents[0]->agent->counters().runsRefusedEvacuated == 2);
    REQUIRE(fleet.startsIn("d0") == 0);
    // The report with the refusals carries the set, so the tasks are not placed in d0 again.
    fleet.isCut = [](const Endpoint &, const Endpoint &) {
        return false;
    };
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.entries[0].entry->evacuations() == fleet.store);
    REQUIRE(fleet.startsIn("d0") == 0);
    REQUIRE(fleet.agents[0]->agent->counters().runsRefusedEvacuated == 2);
}

TEST_CASE("Tasks that were ordered before an entry learns of the evacuation are refused once and run elsewhere")
{
    // At different times after the latest heartbeat.
    const int heartbeatAgeMs = GENERATE(0, 30, 60, 90, 120, 150, 180);
    Fleet fleet({"d0", "d1"});
    fleet.entries[0].readsStore = false;
    fleet.startAll();
    fleet.runFor(milliseconds(heartbeatAgeMs));
    fleet.evacuate({"d0"});
    // The refusals of the agent are the first that entry 0 hears of the evacuation.
    fleet.submit(0, 3);
    fleet.informAgent(0);
    fleet.runFor(milliseconds(200));
    REQUIRE(fleet.startsIn("d0") == 0);
    // Two tasks were placed in d0 and are not placed there again.
    REQUIRE(fleet.agents[0]->agent->counters().ordersTaken == 2);
    REQUIRE(fleet.agents[0]->agent->counters().runsRefusedEvacuated == 2);
    REQUIRE(fleet.startsIn("d1") == 3);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 3);
}

TEST_CASE("A lost order to an agent of an evacuated domain is not repeated, and its tasks run elsewhere")
{
    Fleet fleet({"d0", "d1"});
    fleet.startAll();
    // Only the order is lost.
    fleet.isCut = [](const Endpoint &from, const Endpoint &to) {
        return from == Endpoint{1, 7000} && to == Endpoint{101, 7000};
    };
    // Only longer jobs can still be in time at another server.
    fleet.submit(0, 3, milliseconds(600));
    fleet.runFor(Step);
    fleet.isCut = [](const Endpoint &, const Endpoint &) {
        return false;
    };
    REQUIRE(fleet.startsIn("d1") < 3);
    fleet.evacuate({"d0"});
    fleet.runFor(milliseconds(800));
    REQUIRE(fleet.agents[0]->agent->counters().ordersTaken == 0);
    REQUIRE(fleet.entries[0].entry->counters().ordersRepeated == 0);
    REQUIRE(fleet.startsIn("d0") == 0);
    REQUIRE(fleet.startsIn("d1") == 3);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 3);
}

TEST_CASE("A start request that may have begun is repeated during an evacuation, and no other run starts")
{
    Fleet fleet({"d0", "d1"});
    fleet.runTime = milliseconds(300);
    fleet.startAll();
    fleet.agents[0]->losesStartAnswers = true;
    fleet.submit(0, 1, milliseconds(300));
    while (fleet.agents[0]->starts == 0) {
        fleet.runFor(Step);
    }
    fleet.evacuate({"d0"});
    fleet.informAgent(0);
    fleet.runFor(Step);
    fleet.agents[0]->losesStartAnswers = false;
    fleet.runFor(milliseconds(600));
    REQUIRE(fleet.agents[0]->agent->counters().startsRepeated >= 1);
    REQUIRE(fleet.agents[0]->agent->counters().runsDone == 1);
    REQUIRE(fleet.startsIn("d1") == 0);
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 1);
}

TEST_CASE("The tasks of an agent that restarts in an evacuated domain are placed elsewhere without waiting for its end")
{
    Fleet fleet({"d0", "d1"});
    fleet.runTime = milliseconds(900);
    fleet.startAll();
    fleet.submit(0, 2, milliseconds(900));
    fleet.runFor(milliseconds(100));
    REQUIRE(fleet.startsIn("d0") == 2);
    fleet.evacuate({"d0"});
    fleet.runFor(milliseconds(250));
    fleet.startAgent(0);
    fleet.informAgent(0);
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.startsIn("d1") == 2);
    REQUIRE(fleet.startsIn("d0") == 2);
}

TEST_CASE("An agent that is heard for the first time during the evacuation of its domain is not used, whatever it reports")
{
    Fleet fleet({"d0", "d1"});
    fleet.startAll();
    fleet.agents[0]->agent.reset();
    fleet.evacuate({"d0"});
    // Longer than entries remember an agent.
    fleet.runFor(seconds(11));
    fleet.startAgent(0);
    for (int i = 0; i < 100; ++i) {
        fleet.runFor(Step);
        REQUIRE(fleet.entries[0].entry->usableAgents(fleet.now) == 1);
    }
    REQUIRE(fleet.entries[0].entry->fleet().agents().size() == 2);
}

TEST_CASE("The end of a server in an evacuated domain is not taken for a crash under its tasks")
{
    Fleet fleet({"d0", "d1"});
    fleet.runTime = milliseconds(900);
    fleet.startAll();
    fleet.submit(0, 2, milliseconds(900));
    fleet.runFor(milliseconds(100));
    fleet.evacuate({"d0"});
    fleet.runFor(milliseconds(250));
    AgentNode &node = *fleet.agents[0];
    REQUIRE(node.agent->ledger().booked() == 2);
    REQUIRE_FALSE(node.polls.empty());
    node.agent->onPollAnswered(fleet.now, node.polls.back(), std::nullopt, PollFailure::Refused);
    REQUIRE(node.agent->counters().serverCrashes == 0);
}

TEST_CASE("An evacuated domain of which no process is known is logged and counted, and changes nothing else")
{
    Fleet fleet;
    fleet.startAll();
    fleet.evacuate({"d9"});
    fleet.runFor(seconds(4));
    REQUIRE(fleet.log.lines["evacuation-unknown"].size() == 3);
    REQUIRE(fleet.entries[0].entry->counters().unknownDomains == 1);
    REQUIRE(fleet.entries[0].entry->usableAgents(fleet.now) == 6);
    fleet.submit(0, 4);
    fleet.runFor(milliseconds(200));
    REQUIRE(fleet.entries[0].count(JobOutcome::Succeeded) == 4);
    fleet.evacuate({"d0"});
    fleet.runFor(seconds(4));
    REQUIRE(fleet.log.lines["evacuation-unknown"].size() == 3);
}

TEST_CASE("The log names the revision, the domains and the source of each change of the set")
{
    Fleet fleet({"d0"});
    fleet.entries[1].readsStore = false;
    fleet.startAll();
    fleet.log.lines.clear();
    fleet.evacuate({"d0", "d1"});
    REQUIRE(fleet.log.lines["evacuations-adopted"].at(0) == "revision=51 domains=d0,d1 source=store");
    fleet.runFor(milliseconds(400));
    // Three entries and one agent.
    REQUIRE(fleet.log.lines["evacuations-adopted"].size() == 4);
    // Another revision with the same domains is no change.
    fleet.evacuate({"d0", "d1"});
    fleet.runFor(milliseconds(400));
    REQUIRE(fleet.log.lines["evacuations-adopted"].size() == 4);
}

TEST_CASE("A cold server is given a part of its capacity that grows with time, by entries and by its agent")
{
    Fleet fleet({"d0"});
    fleet.serverCpuMilli = 20000;
    fleet.runTime = milliseconds(900);
    fleet.startAll();
    fleet.evacuate({"d0"});
    fleet.runFor(seconds(1));
    fleet.evacuate({});
    fleet.announcedCold = seconds(4);
    fleet.runFor(seconds(1) - fleet.now.time_since_epoch() % seconds(1));
    fleet.announcedCold = Duration(0);
    fleet.runFor(Step);
    const AgentView &view = fleet.entries[0].entry->fleet().agents().begin()->second;
    // The entries are told at once.
    REQUIRE(view.load.capacity.cpuMilli == 2000);
    REQUIRE(view.load.cold == seconds(4));
    // Room for two tasks. More are placed there only as far as they can wait for the ones that run.
    fleet.submit(0, 12, milliseconds(900));
    fleet.runFor(milliseconds(100));
    REQUIRE(fleet.startsIn("d0") == 2);
    REQUIRE(fleet.agents[0]->agent->ledger().booked() == 2);
    fleet.runFor(milliseconds(1900));
    REQUIRE(view.load.capacity.cpuMilli > 10000);
    REQUIRE(view.load.capacity.cpuMilli < 12000);
    fleet.runFor(seconds(3));
    REQUIRE(view.load.capacity.cpuMilli == 20000);
    REQUIRE(view.load.cold == Duration(0));
    fleet.submit(0, 12, milliseconds(900));
    fleet.runFor(milliseconds(100));
    REQUIRE(fleet.agents[0]->agent->ledger().booked() == 12);
}

TEST_CASE("A server that announces an invalid cold time is used like a warm one, which is logged once")
{
    Fleet fleet({"d0"});
    fleet.announcedCold = std::nullopt;
    fleet.startAll();
    REQUIRE(fleet.entries[0].entry->fleet().agents().begin()->second.load.capacity.cpuMilli == 4000);
    REQUIRE(fleet.agents[0]->agent->counters().coldTimesInvalid >= 4);
    REQUIRE(fleet.log.lines["announcement-odd"].size() == 1);
}

TEST_CASE("A fleet of cold servers does not refuse jobs for the size of their later steps")
{
    Fleet fleet({"d0"});
    fleet.announcedCold = seconds(10);
    fleet.startAll();
    // 0.1 + 0.9 x 0.4 of 4000.
    REQUIRE(fleet.entries[0].entry->fleet().agents().begin()->second.load.capacity.cpuMilli < 2000);
    REQUIRE(fleet.entries[0].entry->fleet().hasServerFor("svc", Resources{3500, 10, 0}, ""));
    fleet.runFor(seconds(8));
    REQUIRE_FALSE(fleet.entries[0].entry->fleet().hasServerFor("svc", Resources{4500, 10, 0}, ""));
}
