/// Discrete-event simulation of entries, agents, backend servers and clients in virtual time, with fault injection. It runs the
/// real dispatch cores of entries and agents.
#pragma once

#include "coordination_faults.h"
#include "core/dispatch/agent_dispatch.h"
#include "core/dispatch/entry_dispatch.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <set>

namespace cuminscale::dispatch
{

/// Kinds of injected faults. Rates are probabilities per call, run or message.
struct Faults
{
    double delayedCallRate = 0; ///< Calls to servers that are executed 2 to 12 s later and whose response is lost.
    double lostResponseRate = 0; ///< Calls to servers that are executed but whose response is lost.
    double failedRunRate = 0; ///< Runs that fail after a quarter of their run time.
    double lostMessageRate = 0; ///< Messages between entries and agents.
    /// Process kills and pauses, partitions, silent connections and server crashes, about one fault per second.
    bool processFaults = false;
    bool capacityChanges = false; ///< With processFaults: servers also lose a part of their capacity for some seconds.
};

/// Jobs with the same distribution of size and run time, submitted to a queue of their own.
struct JobKind
{
    std::string queue = "q";
    double share = 1.0; ///< Fraction of all jobs.
    std::uint32_t meanTasks = 4; ///< Mean number of tasks per job.
    Duration runTime = milliseconds(120); ///< Median run time of a task.
    double runTimeSigma = 0; ///< Standard deviation of the logarithm of the run time, drawn per job.
    double declaredTimeSigma = 0; ///< Standard deviation of the logarithm of declared over true run time.
    std::int64_t taskCpuMilli = 4000; ///< CPU demand of a task, in thousandths of a core.
    std::uint32_t urgency = 0; ///< 0 is the most urgent.
    /// Fraction of the jobs submitted between deadlyFrom and deadlyUntil that are deadly. A server that starts a deadly task
    /// crashes at once or within 10 ms. Either all tasks of such a job are deadly or only one of them is.
    double deadlyShare = 0;
    /// Fraction of the jobs that take longFactor times as long, on every server. Their declared times don't show it.
    double longShare = 0;
    double longFactor = 7;
};

/// A time at which a backend server crashes on its own.
struct ScheduledCrash
{
    double second = 0; ///< Since the start.
    std::size_t server = 0;
};

/// A time at which an entry is killed.
struct ScheduledEntryKill
{
    double second = 0; ///< Since the start.
    std::size_t entry = 0;
    Duration downtime{0}; ///< Time until it starts again.
};

/// A fault of one agent, or of the calls to its backend server, at a set time. The server itself keeps running.
struct ScheduledAgentFault
{
    enum class Kind : std::uint8_t {
        Kill, ///< The agent ends, and starts again afterwards.
        Pause, ///< The agent stands still.
        Cut, ///< Calls to the server and their responses are lost, and so are its announcements.
        Slowdown, ///< Each call takes slowCallTime of the agent's processor time.
        LostStops, ///< Stop calls are not carried out, and time out. All other calls are answered.
        LateStops, ///< Stop calls time out, and are carried out 0.7 to 3 s after they were sent.
    };

    Kind kind = Kind::Pause;
    double second = 0; ///< Since the start.
    std::size_t agent = 0;
    Duration length{0};
};

/// A time in which runs on a backend server proceed more slowly, including those in progress.
struct ScheduledSlowdown
{
    double second = 0; ///< Since the start.
    std::size_t server = 0;
    Duration length{0};
    double factor = 5; ///< Multiplies run times.
};

/// A time at which all entries and agents end at once, as in a power loss. The backend servers keep running, so that their runs
/// outlive the processes. Each process starts again after `downtime` and up to `spread` more.
struct ScheduledFleetRestart
{
    double second = 0; ///< Since the start.
    Duration downtime{0};
    Duration spread{0};
    bool agents = true; ///< False if only the entries end.
};

/// A time in which a failure domain (d0, d1 or d2) is evacuated by a key in the store.
struct ScheduledEvacuation
{
    std::string domain;
    double from = 0; ///< In seconds since the start.
    double until = 0;
};

/// Size, load and faults of a simulation.
struct SimulationSettings
{
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t agents = 6; ///< Each manages one backend server.
    double jobsPerSecond = 25;
    std::vector<JobKind> kinds = {JobKind()};
    std::int64_t serverCpuMilli = 16000;
    std::vector<std::int64_t> serverCpuMilliByIndex; ///< Replaces serverCpuMilli unless empty.
    AdmissionPolicy admission = AdmissionPolicy::LargestFirst; ///< Of all entries.
    Duration clientTimeout = seconds(6);
    std::size_t payloadBytes = 0; ///< Minimum size of a job's payload.
    /// Outgoing bandwidth of each entry, in bytes per second; 0 for no limit. Messages queue for the link.
    double entryLinkBytesPerSecond = 0;
    double brokenConnectionRate = 0.05; ///< Fraction of jobs whose client loses its connection and resubmits to a random entry.
    Faults faults;
    /// If set, clients submit again to another entry that is running, and the request of a connection that has been lost unread
    /// is not submitted.
    std::optional<CoordinationFaults> coordinationFaults;
    Duration stopDuration = milliseconds(40); ///< Time from the order to stop a run until it has ended.
    std::map<std::size_t, double> runTimeFactors; ///< By server index; multiplies the run times on that server.
    Duration runTimeFactorsDuration = seconds(1000); ///< runTimeFactors apply for this long from the start.
    std::vector<ScheduledSlowdown> slowdowns; ///< In addition to runTimeFactors; those of one server don't overlap.
    /// By server index: seconds after the start from which the server does not respond; its runs are lost.
    std::map<std::size_t, double> unresponsiveFrom;
    std::set<std::size_t> failingServers; ///< Servers on which every run fails.
    /// If set, the first new job of each such interval is deadly, of whichever kind, instead of the share of its kind.
    Duration deadlyInterval{0};
    Duration deadlyFrom{0}; ///< Since the start; see JobKind::deadlyShare.
    Duration deadlyUntil = seconds(1000);
    /// These servers crash like those that start a deadly task: their connections close, they refuse new ones, and they restart
    /// after 3.0 to 3.4 s.
    std::vector<ScheduledCrash> serverCrashes;
    std::vector<ScheduledEntryKill> entryKills;
    std::size_t maxHeldJobs = EntrySettings().maxHeldJobs; ///< Of each entry.
    std::vector<ScheduledAgentFault> agentFaults;
    std::vector<ScheduledFleetRestart> fleetRestarts;
    bool storeAnswers = true; ///< Whether entries can read the lists of agents from the store, and write theirs.
    std::vector<ScheduledEvacuation> evacuations; ///< Unless empty, the processes follow evacuations.
    std::set<std::size_t> entriesWithoutStore; ///< Entries that the store turns away.
    Duration evacuationTimeout = seconds(5); ///< Starts in an evacuated domain are violations after this time.
    /// Clients whose entry is killed submit their jobs again up to this much later than 1.3 s afterwards.
    Duration maxResubmitDelay{0};
    /// Calls of an agent to its server that may be outstanding at a time; further ones are not sent. 0 for no limit.
    std::size_t maxConcurrentCalls = 0;
    Duration serverCallTime{0}; ///< Time that a server takes for each call, in addition to the delay of the network.
    Duration slowCallTime{0}; ///< Processor time that an agent takes for each call, whether it is sent or not, while it is slow.
    double serverClockRate = 1.0; ///< Rate of the clocks of the servers, which also measure their leases.
    /// Time since the start. The first deadly task that crashes a server after it has its coordinator killed within a second.
    std::optional<Duration> coordinatorKilledAfter;
    std::ostream *log = nullptr; ///< Receives the log of all processes; null discards it.
    std::function<double(double second)> loadFactor = [](double) {
        return 1.0;
    }; ///< Multiplies jobsPerSecond, by the time since the start in seconds.
    std::function<double(double second)> lastKindLoadFactor = [](double) {
        return 1.0;
    }; ///< Multiplies the rate of the last kind only.
};

/// Outcome counts of one kind of job.
struct JobKindResult
{
    std::uint64_t submitted = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t inTime = 0; ///< As in SimulationResult.
    std::uint64_t refused = 0; ///< Jobs whose final answer was NotRun.
    std::uint64_t failed = 0; ///< Jobs whose final answer was Failed.
    std::uint64_t deadly = 0; ///< Submitted deadly jobs.
};

/// Counts and detected violations of one simulation.
struct SimulationResult
{
    std::uint64_t submitted = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t inTime = 0; ///< Jobs that succeeded within 1.6 times their run time plus 60 ms.
    std::uint64_t refused = 0; ///< Jobs whose final answer was NotRun.
    std::uint64_t failed = 0;
    std::uint64_t givenUp = 0; ///< Jobs abandoned by their entry when too little time was left to resubmit them.
    std::uint64_t timedOut = 0; ///< Jobs without a final answer before the client's deadline.
    std::uint64_t starts = 0; ///< Runs started by backend servers.
    std::uint64_t finishedRuns = 0; ///< Includes failed and stopped runs and those whose lease has expired.
    std::uint64_t unacknowledgedRuns = 0; ///< Finished runs that no agent has acknowledged at the end.
    std::uint64_t messages = 0; ///< Messages sent between entries and agents, including lost ones.
    std::uint64_t messageBytes = 0; ///< Their total size.
    std::uint64_t completedRuns = 0; ///< Runs that ended successfully.
    Duration longestJob{0}; ///< Longest time from the first submission to the success of a job.
    std::vector<std::string> violations; ///< Violated invariants, with time and task.
    std::uint64_t stoppedRuns = 0;
    double discardedMilliCoreSeconds = 0; ///< CPU demand times elapsed time, over all stopped runs.
    std::uint64_t lapsedRuns = 0; ///< Runs that ended because the lease expired.
    double usedMilliCoreSeconds = 0; ///< CPU demand times full run time, over all runs that completed or failed.
    std::map<std::size_t, std::uint64_t> startsByServer;
    std::map<std::string, JobKindResult> kinds; ///< By queue.
    /// By queue and second of the first submission, counted from the start.
    std::map<std::string, std::map<std::int64_t, JobKindResult>> kindsBySecond;
    std::uint64_t crashes = 0; ///< Crashes of servers under deadly tasks and by serverCrashes.
    std::uint64_t deadlyStarts = 0; ///< Starts of deadly tasks that servers executed.
    std::uint64_t mostCrashes = 0; ///< Largest number of crashes under one deadly task.
    std::uint64_t coordinatorKills = 0; ///< Entries killed because of coordinatorKilledAfter.
    /// By fleet restart: time from the last start of a process until all entries that run may admit jobs.
    std::vector<Duration> admissionDelays;
    std::uint64_t innocentFailed = 0; ///< Jobs without a deadly task whose final answer was Failed.
};

/// Runs the load for a given time, then continues without new jobs until all of them should have ended.
class DispatchSimulation
{
public:
    explicit DispatchSimulation(SimulationSettings settings);
    ~DispatchSimulation();

    SimulationResult runFor(Duration length);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cuminscale::dispatch
