#include "dispatch_simulation.h"

#include "adapters/dispatch_codec.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace cuminscale::dispatch
{

namespace
{

constexpr Duration TickInterval = milliseconds(15);
constexpr Duration AnnouncementInterval = milliseconds(1500);
constexpr Duration ResubmitDelay = milliseconds(1300);
/// A capacity that has shrunk applies to starts this long after the next announcement at the latest.
constexpr Duration CapacityNotice = seconds(3);
constexpr std::int64_t MaxLeaseMs = 1000;
constexpr Duration StoreResponseTime = milliseconds(4);
constexpr Duration RegistrationLease = seconds(6); ///< Of the registration of an entry in the store.
/// For SimulationSettings::fleetRestarts: time from the start of an agent until its server announces itself there.
constexpr Duration MaxAnnouncementDelay = milliseconds(50);
/// Time from the crash of a server until its caller notices that the connection has been closed.
constexpr Duration MinBrokenConnectionDelay = Duration(500);
constexpr Duration MaxBrokenConnectionDelay = Duration(1500);
/// Time until an attempt to connect to a crashed server fails.
constexpr Duration MinRefusedConnectionDelay = Duration(300);
constexpr Duration MaxRefusedConnectionDelay = Duration(1000);
constexpr Duration MinCrashDowntime = milliseconds(3000);
constexpr Duration MaxCrashDowntime = milliseconds(3400);
constexpr double ImmediateCrashRate = 0.5; ///< Fraction of deadly starts under which the server crashes at once.
constexpr Duration MaxCrashDelay = milliseconds(10);
/// Time from the crash of a server until the kill of the coordinator. An agent reports the lost runs within it.
constexpr Duration MaxCoordinatorKillDelay = seconds(1);
constexpr double AllTasksDeadlyRate = 0.5; ///< Fraction of deadly jobs whose tasks are all deadly.
constexpr std::uint32_t MaxCrashesPerTask = 3; ///< A task under which this many servers have crashed must not be started again.
/// For ScheduledAgentFault::Kind::LateStops: time from the sending of a stop call until it is carried out.
constexpr Duration MinStopDelay = milliseconds(700);
constexpr Duration MaxStopDelay = milliseconds(3000);
/// What a call returns if nothing listens at the address of the server.
constexpr StartAnswer RefusedStartAnswer = StartAnswer::Refused;
constexpr PollFailure RefusedPollFailure = PollFailure::Refused;
/// For SimulationSettings::coordinationFaults. A client whose connection was lost before its request was read, or refused, tries
/// another entry within this time.
constexpr Duration MinFailoverDelay = Duration(300);
constexpr Duration MaxFailoverDelay = milliseconds(3);
constexpr Duration NoEntryRetryInterval = milliseconds(100); ///< Time until a client tries again if no entry is running.
/// Time from reading a request until the entry notices that its connection had been lost before.
constexpr Duration MinEndNoticeDelay = milliseconds(1);
constexpr Duration MaxEndNoticeDelay = milliseconds(200);
constexpr Duration MaxStartWait = milliseconds(600); ///< How long a client waits for an entry to start.
constexpr Duration MaxRequestDelayAfterStart = milliseconds(250); ///< Time from the start of an entry until such clients submit.
constexpr std::uint64_t CoordinationFaultsSeed = 0x636f6f7264; ///< Combined with the seed of the simulation.
constexpr const char *OutcomeNames[] = {"succeeded", "failed", "cancelled", "not-run", "no-queue", "given-up"};
constexpr std::uint16_t PeerPort = 7000;
constexpr std::uint32_t EntrySubnet = 0x0A010000;
constexpr std::uint32_t AgentSubnet = 0x0A020000;

/// Writes log lines with the virtual time and the process to a stream, or discards them if there is none.
class TimestampedLog : public DecisionLog
{
public:
    TimestampedLog(std::ostream *out, const TimePoint &now, std::string process = "simulation")
        : m_out(out)
        , m_now(now)
        , m_process(std::move(process))
    { }

    void write(LogLevel, const char *event, const std::string &fields) override
    {
        if (m_out != nullptr) {
            *m_out << std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count() << " ms " << m_process << " "
                   << event << " " << fields << "\n";
        }
    }

private:
    std::ostream *m_out;
    const TimePoint &m_now;
    std::string m_process;
};

} // namespace

class DispatchSimulation::Impl : public SimulatedProcesses
{
public:
    explicit Impl(SimulationSettings settings);

    SimulationResult runFor(Duration length);

private:
    struct Process;
    struct Server;
    struct ClientJob;

    using Action = std::function<void()>;

    struct Event
    {
        TimePoint at;
        std::uint64_t eventNumber = 0; ///< Events at the same time take place in this order.
        Action action;

        /// The priority queue yields the greatest element first, so earlier events compare greater.
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : eventNumber > other.eventNumber;
        }
    };

    void scheduleAt(TimePoint when, Action action)
    {
        m_events.push(Event{when, ++m_lastEventNumber, std::move(action)});
    }

    // SimulatedProcesses
    TimePoint now() const override
    {
        return m_now;
    }

    void scheduleAfter(Duration delay, Action action) override
    {
        scheduleAt(m_now + delay, std::move(action));
    }

    void killEntry(std::size_t index, Duration downtime) override;
    void pauseEntry(std::size_t index, Duration length) override;
    void breakConnections(std::size_t exceptEntry, double share, Duration within) override;
    void silenceConnection(const Endpoint &from, const Endpoint &to) override
    {
        m_silentConnections.insert({from, to});
    }

    /// Uniformly distributed from 0 to 1.
    double randomFraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    Duration randomDuration(Duration minimum, Duration maximum)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(m_random));
    }

    /// Log-normally distributed factor with median 1; `sigma` is the standard deviation of its logarithm.
    double logNormalFactor(double sigma)
    {
        return sigma == 0 ? 1.0 : std::exp(std::normal_distribution<double>(0, sigma)(m_random));
    }

    /// Draws the kind of the next job with probabilities proportional to the shares; lastKindLoadFactor scales the last one.
    std::size_t randomKind(double second)
    {
        std::vector<double> shares;
        for (const JobKind &kind : m_settings.kinds) {
            shares.push_back(kind.share);
        }
        shares.back() *= m_settings.lastKindLoadFactor(second);
        return shares.size() == 1 ? 0 : std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(m_random);
    }

    std::int64_t serverCpuMilli(std::size_t index) const
    {
        return m_settings.serverCpuMilliByIndex.empty() ? m_settings.serverCpuMilli : m_settings.serverCpuMilliByIndex.at(index);
    }

    /// Increments a counter of the job's kind, both in total and for the second of its first submission.
    void count(const ClientJob &job, std::uint64_t JobKindResult::*counter);

    void recordViolation(const std::string &what)
    {
        const std::int64_t ms = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
        m_result.violations.push_back(std::to_string(ms) + " ms: " + what);
        m_log.write(LogLevel::Error, "VIOLATION", what);
    }

    /// Runs an action in a process, deferred while it is paused. Drops the action if the process is down or has been restarted.
    void runInProcess(Process &process, std::uint64_t generation, Action action);
    /// Sends a message, unless it is dropped by random loss, a partition or a silent connection.
    void deliver(const Endpoint &from, const Endpoint &to, std::string bytes);
    /// A message arrives. `held` messages have waited for the end of a cut and are lost if their connection has been replaced.
    void arrive(const std::pair<Endpoint, Endpoint> &path, std::uint64_t connection, bool held, const std::string &bytes);
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void tick(Process &process, std::uint64_t generation);
    /// Sends the announcement of a backend server to its agent, and schedules the next one.
    void announce(std::size_t index);
    void announceOnce(std::size_t index);
    /// Kills an entry or agent process, which restarts after a delay.
    void killProcess(bool isEntry, std::size_t index);
    void killProcess(bool isEntry, std::size_t index, Duration downtime);
    /// Ends a server process: its runs are lost, open calls to it end soon, new ones are refused until it restarts.
    void crashServer(Server &server);
    /// Kills the entry at which the client of a deadly job waits, if it is due by SimulationSettings::coordinatorKilledAfter.
    void killCoordinator(const JobId &id);
    /// Starts the next incarnation of a server that is down.
    void restartServer(Server &server);
    /// Schedules the end of a run in progress by its endsAt.
    void scheduleRunEnd(Server &server, const TaskRef &task, Duration runDuration);
    /// Changes the factor on the run times of a server, for runs in progress too.
    void changeSpeed(Server &server, double factor);
    /// Records the start of a deadly task and crashes the server at once or within a few milliseconds.
    void startDeadlyTask(Server &server, const TaskRef &task);
    /// Draws whether a new job is deadly, and which of its tasks are.
    void drawDeadlyTasks(ClientJob &job, std::uint32_t tasks);
    /// Schedules SimulationSettings::serverCrashes.
    void scheduleServerCrashes();
    /// Schedules SimulationSettings::entryKills, agentFaults and slowdowns.
    void scheduleFaults();
    void injectAgentFault(const ScheduledAgentFault &fault);
    /// Ends all entries and agents, and starts them again at different times.
    void restartFleet(const ScheduledFleetRestart &restart);
    /// Records the delay of admission once all entries may admit jobs.
    void awaitAdmission(TimePoint lastStart);
    /// Reads the lists of agents from the store, as an entry does at its start.
    void readAgentLists(Process &process);
    void scheduleEvacuations();
    /// Delivers the evacuated domains of the store to an entry, unless the store turns it away.
    void deliverEvacuations(std::size_t entry);
    /// Whether a server has been in an evacuated domain for longer than evacuationTimeout.
    bool mustBeEmpty(const Server &server) const;
    /// Injects a random process fault and schedules the next one.
    void injectFault();
    /// Sets the CPU capacity of a backend server. Starts may still rely on the former one until it has been announced.
    void changeCapacity(Server &server, std::int64_t cpuMilli);
    /// Creates a job, submits it and schedules the next one (Poisson arrivals).
    void submitNextJob();
    /// Submits or resubmits a job to a random entry.
    void submitJob(const std::shared_ptr<ClientJob> &job);
    /// The entry that a client submits a job to; null if none is running.
    Process *chooseEntry(const ClientJob &job);
    /// Submits a job again after a delay or, as drawn, after the next start of an entry since then.
    void resubmitAfter(Duration delay, const std::shared_ptr<ClientJob> &job);
    /// For SimulationSettings::coordinationFaults: sends a request and draws what happens to its connection.
    void submitWithFaults(Process &process, ClientTag tag, const std::shared_ptr<ClientJob> &job);
    /// For SimulationSettings::coordinationFaults: the entry reads a request, unless its connection was lost before.
    void readRequest(Process &process, ClientTag tag, const std::shared_ptr<ClientJob> &job);
    /// For SimulationSettings::coordinationFaults: a client loses its connection and submits its job to another entry.
    void loseConnection(Process &process, ClientTag tag);
    /// Whether a client request has not been read by its entry.
    bool isUnread(ClientTag tag) const
    {
        return m_unreadRequests.count(tag) > 0;
    }
    /// Has the clients that wait for the start of an entry submit to this one.
    void releaseClientsTo(const Process &process);
    void logJob(const char *event, const ClientJob &job, const Process &process, const std::string &fields = "");
    /// Checks that a run that starts is the only one of its task and that its job was not reported as not run.
    void checkStart(const RunRef &run, const Server &server);

    SimulationSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now{seconds(1000)};
    std::uint64_t m_lastEventNumber = 0;
    std::priority_queue<Event> m_events;
    TimestampedLog m_log;
    SimulationResult m_result;
    std::vector<std::unique_ptr<Process>> m_entries;
    Evacuations m_evacuations{1, {}}; ///< As the store has them.
    std::map<std::string, TimePoint> m_evacuatedSince;
    std::vector<std::unique_ptr<Process>> m_agents;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::map<Endpoint, Process *> m_byEndpoint;
    std::map<std::pair<Endpoint, Endpoint>, std::uint64_t> m_connections; ///< Number of replacements of each outgoing connection.
    /// Delivery time of the latest message, by path and connection number.
    std::map<std::pair<std::pair<Endpoint, Endpoint>, std::uint64_t>, TimePoint> m_lastDelivery;
    std::map<Endpoint, TimePoint> m_linkFreeAt; ///< When the link of an entry will have sent all messages so far.
    /// Outgoing connections that drop all messages until they are replaced.
    std::set<std::pair<Endpoint, Endpoint>> m_silentConnections;
    std::set<std::pair<Endpoint, Endpoint>> m_partitionedPaths; ///< Pairs of sender and receiver.
    std::vector<std::shared_ptr<const QueueRule>> m_queues; ///< One for each kind of job.
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_nextTag = 1;
    std::set<JobId> m_notRunJobs; ///< Jobs whose submissions were all answered with NotRun: no task of theirs may start.
    std::map<JobId, std::shared_ptr<ClientJob>> m_jobs;
    std::map<TaskRef, std::uint32_t> m_crashesByTask; ///< Server processes that crashed after they had started the deadly task.
    std::unique_ptr<CoordinationFaultInjector> m_coordinationFaults; ///< Null without SimulationSettings::coordinationFaults.
    std::set<ClientTag> m_unreadRequests; ///< For coordinationFaults.
    std::vector<std::shared_ptr<ClientJob>> m_awaitingStart; ///< Jobs whose clients wait for an entry to start.
    Duration m_nextDeadlyAt{0}; ///< Since the start; for SimulationSettings::deadlyInterval.
    TimePoint m_end;
    bool m_loadEnded = false;
    /// The lists of agents in the store, by entry, with the time at which the lease of a list ends.
    std::map<Endpoint, std::pair<std::vector<Endpoint>, TimePoint>> m_agentLists;
};

/// A job of a client, with the state of all its submissions.
struct DispatchSimulation::Impl::ClientJob
{
    JobId id;
    std::size_t kind = 0;
    Duration runTime{0}; ///< Mean run time of its tasks.
    std::shared_ptr<const JobSpec> spec;
    TimePoint firstSubmittedAt;
    TimePoint deadline;
    bool finished = false; ///< The client has its final answer or has timed out.
    bool connectionBreaks = false; ///< The connection of the first submission breaks.
    std::uint32_t submissions = 0;
    std::uint32_t openSubmissions = 0; ///< Submissions without an answer.
    bool allAnswersNotRun = true; ///< Also false if a submission remained unanswered.
    bool deadly = false; ///< Servers crash when they start its deadly tasks.
    std::optional<std::size_t> lastEntry; ///< Index of the entry of the latest submission.
    std::optional<std::size_t> awaitedEntry; ///< Index of the entry whose start the client has waited for.
    std::uint32_t lostConnections = 0; ///< By coordinationFaults.
    std::optional<std::uint32_t> onlyDeadlyTask; ///< Index of the only deadly task of a deadly job; empty if all are.

    bool isDeadly(const TaskRef &task) const
    {
        return deadly && (!onlyDeadlyTask || *onlyDeadlyTask == task.index);
    }
};

/// A backend server that follows the platform's rules for leases, fencing tokens and run numbers.
struct DispatchSimulation::Impl::Server
{
    struct Run
    {
        RunRef ref;
        std::int64_t cpu = 0;
        TimePoint endsAt;
        TimePoint startedAt;
        bool willFail = false;
        bool stopping = false;
        std::uint64_t serial = 0; ///< Distinguishes the timers of this run from those of later runs of the task.
    };

    std::size_t index = 0;
    bool up = true;
    std::int64_t startTimeMs = 0;
    TimePoint startedAt;
    std::uint64_t sequence = 0;
    std::int64_t highestToken = 0; ///< Requests with a lower fencing token are rejected.
    TimePoint leaseUntil; ///< All active runs end when the lease expires.
    std::uint64_t lastEndNumber = 0;
    std::uint64_t serial = 0;
    std::map<TaskRef, Run> running;
    std::map<TaskRef, std::uint64_t> highestRunNumber; ///< A start with this run number or a lower one is rejected.
    std::vector<FinishedRun> ended; ///< Finished runs, until the agent acknowledges them.
    std::uint64_t leaseCheck = 0;
    std::vector<std::function<void()>> pendingPolls; ///< Callbacks that answer the polls waiting for a run to end.
    std::set<TaskRef> deadlyTasks; ///< Deadly tasks that this incarnation has started.
    bool refusesConnections = false; ///< The process has crashed and nothing listens at its address.
    std::uint64_t lastCall = 0; ///< Number of the latest call to this server.
    std::uint64_t lastBrokenCall = 0; ///< Calls up to this number were made before the latest crash; none of them times out.
    std::map<std::uint64_t, Action> openCalls; ///< By call number: tells the caller that the connection broke.

    double clockRate = 1.0;
    double slowdown = 1.0; ///< By SimulationSettings::slowdowns.
    TimePoint cutUntil; ///< Until then, its agent can't reach it.
    TimePoint stopsLostUntil; ///< As in ScheduledAgentFault.
    TimePoint stopsLateUntil; ///< As in ScheduledAgentFault.
    std::int64_t cpuMilli = 0;
    std::map<TimePoint, std::int64_t> formerCpuMilli; ///< Former capacities, by the time until which starts may rely on them.
    TimePoint restartNoticeUntil; ///< Until then, starts in transit during a restart may rely on the former capacity.

    /// Discards all runs and unanswered calls, as the end of the process does.
    void discardState()
    {
        running.clear();
        ended.clear();
        pendingPolls.clear();
        openCalls.clear();
        deadlyTasks.clear();
    }

    void acceptToken(FencingToken token)
    {
        // The agent raises the token when it notices a restart, so no start that was sent before can begin any more.
        if (highestToken != 0 && token.value() > highestToken) {
            formerCpuMilli.erase(restartNoticeUntil);
        }
        highestToken = token.value();
    }

    /// The largest capacity that a start may rely on now.
    std::int64_t usableCpuMilli(TimePoint now) const
    {
        std::int64_t usable = cpuMilli;
        for (std::map<TimePoint, std::int64_t>::const_iterator it = formerCpuMilli.upper_bound(now); it != formerCpuMilli.end();
             ++it) {
            usable = std::max(usable, it->second);
        }
        return usable;
    }

    /// The server's own clock, which starts at 5 s with each incarnation.
    std::int64_t clockMs(TimePoint now) const
    {
        const Duration elapsed(static_cast<std::int64_t>(static_cast<double>((now - startedAt).count()) * clockRate));
        return 5000 + std::chrono::duration_cast<milliseconds>(elapsed).count();
    }

    /// Extends the lease to a time on the server's clock, which is later than now.
    void extendLease(TimePoint now, std::int64_t untilMs)
    {
        const Duration length = milliseconds(std::min(untilMs - clockMs(now), MaxLeaseMs));
        const Duration realLength(static_cast<std::int64_t>(static_cast<double>(length.count()) / clockRate));
        leaseUntil = std::max(leaseUntil, now + realLength);
    }
};

/// An entry or agent process, with the ports of its core.
struct DispatchSimulation::Impl::Process : public ServerPort, public LinkPort, public ClientPort
{
    Process(Impl &owner, std::size_t number, bool entryRole)
        : simulation(owner)
        , index(number)
        , isEntry(entryRole)
        , endpoint{(entryRole ? EntrySubnet : AgentSubnet) + static_cast<std::uint32_t>(number) + 1, PeerPort}
        , log(owner.m_settings.log, owner.m_now, toString(endpoint))
    { }

    // LinkPort
    void send(const Endpoint &to, const Envelope &envelope) override
    {
        simulation.deliver(endpoint, to, encode(envelope));
    }

    void replaceConnection(const Endpoint &to) override
    {
        ++simulation.m_connections[{endpoint, to}];
        simulation.m_silentConnections.erase({endpoint, to});
    }

    void forgetConnection(const Endpoint &to) override
    {
        replaceConnection(to);
    }

    // ClientPort
    void answer(ClientTag client, JobOutcome answer, const char *reason, Duration retryAfter) override;

    // ServerPort
    void start(RunStart &&order) override;
    void stop(const RunStop &order) override;
    void poll(std::uint64_t number, const PollRequest &order) override;

    /// What the caller of a backend server does when it gets no response.
    struct CallFailure
    {
        Action unanswered; ///< The call timed out or its connection broke.
        Action refused; ///< The connection was refused.
        Action notSent; ///< Too many calls are outstanding.
    };

    enum class CallFate : std::uint8_t { Normal, Late, Lost };

    /// Executes a call at the backend server of this agent, with random faults, and delivers the response that `execute` returns.
    /// If that response is empty, `execute` delivers one later itself and removes the call from Server::openCalls, by its number.
    /// The call times out if the response is lost, or if the server is silent when the call is made.
    void callServer(const std::function<Action(Server &, std::uint64_t call)> &execute, CallFailure failure, Duration timeout,
                    CallFate fate = CallFate::Normal);
    /// An action that runs in this process unless it has ended by then.
    Action inThisIncarnation(Action action);

    Impl &simulation;
    std::size_t index; ///< An agent manages the server with the same index.
    bool isEntry;
    Endpoint endpoint;
    TimestampedLog log;
    std::uint64_t generation = 0; ///< Incremented at each start; actions of earlier generations are dropped.
    bool up = false;
    TimePoint pausedUntil; ///< Until then the process is paused or busy.
    TimePoint slowUntil; ///< Until then each call takes SimulationSettings::slowCallTime.
    std::set<std::uint64_t> outstandingCalls; ///< Numbers of the calls that this process waits for.
    std::unique_ptr<EntryDispatch> entry;
    std::unique_ptr<AgentDispatch> agent;
    std::map<ClientTag, std::shared_ptr<ClientJob>> clients;
};

void DispatchSimulation::Impl::runInProcess(Process &process, std::uint64_t generation, Action action)
{
    if (!process.up || process.generation != generation) {
        return;
    }
    if (process.pausedUntil > m_now) {
        scheduleAt(process.pausedUntil,
                   [this, &process, generation, action = std::move(action)]() { runInProcess(process, generation, action); });
        return;
    }
    action();
}

void DispatchSimulation::Impl::deliver(const Endpoint &from, const Endpoint &to, std::string bytes)
{
    ++m_result.messages;
    m_result.messageBytes += bytes.size();
    const std::pair<Endpoint, Endpoint> path{from, to};
    const std::uint64_t connection = m_connections[path];
    if (m_silentConnections.count(path) > 0 || m_partitionedPaths.count(path) > 0
        || randomFraction() < m_settings.faults.lostMessageRate) {
        return;
    }
    const CoordinationFaultInjector::Cut *cut = m_coordinationFaults ? m_coordinationFaults->cut(path) : nullptr;
    if (cut != nullptr && !cut->holds) {
        return;
    }
    // Messages on one connection stay in order; those on a new connection may overtake messages on the old one.
    TimePoint &last = m_lastDelivery[{path, connection}];
    TimePoint sentAt = cut == nullptr ? m_now : cut->until;
    if (m_settings.entryLinkBytesPerSecond > 0 && m_byEndpoint.at(from)->isEntry) {
        TimePoint &linkFreeAt = m_linkFreeAt[from];
        const double seconds = static_cast<double>(bytes.size()) / m_settings.entryLinkBytesPerSecond;
        linkFreeAt = std::max(linkFreeAt, m_now) + Duration(static_cast<std::int64_t>(seconds * 1e6));
        sentAt = std::max(sentAt, linkFreeAt);
    }
    last = std::max(last, sentAt + randomDuration(Duration(800), milliseconds(2)));
    scheduleAt(last, [this, path, connection, held = cut != nullptr, bytes = std::move(bytes)]() {
        arrive(path, connection, held, bytes);
    });
}

void DispatchSimulation::Impl::arrive(const std::pair<Endpoint, Endpoint> &path, std::uint64_t connection, bool held,
                                      const std::string &bytes)
{
    if (const CoordinationFaultInjector::Cut *cut = m_coordinationFaults ? m_coordinationFaults->cut(path) : nullptr) {
        if (cut->holds) {
            scheduleAt(cut->until, [this, path, connection, bytes]() { arrive(path, connection, true, bytes); });
        }
        return;
    }
    const std::map<Endpoint, Process *>::const_iterator it = m_byEndpoint.find(path.second);
    if (it == m_byEndpoint.end() || m_partitionedPaths.count(path) > 0 || (held && m_connections[path] != connection)) {
        return;
    }
    Process &receiver = *it->second;
    runInProcess(receiver, receiver.generation, [this, &receiver, bytes]() {
        const std::optional<Envelope> envelope = decode(bytes);
        if (!envelope) {
            recordViolation("message could not be decoded");
            return;
        }
        if (receiver.entry) {
            receiver.entry->onMessage(m_now, *envelope);
        } else if (receiver.agent) {
            receiver.agent->onMessage(m_now, *envelope);
        }
    });
}

DispatchSimulation::Impl::Action DispatchSimulation::Impl::Process::inThisIncarnation(Action action)
{
    return [this, callerGeneration = generation, action = std::move(action)]() {
        simulation.runInProcess(*this, callerGeneration, action);
    };
}

void DispatchSimulation::Impl::Process::callServer(const std::function<Action(Server &, std::uint64_t call)> &execute,
                                                   CallFailure failure, Duration timeout, CallFate fate)
{
    const std::uint64_t callerGeneration = generation;
    Server &server = *simulation.m_servers[index];
    if (slowUntil > simulation.m_now) {
        pausedUntil = std::max(pausedUntil, simulation.m_now) + simulation.m_settings.slowCallTime;
    }
    const std::size_t maxCalls = simulation.m_settings.maxConcurrentCalls;
    if (maxCalls > 0 && outstandingCalls.size() >= maxCalls) {
        simulation.scheduleAfter(Duration(0), inThisIncarnation(std::move(failure.notSent)));
        return;
    }
    const Duration sentAfter = std::max(Duration(0), pausedUntil - simulation.m_now);
    if (server.refusesConnections) {
        simulation.scheduleAfter(simulation.randomDuration(MinRefusedConnectionDelay, MaxRefusedConnectionDelay),
                                 inThisIncarnation(std::move(failure.refused)));
        return;
    }
    const std::int64_t startTimeMsAtCall = server.startTimeMs;
    const std::map<std::size_t, double>::const_iterator unresponsive = simulation.m_settings.unresponsiveFrom.find(server.index);
    if (unresponsive != simulation.m_settings.unresponsiveFrom.end()
        && simulation.m_now > TimePoint(seconds(1000)) + Duration(static_cast<std::int64_t>(unresponsive->second * 1e6))) {
        server.up = false;
        server.running.clear();
    }
    const std::uint64_t call = ++server.lastCall;
    outstandingCalls.insert(call);
    const Action onTimeout = std::move(failure.unanswered);
    const Action onUnanswered = inThisIncarnation([this, call, onTimeout]() {
        outstandingCalls.erase(call);
        onTimeout();
    });
    server.openCalls[call] = onUnanswered;
    const bool delayed = simulation.randomFraction() < simulation.m_settings.faults.delayedCallRate || fate == CallFate::Late;
    const bool responseLost = delayed || simulation.randomFraction() < simulation.m_settings.faults.lostResponseRate;
    Duration delay = simulation.m_settings.serverCallTime + sentAfter;
    if (fate == CallFate::Late) {
        delay += simulation.randomDuration(MinStopDelay, MaxStopDelay);
    } else if (delayed) {
        delay += simulation.randomDuration(seconds(2), seconds(12));
    } else {
        delay += simulation.randomDuration(Duration(200), Duration(700));
    }
    simulation.scheduleAfter(
        delay, [this, &server, delayed, startTimeMsAtCall, callerGeneration, execute, responseLost, call, fate]() {
            // A delayed request is queued in the server and is lost when the server restarts. A request that is not delayed may
            // reach the next incarnation if the server restarts while the request is in transit.
            if (!server.up || (delayed && server.startTimeMs != startTimeMsAtCall)) {
                return;
            }
            if (fate == CallFate::Lost || (!delayed && server.cutUntil > simulation.m_now)) {
                return;
            }
            Action response = execute(server, call);
            if (!responseLost && response) {
                server.openCalls.erase(call);
                simulation.scheduleAfter(simulation.randomDuration(Duration(200), Duration(700)),
                                         [this, callerGeneration, call, response = std::move(response)]() {
                                             simulation.runInProcess(*this, callerGeneration, [this, call, response]() {
                                                 outstandingCalls.erase(call);
                                                 response();
                                             });
                                         });
            }
        });
    if (!simulation.m_settings.agentFaults.empty()) {
        // Any call may be cut off.
        simulation.scheduleAfter(sentAfter + timeout, [&server, call, unanswered = inThisIncarnation([this, call, onTimeout]() {
                                                                          if (outstandingCalls.erase(call) > 0) {
                                                                              onTimeout();
                                                                          }
                                                                      })]() {
            server.openCalls.erase(call);
            if (call > server.lastBrokenCall) {
                unanswered();
            }
        });
    } else if (responseLost || !server.up) {
        simulation.scheduleAfter(timeout, [&server, call, onUnanswered]() {
            server.openCalls.erase(call);
            if (call > server.lastBrokenCall) {
                onUnanswered();
            }
        });
    }
}

void DispatchSimulation::Impl::crashServer(Server &server)
{
    if (!server.up) {
        return;
    }
    ++m_result.crashes;
    m_log.write(LogLevel::Info, "CRASH",
                "server=" + std::to_string(server.index) + " runs=" + std::to_string(server.running.size()));
    for (const TaskRef &task : server.deadlyTasks) {
        m_result.mostCrashes = std::max<std::uint64_t>(m_result.mostCrashes, ++m_crashesByTask[task]);
        killCoordinator(task.job);
    }
    for (const std::pair<const std::uint64_t, Action> &call : server.openCalls) {
        scheduleAfter(randomDuration(MinBrokenConnectionDelay, MaxBrokenConnectionDelay), call.second);
    }
    server.up = false;
    server.refusesConnections = true;
    server.lastBrokenCall = server.lastCall;
    server.discardState();
    scheduleAfter(randomDuration(MinCrashDowntime, MaxCrashDowntime), [this, &server]() { restartServer(server); });
}

void DispatchSimulation::Impl::restartServer(Server &server)
{
    server.up = true;
    server.refusesConnections = false;
    server.startedAt = m_now;
    server.startTimeMs = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    server.sequence = 0;
    server.highestToken = 0;
    server.lastEndNumber = 0;
    server.highestRunNumber.clear();
    server.leaseUntil = TimePoint();
    const std::int64_t formerCpuMilli = server.usableCpuMilli(m_now);
    server.restartNoticeUntil = m_now + AnnouncementInterval + CapacityNotice;
    server.formerCpuMilli = {{server.restartNoticeUntil, formerCpuMilli}};
}

void DispatchSimulation::Impl::startDeadlyTask(Server &server, const TaskRef &task)
{
    ++m_result.deadlyStarts;
    server.deadlyTasks.insert(task);
    if (m_crashesByTask[task] >= MaxCrashesPerTask) {
        recordViolation("task started after it had crashed three servers: " + toString(task));
    }
    if (randomFraction() < ImmediateCrashRate) {
        crashServer(server);
        return;
    }
    scheduleAfter(randomDuration(Duration(0), MaxCrashDelay), [this, &server, startTimeMs = server.startTimeMs]() {
        if (server.startTimeMs == startTimeMs) {
            crashServer(server);
        }
    });
}

void DispatchSimulation::Impl::checkStart(const RunRef &run, const Server &server)
{
    for (const std::unique_ptr<Server> &other : m_servers) {
        const std::map<TaskRef, Server::Run>::const_iterator it = other->running.find(run.task);
        if (other->up && it != other->running.end() && (other.get() != &server || it->second.ref != run)) {
            recordViolation("concurrent runs of " + toString(run.task) + " on servers " + std::to_string(other->index) + " and "
                            + std::to_string(server.index));
        }
    }
    if (m_notRunJobs.count(run.task.job) > 0) {
        recordViolation("run started for a job reported as not run: " + toString(run.task));
    }
}

void DispatchSimulation::Impl::Process::start(RunStart &&order)
{
    const RunRef ref = order.run;
    callServer(
        [this, order](Server &server, std::uint64_t) -> Action {
            Impl &sim = simulation;
            const std::int64_t clock = server.clockMs(sim.m_now);
            const auto respond = [this, run = order.run](StartAnswer answer) -> Action {
                return [this, run, answer]() {
                    agent->onStartAnswered(simulation.m_now, run, answer);
                };
            };
            if (order.token.value() < server.highestToken) {
                return respond(StartAnswer::StaleToken);
            }
            server.acceptToken(order.token);
            const std::map<TaskRef, Server::Run>::const_iterator running = server.running.find(order.run.task);
            if (running != server.running.end() && running->second.ref == order.run) {
                return respond(StartAnswer::Accepted);
            }
            if (order.notAfter.value() <= clock) {
                return respond(StartAnswer::StartDeadlinePassed);
            }
            std::uint64_t &highestNumber = server.highestRunNumber[order.run.task];
            if (order.run.run.value() <= highestNumber) {
                return respond(StartAnswer::RunNumberUsed);
            }
            highestNumber = order.run.run.value();
            const ClientJob &job = *sim.m_jobs.at(order.run.task.job);
            const std::int64_t taskCpuMilli = sim.m_settings.kinds[job.kind].taskCpuMilli;
            std::int64_t used = taskCpuMilli;
            for (const std::pair<const TaskRef, Server::Run> &run : server.running) {
                used += run.second.cpu;
            }
            if (used > server.usableCpuMilli(sim.m_now)) {
                sim.recordViolation("running tasks exceed the capacity of server " + std::to_string(server.index));
            }
            if (sim.mustBeEmpty(server)) {
                sim.recordViolation("start in an evacuated domain: " + toString(order.run.task));
            }
            sim.checkStart(order.run, server);
            if (job.spec->payload != *order.payload) {
                sim.recordViolation("payload differs from the submitted one: " + toString(order.run.task));
            }
            const std::map<std::size_t, double>::const_iterator factorEntry = sim.m_settings.runTimeFactors.find(server.index);
            const bool nominalSpeed = factorEntry == sim.m_settings.runTimeFactors.end()
                || sim.m_now > TimePoint(seconds(1000)) + sim.m_settings.runTimeFactorsDuration;
            const double factor = (nominalSpeed ? 1.0 : factorEntry->second) * server.slowdown;
            const Duration runDuration = Duration(static_cast<std::int64_t>(
                static_cast<double>(sim.randomDuration(job.runTime * 8 / 10, job.runTime * 12 / 10).count()) * factor));
            const bool willFail = sim.m_settings.failingServers.count(server.index) > 0
                || sim.randomFraction() < sim.m_settings.faults.failedRunRate;
            const std::uint64_t serial = ++server.serial;
            server.running[order.run.task] =
                Server::Run{order.run, taskCpuMilli, sim.m_now + runDuration, sim.m_now, willFail, false, serial};
            server.extendLease(sim.m_now, order.notAfter.value());
            if (sim.m_settings.log != nullptr) {
                sim.m_log.write(LogLevel::Info, "RUN",
                                toString(order.run.task) + " number=" + std::to_string(order.run.run.value())
                                    + " server=" + std::to_string(server.index)
                                    + " for_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(runDuration).count()));
            }
            ++sim.m_result.starts;
            ++sim.m_result.startsByServer[server.index];
            if (job.isDeadly(order.run.task)) {
                sim.startDeadlyTask(server, order.run.task);
                return server.up ? respond(StartAnswer::Accepted) : Action();
            }
            if (willFail) {
                server.running[order.run.task].endsAt = sim.m_now + runDuration / 4;
            }
            sim.scheduleRunEnd(server, order.run.task, runDuration);
            return respond(StartAnswer::Accepted);
        },
        CallFailure{
            [this, ref]() { agent->onStartAnswered(simulation.m_now, ref, StartAnswer::Unknown); },
            [this, ref]() { agent->onStartAnswered(simulation.m_now, ref, RefusedStartAnswer); },
            [this, ref]() { agent->onStartAnswered(simulation.m_now, ref, StartAnswer::NotSent); },
        },
        milliseconds(200));
}

void DispatchSimulation::Impl::scheduleRunEnd(Server &server, const TaskRef &task, Duration runDuration)
{
    const Server::Run &scheduled = server.running.at(task);
    scheduleAt(scheduled.endsAt, [this, &server, task, serial = scheduled.serial, endsAt = scheduled.endsAt, runDuration]() {
        const std::map<TaskRef, Server::Run>::iterator it = server.running.find(task);
        if (it == server.running.end() || it->second.serial != serial || it->second.endsAt != endsAt) {
            return;
        }
        const Server::Run run = it->second;
        server.running.erase(it);
        server.ended.push_back(FinishedRun{++server.lastEndNumber, run.ref, run.willFail ? RunEnd::Failed : RunEnd::Done});
        ++m_result.finishedRuns;
        m_result.completedRuns += run.willFail ? 0 : 1;
        m_result.usedMilliCoreSeconds += static_cast<double>(run.cpu) * static_cast<double>(runDuration.count()) / 1e6;
        std::vector<std::function<void()>> polls = std::move(server.pendingPolls);
        server.pendingPolls.clear();
        for (const std::function<void()> &notifyPoll : polls) {
            notifyPoll();
        }
    });
}

void DispatchSimulation::Impl::changeSpeed(Server &server, double factor)
{
    const double change = factor / server.slowdown;
    server.slowdown = factor;
    for (std::pair<const TaskRef, Server::Run> &item : server.running) {
        Server::Run &run = item.second;
        const Duration remaining(static_cast<std::int64_t>(static_cast<double>((run.endsAt - m_now).count()) * change));
        run.endsAt = m_now + remaining;
        scheduleRunEnd(server, item.first, run.endsAt - run.startedAt);
    }
}

void DispatchSimulation::Impl::Process::stop(const RunStop &order)
{
    const Action onUnacknowledged = [this, order]() {
        agent->onStopAnswered(simulation.m_now, order.run, false);
    };
    const Server &target = *simulation.m_servers[index];
    CallFate fate = CallFate::Normal;
    if (target.stopsLostUntil > simulation.m_now) {
        fate = CallFate::Lost;
    } else if (target.stopsLateUntil > simulation.m_now) {
        fate = CallFate::Late;
    }
    callServer(
        [this, order](Server &server, std::uint64_t) -> Action {
            if (order.token.value() < server.highestToken) {
                return [this, order]() {
                    agent->onStopAnswered(simulation.m_now, order.run, false);
                };
            }
            server.acceptToken(order.token);
            std::uint64_t &highestNumber = server.highestRunNumber[order.run.task];
            highestNumber = std::max(highestNumber, order.run.run.value());
            const std::map<TaskRef, Server::Run>::iterator it = server.running.find(order.run.task);
            if (it != server.running.end() && it->second.ref == order.run && !it->second.stopping) {
                it->second.stopping = true;
                const std::uint64_t serial = it->second.serial;
                simulation.scheduleAfter(simulation.m_settings.stopDuration, [this, &server, run = order.run, serial]() {
                    const std::map<TaskRef, Server::Run>::iterator stopped = server.running.find(run.task);
                    if (stopped != server.running.end() && stopped->second.serial == serial) {
                        simulation.m_result.discardedMilliCoreSeconds += static_cast<double>(stopped->second.cpu)
                            * static_cast<double>((simulation.m_now - stopped->second.startedAt).count()) / 1e6;
                        server.running.erase(stopped);
                        server.ended.push_back(FinishedRun{++server.lastEndNumber, run, RunEnd::Stopped});
                        ++simulation.m_result.finishedRuns;
                        ++simulation.m_result.stoppedRuns;
                    }
                });
            }
            return [this, order]() {
                agent->onStopAnswered(simulation.m_now, order.run, true);
            };
        },
        CallFailure{onUnacknowledged, onUnacknowledged, onUnacknowledged}, milliseconds(200), fate);
}

void DispatchSimulation::Impl::Process::poll(std::uint64_t number, const PollRequest &order)
{
    // Before the first announcement, the agent only learns whether the address refuses connections. Without random draws, such a
    // poll does not change the faults that a seed stands for.
    if (order.server.id.empty()) {
        const PollFailure failure = simulation.m_servers[index]->refusesConnections ? PollFailure::Refused : PollFailure::Unknown;
        simulation.scheduleAfter(milliseconds(1), inThisIncarnation([this, number, failure]() {
                                     agent->onPollAnswered(simulation.m_now, number, std::nullopt, failure);
                                 }));
        return;
    }
    const std::uint64_t callerGeneration = generation;
    callServer(
        [this, number, order, callerGeneration](Server &server, std::uint64_t call) -> Action {
            if (order.token.value() < server.highestToken) {
                return [this, number]() {
                    agent->onPollAnswered(simulation.m_now, number, std::nullopt, PollFailure::StaleToken);
                };
            }
            server.acceptToken(order.token);
            const std::int64_t clock = server.clockMs(simulation.m_now);
            if (order.leaseUntil && order.leaseUntil->value() > clock) {
                server.extendLease(simulation.m_now, order.leaseUntil->value());
            }
            server.ended.erase(std::remove_if(server.ended.begin(), server.ended.end(),
                                              [&order](const FinishedRun &end) { return end.number <= order.acknowledgedEnd; }),
                               server.ended.end());
            const auto inventory = [this, &server]() {
                Inventory result;
                result.startTimeMs = server.startTimeMs;
                result.clock = ServerTime(server.clockMs(simulation.m_now));
                result.ended = server.ended;
                for (const std::pair<const TaskRef, Server::Run> &run : server.running) {
                    result.running.push_back(ListedRun{run.second.ref});
                }
                return result;
            };
            if (!server.ended.empty() || order.maxWait == Duration(0)) {
                return [this, number, result = inventory()]() {
                    agent->onPollAnswered(simulation.m_now, number, result, PollFailure::None);
                };
            }
            const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
            const auto reply = [this, number, answered, inventory, callerGeneration, startTimeMsAtCall = server.startTimeMs, call,
                                &server]() {
                if (*answered || !server.up || server.startTimeMs != startTimeMsAtCall || server.cutUntil > simulation.m_now) {
                    return;
                }
                *answered = true;
                server.openCalls.erase(call);
                simulation.scheduleAfter(Duration(400), [this, number, callerGeneration, call, result = inventory()]() {
                    simulation.runInProcess(*this, callerGeneration, [this, number, call, result]() {
                        outstandingCalls.erase(call);
                        agent->onPollAnswered(simulation.m_now, number, result, PollFailure::None);
                    });
                });
            };
            server.pendingPolls.emplace_back(reply);
            simulation.scheduleAfter(order.maxWait, reply);
            return nullptr;
        },
        CallFailure{
            [this, number]() { agent->onPollAnswered(simulation.m_now, number, std::nullopt, PollFailure::Unknown); },
            [this, number]() { agent->onPollAnswered(simulation.m_now, number, std::nullopt, RefusedPollFailure); },
            [this, number]() { agent->onPollAnswered(simulation.m_now, number, std::nullopt, PollFailure::NotSent); },
        },
        order.maxWait + milliseconds(200));
}

void DispatchSimulation::Impl::Process::answer(ClientTag client, JobOutcome answer, const char *, Duration)
{
    const std::map<ClientTag, std::shared_ptr<ClientJob>>::iterator it = clients.find(client);
    if (it == clients.end()) {
        return;
    }
    const std::shared_ptr<ClientJob> job = it->second;
    clients.erase(it);
    --job->openSubmissions;
    SimulationResult &result = simulation.m_result;
    job->allAnswersNotRun = job->allAnswersNotRun && answer == JobOutcome::NotRun;
    if (answer == JobOutcome::NotRun && job->openSubmissions == 0 && job->allAnswersNotRun && !job->finished) {
        simulation.m_notRunJobs.insert(job->id);
        for (const std::unique_ptr<Server> &server : simulation.m_servers) {
            for (const std::pair<const TaskRef, Server::Run> &run : server->running) {
                if (run.first.job == job->id) {
                    simulation.recordViolation("job reported as not run while a task runs: " + toString(run.first));
                }
            }
        }
    }
    if (job->finished) {
        return;
    }
    if (answer == JobOutcome::GivenUp && simulation.m_now + ResubmitDelay < job->deadline) {
        simulation.resubmitAfter(ResubmitDelay, job);
        return;
    }
    job->finished = true;
    if (simulation.m_coordinationFaults) {
        simulation.logJob("ANSWERED", *job, *this, std::string(" outcome=") + OutcomeNames[static_cast<std::size_t>(answer)]);
    }
    const bool inTime = simulation.m_now - job->firstSubmittedAt <= job->runTime * 16 / 10 + milliseconds(60);
    switch (answer) {
    case JobOutcome::Succeeded:
        ++result.succeeded;
        simulation.count(*job, &JobKindResult::succeeded);
        result.longestJob = std::max(result.longestJob, simulation.m_now - job->firstSubmittedAt);
        result.inTime += inTime ? 1 : 0;
        if (inTime) {
            simulation.count(*job, &JobKindResult::inTime);
        }
        break;
    case JobOutcome::NotRun:
        ++result.refused;
        simulation.count(*job, &JobKindResult::refused);
        break;
    case JobOutcome::GivenUp:
        ++result.givenUp;
        break;
    default:
        ++result.failed;
        result.innocentFailed += job->deadly ? 0 : 1;
        simulation.count(*job, &JobKindResult::failed);
    }
}

void DispatchSimulation::Impl::count(const ClientJob &job, std::uint64_t JobKindResult::*counter)
{
    const std::string &queue = m_settings.kinds[job.kind].queue;
    const Duration sinceStart = job.firstSubmittedAt - TimePoint(seconds(1000));
    ++(m_result.kinds[queue].*counter);
    ++(m_result.kindsBySecond[queue][std::chrono::duration_cast<seconds>(sinceStart).count()].*counter);
}

void DispatchSimulation::Impl::startEntry(std::size_t index)
{
    Process &process = *m_entries[index];
    process.up = true;
    ++process.generation;
    EntrySettings settings;
    settings.self = ProcessId{process.endpoint, Incarnation(static_cast<std::uint64_t>(m_now.time_since_epoch().count()))};
    settings.domain = "d" + std::to_string(index % 3);
    settings.maxHeldJobs = m_settings.maxHeldJobs;
    settings.admission = m_settings.admission;
    for (const std::unique_ptr<Process> &entry : m_entries) {
        settings.entries.push_back(entry->endpoint);
    }
    settings.followsEvacuations = !m_settings.evacuations.empty();
    process.entry = std::make_unique<EntryDispatch>(settings, process, process, process.log, m_now);
    readAgentLists(process);
    tick(process, process.generation);
    deliverEvacuations(index);
    if (m_coordinationFaults) {
        m_coordinationFaults->onEntryStarted(process.endpoint);
        releaseClientsTo(process);
    }
}

void DispatchSimulation::Impl::readAgentLists(Process &process)
{
    if (!m_settings.storeAnswers) {
        return;
    }
    scheduleAfter(StoreResponseTime, [this, &process, generation = process.generation]() {
        runInProcess(process, generation, [this, &process]() {
            std::set<Endpoint> agents;
            for (const std::pair<const Endpoint, std::pair<std::vector<Endpoint>, TimePoint>> &list : m_agentLists) {
                if (list.second.second > m_now) {
                    agents.insert(list.second.first.begin(), list.second.first.end());
                }
            }
            process.entry->addListedAgents(m_now, std::vector<Endpoint>(agents.begin(), agents.end()));
        });
    });
}

void DispatchSimulation::Impl::restartFleet(const ScheduledFleetRestart &restart)
{
    m_log.write(LogLevel::Info, "FAULT", "fleet-restart");
    TimePoint lastStart = m_now;
    for (const bool isEntry : {true, false}) {
        if (!isEntry && !restart.agents) {
            continue;
        }
        for (std::size_t i = 0; i < (isEntry ? m_entries : m_agents).size(); ++i) {
            const Duration downtime = restart.downtime + randomDuration(Duration(0), restart.spread);
            lastStart = std::max(lastStart, m_now + downtime);
            if ((isEntry ? m_entries : m_agents)[i]->up) {
                killProcess(isEntry, i, downtime);
            }
            if (!isEntry) {
                // The server announces itself to a new agent soon after its start.
                scheduleAfter(downtime + randomDuration(Duration(0), MaxAnnouncementDelay), [this, i]() { announceOnce(i); });
            }
        }
    }
    scheduleAt(lastStart, [this, lastStart]() { awaitAdmission(lastStart); });
}

void DispatchSimulation::Impl::awaitAdmission(TimePoint lastStart)
{
    const bool open = std::all_of(m_entries.begin(), m_entries.end(), [this](const std::unique_ptr<Process> &process) {
        return !process->up || process->entry->mayAdmit(m_now);
    });
    if (open) {
        m_result.admissionDelays.push_back(m_now - lastStart);
    } else {
        scheduleAfter(milliseconds(1), [this, lastStart]() { awaitAdmission(lastStart); });
    }
}

void DispatchSimulation::Impl::startAgent(std::size_t index)
{
    Process &process = *m_agents[index];
    process.up = true;
    ++process.generation;
    process.outstandingCalls.clear();
    AgentSettings settings;
    settings.self = ProcessId{process.endpoint, Incarnation(static_cast<std::uint64_t>(m_now.time_since_epoch().count()))};
    settings.domain = "d" + std::to_string(index % 3);
    settings.service = "svc";
    settings.followsEvacuations = !m_settings.evacuations.empty();
    settings.firstToken = FencingToken(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count());
    for (const std::unique_ptr<Process> &entry : m_entries) {
        settings.entries.push_back(entry->endpoint);
    }
    process.agent = std::make_unique<AgentDispatch>(settings, process, process, process.log, m_now);
    tick(process, process.generation);
}

void DispatchSimulation::Impl::tick(Process &process, std::uint64_t generation)
{
    runInProcess(process, generation, [this, &process, generation]() {
        if (process.entry) {
            process.entry->onTick(m_now);
            if (m_settings.storeAnswers) {
                if (std::optional<std::vector<Endpoint>> agents = process.entry->agentListDue(m_now)) {
                    m_agentLists[process.endpoint].first = std::move(*agents);
                }
                m_agentLists[process.endpoint].second = m_now + RegistrationLease;
            }
        } else if (process.agent) {
            process.agent->onTick(m_now);
            const RunLedger &ledger = process.agent->ledger();
            if (ledger.free().cpuMilli < 0 && !m_settings.faults.capacityChanges) {
                recordViolation("booked resources exceed the capacity");
            }
        }
        scheduleAfter(TickInterval, [this, &process, generation]() { tick(process, generation); });
    });
}

void DispatchSimulation::Impl::announce(std::size_t index)
{
    announceOnce(index);
    // Announcements do not renew the lease of the server; only starts and polls do.
    scheduleAfter(AnnouncementInterval, [this, index]() { announce(index); });
}

void DispatchSimulation::Impl::announceOnce(std::size_t index)
{
    Server &server = *m_servers[index];
    Process &process = *m_agents[index];
    if (server.up && process.up && server.cutUntil <= m_now) {
        ServerAnnouncement announcement;
        announcement.incarnation = ServerIncarnation{"server-" + std::to_string(index), server.startTimeMs};
        announcement.service = "svc";
        announcement.sequence = ++server.sequence;
        announcement.capacity = Resources{server.cpuMilli, 100000, 0};
        announcement.clock = ServerTime(server.clockMs(m_now));
        runInProcess(process, process.generation,
                     [this, &process, announcement]() { process.agent->onAnnouncement(m_now, announcement); });
    }
}

void DispatchSimulation::Impl::killProcess(bool isEntry, std::size_t index)
{
    killProcess(isEntry, index, randomDuration(milliseconds(200), seconds(2)));
}

void DispatchSimulation::Impl::killProcess(bool isEntry, std::size_t index, Duration downtime)
{
    Process &process = isEntry ? *m_entries[index] : *m_agents[index];
    process.up = false;
    process.entry.reset();
    process.agent.reset();
    for (const std::pair<const ClientTag, std::shared_ptr<ClientJob>> &client : process.clients) {
        --client.second->openSubmissions;
        client.second->allAnswersNotRun = false;
        if (!client.second->finished) {
            const bool delayed = m_settings.maxResubmitDelay > Duration(0);
            const Duration delay = delayed ? randomDuration(Duration(0), m_settings.maxResubmitDelay) : Duration(0);
            resubmitAfter(isUnread(client.first) ? MinFailoverDelay : ResubmitDelay + delay, client.second);
        }
    }
    process.clients.clear();
    scheduleAfter(downtime, [this, isEntry, index, &process]() {
        if (!process.up) {
            isEntry ? startEntry(index) : startAgent(index);
        }
    });
}

void DispatchSimulation::Impl::killCoordinator(const JobId &id)
{
    const std::optional<Duration> &after = m_settings.coordinatorKilledAfter;
    if (!after || m_result.coordinatorKills > 0 || m_now < TimePoint(seconds(1000)) + *after) {
        return;
    }
    const std::shared_ptr<ClientJob> &job = m_jobs.at(id);
    const auto isClient = [&job](const std::pair<const ClientTag, std::shared_ptr<ClientJob>> &client) {
        return client.second == job;
    };
    const std::vector<std::unique_ptr<Process>>::const_iterator it =
        std::find_if(m_entries.begin(), m_entries.end(), [&isClient](const std::unique_ptr<Process> &entry) {
            return std::any_of(entry->clients.begin(), entry->clients.end(), isClient);
        });
    if (it == m_entries.end()) {
        return;
    }
    ++m_result.coordinatorKills;
    scheduleAfter(randomDuration(Duration(0), MaxCoordinatorKillDelay), [this, &entry = **it]() {
        if (entry.up) {
            killProcess(true, entry.index);
        }
    });
}

void DispatchSimulation::Impl::scheduleServerCrashes()
{
    for (const ScheduledCrash &crash : m_settings.serverCrashes) {
        scheduleAfter(Duration(static_cast<std::int64_t>(crash.second * 1e6)),
                      [this, index = crash.server]() { crashServer(*m_servers[index]); });
    }
}

void DispatchSimulation::Impl::scheduleFaults()
{
    for (const ScheduledEntryKill &kill : m_settings.entryKills) {
        scheduleAfter(Duration(static_cast<std::int64_t>(kill.second * 1e6)),
                      [this, kill]() { killEntry(kill.entry, kill.downtime); });
    }
    for (const ScheduledFleetRestart &restart : m_settings.fleetRestarts) {
        scheduleAfter(Duration(static_cast<std::int64_t>(restart.second * 1e6)), [this, restart]() { restartFleet(restart); });
    }
    for (const ScheduledAgentFault &fault : m_settings.agentFaults) {
        scheduleAfter(Duration(static_cast<std::int64_t>(fault.second * 1e6)), [this, fault]() { injectAgentFault(fault); });
    }
    for (const ScheduledSlowdown &slowdown : m_settings.slowdowns) {
        Server &server = *m_servers.at(slowdown.server);
        const Duration begin(static_cast<std::int64_t>(slowdown.second * 1e6));
        scheduleAfter(begin, [this, &server, slowdown]() { changeSpeed(server, slowdown.factor); });
        scheduleAfter(begin + slowdown.length, [this, &server]() { changeSpeed(server, 1.0); });
    }
}

void DispatchSimulation::Impl::scheduleEvacuations()
{
    const auto change = [this](const std::string &domain, bool evacuated) {
        if (evacuated) {
            m_evacuatedSince.emplace(domain, m_now);
        } else {
            m_evacuatedSince.erase(domain);
        }
        ++m_evacuations.revision;
        m_evacuations.domains.clear();
        for (const std::pair<const std::string, TimePoint> &item : m_evacuatedSince) {
            m_evacuations.domains.push_back(item.first);
        }
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            deliverEvacuations(i);
        }
    };
    for (const ScheduledEvacuation &evacuation : m_settings.evacuations) {
        scheduleAfter(Duration(static_cast<std::int64_t>(evacuation.from * 1e6)),
                      [change, evacuation]() { change(evacuation.domain, true); });
        scheduleAfter(Duration(static_cast<std::int64_t>(evacuation.until * 1e6)),
                      [change, evacuation]() { change(evacuation.domain, false); });
    }
}

void DispatchSimulation::Impl::deliverEvacuations(std::size_t entry)
{
    Process &process = *m_entries[entry];
    if (m_settings.evacuations.empty() || !process.up || m_settings.entriesWithoutStore.count(entry) > 0) {
        return;
    }
    constexpr Duration MaxStoreDelay = milliseconds(20);
    scheduleAfter(randomDuration(Duration(0), MaxStoreDelay),
                  [this, &process, generation = process.generation, evacuations = m_evacuations]() {
                      runInProcess(process, generation,
                                   [this, &process, evacuations]() { process.entry->setEvacuations(m_now, evacuations); });
                  });
}

bool DispatchSimulation::Impl::mustBeEmpty(const Server &server) const
{
    const std::map<std::string, TimePoint>::const_iterator since = m_evacuatedSince.find("d" + std::to_string(server.index % 3));
    return since != m_evacuatedSince.end() && m_now - since->second > m_settings.evacuationTimeout;
}

void DispatchSimulation::Impl::injectAgentFault(const ScheduledAgentFault &fault)
{
    static constexpr const char *FaultNames[] = {"kill", "pause", "cut-from-server", "slowdown", "lost-stops", "late-stops"};
    Process &process = *m_agents.at(fault.agent);
    Server &server = *m_servers.at(fault.agent);
    m_log.write(LogLevel::Info, "FAULT",
                std::string(FaultNames[static_cast<std::size_t>(fault.kind)]) + " " + toString(process.endpoint)
                    + " for_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(fault.length).count()));
    const TimePoint until = m_now + fault.length;
    switch (fault.kind) {
    case ScheduledAgentFault::Kind::Kill:
        if (process.up) {
            killProcess(false, fault.agent, fault.length);
        }
        break;
    case ScheduledAgentFault::Kind::Pause:
        process.pausedUntil = std::max(process.pausedUntil, until);
        break;
    case ScheduledAgentFault::Kind::Cut:
        server.cutUntil = std::max(server.cutUntil, until);
        break;
    case ScheduledAgentFault::Kind::Slowdown:
        process.slowUntil = std::max(process.slowUntil, until);
        break;
    case ScheduledAgentFault::Kind::LostStops:
        server.stopsLostUntil = std::max(server.stopsLostUntil, until);
        break;
    case ScheduledAgentFault::Kind::LateStops:
        server.stopsLateUntil = std::max(server.stopsLateUntil, until);
        break;
    }
}

void DispatchSimulation::Impl::changeCapacity(Server &server, std::int64_t cpuMilli)
{
    server.formerCpuMilli[m_now + AnnouncementInterval + CapacityNotice] = server.cpuMilli;
    server.cpuMilli = cpuMilli;
}

void DispatchSimulation::Impl::injectFault()
{
    static constexpr const char *FaultNames[] = {"kill", "freeze", "cut", "silence", "server-crash", "none", "capacity"};
    const std::size_t kind = static_cast<std::size_t>(randomFraction() * (m_settings.faults.capacityChanges ? 7 : 6));
    const bool targetsEntry = randomFraction() < 0.5;
    std::vector<std::unique_ptr<Process>> &group = targetsEntry ? m_entries : m_agents;
    const std::size_t index = static_cast<std::size_t>(randomFraction() * static_cast<double>(group.size()));
    Process &process = *group[index];
    m_log.write(LogLevel::Info, "FAULT", std::string(FaultNames[kind]) + " " + toString(process.endpoint));
    switch (kind) {
    case 0:
        killProcess(targetsEntry, index);
        break;
    case 1: // The process is paused and resumes after a delay.
        process.pausedUntil = std::max(process.pausedUntil, m_now + randomDuration(milliseconds(200), seconds(4)));
        break;
    case 2: // The process is partitioned from all others, from each either outbound only or in both directions.
        for (const std::pair<const Endpoint, Process *> &other : m_byEndpoint) {
            const bool bothWays = randomFraction() < 0.7;
            m_partitionedPaths.insert({process.endpoint, other.first});
            if (bothWays) {
                m_partitionedPaths.insert({other.first, process.endpoint});
            }
        }
        scheduleAfter(randomDuration(milliseconds(300), seconds(4)), [this, endpoint = process.endpoint]() {
            for (std::set<std::pair<Endpoint, Endpoint>>::iterator it = m_partitionedPaths.begin();
                 it != m_partitionedPaths.end();) {
                it = it->first == endpoint || it->second == endpoint ? m_partitionedPaths.erase(it) : std::next(it);
            }
        });
        break;
    case 3: // All connections from and to the process drop messages without an error until they are replaced.
        for (const std::pair<const Endpoint, Process *> &other : m_byEndpoint) {
            m_silentConnections.insert({process.endpoint, other.first});
            m_silentConnections.insert({other.first, process.endpoint});
        }
        break;
    case 4: { // A backend server crashes and restarts with the same id.
        Server &server = *m_servers[static_cast<std::size_t>(randomFraction() * static_cast<double>(m_servers.size()))];
        if (server.refusesConnections) {
            break;
        }
        server.up = false;
        server.discardState();
        scheduleAfter(randomDuration(milliseconds(100), seconds(2)), [this, &server]() {
            if (!server.up && !server.refusesConnections) {
                restartServer(server);
            }
        });
        break;
    }
    case 6: { // A backend server loses a quarter to all of its capacity for some seconds.
        Server &server = *m_servers[static_cast<std::size_t>(randomFraction() * static_cast<double>(m_servers.size()))];
        changeCapacity(server, static_cast<std::int64_t>(randomFraction() * 0.75 * static_cast<double>(server.cpuMilli)));
        scheduleAfter(randomDuration(seconds(1), seconds(12)),
                      [this, &server]() { changeCapacity(server, serverCpuMilli(server.index)); });
        break;
    }
    default:
        break;
    }
    if (!m_loadEnded) {
        scheduleAfter(randomDuration(milliseconds(300), milliseconds(1500)), [this]() { injectFault(); });
    }
}

void DispatchSimulation::Impl::drawDeadlyTasks(ClientJob &job, std::uint32_t tasks)
{
    const Duration sinceStart = m_now - TimePoint(seconds(1000));
    const double deadlyShare = m_settings.kinds[job.kind].deadlyShare;
    const bool atIntervals = m_settings.deadlyInterval > Duration(0);
    if ((deadlyShare == 0 && !atIntervals) || sinceStart < m_settings.deadlyFrom || sinceStart >= m_settings.deadlyUntil) {
        return;
    }
    if (atIntervals) {
        job.deadly = sinceStart >= m_nextDeadlyAt;
        m_nextDeadlyAt += job.deadly ? m_settings.deadlyInterval : Duration(0);
    } else {
        job.deadly = randomFraction() < deadlyShare;
    }
    if (job.deadly && randomFraction() >= AllTasksDeadlyRate) {
        job.onlyDeadlyTask = static_cast<std::uint32_t>(randomFraction() * tasks);
    }
    if (job.deadly) {
        count(job, &JobKindResult::deadly);
    }
}

void DispatchSimulation::Impl::submitNextJob()
{
    if (m_loadEnded) {
        return;
    }
    const std::string digits = "0123456789abcdef";
    std::string text = "0000000000000000";
    std::uint64_t n = m_nextJob++;
    for (std::size_t i = text.size(); i-- > 0 && n > 0; n /= 16) {
        text[i] = digits[n % 16];
    }
    const double second = static_cast<double>((m_now - TimePoint(seconds(1000))).count()) / 1e6;
    const std::shared_ptr<ClientJob> job = std::make_shared<ClientJob>();
    job->id = *JobId::parse(text);
    job->kind = randomKind(second);
    const JobKind &kind = m_settings.kinds[job->kind];
    job->runTime =
        Duration(static_cast<std::int64_t>(static_cast<double>(kind.runTime.count()) * logNormalFactor(kind.runTimeSigma)));
    JobSpec spec;
    spec.payload = "payload of " + text;
    spec.payload.resize(std::max(spec.payload.size(), m_settings.payloadBytes), '.');
    StepSpec step;
    step.count = 1 + static_cast<std::uint32_t>(randomFraction() * (2.0 * kind.meanTasks - 1.0));
    step.need = Resources{kind.taskCpuMilli, 64, 0};
    step.estimate =
        Duration(static_cast<std::int64_t>(static_cast<double>(job->runTime.count()) * logNormalFactor(kind.declaredTimeSigma)));
    if (kind.longShare > 0 && randomFraction() < kind.longShare) {
        job->runTime = Duration(static_cast<std::int64_t>(static_cast<double>(job->runTime.count()) * kind.longFactor));
    }
    spec.steps.push_back(step);
    job->firstSubmittedAt = m_now;
    drawDeadlyTasks(*job, step.count);
    m_jobs[job->id] = job;
    job->spec = std::make_shared<const JobSpec>(std::move(spec));
    job->deadline = m_now + m_settings.clientTimeout;
    job->connectionBreaks = randomFraction() < m_settings.brokenConnectionRate;
    ++m_result.submitted;
    count(*job, &JobKindResult::submitted);
    submitJob(job);
    const double lastKindShare = m_settings.kinds.back().share;
    const double rate = m_settings.jobsPerSecond * m_settings.loadFactor(second)
        * (1.0 + lastKindShare * (m_settings.lastKindLoadFactor(second) - 1.0));
    const Duration interarrivalTime = Duration(static_cast<std::int64_t>(-std::log(1.0 - randomFraction()) / rate * 1e6));
    scheduleAfter(interarrivalTime, [this]() { submitNextJob(); });
}

void DispatchSimulation::Impl::submitJob(const std::shared_ptr<ClientJob> &job)
{
    if (job->finished || m_now >= job->deadline) {
        job->finished = true;
        ++m_result.timedOut;
        return;
    }
    Process *const chosen = chooseEntry(*job);
    if (chosen == nullptr) {
        scheduleAfter(m_coordinationFaults ? NoEntryRetryInterval : milliseconds(500), [this, job]() { submitJob(job); });
        return;
    }
    Process &process = *chosen;
    ++job->submissions;
    ++job->openSubmissions;
    const ClientTag tag(m_nextTag++);
    process.clients[tag] = job;
    if (m_coordinationFaults) {
        submitWithFaults(process, tag, job);
    } else {
        const std::uint64_t generation = process.generation;
        runInProcess(process, generation, [this, &process, tag, job]() {
            process.entry->submit(m_now, tag, m_queues[job->kind], job->id, job->spec, job->deadline - m_now);
        });
    }
    if (job->connectionBreaks && job->submissions == 1) {
        // Only the client detects that the connection is broken; the entry continues with the job.
        scheduleAfter(randomDuration(milliseconds(20), milliseconds(100)), [this, &process, tag, job]() {
            const std::map<ClientTag, std::shared_ptr<ClientJob>>::iterator it = process.clients.find(tag);
            if (it != process.clients.end()) {
                process.clients.erase(it);
                --job->openSubmissions;
                job->allAnswersNotRun = false;
                scheduleAfter(ResubmitDelay, [this, job]() { submitJob(job); });
            }
        });
    }
    scheduleAfter(job->deadline - m_now, [this, job]() {
        if (!job->finished) {
            job->finished = true;
            ++m_result.timedOut;
        }
    });
}

DispatchSimulation::Impl::Process *DispatchSimulation::Impl::chooseEntry(const ClientJob &job)
{
    if (!m_coordinationFaults) {
        Process &process = *m_entries[static_cast<std::size_t>(randomFraction() * static_cast<double>(m_entries.size()))];
        return process.up ? &process : nullptr;
    }
    std::vector<Process *> candidates;
    for (const std::unique_ptr<Process> &entry : m_entries) {
        if (entry->up && job.awaitedEntry == entry->index) {
            return entry.get();
        }
        if (entry->up && job.lastEntry != entry->index) {
            candidates.push_back(entry.get());
        }
    }
    return candidates.empty() ? nullptr : candidates[m_coordinationFaults->drawIndex(candidates.size())];
}

void DispatchSimulation::Impl::resubmitAfter(Duration delay, const std::shared_ptr<ClientJob> &job)
{
    scheduleAfter(delay, [this, job]() {
        if (!m_coordinationFaults || m_loadEnded || !m_coordinationFaults->drawAwaitsStart()) {
            submitJob(job);
            return;
        }
        m_awaitingStart.push_back(job);
        scheduleAfter(MaxStartWait, [this, job, submissions = job->submissions]() {
            const std::vector<std::shared_ptr<ClientJob>>::iterator it =
                std::find(m_awaitingStart.begin(), m_awaitingStart.end(), job);
            if (it != m_awaitingStart.end() && job->submissions == submissions) {
                m_awaitingStart.erase(it);
                submitJob(job);
            }
        });
    });
}

void DispatchSimulation::Impl::releaseClientsTo(const Process &process)
{
    std::vector<std::shared_ptr<ClientJob>> jobs;
    const auto goesElsewhere = [&process](const std::shared_ptr<ClientJob> &job) {
        return job->lastEntry != process.index;
    };
    std::copy_if(m_awaitingStart.begin(), m_awaitingStart.end(), std::back_inserter(jobs), goesElsewhere);
    std::erase_if(m_awaitingStart, goesElsewhere);
    for (const std::shared_ptr<ClientJob> &job : jobs) {
        job->awaitedEntry = process.index;
        scheduleAfter(m_coordinationFaults->drawDuration(Duration(0), MaxRequestDelayAfterStart),
                      [this, job]() { submitJob(job); });
    }
}

void DispatchSimulation::Impl::submitWithFaults(Process &process, ClientTag tag, const std::shared_ptr<ClientJob> &job)
{
    job->lastEntry = process.index;
    job->awaitedEntry.reset();
    m_unreadRequests.insert(tag);
    logJob("SUBMIT", *job, process, " submission=" + std::to_string(job->submissions));
    const CoordinationFaultInjector::ConnectionFate fate = m_coordinationFaults->drawConnectionFate(job->lostConnections);
    if (fate.lostAfter > Duration(0)) {
        scheduleAfter(fate.lostAfter, [this, &process, tag]() { loseConnection(process, tag); });
    }
    scheduleAfter(fate.readAfter, [this, &process, generation = process.generation, tag, job]() {
        runInProcess(process, generation, [this, &process, tag, job]() { readRequest(process, tag, job); });
    });
}

void DispatchSimulation::Impl::readRequest(Process &process, ClientTag tag, const std::shared_ptr<ClientJob> &job)
{
    m_unreadRequests.erase(tag);
    const bool ended = process.clients.count(tag) == 0;
    if (ended) {
        logJob("READ-ENDED", *job, process);
        if (!m_coordinationFaults->faults().readsEndedConnections) {
            return;
        }
        scheduleAfter(m_coordinationFaults->drawDuration(MinEndNoticeDelay, MaxEndNoticeDelay),
                      [this, &process, generation = process.generation, tag]() {
                          runInProcess(process, generation,
                                       [this, &process, tag]() { process.entry->onClientDisconnected(m_now, tag); });
                      });
    }
    process.entry->submit(m_now, tag, m_queues[job->kind], job->id, job->spec, job->deadline - m_now);
}

void DispatchSimulation::Impl::loseConnection(Process &process, ClientTag tag)
{
    const std::map<ClientTag, std::shared_ptr<ClientJob>>::iterator it = process.clients.find(tag);
    if (it == process.clients.end()) {
        return;
    }
    const std::shared_ptr<ClientJob> job = it->second;
    process.clients.erase(it);
    --job->openSubmissions;
    ++job->lostConnections;
    const bool unread = isUnread(tag);
    // A request that no entry submits can't have started a run.
    job->allAnswersNotRun = job->allAnswersNotRun && unread && !m_coordinationFaults->faults().readsEndedConnections;
    logJob(unread ? "LOST-UNREAD" : "LOST", *job, process);
    if (unread) {
        scheduleAfter(m_coordinationFaults->drawDuration(MinFailoverDelay, MaxFailoverDelay), [this, job]() { submitJob(job); });
    } else {
        resubmitAfter(ResubmitDelay, job);
    }
}

void DispatchSimulation::Impl::breakConnections(std::size_t exceptEntry, double share, Duration within)
{
    for (const std::unique_ptr<Process> &entry : m_entries) {
        for (const std::pair<const ClientTag, std::shared_ptr<ClientJob>> &client : entry->clients) {
            if (entry->index != exceptEntry && !client.second->finished
                && client.second->lostConnections < m_coordinationFaults->faults().maxLostConnections
                && m_coordinationFaults->drawBelow(share)) {
                scheduleAfter(m_coordinationFaults->drawDuration(Duration(0), within),
                              [this, &process = *entry, tag = client.first]() { loseConnection(process, tag); });
            }
        }
    }
}

void DispatchSimulation::Impl::logJob(const char *event, const ClientJob &job, const Process &process, const std::string &fields)
{
    m_log.write(LogLevel::Info, event, "job=" + std::string(job.id.text()) + " entry=" + toString(process.endpoint) + fields);
}

void DispatchSimulation::Impl::killEntry(std::size_t index, Duration downtime)
{
    Process &process = *m_entries[index];
    if (process.up) {
        m_log.write(LogLevel::Info, "FAULT",
                    "kill " + toString(process.endpoint)
                        + " for_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(downtime).count()));
        killProcess(true, index, downtime);
    }
}

void DispatchSimulation::Impl::pauseEntry(std::size_t index, Duration length)
{
    Process &process = *m_entries[index];
    m_log.write(LogLevel::Info, "FAULT",
                "pause " + toString(process.endpoint)
                    + " for_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(length).count()));
    process.pausedUntil = std::max(process.pausedUntil, m_now + length);
}

DispatchSimulation::Impl::Impl(SimulationSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_log(m_settings.log, m_now)
{
    for (const JobKind &kind : m_settings.kinds) {
        QueueRule queue;
        queue.name = kind.queue;
        queue.service = "svc";
        queue.urgency = kind.urgency;
        queue.maxAttempts = 4;
        queue.workFactor = 1.6;
        queue.latencyObjective = milliseconds(60);
        m_queues.push_back(std::make_shared<const QueueRule>(queue));
    }
    for (std::size_t i = 0; i < m_settings.entries; ++i) {
        m_entries.push_back(std::make_unique<Process>(*this, i, true));
        m_byEndpoint[m_entries.back()->endpoint] = m_entries.back().get();
    }
    for (std::size_t i = 0; i < m_settings.agents; ++i) {
        m_agents.push_back(std::make_unique<Process>(*this, i, false));
        m_byEndpoint[m_agents.back()->endpoint] = m_agents.back().get();
        m_servers.push_back(std::make_unique<Server>());
        m_servers.back()->index = i;
        m_servers.back()->cpuMilli = serverCpuMilli(i);
        m_servers.back()->startedAt = m_now;
        m_servers.back()->clockRate = m_settings.serverClockRate;
        m_servers.back()->startTimeMs = 1000 + static_cast<std::int64_t>(i);
    }
    if (m_settings.coordinationFaults) {
        std::vector<Endpoint> entries;
        std::transform(m_entries.begin(), m_entries.end(), std::back_inserter(entries),
                       [](const std::unique_ptr<Process> &entry) { return entry->endpoint; });
        std::vector<Endpoint> agents;
        std::transform(m_agents.begin(), m_agents.end(), std::back_inserter(agents),
                       [](const std::unique_ptr<Process> &agent) { return agent->endpoint; });
        m_coordinationFaults =
            std::make_unique<CoordinationFaultInjector>(*m_settings.coordinationFaults, m_settings.seed ^ CoordinationFaultsSeed,
                                                        std::move(entries), std::move(agents), *this, m_log);
    }
}

SimulationResult DispatchSimulation::Impl::runFor(Duration length)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        startAgent(i);
        scheduleAfter(randomDuration(Duration(0), milliseconds(200)), [this, i]() { announce(i); });
    }
    // The fleet has been running before.
    for (const std::unique_ptr<Process> &agent : m_agents) {
        m_agentLists[m_entries.front()->endpoint].first.push_back(agent->endpoint);
    }
    m_agentLists[m_entries.front()->endpoint].second = m_now + RegistrationLease;
    scheduleServerCrashes();
    scheduleFaults();
    scheduleEvacuations();
    const TimePoint loadStart = m_now + seconds(1);
    scheduleAt(loadStart, [this]() { submitNextJob(); });
    if (m_settings.faults.processFaults) {
        scheduleAt(loadStart + seconds(1), [this]() { injectFault(); });
    }
    scheduleAt(loadStart + length, [this]() { m_loadEnded = true; });
    if (m_coordinationFaults) {
        m_coordinationFaults->injectUntil(loadStart + length);
    }
    m_end = loadStart + length + m_settings.clientTimeout + seconds(6);
    TimePoint leaseCheckedAt = m_now;
    while (!m_events.empty() && m_events.top().at <= m_end) {
        const Event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        if (m_now - leaseCheckedAt >= milliseconds(1)) {
            leaseCheckedAt = m_now;
            // End the runs of servers whose lease has expired.
            for (const std::unique_ptr<Server> &server : m_servers) {
                if (server->leaseUntil < m_now && !server->running.empty()) {
                    for (const std::pair<const TaskRef, Server::Run> &run : server->running) {
                        server->ended.push_back(FinishedRun{++server->lastEndNumber, run.second.ref, RunEnd::Lapsed});
                        ++m_result.finishedRuns;
                        ++m_result.lapsedRuns;
                    }
                    server->running.clear();
                }
            }
        }
        next.action();
    }
    for (const std::unique_ptr<Server> &server : m_servers) {
        m_result.unacknowledgedRuns += server->up ? server->ended.size() : 0;
        if (server->up && !server->running.empty()) {
            recordViolation("runs are active at the end of the simulation on server " + std::to_string(server->index));
        }
    }
    return m_result;
}

DispatchSimulation::DispatchSimulation(SimulationSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{ }

DispatchSimulation::~DispatchSimulation() = default;

SimulationResult DispatchSimulation::runFor(Duration length)
{
    return m_impl->runFor(length);
}

} // namespace cuminscale::dispatch
