#include "core/dispatch/format.h"
#include "core/dispatch/restart_decision.h"
#include "core/dispatch/server_speed.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

/// A queue whose run times vary by a factor of 1.3, and of which a fraction of the jobs takes seven times as long.
RunTimeDistribution makeDistribution(double longShare, int jobs = 2000)
{
    RunTimeDistribution distribution;
    std::mt19937_64 random(3);
    for (int i = 0; i < jobs; ++i) {
        const double ratio = std::exp(std::normal_distribution<double>(0, 0.28)(random));
        const bool isLong = std::uniform_real_distribution<double>(0, 1)(random) < longShare;
        distribution.record(isLong ? 7.0 * ratio : ratio);
    }
    return distribution;
}

RunEvidence makeRun(Duration age)
{
    RunEvidence run;
    run.age = age;
    run.expected = milliseconds(100);
    return run;
}

/// Jobs of 100 ms on one server, about 12 a second, whose run times vary by a factor of 1.3. Some take seven times as long.
class SpeedSimulation
{
public:
    explicit SpeedSimulation(double longShare)
        : m_longShare(longShare)
    { }

    /// Runs for a time in which tasks take `factor` times as long. Returns the highest slowness meanwhile.
    double runFor(Duration length, double factor)
    {
        double highest = 0;
        for (const TimePoint end = now + length; now < end;) {
            now += Tick;
            std::vector<RunProgress> running;
            std::vector<Run> remaining;
            for (Run &run : m_runs) {
                run.workMs -= static_cast<double>(std::chrono::duration_cast<milliseconds>(Tick).count()) / factor;
                if (run.workMs > 0) {
                    remaining.push_back(run);
                    running.push_back(run.progress);
                } else {
                    speed.recordDone(now, run.progress.job, now - run.progress.startedAt, run.progress.estimate);
                }
            }
            m_runs = remaining;
            if (std::uniform_real_distribution<double>(0, 1)(m_random) < JobsPerTick) {
                const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < m_longShare;
                const double spread = std::exp(std::normal_distribution<double>(0, 0.28)(m_random));
                const JobId job = *JobId::parse(std::to_string(1'000'000'000'000'000ULL + ++m_jobs));
                m_runs.push_back(Run{RunProgress{job, now, milliseconds(100)}, (isLong ? 700.0 : 100.0) * spread});
            }
            speed.check(now, running);
            highest = std::max(highest, speed.slowness());
        }
        return highest;
    }

    TimePoint now{seconds(100)};
    ServerSpeed speed;

private:
    static constexpr Duration Tick = milliseconds(5);
    static constexpr double JobsPerTick = 0.06;

    struct Run
    {
        RunProgress progress;
        double workMs = 0;
    };

    double m_longShare;
    std::uint64_t m_jobs = 0;
    std::vector<Run> m_runs;
    std::mt19937_64 m_random{7};
};

} // namespace

TEST_CASE("The distribution of run times shows the fraction of long jobs and how long they take")
{
    const RunTimeDistribution distribution = makeDistribution(0.03);
    REQUIRE(distribution.known());
    CHECK(distribution.probabilityLonger(0.1) == Approx(1.0));
    CHECK(distribution.probabilityLonger(1.0) == Approx(0.52).margin(0.05));
    CHECK(distribution.probabilityLonger(3.0) == Approx(0.03).margin(0.01));
    CHECK(distribution.probabilityLonger(5.0) == Approx(0.026).margin(0.01));
    CHECK(distribution.meanLonger(3.0) == Approx(7.0).margin(0.8));
    CHECK(distribution.meanLonger(0.1) == Approx(1.25).margin(0.1));
    // Beyond the longest recorded run, as much time as has passed is expected to remain.
    CHECK(distribution.meanLonger(40.0) == Approx(80.0).margin(1.0));
}

TEST_CASE("The probability of long tasks falls with the age, without steps between the buckets")
{
    const RunTimeDistribution distribution = makeDistribution(0.03);
    double previous = 1.0;
    for (double ratio = 0.05; ratio < 40; ratio *= 1.01) {
        const double probability = distribution.probabilityLonger(ratio);
        REQUIRE(probability <= previous + 1e-12);
        REQUIRE(previous - probability < 0.02);
        REQUIRE(distribution.meanLonger(ratio) >= ratio);
        previous = probability;
    }
}

TEST_CASE("Without records, one task in nine takes three times the expected time")
{
    const RunTimeDistribution distribution;
    REQUIRE_FALSE(distribution.known());
    REQUIRE(distribution.probabilityLonger(3.0) == Approx(1.0 / 9.0));
    REQUIRE(distribution.meanLonger(3.0) == Approx(6.0));
}

TEST_CASE("The distribution follows a queue whose jobs are not long any more")
{
    RunTimeDistribution distribution = makeDistribution(0.1);
    REQUIRE(distribution.probabilityLonger(3.0) > 0.08);
    for (int i = 0; i < 4000; ++i) {
        distribution.record(1.0);
    }
    REQUIRE(distribution.probabilityLonger(3.0) < 0.005);
}

TEST_CASE("Jobs that are given up before they end count as long ones")
{
    // Load pattern: long jobs exceed the timeout of their clients. If only completed jobs counted, none would seem to be long.
    RunTimeDistribution distribution = makeDistribution(0, 970);
    for (int i = 0; i < 30; ++i) {
        distribution.recordUnfinished(4.0);
    }
    CHECK(distribution.probabilityLonger(3.0) == Approx(0.03).margin(0.005));
    CHECK(distribution.probabilityLonger(4.0) == Approx(0.03).margin(0.005));
}

TEST_CASE("A late run on a server that shows no other sign of slowness is not restarted")
{
    // Scenario: a task of a long job. A restart would discard its work, and take as long elsewhere.
    const RunTimeDistribution distribution = makeDistribution(0.03);
    for (const int age : {200, 300, 400, 600, 800}) {
        const RestartDecision decision = decideRestart(makeRun(milliseconds(age)), distribution);
        INFO("age " << age << " long " << decision.longProbability);
        CHECK_FALSE(decision.restart);
    }
}

TEST_CASE("A run as late as only long tasks is restarted in a queue that has no long jobs")
{
    const RestartDecision decision = decideRestart(makeRun(milliseconds(350)), makeDistribution(0));
    REQUIRE(decision.restart);
    REQUIRE(decision.longProbability < 0.5);
}

TEST_CASE("Late runs of other jobs on the same server are evidence that it is slow")
{
    const RunTimeDistribution distribution = makeDistribution(0.03);
    RunEvidence run = makeRun(milliseconds(350));
    run.otherRunsProbability = 0.03;
    REQUIRE(decideRestart(run, distribution).restart);
    SECTION("unless a run that started later has ended in the usual time")
    {
        run.laterRunEnded = true;
        REQUIRE_FALSE(decideRestart(run, distribution).restart);
    }
    SECTION("unless tasks of the same step are as late on other servers")
    {
        run.ageElsewhere = milliseconds(330);
        REQUIRE_FALSE(decideRestart(run, distribution).restart);
    }
}

TEST_CASE("On a server of another speed, equally late tasks of the step count as on an ordinary one")
{
    // Guards against dividing the age of the run by the slowness of its server, but not the age of the other tasks.
    const RunTimeDistribution distribution = makeDistribution(0.03);
    RunEvidence run = makeRun(milliseconds(200));
    run.otherRunsProbability = 0.03;
    run.ageElsewhere = milliseconds(180);
    const double ordinary = longTaskProbability(run, distribution);
    for (const double slowness : {0.6, 1.5, 3.0}) {
        run.slowness = slowness;
        run.age = scaled(milliseconds(200), slowness);
        run.ageElsewhere = scaled(milliseconds(180), slowness);
        INFO("slowness " << slowness);
        CHECK(longTaskProbability(run, distribution) == Approx(ordinary).epsilon(0.001));
    }
}

TEST_CASE("Tasks of the step that have completed elsewhere in less time show that a late run's server is slow")
{
    RunEvidence run = makeRun(milliseconds(230));
    run.siblingsCompleted = true;
    REQUIRE(decideRestart(run, makeDistribution(0.03)).restart);
    run.age = milliseconds(150);
    REQUIRE_FALSE(decideRestart(run, makeDistribution(0.03)).restart);
    // Scenario: these tasks ran on fast servers, and this run is on one that takes 1.6 times the ordinary time.
    run.age = milliseconds(230);
    run.slowness = 1.6;
    REQUIRE_FALSE(decideRestart(run, makeDistribution(0.03)).restart);
}

TEST_CASE("A run on a server known to be slow is restarted only if it ends earlier elsewhere")
{
    const RunTimeDistribution distribution = makeDistribution(0.03);
    RunEvidence run = makeRun(milliseconds(50));
    run.slowness = 5.0;
    REQUIRE(decideRestart(run, distribution).restart);
    run.age = milliseconds(50);
    run.slowness = 1.3;
    REQUIRE_FALSE(decideRestart(run, distribution).restart);
    // After 2.2 times the expected time on a server twice as slow, little of the task is left.
    run.age = milliseconds(220);
    run.slowness = 2.0;
    REQUIRE_FALSE(decideRestart(run, distribution).restart);
}

TEST_CASE("A server that stands still is left as soon as a restarted run is expected to end earlier")
{
    const RunTimeDistribution distribution = makeDistribution(0.03);
    RunEvidence run = makeRun(milliseconds(190));
    run.suspect = true;
    run.ageElsewhere = milliseconds(180);
    run.laterRunEnded = true;
    REQUIRE(decideRestart(run, distribution).restart);
    run.age = milliseconds(110);
    REQUIRE_FALSE(decideRestart(run, distribution).restart);
}

TEST_CASE("While few jobs have been recorded, a run is restarted at three times its expected time")
{
    const RunTimeDistribution distribution;
    REQUIRE_FALSE(decideRestart(makeRun(milliseconds(320)), distribution).restart);
    REQUIRE(decideRestart(makeRun(milliseconds(340)), distribution).restart);
}

TEST_CASE("An agent measures the usual speed of its server")
{
    for (const double factor : {0.6, 1.0, 1.6}) {
        SpeedSimulation server(0.03);
        server.runFor(seconds(60), factor);
        INFO("factor " << factor);
        CHECK(server.speed.slowness() == Approx(factor * 1.07).epsilon(0.08));
        CHECK(server.speed.weight(server.now) > 100);
    }
}

TEST_CASE("Long jobs don't make a server seem slow")
{
    SpeedSimulation server(0.03);
    server.runFor(seconds(20), 1.0);
    CHECK(server.runFor(seconds(300), 1.0) < 1.4);
}

TEST_CASE("A server that becomes five times slower is noticed within a second of its first overdue runs, and so is its recovery")
{
    SpeedSimulation server(0.03);
    server.runFor(seconds(30), 1.6);
    const double usual = server.speed.slowness();
    // The first runs are overdue after about 0.2 s.
    server.runFor(milliseconds(1200), 8.0);
    CHECK(server.speed.slowness() > 2.0 * usual);
    server.runFor(seconds(4), 8.0);
    CHECK(server.speed.slowness() > 3.0 * usual);
    server.runFor(milliseconds(2500), 1.6);
    CHECK(server.speed.slowness() < 1.4 * usual);
}

TEST_CASE("The tasks of one job count as one, and runs without a baseline don't count")
{
    ServerSpeed speed;
    const TimePoint now(seconds(100));
    const JobId job = *JobId::parse("00000000000000a1");
    for (int i = 0; i < 20; ++i) {
        speed.recordDone(now, job, milliseconds(700), milliseconds(100));
        speed.recordDone(now, *JobId::parse("00000000000000a2"), milliseconds(700), Duration(0));
    }
    speed.check(now, {});
    CHECK(speed.weight(now) == Approx(1.0));
    CHECK(speed.slowness() < 2.0);
}

TEST_CASE("A slow server that gets no runs counts as slow for some seconds")
{
    SpeedSimulation server(0);
    server.runFor(seconds(30), 1.0);
    server.runFor(seconds(4), 5.0);
    const double slow = server.speed.slowness();
    server.speed.check(server.now + seconds(2), {});
    CHECK(server.speed.slowness() > 1.8);
    CHECK(server.speed.slowness() < slow);
    server.speed.check(server.now + seconds(12), {});
    CHECK(server.speed.slowness() < 1.5);
}
