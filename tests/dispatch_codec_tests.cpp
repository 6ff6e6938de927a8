#include "adapters/dispatch_codec.h"

#include <catch2/catch.hpp>
#include <limits>
#include <random>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

Envelope sampleReport()
{
    Envelope envelope;
    envelope.from = ProcessId{Endpoint{0x0A000001, 7000}, Incarnation(77)};
    envelope.toIncarnation = Incarnation(5);
    envelope.sentAt = TimePoint(seconds(9));
    envelope.echoOf = TimePoint(seconds(8));
    envelope.echoHeld = milliseconds(3);
    envelope.eventsSeen = 4;
    envelope.configVersion = 12;
    AgentReport report;
    report.service = "svc";
    report.load.accepting = true;
    report.load.free = Resources{1000, 20, 1};
    report.load.reservedCpuMilli = 300;
    report.load.queued.add(milliseconds(60), 4000);
    report.load.queued.add(milliseconds(-1), 500);
    RunEvent event;
    event.number = 9;
    event.run = RunRef{TaskRef{*JobId::parse("0123456789ABcdef"), 0, 2, 3}, RunNumber(4)};
    event.kind = RunEvent::Kind::Ended;
    event.end = RunEnd::Lost;
    event.ran = milliseconds(60);
    report.events.push_back(event);
    envelope.message = report;
    return envelope;
}

} // namespace

TEST_CASE("A decoded message equals the encoded one, including the case of the letters in a job id")
{
    const std::optional<Envelope> decoded = decode(encode(sampleReport()));
    REQUIRE(decoded);
    REQUIRE(decoded->from == sampleReport().from);
    REQUIRE(decoded->echoHeld == milliseconds(3));
    const AgentReport &report = std::get<AgentReport>(decoded->message);
    REQUIRE(report.load.free == Resources{1000, 20, 1});
    REQUIRE(report.load.reservedCpuMilli == 300);
    REQUIRE(report.load.queued.ahead(milliseconds(90)) == 4000);
    REQUIRE(report.load.queued.total() == 4500);
    REQUIRE(report.events.at(0).run == std::get<AgentReport>(sampleReport().message).events.at(0).run);
    REQUIRE(report.events.at(0).end == RunEnd::Lost);
    REQUIRE(toString(report.events.at(0).run.task) == "0123456789ABcdef.0.2.3");
}

TEST_CASE("Crashes and the queue of an order are transmitted")
{
    const TaskRef suspect{*JobId::parse("0123456789ABcdef"), 0, 1, 2};
    const TaskRef unanswered{*JobId::parse("0123456789ABcdef"), 0, 1, 4};
    const TaskRef bystander{*JobId::parse("0123456789ABcdef"), 0, 0, 7};
    Envelope envelope = sampleReport();
    std::get<AgentReport>(envelope.message).crashes = {ServerCrash{3, {suspect}, {unanswered}, {bystander}, {queueKey("q")}}};
    const std::vector<ServerCrash> crashes = std::get<AgentReport>(decode(encode(envelope))->message).crashes;
    REQUIRE(crashes.size() == 1);
    REQUIRE(crashes[0].number == 3);
    REQUIRE(crashes[0].suspects == std::vector<TaskRef>{suspect});
    REQUIRE(crashes[0].unanswered == std::vector<TaskRef>{unanswered});
    REQUIRE(crashes[0].bystanders == std::vector<TaskRef>{bystander});
    REQUIRE(crashes[0].suspectQueues == std::vector<QueueKey>{queueKey("q")});
    StartOrder order;
    order.job = suspect.job;
    order.queue = queueKey("q");
    order.payload = std::make_shared<const std::string>("x");
    envelope.message = order;
    REQUIRE(std::get<StartOrder>(decode(encode(envelope))->message).queue == queueKey("q"));
}

TEST_CASE("Active jobs are listed by the numbers of their ids")
{
    const JobId job = *JobId::parse("0123456789ABcdef");
    REQUIRE(job.key().value() == 0x0123456789abcdefULL);
    Envelope envelope = sampleReport();
    EntryReport report;
    report.activeJobs = {job.key(), JobId::parse("ffffffffffffffff")->key()};
    envelope.message = report;
    REQUIRE(std::get<EntryReport>(decode(encode(envelope))->message).activeJobs == report.activeJobs);
    report.formerJobs = {report.activeJobs.back()};
    envelope.message = report;
    REQUIRE(std::get<EntryReport>(decode(encode(envelope))->message).formerJobs == report.formerJobs);
}

TEST_CASE("Cancelled jobs are transmitted with their ages, and an empty list differs from none")
{
    Envelope envelope = sampleReport();
    EntryReport report;
    envelope.message = report;
    REQUIRE_FALSE(std::get<EntryReport>(decode(encode(envelope))->message).cancelledJobs);
    report.cancelledJobs.emplace();
    report.wantsCancelledJobs = true;
    envelope.message = report;
    REQUIRE(std::get<EntryReport>(decode(encode(envelope))->message).cancelledJobs->empty());
    REQUIRE(std::get<EntryReport>(decode(encode(envelope))->message).wantsCancelledJobs);
    REQUIRE_FALSE(std::get<EntryReport>(decode(encode(envelope))->message).sharesCancelledJobs);
    const JobId job = *JobId::parse("0123456789ABcdef");
    report.cancelledJobs->push_back(CancelledJob{job, milliseconds(1500)});
    report.wantsCancelledJobs = false;
    report.sharesCancelledJobs = true;
    envelope.message = report;
    const EntryReport decoded = std::get<EntryReport>(decode(encode(envelope))->message);
    REQUIRE(decoded.cancelledJobs->size() == 1);
    REQUIRE(decoded.cancelledJobs->front().job == job);
    REQUIRE(decoded.cancelledJobs->front().age == milliseconds(1500));
    REQUIRE_FALSE(decoded.wantsCancelledJobs);
    REQUIRE(decoded.sharesCancelledJobs);
}

TEST_CASE("Confirmations of lists, names of live entries and the times of an order are transmitted")
{
    Envelope envelope = sampleReport();
    envelope.confirmedLists = TimePoint(seconds(6));
    REQUIRE_FALSE(std::get<AgentReport>(decode(encode(envelope))->message).liveEntries);
    const std::vector<LiveEntry> live{LiveEntry{Endpoint{0x0A000002, 7000}, Incarnation(77)}};
    std::get<AgentReport>(envelope.message).liveEntries = live;
    REQUIRE(std::get<AgentReport>(decode(encode(envelope))->message).liveEntries == live);
    REQUIRE(decode(encode(envelope))->confirmedLists == TimePoint(seconds(6)));
    EntryReport report;
    report.confirmedList = TimePoint(seconds(5));
    report.uptime = seconds(3);
    envelope.message = report;
    REQUIRE(std::get<EntryReport>(decode(encode(envelope))->message).confirmedList == TimePoint(seconds(5)));
    REQUIRE(std::get<EntryReport>(decode(encode(envelope))->message).uptime == seconds(3));
    StartOrder order;
    order.job = *JobId::parse("0123456789ABcdef");
    order.payload = std::make_shared<const std::string>("x");
    order.requestedAt = TimePoint(seconds(7));
    order.admittedAt = TimePoint(seconds(8));
    envelope.message = order;
    REQUIRE(std::get<StartOrder>(decode(encode(envelope))->message).requestedAt == TimePoint(seconds(7)));
    REQUIRE(std::get<StartOrder>(decode(encode(envelope))->message).admittedAt == TimePoint(seconds(8)));
}

TEST_CASE("Corrupted messages are rejected or decoded without a crash")
{
    std::mt19937_64 random(11);
    const std::string valid = encode(sampleReport());
    for (int i = 0; i < 5000; ++i) {
        std::string bytes = valid.substr(0, random() % (valid.size() + 1));
        for (int k = 0; k < 2 && !bytes.empty(); ++k) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        static_cast<void>(decode(bytes));
    }
    REQUIRE_FALSE(decode(""));
}

TEST_CASE("Messages that name an address without host or port are rejected")
{
    // Such an address can't be connected to; the attempt would fail in the receiver.
    for (const Endpoint &invalid : {Endpoint{0, 7000}, Endpoint{0x0A000001, 0}}) {
        Envelope envelope = sampleReport();
        envelope.from.endpoint = invalid;
        REQUIRE_FALSE(decode(encode(envelope)));
        envelope = sampleReport();
        EntryReport report;
        report.entries = {EntryAddress{Endpoint{0x0A000002, 7000}, "d"}, EntryAddress{invalid, "d"}};
        envelope.message = report;
        REQUIRE_FALSE(decode(encode(envelope)));
    }
}

TEST_CASE("Task names are parsed strictly")
{
    REQUIRE(parseTaskRef("5c0e7a21d94b36f8.0.1.17"));
    for (const char *text : {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.x",
                             "5c0e7a21d94b36f8.0.1.17.2", "5c0e7a21d94b36f.0.1.17", "zc0e7a21d94b36f8.0.1.17"}) {
        INFO(text);
        REQUIRE_FALSE(parseTaskRef(text));
    }
}

TEST_CASE("A set of evacuated domains with an impossible revision or name is rejected, and the rest of its message is used")
{
    // A revision that the store never reaches would replace every later set in the whole fleet.
    constexpr std::uint64_t HighestRevision = std::numeric_limits<std::int64_t>::max();
    const std::vector<Evacuations> rejected = {
        {HighestRevision + 1, {"d1"}},
        {std::numeric_limits<std::uint64_t>::max(), {}},
        {42, {"", "d1"}},
        {42, {"d1", std::string(65, 'd')}},
        {42, {"d 1"}},
        {42, {"d/1"}},
        {42, {"d1\n"}},
        {42, {"d\x7f"}},
        {42, {"d\xc3\xa9"}},
        {42, {std::string("d\0", 2)}},
    };
    for (const Evacuations &evacuations : rejected) {
        INFO(evacuations.revision << " " << evacuations.domains.size());
        Envelope envelope = sampleReport();
        std::get<AgentReport>(envelope.message).evacuations = evacuations;
        std::get<AgentReport>(envelope.message).load.evacuated = true;
        const AgentReport report = std::get<AgentReport>(decode(encode(envelope))->message);
        REQUIRE(report.evacuations == Evacuations());
        REQUIRE(report.load.evacuated);
        EntryReport heartbeat;
        heartbeat.evacuations = evacuations;
        envelope.message = heartbeat;
        REQUIRE(std::get<EntryReport>(decode(encode(envelope))->message).evacuations == Evacuations());
    }
    const Evacuations accepted{HighestRevision, {"!", "d-1.a_b~", std::string(64, 'd')}};
    Envelope envelope = sampleReport();
    std::get<AgentReport>(envelope.message).evacuations = accepted;
    REQUIRE(std::get<AgentReport>(decode(encode(envelope))->message).evacuations == accepted);
}

TEST_CASE("The state that entries and agents share about the fleet is transmitted")
{
    // A field that is not transmitted would leave its receiver with "unknown", which hides the loss.
    const Evacuations evacuations{42, {"d1", "d2"}};
    Envelope envelope = sampleReport();
    AgentReport &sent = std::get<AgentReport>(envelope.message);
    sent.examined = true;
    sent.formerJobs = {JobKey(5), JobKey(6)};
    sent.evacuations = evacuations;
    sent.load.slowness = 1.7;
    sent.load.slownessWeight = 30;
    sent.load.evacuated = true;
    sent.load.cold = milliseconds(250);
    const AgentReport report = std::get<AgentReport>(decode(encode(envelope))->message);
    REQUIRE(report.examined);
    REQUIRE(report.formerJobs == sent.formerJobs);
    REQUIRE(report.evacuations == evacuations);
    REQUIRE(report.load.slowness == 1.7);
    REQUIRE(report.load.slownessWeight == 30);
    REQUIRE(report.load.evacuated);
    REQUIRE(report.load.cold == milliseconds(250));

    EntryReport heartbeat;
    heartbeat.evacuations = evacuations;
    heartbeat.demands = {QueueDemand{QueueKey(7), 1000.0, 2500.0}};
    envelope.message = heartbeat;
    const EntryReport decoded = std::get<EntryReport>(decode(encode(envelope))->message);
    REQUIRE(decoded.evacuations == evacuations);
    REQUIRE(decoded.demands.size() == 1);
    REQUIRE(decoded.demands.front().queue == QueueKey(7));
    REQUIRE(decoded.demands.front().usualCpuMilli == 1000.0);
    REQUIRE(decoded.demands.front().presentCpuMilli == 2500.0);

    StartOrder order;
    order.job = *JobId::parse("5c0e7a21d94b36f8");
    order.baseline = milliseconds(60);
    order.waitWithin = milliseconds(40);
    envelope.message = order;
    const StartOrder start = std::get<StartOrder>(decode(encode(envelope))->message);
    REQUIRE(start.baseline == milliseconds(60));
    REQUIRE(start.waitWithin == milliseconds(40));
}

TEST_CASE("Every reason for which an agent hands back a task is transmitted")
{
    // An entry that takes the reason for an invalid one drops the whole report, and waits for the task in vain.
    for (std::uint8_t value = 0; value <= static_cast<std::uint8_t>(RefusalReason::WaitExpired); ++value) {
        Envelope envelope = sampleReport();
        std::get<AgentReport>(envelope.message).events.at(0).reason = static_cast<RefusalReason>(value);
        const std::optional<Envelope> decoded = decode(encode(envelope));
        REQUIRE(decoded);
        REQUIRE(std::get<AgentReport>(decoded->message).events.at(0).reason == static_cast<RefusalReason>(value));
    }
    REQUIRE(std::string(toString(RefusalReason::WaitExpired)) == "wait-expired");
}

TEST_CASE("Figures of a server's load that can't be right count as unknown")
{
    // Guards against one malformed report that spoils the estimates of run times or the placement at an entry.
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    const auto decodedLoad = [](double slowness, double weight, double runningWork, Duration cold) {
        Envelope envelope = sampleReport();
        ServerLoad &load = std::get<AgentReport>(envelope.message).load;
        load.slowness = slowness;
        load.slownessWeight = weight;
        load.runningWork = runningWork;
        load.cold = cold;
        const std::optional<Envelope> decoded = decode(encode(envelope));
        REQUIRE(decoded);
        return std::get<AgentReport>(decoded->message).load;
    };
    for (const double invalid : {nan, infinity, -infinity}) {
        INFO(invalid);
        for (const ServerLoad &load : {decodedLoad(invalid, 30, 2, {}), decodedLoad(1.7, invalid, 2, {})}) {
            CHECK(load.slowness == 1.0);
            CHECK(load.slownessWeight == 0.0);
            CHECK(load.runningWork == 2.0);
        }
        const ServerLoad load = decodedLoad(1.7, 30, invalid, {});
        CHECK(load.slowness == 1.7);
        CHECK(load.slownessWeight == 30.0);
        CHECK(load.runningWork == 0.0);
    }
    CHECK(decodedLoad(1, 0, 0, seconds(600)).cold == seconds(600));
    for (const Duration invalid : {Duration(-1), Duration::min(), seconds(600) + Duration(1), Duration::max()}) {
        INFO(invalid.count());
        CHECK(decodedLoad(1, 0, 0, invalid).cold == Duration::zero());
    }
}
