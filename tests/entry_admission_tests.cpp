/// Admission under overload at an entry with AdmissionPolicy::UsualShare: messages, answers and counters.
#include "core/dispatch/entry_dispatch.h"

#include <catch2/catch.hpp>

#include <limits>
#include <map>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const ProcessId Self{Endpoint{1, 7000}, Incarnation(5)};
const ProcessId OtherEntry{Endpoint{2, 7000}, Incarnation(6)};
const ProcessId Agent{Endpoint{9, 7000}, Incarnation(7)};

/// Digest of an entry in a surge of the one queue. Fixture::run() submits the same to this entry with eight surging jobs per
/// step.
const std::vector<QueueDemand> SurgeDigest = {QueueDemand{queueKey("surging"), 10e3, 40e3},
                                              QueueDemand{queueKey("steady"), 10e3, 10e3}};

class RecordingLinks : public LinkPort
{
public:
    void send(const Endpoint &to, const dispatch::Envelope &envelope) override
    {
        const EntryReport *report = std::get_if<EntryReport>(&envelope.message);
        if (report != nullptr && to == OtherEntry.endpoint) {
            heartbeats.push_back(*report);
        }
        if (const StartOrder *order = std::get_if<StartOrder>(&envelope.message)) {
            lastOrder = order->number;
        }
    }

    void replaceConnection(const Endpoint &) override { }
    void forgetConnection(const Endpoint &) override { }

    std::vector<EntryReport> heartbeats; ///< To the other entry.
    std::uint64_t lastOrder = 0;
};

class RecordingClients : public ClientPort
{
public:
    void answer(ClientTag, JobOutcome answer, const char *reason, Duration retryAfter) override
    {
        if (answer == JobOutcome::NotRun) {
            ++refusals[reason];
            retries[reason][retryAfter] += 1;
        }
    }

    std::map<std::string, int> refusals; ///< By reason.
    std::map<std::string, std::map<Duration, int>> retries;
};

class RecordingLog : public DecisionLog
{
public:
    void write(LogLevel, const char *event, const std::string &fields) override
    {
        ++events[event];
        last[event] = fields;
    }

    std::map<std::string, int> events;
    std::map<std::string, std::string> last;
};

/// An entry with one other entry and one agent, whose messages the test writes.
struct Fixture
{
    explicit Fixture(AdmissionPolicy policy = AdmissionPolicy::UsualShare)
        : entry(settings(policy), links, clients, log, now)
    {
        for (const char *name : {"steady", "surging"}) {
            std::shared_ptr<QueueRule> rule = std::make_shared<QueueRule>();
            rule->name = name;
            rule->service = "svc";
            rule->urgency = 1;
            rule->workFactor = 1.6;
            rule->latencyObjective = seconds(1);
            queues[name] = rule;
        }
    }

    static EntrySettings settings(AdmissionPolicy policy)
    {
        EntrySettings result;
        result.self = Self;
        result.domain = "d0";
        result.admission = policy;
        return result;
    }

    dispatch::Envelope envelopeFrom(const ProcessId &from, dispatch::Message &&message) const
    {
        dispatch::Envelope envelope;
        envelope.from = from;
        envelope.toIncarnation = Self.incarnation;
        envelope.fromEntry = !(from == Agent);
        envelope.sentAt = now;
        envelope.echoOf = now - milliseconds(1);
        envelope.message = std::move(message);
        return envelope;
    }

    void receiveFromEntry(std::vector<QueueDemand> demands, Incarnation incarnation = OtherEntry.incarnation)
    {
        EntryReport report;
        report.uptime = seconds(10);
        report.demands = std::move(demands);
        entry.onMessage(now, envelopeFrom(ProcessId{OtherEntry.endpoint, incarnation}, std::move(report)));
    }

    /// Delivers a report of the agent whose server has this demand waiting, as a fraction of its capacity.
    void receiveFromAgent(double backlog)
    {
        constexpr std::int64_t CapacityMilli = 100'000;
        AgentReport report;
        report.service = "svc";
        report.ordersSeen = links.lastOrder;
        report.load.accepting = true;
        report.load.capacity = Resources{CapacityMilli, 1'000'000, 0};
        report.load.free = Resources{0, 1'000'000, 0};
        report.load.queued.add(seconds(1), static_cast<std::int64_t>(backlog * CapacityMilli));
        entry.onMessage(now, envelopeFrom(Agent, std::move(report)));
    }

    void submit(const std::string &queue)
    {
        std::shared_ptr<dispatch::JobSpec> spec = std::make_shared<dispatch::JobSpec>();
        StepSpec step;
        step.count = 1;
        step.need = Resources{1000, 10, 0};
        step.estimate = milliseconds(100);
        spec->steps.push_back(step);
        const std::string digits = std::to_string(1'000'000'000'000'000 + ++jobs * 7919);
        entry.submit(now, ClientTag(static_cast<std::uint64_t>(jobs)), queues.at(queue), *JobId::parse(digits), spec, seconds(5));
    }

    /// Submits 10 cores of work to the queue `steady`, and 5 for each surging job per step to the other.
    void run(Duration length, double backlog, int surgingPerStep)
    {
        for (const TimePoint end = now + length; now < end; now += milliseconds(20)) {
            entry.onTick(now);
            receiveFromAgent(backlog);
            submit("steady");
            submit("steady");
            for (int i = 0; i < surgingPerStep; ++i) {
                submit("surging");
            }
            if ((now - TimePoint()) % milliseconds(200) == Duration(0)) {
                receiveFromEntry({});
            }
        }
    }

    TimePoint now{seconds(100)};
    RecordingLinks links;
    RecordingClients clients;
    RecordingLog log;
    std::map<std::string, std::shared_ptr<const QueueRule>> queues;
    EntryDispatch entry;
    int jobs = 0;
};

} // namespace

TEST_CASE("Heartbeats to entries carry a demand digest once a second under steady load, with the usual-share policy only")
{
    // Guards against digests in each heartbeat, whose bytes narrow links are charged for, and against a policy that changes
    // what a fleet with the default settings sends.
    Fixture fixture;
    fixture.receiveFromEntry({});
    fixture.run(seconds(8), 0.0, 2);
    std::size_t withDigest = 0;
    for (const EntryReport &heartbeat : fixture.links.heartbeats) {
        withDigest += heartbeat.demands.empty() ? 0 : 1;
    }
    REQUIRE(fixture.links.heartbeats.size() >= 38);
    REQUIRE(withDigest >= 5); // None in the first two seconds, in which the demand is not known.
    REQUIRE(withDigest <= 7);
    const AdmissionControl::NamedDemand demand = fixture.entry.admission().fleetDemand().at("steady");
    REQUIRE(demand.present == Approx(10).epsilon(0.1));
    REQUIRE(demand.usual == Approx(10).epsilon(0.1));

    Fixture former(AdmissionPolicy::LargestFirst);
    former.receiveFromEntry({});
    former.run(seconds(8), 0.0, 2);
    REQUIRE(std::all_of(former.links.heartbeats.begin(), former.links.heartbeats.end(),
                        [](const EntryReport &heartbeat) { return heartbeat.demands.empty(); }));
}

TEST_CASE("Heartbeats carry a demand digest while the demand changes")
{
    // Guards against entries that learn of a burst at another entry a second late.
    Fixture fixture;
    fixture.receiveFromEntry({});
    fixture.run(seconds(8), 0.0, 2);
    fixture.links.heartbeats.clear();
    fixture.run(seconds(1), 0.0, 6);
    const std::size_t withDigest =
        static_cast<std::size_t>(std::count_if(fixture.links.heartbeats.begin(), fixture.links.heartbeats.end(),
                                               [](const EntryReport &heartbeat) { return !heartbeat.demands.empty(); }));
    REQUIRE(fixture.links.heartbeats.size() <= 6);
    REQUIRE(withDigest >= 4);
}

TEST_CASE("An entry that has restarted gets a digest with the next heartbeat")
{
    Fixture fixture;
    fixture.receiveFromEntry({});
    fixture.run(seconds(8), 0.0, 2);
    // A digest has been sent within the last second. The other entry starts again.
    fixture.links.heartbeats.clear();
    fixture.receiveFromEntry({}, Incarnation(60));
    fixture.now += milliseconds(15);
    fixture.entry.onTick(fixture.now);
    REQUIRE(fixture.links.heartbeats.size() == 1);
    REQUIRE(fixture.links.heartbeats.front().demands.size() == 2);
}

TEST_CASE("An entry that has just started refuses the surge that the other entries report")
{
    // Guards against a restarted entry that takes the load of a burst for the usual one.
    Fixture fixture;
    fixture.receiveFromEntry(SurgeDigest);
    fixture.run(seconds(1), 0.3, 8);
    REQUIRE(fixture.clients.refusals["surge"] > 20);
    REQUIRE(fixture.clients.refusals["shed"] == 0);
    REQUIRE(fixture.entry.counters().refusedSurge == static_cast<std::uint64_t>(fixture.clients.refusals["surge"]));
    REQUIRE(fixture.log.last["job-refused"].find("queue=surging reason=surge") != std::string::npos);
}

TEST_CASE("The former policy decides until the demand is known")
{
    Fixture usual;
    Fixture former(AdmissionPolicy::LargestFirst);
    usual.run(milliseconds(1900), 0.3, 8);
    former.run(milliseconds(1900), 0.3, 8);
    REQUIRE(former.clients.refusals["shed"] > 20);
    REQUIRE(usual.clients.refusals == former.clients.refusals);
}

TEST_CASE("Figures in digests that can't be right are logged once a minute and counted")
{
    Fixture fixture;
    const std::vector<QueueDemand> digest = {QueueDemand{queueKey("steady"), -1, std::numeric_limits<double>::infinity()}};
    for (int second = 0; second < 100; ++second) {
        fixture.receiveFromEntry(digest);
        fixture.now += seconds(1);
    }
    REQUIRE(fixture.entry.admission().malformedFigures() == 100);
    REQUIRE(fixture.log.events["demand-digest-invalid"] == 2);
    REQUIRE(fixture.entry.admission().fleetDemand().empty());
}

TEST_CASE("Clients of refused surge jobs retry spread over the time that the free capacity needs for the surge")
{
    // Guards against refused clients that all return within a second, in the same burst. The surge of 60 cores for
    // some seconds needs as long of the 60 cores that are usually free.
    Fixture fixture;
    fixture.receiveFromEntry(SurgeDigest);
    fixture.run(seconds(2), 0.5, 8);
    const std::map<Duration, int> &retries = fixture.clients.retries["surge"];
    REQUIRE(retries.size() >= 4);
    REQUIRE(retries.begin()->first == seconds(1));
    for (const std::pair<const Duration, int> &retry : retries) {
        REQUIRE(retry.first % seconds(1) == Duration(0));
        REQUIRE(retry.first <= seconds(20));
    }
}
