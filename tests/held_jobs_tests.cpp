#include "core/dispatch/held_jobs.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const TimePoint Now{seconds(100)};

HeldJob makeJob(char digit, Duration latestStart, Duration usefulFor = seconds(5))
{
    HeldJob job;
    job.id = *JobId::parse(std::string(15, '0') + digit);
    WaitingClient client;
    client.tag = ClientTag(static_cast<std::uint64_t>(digit));
    client.deadline = Now + usefulFor + milliseconds(100);
    job.clients.push_back(client);
    job.heldSince = Now;
    job.latestStart = Now + latestStart;
    job.usefulUntil = Now + usefulFor;
    return job;
}

std::string takeOrder(HeldJobs &jobs, TimePoint now)
{
    std::string order;
    while (const std::optional<HeldJob> job = jobs.takeNext(now)) {
        order += job->id.text().back();
    }
    return order;
}

} // namespace

TEST_CASE("Held jobs that can be in time leave first, by latest start, and late ones follow")
{
    // A queue in the order of arrival would spend the first free servers on jobs that are late already.
    HeldJobs jobs(10);
    jobs.add(Now, makeJob('1', milliseconds(400)));
    jobs.add(Now, makeJob('2', milliseconds(50)));
    jobs.add(Now, makeJob('3', milliseconds(90)));
    jobs.add(Now, makeJob('4', milliseconds(300)));
    REQUIRE(takeOrder(jobs, Now + milliseconds(200)) == "4123");
    REQUIRE(jobs.empty());
}

TEST_CASE("Jobs with the same latest start are all kept")
{
    HeldJobs jobs(10);
    jobs.add(Now, makeJob('1', milliseconds(50)));
    jobs.add(Now, makeJob('2', milliseconds(50)));
    REQUIRE(takeOrder(jobs, Now) == "12");
}

TEST_CASE("A full queue drops the late job with the earliest latest start, and otherwise refuses the new one")
{
    HeldJobs jobs(2);
    jobs.add(Now, makeJob('1', milliseconds(80)));
    jobs.add(Now, makeJob('2', milliseconds(40)));
    REQUIRE_FALSE(jobs.add(Now + milliseconds(20), makeJob('3', milliseconds(500))).held);
    REQUIRE(jobs.size() == 2);
    const HeldJobs::Added added = jobs.add(Now + milliseconds(100), makeJob('3', milliseconds(500)));
    REQUIRE(added.held);
    REQUIRE(added.removed->id.text().back() == '2');
    REQUIRE(takeOrder(jobs, Now + milliseconds(100)) == "31");
}

TEST_CASE("A queue of size 0 holds nothing")
{
    HeldJobs jobs(0);
    REQUIRE_FALSE(jobs.add(Now, makeJob('1', milliseconds(80))).held);
    REQUIRE(jobs.empty());
}

TEST_CASE("Held jobs leave once their run can no longer end before the deadline of the last client")
{
    HeldJobs jobs(10);
    jobs.add(Now, makeJob('1', milliseconds(80), milliseconds(300)));
    jobs.add(Now, makeJob('2', milliseconds(40), milliseconds(200)));
    jobs.join(*jobs.find(*JobId::parse("0000000000000002")), WaitingClient(), Now + milliseconds(900));
    REQUIRE(jobs.takeExpired(Now + milliseconds(300)).empty());
    const std::vector<HeldJob> expired = jobs.takeExpired(Now + milliseconds(301));
    REQUIRE(expired.size() == 1);
    REQUIRE(expired[0].id.text().back() == '1');
    REQUIRE(jobs.find(expired[0].id) == nullptr);
}

TEST_CASE("A shutdown deadline moves the time until which a held job is useful")
{
    HeldJobs jobs(10);
    jobs.add(Now, makeJob('1', milliseconds(80), milliseconds(900)));
    jobs.limitDeadlines(Now + milliseconds(500));
    REQUIRE(jobs.takeExpired(Now + milliseconds(400)).empty());
    REQUIRE(jobs.takeExpired(Now + milliseconds(401)).size() == 1);
}

TEST_CASE("A new job waits behind held ones of an earlier latest start that can still be in time")
{
    HeldJobs jobs(10);
    REQUIRE_FALSE(jobs.isAheadOf(Now, Now + milliseconds(100)));
    jobs.add(Now, makeJob('1', milliseconds(80)));
    REQUIRE(jobs.isAheadOf(Now, Now + milliseconds(100)));
    REQUIRE_FALSE(jobs.isAheadOf(Now, Now + milliseconds(70)));
    REQUIRE_FALSE(jobs.isAheadOf(Now + milliseconds(90), Now + milliseconds(100)));
}

TEST_CASE("The agents of a small fleet count as heard after an interval of reports, those of a large one once no more follow")
{
    AgentArrival small;
    small.record(Now, 0);
    REQUIRE_FALSE(small.settled(Now + seconds(1)));
    small.record(Now, 1);
    small.record(Now + milliseconds(30), 11);
    REQUIRE_FALSE(small.settled(Now + milliseconds(199)));
    REQUIRE(small.settled(Now + milliseconds(200)));

    AgentArrival large;
    large.record(Now, 20);
    large.record(Now + milliseconds(30), 40);
    REQUIRE_FALSE(large.settled(Now + milliseconds(60)));
    REQUIRE(large.settled(Now + milliseconds(75)));
}
