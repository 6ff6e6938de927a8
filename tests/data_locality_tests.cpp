#include "core/dispatch/data_locality.h"
#include "core/dispatch/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const TimePoint Now{seconds(100)};

DataLocality::Request makeRequest(Duration nearWait, double factor, Duration timeToObjective)
{
    DataLocality::Request request;
    request.rack = "r1";
    request.near = DataLocality::Option{nearWait, milliseconds(100), milliseconds(1)};
    request.remote = DataLocality::Option{Duration(0), Duration(static_cast<std::int64_t>(100000 * factor)), milliseconds(7)};
    request.timeToObjective = timeToObjective;
    return request;
}

} // namespace

TEST_CASE("A task waits near its data for at most the additional run time elsewhere, less the cost of the move")
{
    DataLocality locality;
    const DataLocality::Choice shortWait = locality.choose(Now, makeRequest(milliseconds(30), 2.0, seconds(1)));
    REQUIRE(shortWait.near);
    // 100 ms of additional run time, less 10 ms for being handed back and 6 ms for another failure domain.
    REQUIRE(shortWait.waitWithin == milliseconds(84));
    REQUIRE_FALSE(locality.choose(Now, makeRequest(milliseconds(120), 2.0, seconds(1))).near);
    REQUIRE(locality.choose(Now, makeRequest(milliseconds(120), 3.0, seconds(1))).near);
}

TEST_CASE("While the fleet is busy, tasks wait longer near their data")
{
    DataLocality locality;
    DataLocality::Request request = makeRequest(milliseconds(120), 2.0, seconds(1));
    request.utilisation = 0.85;
    const DataLocality::Choice choice = locality.choose(Now, request);
    REQUIRE(choice.near);
    REQUIRE(choice.waitWithin == milliseconds(134));
}

TEST_CASE("While the fleet is full, a task near whose data a server is usable does not run elsewhere")
{
    // Each remote run displaces as much other work as its additional run time.
    DataLocality locality;
    DataLocality::Request request = makeRequest(milliseconds(400), 1.5, milliseconds(700));
    REQUIRE_FALSE(locality.choose(Now, request).near);
    request.utilisation = 0.9;
    const DataLocality::Choice choice = locality.choose(Now, request);
    REQUIRE(choice.near);
    REQUIRE(choice.waitWithin == Duration(0));
    REQUIRE(choice.wait == milliseconds(800));
}

TEST_CASE("A task does not run near its data on a server that fails runs or is on probation")
{
    DataLocality locality;
    DataLocality::Request request = makeRequest(milliseconds(0), 3.0, milliseconds(150));
    request.near->overhead = milliseconds(300);
    REQUIRE_FALSE(locality.choose(Now, request).near);
}

TEST_CASE("A task is handed back while it can still be in time elsewhere")
{
    DataLocality locality;
    const DataLocality::Choice choice = locality.choose(Now, makeRequest(milliseconds(10), 2.0, milliseconds(280)));
    REQUIRE(choice.near);
    // The last of a job's tasks takes a sixth longer.
    REQUIRE(std::chrono::abs(choice.waitWithin - milliseconds(280 - 230 - 16)) < milliseconds(1));
    // It would have to be handed back before the agent checks the limit.
    REQUIRE_FALSE(locality.choose(Now, makeRequest(milliseconds(10), 2.0, milliseconds(255))).near);
    REQUIRE(locality.choose(Now, makeRequest(milliseconds(0), 2.0, milliseconds(255))).near);
    // Elsewhere it would be late in any case, so handing it back would gain nothing.
    const DataLocality::Choice onlyNear = locality.choose(Now, makeRequest(milliseconds(40), 2.0, milliseconds(150)));
    REQUIRE(onlyNear.near);
    REQUIRE(onlyNear.waitWithin == Duration(0));
    // The job counts on twice the expected wait, so it is refused here: views of a hot rack are too old.
    REQUIRE(onlyNear.wait == milliseconds(80));
    // Near its data it would be late.
    REQUIRE_FALSE(locality.choose(Now, makeRequest(milliseconds(160), 2.0, milliseconds(220))).near);
}

TEST_CASE("Without a server on the rack, or off it, there is no choice and no limit")
{
    DataLocality locality;
    DataLocality::Request request = makeRequest(milliseconds(10), 2.0, seconds(1));
    request.remote.reset();
    REQUIRE(locality.choose(Now, request).near);
    REQUIRE(locality.choose(Now, request).waitWithin == Duration(0));
    request.remote = request.near;
    request.near.reset();
    REQUIRE_FALSE(locality.choose(Now, request).near);
}

TEST_CASE("A rack whose waits fail is avoided until waits succeed again or the failures are old")
{
    DataLocality locality;
    const DataLocality::Request request = makeRequest(milliseconds(30), 2.0, seconds(1));
    for (int i = 0; i < 12; ++i) {
        locality.recordExpired(Now, "r1");
    }
    REQUIRE(locality.failedShare(Now, "r1") > 0.5);
    REQUIRE_FALSE(locality.choose(Now, request).near);
    REQUIRE(locality.failedShare(Now, "r2") == 0.0);
    SECTION("a job that can be in time only there counts on being late, so that it is refused at once")
    {
        REQUIRE(locality.choose(Now, makeRequest(milliseconds(10), 3.0, milliseconds(150))).wait >= milliseconds(150));
        REQUIRE(locality.choose(Now, makeRequest(milliseconds(0), 3.0, milliseconds(150))).wait == Duration(0));
    }
    SECTION("waits succeed")
    {
        for (int i = 0; i < 20; ++i) {
            locality.recordStarted(Now, "r1");
        }
        REQUIRE(locality.choose(Now, request).near);
    }
    SECTION("the failures are old")
    {
        REQUIRE(locality.choose(Now + seconds(2), request).near);
    }
}

TEST_CASE("A task that was handed back does not wait near its data again, but uses a server there that is free")
{
    DataLocality locality;
    DataLocality::Request request = makeRequest(milliseconds(30), 2.0, seconds(1));
    request.handedBack = true;
    REQUIRE_FALSE(locality.choose(Now, request).near);
    request.near->wait = Duration(0);
    REQUIRE(locality.choose(Now, request).near);
}

TEST_CASE("While the fleet is full, a task that was handed back does not wait near its data again either")
{
    // Guards against a second wait without a limit: the rule for a full fleet also held tasks whose first wait had failed.
    DataLocality locality;
    DataLocality::Request request = makeRequest(milliseconds(30), 2.0, seconds(1));
    request.utilisation = 0.9;
    REQUIRE(locality.choose(Now, request).near);
    request.handedBack = true;
    const DataLocality::Choice choice = locality.choose(Now, request);
    REQUIRE_FALSE(choice.near);
    REQUIRE(choice.wait == Duration(0));
    // A server there that is free is used.
    request.near->wait = Duration(0);
    REQUIRE(locality.choose(Now, request).near);
    // A task that can be in time only near its data stays there.
    request.near->wait = milliseconds(30);
    request.timeToObjective = milliseconds(180);
    REQUIRE(locality.choose(Now, request).near);
}

TEST_CASE("The number of racks that are remembered is bounded")
{
    // Clients name the racks of their tasks.
    DataLocality locality;
    for (int i = 0; i < 3000; ++i) {
        locality.recordExpired(Now + milliseconds(i), "r" + std::to_string(i));
    }
    REQUIRE(locality.failedShare(Now, "r0") == 0.0);
    REQUIRE(locality.failedShare(Now + milliseconds(3000), "r2999") > 0.0);
}

namespace
{

enum class Policy : std::uint8_t {
    Wait, ///< Always near the data.
    DontWait, ///< Near the data only where the entry expects no wait.
    Decide,
};

/// Jobs of one queue with data on a rack.
struct HotQueue
{
    std::uint32_t tasks;
    Duration run;
    double jobsPerSecond;
    /// Jobs of another queue, of two tasks of 200 ms, whose data is everywhere.
    double backgroundJobsPerSecond = 0;
};

/// Replays a hot rack: 61 servers of 64 cores, and 10 entries whose views of them are up to 150 ms old. Tasks take 5.8 cores; the
/// jobs of the queue have their data on random racks; for 5 s, half of them have it on one rack.
class HotRack
{
public:
    HotRack(const HotQueue &queue, Policy policy, double factor, std::uint32_t rackServers, std::uint64_t seed)
        : m_queue(queue)
        , m_policy(policy)
        , m_factor(factor)
        , m_rackServers(rackServers)
        , m_random(seed)
        , m_servers(Servers)
    {
        for (std::uint32_t i = 0; i < Entries; ++i) {
            m_entries.emplace_back();
            for (std::uint32_t server = 0; server < Servers; ++server) {
                m_entries[i].fleet.findOrAdd(endpoint(server), m_now);
            }
        }
    }

    void run()
    {
        const TimePoint end = m_now + seconds(9);
        const TimePoint hotFrom = m_now + seconds(1);
        for (std::uint32_t step = 0; m_now < end; ++step) {
            m_now += Step;
            for (std::uint32_t server = 0; server < Servers; ++server) {
                advance(server);
            }
            for (std::uint32_t i = 0; i < Entries; ++i) {
                if (step % ReportSteps == i * 3 % ReportSteps) {
                    report(m_entries[i]);
                }
            }
            m_due += m_now < end - seconds(1) ? m_queue.jobsPerSecond * static_cast<double>(Step.count()) / 1e6 : 0.0;
            m_backgroundDue += m_queue.backgroundJobsPerSecond * static_cast<double>(Step.count()) / 1e6;
            for (; m_backgroundDue >= 1.0; m_backgroundDue -= 1.0) {
                submitBackground();
            }
            for (; m_due >= 1.0; m_due -= 1.0) {
                submit(m_now >= hotFrom && m_now < hotFrom + seconds(5));
            }
        }
    }

    std::uint32_t submitted = 0;
    std::uint32_t inTime = 0;
    std::uint32_t backgroundInTime = 0;
    double coreSeconds = 0;

private:
    static constexpr std::uint32_t Servers = 61;
    static constexpr std::uint32_t Entries = 10;
    static constexpr Duration Step = milliseconds(5);
    static constexpr std::uint32_t ReportSteps = 30; ///< Each entry gets a report of each server every 150 ms.
    static constexpr std::int64_t TaskCpu = 5800;

    struct Job
    {
        std::uint32_t entry = 0;
        std::string rack;
        TimePoint objective;
        bool background = false;
        Duration run{0};
        std::uint32_t open = 0;
        std::vector<Endpoint> avoid;
        bool handedBack = false;
        bool refused = false;
    };

    struct Task
    {
        std::shared_ptr<Job> job;
        bool near = false;
        TimePoint inTimeBy;
        TimePoint waitUntil;
        TimePoint ends;
        Duration run{0};
    };

    struct Server
    {
        std::vector<Task> queued;
        std::vector<Task> running;
    };

    struct Entry
    {
        FleetView fleet;
        DataLocality locality;
    };

    static Endpoint endpoint(std::uint32_t server)
    {
        return Endpoint{server + 1, 7000};
    }

    std::string rackOf(std::uint32_t server) const
    {
        return "r" + std::to_string(server / m_rackServers);
    }

    std::int64_t freeCpu(const Server &server) const
    {
        return 64000 - TaskCpu * static_cast<std::int64_t>(server.running.size());
    }

    void report(Entry &entry)
    {
        for (std::uint32_t i = 0; i < Servers; ++i) {
            AgentReport message;
            message.service = "svc";
            message.domain = "d";
            message.ordersSeen = 1;
            message.load.accepting = true;
            message.load.capacity = Resources{64000, 100000, 0};
            message.load.free = Resources{freeCpu(m_servers[i]), 100000, 0};
            message.load.labels = {rackOf(i)};
            for (const Task &task : m_servers[i].queued) {
                message.load.queued.add(task.inTimeBy - m_now, TaskCpu);
            }
            for (const Task &task : m_servers[i].running) {
                message.load.runningWork += static_cast<double>(TaskCpu) * static_cast<double>((task.ends - m_now).count());
            }
            AgentView &agent = *entry.fleet.find(endpoint(i));
            dispatch::Envelope envelope;
            envelope.from = ProcessId{endpoint(i), Incarnation(1)};
            envelope.sentAt = m_now;
            envelope.echoOf = m_now;
            agent.session.receive(envelope, Incarnation(1), m_now);
            FleetView::applyReport(agent, message);
        }
    }

    void advance(std::uint32_t index)
    {
        Server &server = m_servers[index];
        std::vector<Task> ended;
        std::vector<Task> handedBack;
        const auto move = [](std::vector<Task> &from, std::vector<Task> &to, const auto &which) {
            const std::vector<Task>::iterator it =
                std::stable_partition(from.begin(), from.end(), [&](const Task &task) { return !which(task); });
            to.insert(to.end(), it, from.end());
            from.erase(it, from.end());
        };
        move(server.running, ended, [&](const Task &task) { return task.ends <= m_now; });
        std::sort(server.queued.begin(), server.queued.end(), [this](const Task &a, const Task &b) {
            const bool lateA = a.inTimeBy < m_now;
            const bool lateB = b.inTimeBy < m_now;
            return lateA != lateB ? lateB : a.inTimeBy < b.inTimeBy;
        });
        while (!server.queued.empty() && freeCpu(server) >= TaskCpu) {
            Task task = server.queued.front();
            server.queued.erase(server.queued.begin());
            task.ends = m_now + task.run;
            coreSeconds += static_cast<double>(TaskCpu) * static_cast<double>(task.run.count()) / 1e9;
            if (task.near && !task.job->background) {
                DataLocality &locality = m_entries[task.job->entry].locality;
                task.inTimeBy < m_now ? locality.recordExpired(m_now, task.job->rack)
                                      : locality.recordStarted(m_now, task.job->rack);
            }
            server.running.push_back(task);
        }
        move(server.queued, handedBack,
             [&](const Task &task) { return task.waitUntil != TimePoint() && task.waitUntil < m_now; });
        for (const Task &task : ended) {
            if (--task.job->open == 0 && !task.job->refused) {
                const bool counts = m_now <= task.job->objective;
                inTime += counts && !task.job->background ? 1 : 0;
                backgroundInTime += counts && task.job->background ? 1 : 0;
            }
        }
        for (const Task &task : handedBack) {
            m_entries[task.job->entry].locality.recordExpired(m_now, task.job->rack);
            task.job->handedBack = true;
            task.job->avoid.push_back(endpoint(index));
            place(task.job, 1, true);
        }
    }

    void submitBackground()
    {
        const std::shared_ptr<Job> job = std::make_shared<Job>();
        job->entry = static_cast<std::uint32_t>(m_random() % Entries);
        job->background = true;
        job->open = 2;
        job->run = milliseconds(200);
        job->objective = m_now + job->run * 16 / 10 + milliseconds(60);
        place(job, job->open, false);
    }

    void submit(bool hot)
    {
        const std::uint32_t racks = Servers / m_rackServers;
        const std::uint32_t chosen = static_cast<std::uint32_t>(m_random() % racks);
        const std::shared_ptr<Job> job = std::make_shared<Job>();
        job->entry = static_cast<std::uint32_t>(m_random() % Entries);
        job->rack = "r" + std::to_string(hot && m_random() % 100 < 53 ? 0 : chosen);
        job->open = m_queue.tasks;
        job->run = m_queue.run;
        job->objective = m_now + m_queue.run * 16 / 10 + milliseconds(60);
        ++submitted;
        place(job, m_queue.tasks, false);
    }

    void place(const std::shared_ptr<Job> &job, std::uint32_t tasks, bool started)
    {
        Entry &entry = m_entries[job->entry];
        PlacementRequest request;
        request.service = "svc";
        request.domain = "d";
        request.need = Resources{TaskCpu, 10, 0};
        request.expectedRun = job->run;
        request.timeToObjective = job->objective - m_now - milliseconds(6);
        request.preferredRack = job->rack;
        request.remoteDataFactor = m_factor;
        request.urgency = 1;
        request.tasks = tasks;
        request.avoid = job->avoid;
        request.handedBack = job->handedBack;
        if (m_policy == Policy::Decide) {
            request.locality = &entry.locality;
        }
        if (m_policy != Policy::Decide && !job->background) {
            request.requiredLabel = job->rack;
        }
        std::vector<Placement> places = EarliestFinish().place(entry.fleet, request, m_now);
        const bool waits = std::any_of(places.begin(), places.end(), [](const Placement &p) { return p.wait > Duration(0); });
        if (m_policy == Policy::DontWait && !job->background && (waits || places.empty())) {
            request.requiredLabel.clear();
            request.preferredRack = "none";
            places = EarliestFinish().place(entry.fleet, request, m_now);
        }
        const bool late = std::any_of(places.begin(), places.end(),
                                      [&](const Placement &p) { return m_now + p.finish + milliseconds(6) > job->objective; });
        if (places.empty() || (late && !started)) {
            job->refused = true;
            return;
        }
        for (const Placement &place : places) {
            const std::uint32_t server = place.agent->endpoint.ip - 1;
            Task task;
            task.job = job;
            task.near = job->background || rackOf(server) == job->rack;
            // Run times vary by a fifth, so that the servers' slots don't all end together.
            const double varied = 0.8 + 0.4 * static_cast<double>(m_random() % 1000) / 1000.0;
            const double run = static_cast<double>(job->run.count()) * (task.near ? 1.0 : m_factor);
            task.run = Duration(static_cast<std::int64_t>(run * varied));
            task.inTimeBy = job->objective - Duration(static_cast<std::int64_t>(run)) - milliseconds(6);
            task.waitUntil = place.waitWithin > Duration(0) ? m_now + place.waitWithin : TimePoint();
            m_servers[server].queued.push_back(task);
            place.agent->unreportedOrders.push_back(AgentView::UnreportedOrder{1, TaskCpu, 10, 0, task.inTimeBy});
        }
    }

    HotQueue m_queue;
    Policy m_policy;
    double m_factor;
    std::uint32_t m_rackServers;
    std::mt19937_64 m_random;
    TimePoint m_now = Now;
    double m_due = 0;
    double m_backgroundDue = 0;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
};

} // namespace

TEST_CASE("While many jobs want the same rack, limited waits serve more of them in time than always or never waiting")
{
    const double factor = GENERATE(1.5, 2.0, 3.0);
    const std::uint32_t rackServers = GENERATE(8U, 10U);
    const HotQueue queue = GENERATE(HotQueue{2, milliseconds(200), 600}, HotQueue{8, milliseconds(60), 400},
                                    HotQueue{2, milliseconds(200), 600, 900}, HotQueue{8, milliseconds(60), 400, 900});
    double share[3] = {};
    double cpu[3] = {};
    std::uint32_t background[3] = {};
    for (const Policy policy : {Policy::Wait, Policy::DontWait, Policy::Decide}) {
        std::uint32_t submitted = 0;
        std::uint32_t inTime = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            HotRack replay(queue, policy, factor, rackServers, seed);
            replay.run();
            submitted += replay.submitted;
            inTime += replay.inTime;
            background[static_cast<std::size_t>(policy)] += replay.backgroundInTime;
            cpu[static_cast<std::size_t>(policy)] += replay.coreSeconds;
        }
        share[static_cast<std::size_t>(policy)] = static_cast<double>(inTime) / submitted;
    }
    INFO("background jobs per second " << queue.backgroundJobsPerSecond << ", run time in us " << queue.run.count() << ", factor "
                                       << factor << ", " << rackServers << " servers: in time " << share[0] << " waiting, "
                                       << share[1] << " not waiting, " << share[2] << " deciding; of the other queue "
                                       << background[0] << ", " << background[1] << ", " << background[2] << "; core-seconds "
                                       << cpu[0] << ", " << cpu[1] << ", " << cpu[2]);
    CHECK(share[2] > share[0]);
    CHECK(share[2] > share[1] - 0.005);
}
