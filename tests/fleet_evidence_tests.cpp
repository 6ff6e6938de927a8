#include "core/dispatch/agent_dispatch.h"
#include "core/dispatch/agent_list.h"
#include "core/dispatch/coordination.h"
#include "core/dispatch/fleet_evidence.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

namespace
{

const Endpoint Agent1{11, 7000};
const Endpoint Agent2{12, 7000};
const ProcessId Entry{Endpoint{1, 7000}, Incarnation(5)};
const ProcessId FormerEntry{Entry.endpoint, Incarnation(4)};
const JobKey Job(77);
const TimePoint Now{seconds(100)};

AgentReport makeReport(const std::vector<ProcessId> &named, bool examined = true)
{
    AgentReport report;
    report.examined = examined;
    report.liveEntries.emplace();
    for (const ProcessId &entry : named) {
        report.liveEntries->push_back(LiveEntry{entry.endpoint, entry.incarnation});
    }
    return report;
}

/// Two listed agents that name the entry.
FleetEvidence completeEvidence()
{
    FleetEvidence evidence;
    evidence.addListedAgents({Agent1, Agent2});
    evidence.recordReport(Agent1, Now, makeReport({Entry}));
    evidence.recordReport(Agent2, Now, makeReport({Entry}));
    return evidence;
}

} // namespace

TEST_CASE("All agents of the fleet are needed, whether they are listed in the store or have only been heard")
{
    FleetEvidence evidence = completeEvidence();
    REQUIRE(evidence.excludesFormerRuns(Now, Entry));
    REQUIRE(evidence.reportedAgents(Now) == 2);
    // An agent that joined after the lists were written.
    evidence.recordAgent(Endpoint{13, 7000});
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now, Entry));
    REQUIRE_FALSE(evidence.isUnheard(Now, Endpoint{2, 7000}));
    REQUIRE(*evidence.firstMissing(Now).agent == Endpoint{13, 7000});
    evidence.recordReport(Endpoint{13, 7000}, Now, makeReport({}));
    REQUIRE(evidence.excludesFormerRuns(Now, Entry));
}

TEST_CASE("Without a list in the store, the agents that were heard are not taken for the whole fleet")
{
    FleetEvidence evidence;
    evidence.addListedAgents({});
    evidence.recordAgent(Agent1);
    evidence.recordReport(Agent1, Now, makeReport({Entry}));
    REQUIRE_FALSE(evidence.isFleetKnown());
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now, Entry));
    REQUIRE_FALSE(evidence.isUnheard(Now, Endpoint{2, 7000}));
}

TEST_CASE("Reports that are old, name no entries or come from an agent that has not examined its server show nothing")
{
    FleetEvidence evidence = completeEvidence();
    REQUIRE(evidence.excludesFormerRuns(Now + milliseconds(590), Entry));
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now + milliseconds(600), Entry));
    evidence.recordReport(Agent1, Now + milliseconds(600), makeReport({Entry}));
    evidence.recordReport(Agent2, Now + milliseconds(600), AgentReport());
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now + milliseconds(600), Entry));
    evidence.recordReport(Agent2, Now + milliseconds(600), makeReport({Entry}, false));
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now + milliseconds(600), Entry));
    REQUIRE(evidence.firstMissing(Now + milliseconds(600)).examining);
    // An agent that starts again has to examine its server anew; a late report of before does not replace that.
    evidence.recordReport(Agent2, Now + milliseconds(500), makeReport({Entry}));
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now + milliseconds(600), Entry));
}

TEST_CASE("An agent that names another incarnation of an entry may have runs of it")
{
    FleetEvidence evidence = completeEvidence();
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now, FormerEntry));
    evidence.recordReport(Agent2, Now, makeReport({FormerEntry}));
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now, Entry));
    // Agents of former versions name no incarnation.
    evidence.recordReport(Agent2, Now, makeReport({ProcessId{Entry.endpoint, Incarnation()}}));
    REQUIRE_FALSE(evidence.excludesFormerRuns(Now, Entry));
    // An agent that has not heard the entry refuses orders of any incarnation for jobs that can be submitted elsewhere by now.
    evidence.recordReport(Agent2, Now, makeReport({}));
    REQUIRE(evidence.excludesFormerRuns(Now, Entry));
}

TEST_CASE("An entry that an agent names is heard, one that none names is not")
{
    const FleetEvidence evidence = completeEvidence();
    REQUIRE_FALSE(evidence.isUnheard(Now, Entry.endpoint));
    REQUIRE(evidence.isUnheard(Now, Endpoint{2, 7000}));
    REQUIRE_FALSE(evidence.isUnheard(Now + milliseconds(600), Endpoint{2, 7000}));
}

TEST_CASE("Jobs that an agent lists may still run, and do not hold up others")
{
    FleetEvidence evidence = completeEvidence();
    AgentReport report = makeReport({Entry});
    report.formerJobs = {Job};
    evidence.recordReport(Agent1, Now, report);
    REQUIRE(evidence.excludesFormerRuns(Now, Entry));
    REQUIRE(evidence.listsFormerJob(Now, Job));
    REQUIRE_FALSE(evidence.listsFormerJob(Now, JobKey(78)));
    evidence.recordReport(Agent1, Now + milliseconds(10), makeReport({Entry}));
    REQUIRE_FALSE(evidence.listsFormerJob(Now + milliseconds(10), Job));
}

TEST_CASE("An agent starts no job for an unnamed coordinator that its client may have submitted elsewhere")
{
    // Clients submit again 1.3 s after a broken connection.
    REQUIRE(AgentTiming().maxJobAgeAtContact + FleetEvidenceTiming().reportAge <= milliseconds(1300));
}

TEST_CASE("The list of agents is written half a second after a change and at most once a second")
{
    const TimePoint start = Now;
    AgentList list(start);
    list.recordRead();
    const std::vector<Endpoint> one{Agent1};
    const std::vector<Endpoint> two{Agent1, Agent2};
    const auto due = [&list](TimePoint now, std::vector<Endpoint> agents) {
        return list.due(now, std::move(agents));
    };
    REQUIRE_FALSE(due(start, {}));
    REQUIRE_FALSE(due(start, one));
    REQUIRE_FALSE(due(start + milliseconds(490), two));
    REQUIRE(due(start + milliseconds(500), two) == two);
    REQUIRE_FALSE(due(start + milliseconds(520), two));
    REQUIRE_FALSE(due(start + milliseconds(600), one));
    REQUIRE_FALSE(due(start + milliseconds(1490), one));
    REQUIRE(due(start + milliseconds(1500), one) == one);
    // A change that is undone needs no write.
    REQUIRE_FALSE(due(start + milliseconds(1600), two));
    REQUIRE_FALSE(due(start + milliseconds(2000), one));
    REQUIRE_FALSE(due(start + milliseconds(2700), two));
}

TEST_CASE("An entry that has not read the lists does not replace its own one while it has heard few agents")
{
    AgentList list(Now);
    REQUIRE_FALSE(list.due(Now + milliseconds(100), {Agent1}));
    REQUIRE_FALSE(list.due(Now + milliseconds(1900), {Agent1}));
    REQUIRE(list.due(Now + seconds(2), {Agent1}));
}
