/// Admission, scheduling and supervision of jobs at an entry, the process that clients submit jobs to.
#pragma once

#include "core/dispatch/admission_control.h"
#include "core/dispatch/agent_list.h"
#include "core/dispatch/config_fetch.h"
#include "core/dispatch/coordination.h"
#include "core/dispatch/cpu_overload_detector.h"
#include "core/dispatch/crash_history.h"
#include "core/dispatch/evacuation_state.h"
#include "core/dispatch/fleet_evidence.h"
#include "core/dispatch/held_jobs.h"
#include "core/dispatch/job.h"
#include "core/dispatch/latency_histogram.h"
#include "core/dispatch/placement.h"
#include "core/dispatch/queue_isolation.h"
#include "core/dispatch/restart_decision.h"
#include "core/dispatch/run_time_estimate.h"

#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace cuminscale::dispatch
{

/// Timeouts, intervals and limits of an entry.
struct EntryTiming
{
    Duration demandDigestInterval = seconds(1); ///< Longest time between the demand digests in heartbeats to other entries.
    Duration heartbeatInterval = milliseconds(200); ///< Three heartbeats fit into the agents' timeout for a coordinator.
    /// Peers receive the full list of entries at this interval, and at once when the number of entries changes.
    Duration entryListInterval = seconds(2);
    /// Run events are acknowledged within this time, before the agent retransmits them.
    Duration maxAcknowledgementDelay = milliseconds(120);
    /// A start order that may be lost, or a join request without a response, is retransmitted after this time, which is far above
    /// a round trip.
    Duration retransmissionTimeout = milliseconds(150);
    /// An agent that is silent for longer is assumed to have lost contact with this entry and stopped its runs, so their tasks
    /// can't complete.
    Duration agentTimeout = milliseconds(700);
    Duration peerExpiry = seconds(10); ///< The state of a peer that is silent for longer is removed.
    /// An agent that is silent for longer is not on the list in the store. By then it has no run of this entry: it has stopped
    /// them, or its server's lease has expired, unless it still hears this entry, whose stops it then gets.
    Duration listedAgentTimeout = seconds(3);
    CoordinationTiming coordination;
    /// How long the outcome of a job is kept: a client may resubmit seconds after its answer, and agents deliver delayed run
    /// events once they are reachable again.
    Duration endedJobRetention = seconds(30);
    /// How long the successor of a job is remembered. Longer than the entries that had joined the job repeat their requests.
    Duration transferRetention = seconds(3);
    /// How long a refusal waits for agents to confirm that no run started.
    Duration notRunConfirmationTimeout = milliseconds(150);
    /// After a process pause longer than this, unread requests for unknown jobs are refused, as their clients may have
    /// resubmitted them to another entry. Clients resubmit 1.3 s after a broken connection; entries report their active jobs to
    /// each other within one heartbeat interval.
    Duration pauseThreshold = milliseconds(700);
    Duration pauseRecoveryWindow = milliseconds(150); ///< Requests that arrived during a process pause are read within this time.
    Duration answerMargin = milliseconds(15); ///< An answer is sent this long before its client times out.
    /// Number of agents in its own failure domain that an entry sends the document to, so that a copy survives the entries.
    std::size_t configReplicas = 2;
    Duration replicaLagTimeout = milliseconds(900); ///< How long such an agent may have an older version before it is sent.
    /// Added to replicaLagTimeout once per entry with a lower address, so that the entries send one after another: usually the
    /// first one suffices.
    Duration replicaStagger = milliseconds(150);
    Duration retryAfter = seconds(1); ///< Minimum retry delay for refused clients; a burst lasts for seconds.
    /// An entry that is silent for longer is not waited for before a cancellation is acknowledged, if the agents show that it has
    /// failed: see mayRunJobs(). By then its runs have been stopped.
    Duration cancellationSilenceTimeout = seconds(3);
    /// An entry that has been running for less than this admits no job while another entry that it hears has not handed over its
    /// cancelled jobs. Several retransmissions of a list of maxEndedJobs ids fit into it, and an entry that the other ones don't
    /// hear serves after it.
    Duration cancelledJobsTimeout = seconds(5);
    /// Minimum interval between two such lists to the same incarnation of an entry: the largest may take longer to arrive than
    /// the interval of the heartbeats that ask for it.
    Duration cancelledJobsInterval = milliseconds(500);
    /// This long after a domain has been evacuated, all its running processes are known here; they report twice a second or more.
    Duration unknownDomainDelay = seconds(3);
    std::size_t maxJobs = 4096;
    std::size_t maxEndedJobs = 20000;
};

/// Which work is refused first under overload.
enum class AdmissionPolicy : std::uint8_t {
    LargestFirst, ///< That of the queues with the highest demand.
    UsualShare, ///< What a queue asks for beyond its usual share.
};

struct EntrySettings
{
    ProcessId self;
    std::string domain;
    std::vector<Endpoint> entries; ///< Seed addresses for discovering the other entries; may include this entry.
    Duration defaultDeadline = seconds(30); ///< For requests without a deadline.
    /// Run time of a task away from the rack of its data, as a multiple of that near it.
    double remoteDataFactor = 1.5;
    bool decidesDataLocality = false; ///< Whether DataLocality limits the waits near the data of tasks.
    bool followsEvacuations =
        false; ///< Whether operators evacuate failure domains; no job is admitted before their state is known.
    AdmissionPolicy admission = AdmissionPolicy::LargestFirst;
    std::map<std::string, double> queueWeights; ///< Weights of queues for AdmissionPolicy::UsualShare; 1 for the others.
    std::size_t maxHeldJobs = 512; ///< Jobs that wait until this entry may admit jobs; 0 to answer them at once.
    EntryTiming timing;
};

struct EntryCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t joined = 0; ///< Submissions of a job that was in progress already, here or at another entry.
    std::uint64_t succeeded = 0;
    std::uint64_t succeededLate = 0; ///< After the latency objective.
    std::uint64_t failed = 0;
    std::uint64_t refusedAtOnce = 0; ///< At submission.
    std::uint64_t refusedLater = 0; ///< After admission, with no run started.
    std::uint64_t refusedSurge = 0; ///< Of refusedAtOnce: AdmissionDecision::RefuseSurge.
    std::uint64_t refusedUnread = 0; ///< Before parsing, under CPU overload.
    std::uint64_t notAdmitted = 0; ///< Submissions not admitted because this entry may have missed lists of active jobs.
    std::uint64_t held = 0; ///< Submissions that had to wait until this entry might admit jobs.
    std::uint64_t heldAdmitted = 0; ///< Those of them that were admitted.
    std::uint64_t unconfirmed = 0; ///< Jobs given up because a live entry did not confirm a list that contains them.
    std::uint64_t clientsGone = 0; ///< Jobs ended because all their clients disconnected.
    std::uint64_t abandoned = 0; ///< Submissions read from a connection that the client had closed or reset before.
    std::uint64_t cancelled = 0;
    std::uint64_t runsOrdered = 0;
    std::uint64_t runsHandedBack = 0; ///< Reported by the agent as RunEnd::NeverStarted.
    std::uint64_t runsFailed = 0;
    std::uint64_t runsRestarted = 0; ///< Stopped to run elsewhere.
    std::uint64_t discardedMilliCoreMs = 0; ///< Work of runs that were stopped or lost, in thousandths of a core times ms.
    std::uint64_t placementsNear = 0; ///< Tasks sent to a server near their data.
    std::uint64_t placementsRemote = 0; ///< Tasks with data on a rack that were sent elsewhere.
    std::uint64_t waitsExpired = 0; ///< Runs that were handed back because they waited near their data until the limit.
    std::uint64_t ordersRepeated = 0; ///< Start orders retransmitted.
    std::uint64_t connectionsReplaced = 0;
    std::uint64_t configsFromPeers = 0;
    std::uint64_t crashingJobs = 0; ///< Submissions that failed because servers crashed under a task of the job.
    std::uint64_t unknownDomains = 0; ///< Evacuated failure domains of which no process was known.
    std::uint64_t queuesIsolated = 0; ///< Times that a queue was confined to the isolation servers.
};

/// Result of a request to cancel a job.
enum class CancelOutcome : std::uint8_t {
    Cancelled,
    UnknownJob, ///< No entry knows the job. If it is submitted later, it does not start.
    Unconfirmed, ///< An entry that may run the job has not confirmed in time.
};

/// Coordinates the jobs that clients submit to this entry: admits or refuses them, assigns their tasks to agents, restarts slow
/// and failed runs, and answers the clients. A job that another entry coordinates already is not run again: the client waits for
/// the outcome there.
///
/// The class has no clock, sockets or threads: callers pass the current time. entry_dispatch.cpp implements the client-facing
/// side of jobs, entry_cancellation.cpp their cancellation, entry_joined_jobs.cpp jobs that another entry coordinates,
/// entry_held_jobs.cpp jobs that wait for admission to open,
/// entry_runs.cpp the placement of runs, entry_crashes.cpp the consequences of server crashes, entry_supervision.cpp the
/// detection of slow runs and servers, entry_evacuation.cpp the evacuation of failure domains, and entry_peers.cpp the protocol
/// with agents and other entries.
class EntryDispatch
{
public:
    EntryDispatch(EntrySettings settings, LinkPort &links, ClientPort &clients, DecisionLog &log, TimePoint now);

    void onMessage(TimePoint now, const Envelope &envelope);
    void onTick(TimePoint now);

    /// Submits or resubmits a job. The client gets exactly one ClientPort::answer() unless onClientDisconnected() is called
    /// first. `clientTimeout` is how long the client waits from `requestedAt` on, when its request arrived; zero if unspecified.
    void submit(TimePoint now, ClientTag client, const std::shared_ptr<const QueueRule> &queue, const JobId &id,
                const std::shared_ptr<const JobSpec> &spec, Duration clientTimeout, TimePoint requestedAt);
    /// The same for a request that has just arrived.
    void submit(TimePoint now, ClientTag client, const std::shared_ptr<const QueueRule> &queue, const JobId &id,
                const std::shared_ptr<const JobSpec> &spec, Duration clientTimeout)
    {
        submit(now, client, queue, id, spec, clientTimeout, now);
    }
    void onClientDisconnected(TimePoint now, ClientTag client);

    /// Counts and logs a submission that was read from a connection that its client had closed or reset before.
    void recordAbandoned(const JobId &id);

    /// Limits the deadlines of all jobs, including later ones, to the end of an orderly shutdown: what can't be completed by then
    /// is refused on arrival, and what is still running is given up and answered then.
    void setShutdownDeadline(TimePoint deadline);

    /// Answers every client that still waits, because the process is about to exit. Jobs whose runs may have started are given
    /// up; no confirmation is awaited any more.
    void giveUpUnanswered(TimePoint now);

    using CancelCallback = std::function<void(CancelOutcome)>;

    /// Cancels a job here and at all other entries. `whenDone` is called exactly once: as soon as no entry that is in touch can
    /// start a task of the job any more, or when the client, which waits for `clientTimeout` (zero if unspecified), times out.
    void cancel(TimePoint now, const JobId &id, Duration clientTimeout, CancelCallback whenDone);

    /// State of a job at this entry; Unknown for jobs that were refused or given up, or whose outcome is no longer kept.
    JobStatus::State jobState(const JobId &id) const;

    /// Number of admitted jobs of a queue with no started task.
    std::size_t pending(const std::string &queue) const;

    /// Sets the configuration in force. It is sent to peers that can't get it from the store.
    void setConfig(const ConfigBlob &config);
    const ConfigBlob &config() const noexcept
    {
        return m_config;
    }
    /// Sets the queues of the configuration in force, for jobs that are submitted again for waiting clients. Before the first
    /// call, the rule of the client's request applies.
    void setQueues(std::shared_ptr<const QueueConfig> queues);
    /// Called when a peer sends a newer configuration than the one in force.
    std::function<void(const ConfigBlob &)> onNewerConfig;

    void addEntries(TimePoint now, const std::vector<Endpoint> &entries);

    /// Adopts the evacuated failure domains as read from the store, unless a newer set is known.
    void setEvacuations(TimePoint now, const Evacuations &evacuations)
    {
        adoptEvacuations(now, evacuations, nullptr);
    }

    const Evacuations &evacuations() const noexcept
    {
        return m_evacuations.valid();
    }

    std::size_t usableAgents(TimePoint now) const
    {
        return m_fleet.usableCount(now);
    }

    /// Whether to refuse a submission before parsing it because of CPU overload of this process. Jobs that are known here or
    /// active at another entry are never refused this way: their runs may be in progress.
    bool shouldRefuseUnread(TimePoint now, const JobId &id);

    /// Whether this entry may coordinate a job that no other entry lists. False for a short time after a start, a pause or a loss
    /// of contact, until the other entries have handed over their cancelled jobs after a start, and until it is known which
    /// failure domains are evacuated.
    bool mayAdmit(TimePoint now) const;

    /// Adds the agents that are listed in the store, once these lists have been read. Messages are sent to them at once.
    void addListedAgents(TimePoint now, const std::vector<Endpoint> &agents);
    /// The list of agents that this entry has to write to the store now, if any. To be called regularly.
    std::optional<std::vector<Endpoint>> agentListDue(TimePoint now);
    /// Number of agents whose reports showed that admission may open; 0 if it did not depend on them.
    std::size_t admissionEvidenceAgents() const noexcept
    {
        return m_admissionLog.evidenceAgents;
    }

    CpuOverloadDetector &cpuOverloadDetector() noexcept
    {
        return m_cpuOverload;
    }

    const CpuOverloadDetector &cpuOverloadDetector() const noexcept
    {
        return m_cpuOverload;
    }

    /// Delay after which the client of a refused job may retry.
    Duration retryAfter(TimePoint now, const JobId &id, const QueueRule &queue,
                        AdmissionDecision decision = AdmissionDecision::Shed) const;

    const AdmissionControl &admission() const noexcept
    {
        return *m_admission;
    }

    /// Number of client requests without an answer.
    std::size_t unanswered() const noexcept;

    const EntryCounters &counters() const noexcept
    {
        return m_counters;
    }

    /// Time from the first submission of a job at this entry until its success, by queue.
    const NamedHistograms &jobDurations() const noexcept
    {
        return m_jobTimes;
    }

    const FleetView &fleet() const noexcept
    {
        return m_fleet;
    }

private:
    struct EntryPeer
    {
        explicit EntryPeer(TimePoint now)
            : session(now)
        { }

        PeerSession session;
        std::string domain; ///< Empty until it is known.
        std::unordered_set<JobKey, IdHash> activeJobs;
        /// Jobs of former incarnations, whose runs the agents may not have stopped yet, with the time until which the entry still
        /// counts as their coordinator.
        std::unordered_map<JobKey, TimePoint, IdHash> formerJobs;
        /// Jobs of former incarnations of this entry that may still have runs, as the other entry's latest list has them.
        std::unordered_set<JobKey, IdHash> ownFormerJobs;
        EntryListState entryList;
        bool fromSettings = false; ///< Configured entries never expire.
        TimePoint heartbeatSentAt; ///< Tracked apart from other messages, as only heartbeats list the active jobs.
        ListExchange lists;
        bool sharesCancelledJobs = false; ///< See EntryReport.
        bool cancelledJobsReceived = false; ///< By this entry, since its start or since the other one was last silent.
        bool cancelledJobsRequested = false; ///< By the other entry.
        TimePoint cancelledJobsSentAt; ///< To its present incarnation; zero if not yet.
        TimePoint demandsSentAt; ///< As cancelledJobsSentAt.
    };

    /// A job that another entry coordinates and that clients of this entry wait for.
    struct JoinedJob
    {
        std::vector<WaitingClient> clients;
        Endpoint coordinator;
        TimePoint joinSentAt;
    };

    /// Outcome of a job that was answered here.
    struct EndedJob
    {
        JobStatus::State state = JobStatus::State::Unknown;
        /// A resubmission continues from this run number, as delayed events of earlier runs may still arrive.
        RunNumber highestRun;
        TimePoint endedAt;
    };

    /// The entry that may start a job which this entry has given up or doesn't know, of several that had joined it.
    struct Transfer
    {
        Endpoint successor;
        TimePoint at;
    };

    /// A cancellation that a client has requested here. It is sent to each entry until that entry confirms it, as an entry that
    /// does not list the job may have accepted it since.
    struct Cancellation
    {
        struct Recipient
        {
            Incarnation incarnation;
            TimePoint firstSentAt; ///< To this incarnation; zero if not yet.
            TimePoint lastSentAt;
            bool confirmed = false;
        };
        struct Waiting
        {
            TimePoint deadline;
            CancelCallback whenDone;
        };

        TimePoint requestedAt;
        bool known = false; ///< An entry knows the job.
        std::map<Endpoint, Recipient> recipients;
        std::vector<Waiting> waiting;
    };

    /// What shows that a job which is on no list has no run elsewhere.
    enum class AdmissionEvidence : std::uint8_t {
        Lists, ///< Lists of entries that have no runs of former incarnations.
        Agents, ///< The reports of all agents, with the lists of the entries.
        Time, ///< The limits of time.
    };

    /// Whether this entry may admit jobs, and why.
    struct AdmissionState
    {
        bool open = true;
        AdmissionEvidence evidence = AdmissionEvidence::Lists;
        const char *reason = ""; ///< Why it is closed.
        const Endpoint *entry = nullptr; ///< The entry that it is closed for; null if it is this one.
    };

    struct AdmissionLog
    {
        bool open = false; ///< As logged last.
        TimePoint closedLoggedAt;
        std::size_t evidenceAgents = 0;
    };

    /// What has become of the held jobs since admission opened.
    struct HeldRelease
    {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        Duration oldest{0};
    };

    using Jobs = std::unordered_map<JobId, Job, JobIdHash>;

    AdmissionState admissionState(TimePoint now) const;
    /// Logs when admission opens, and repeatedly why it is closed.
    void logAdmission(TimePoint now);
    /// Whether admission depends on the evidence of the agents and one of them may have a run of the job.
    bool mayHaveFormerRunsAtAgents(TimePoint now, const JobId &id) const;
    void recordAgentEvidence(TimePoint now, const Envelope &envelope, const AgentReport &report);

    /// Records a process pause when the last tick is longer ago than pauseThreshold.
    void detectPause(TimePoint now);
    void handleAgentReport(TimePoint now, const Envelope &envelope, const AgentReport &report);
    void handleEntryMessage(TimePoint now, const Envelope &envelope);
    void handleConfig(const ConfigBlob &config);
    void handleRunEvent(TimePoint now, AgentView &agent, const RunEvent &event);
    void handleRunEnd(TimePoint now, AgentView &agent, Job &job, TaskState &task, const RunEvent &event);
    /// Makes a client wait for a job that another entry coordinates.
    void joinRemoteJob(TimePoint now, const Endpoint &coordinator, const WaitingClient &client, const JobId &id);
    /// Records that a job must not start here; false if there are too many such records.
    bool recordCancelledJob(TimePoint requestedAt, const JobId &id);
    /// The cancelled jobs for an entry that asks for them, which may be the only ones that it gets.
    std::vector<CancelledJob> cancelledJobs(TimePoint now) const;
    void receiveCancelledJobs(TimePoint now, const EntryReport &report, EntryPeer &entry);
    /// Whether this entry has just started and the other one may know of cancelled jobs that it doesn't know.
    bool mayLackCancelledJobs(TimePoint now, const EntryPeer &entry) const;
    void handleCancel(TimePoint now, const Endpoint &from, EntryPeer &entry, const JobId &id);
    /// Cancels a job if this entry coordinates it. Returns whether the job is known here.
    bool cancelHere(TimePoint now, const JobId &id);
    /// Sends a cancellation to the entries that have not confirmed it.
    void spreadCancellation(TimePoint now, const JobId &id, Cancellation &cancellation);
    /// Whether another entry may still run jobs. The silence of an entry shows that it has failed only if this entry is not cut
    /// off itself, and agents don't name the other one as alive.
    bool mayRunJobs(TimePoint now, const EntryPeer &entry) const;
    /// Whether this entry hears an agent.
    bool hearsAgent(TimePoint now) const;
    /// Answers the clients if all entries have confirmed, and those that time out.
    void answerCancellation(TimePoint now, Cancellation &cancellation);
    void confirmCancellation(TimePoint now, const Envelope &envelope, const JobStatus &status);
    void maintainCancellations(TimePoint now);
    void answerUnconfirmedCancellations();
    /// Cancels a job that this entry coordinates, even if it has been given up while its runs are still being stopped.
    void cancelJob(TimePoint now, Job &job);
    /// Registers another entry for the outcome of a job, and returns the job's state to report to it.
    JobStatus::State handleJoin(TimePoint now, const Endpoint &from, const JobId &id);
    /// Leaves a job that this entry has given up or doesn't know to the first entry that asks for it. Returns the state to
    /// report: `state` to that entry, Transferred to the others.
    JobStatus::State transfer(TimePoint now, const Endpoint &to, const JobId &id, JobStatus::State state);
    void handleJobStatus(TimePoint now, const Endpoint &from, const JobStatus &status);
    /// Submits a job whose client waits until its deadline. `held` is the job's state in the queue of held jobs if it has just
    /// left it.
    void submitUntil(TimePoint now, const WaitingClient &client, const JobId &id, const HeldJob *held = nullptr);
    /// Whether this entry has just started or resumed after a pause, so that it will hear the other processes shortly.
    bool starting(TimePoint now) const;
    /// Whether jobs of a service can't be admitted now and probably can shortly: lists of other entries are missing, or no agent
    /// has reported since the start.
    bool awaitsAdmission(TimePoint now, const std::string &service) const;
    /// Holds a new job if it has to wait for admission to open or for held jobs that must start earlier. Returns whether it did.
    bool hold(TimePoint now, const WaitingClient &waiting, const Job &job, Duration criticalPath);
    void joinHeldJob(HeldJob &held, const WaitingClient &client);
    void answerHeldJob(TimePoint now, const HeldJob &held, JobOutcome answer, const char *reason);
    /// Submits a job that has left the queue, for all its clients.
    void releaseHeldJob(TimePoint now, const HeldJob &held);
    /// Answers the held jobs that have waited for too long, and releases some of the others if admission is open.
    void releaseHeldJobs(TimePoint now);
    /// Removes a client that no longer waits for a held job. Returns false if the job is not held.
    bool removeHeldClient(const JobId &id, ClientTag client);
    /// Submits a job for a client that has waited for the end of its former submission, here or at another entry, with the rule
    /// of the configuration in force. A client whose deadline has passed, or whose queue is gone, is answered.
    void resubmit(TimePoint now, const WaitingClient &client, const JobId &id);
    /// Answers the clients that have waited until their deadlines for the runs of an answered job to stop.
    void answerExpiredClients(TimePoint now, Job &job);
    /// Stores a job and places its first steps; refuses the job if that fails.
    void admit(TimePoint now, Job &&job);
    /// Places the waiting tasks of a step. On failure returns false with the reason in `job.reason`. Until a run of the job has
    /// started, it must be expected to meet its objective.
    bool placeStep(TimePoint now, Job &job, std::uint32_t stepIndex);
    void assignTasks(TimePoint now, Job &job, std::uint32_t stepIndex, const std::vector<std::uint32_t> &tasks,
                     const std::vector<Placement> &places);
    /// Returns how long the runs may wait at the agent and still meet the job's objective.
    Duration sendStartOrder(TimePoint now, AgentView &agent, Job &job, std::uint32_t stepIndex,
                            const std::vector<OrderedRun> &runs);
    void placeWaitingTasks(TimePoint now, Job &job);
    /// Notes in the tasks, the counters and the log which of them were sent away from the rack of their data.
    void recordLocality(TimePoint now, Job &job, std::uint32_t stepIndex, const std::vector<std::uint32_t> &tasks,
                        const std::vector<Placement> &places);
    /// Counts whether a task that was sent near its data has started there or has been handed back.
    void recordWait(TimePoint now, const Job &job, const TaskRef &ref, TaskState &task, bool started);
    void unblockSteps(Job &job);
    void checkRuns(TimePoint now, Job &job);
    /// Whether the last start order of a task is overdue and was not merely delayed.
    bool orderMayBeLost(TimePoint now, const AgentView &agent, const TaskState &task) const;
    void restartStragglers(TimePoint now, Job &job, std::uint32_t stepIndex);
    /// What is known of a running task and its server, for RestartDecision. `longest` has the longest ages of the step's running
    /// tasks by agent.
    RunEvidence evidenceFor(TimePoint now, const Job &job, const StepState &step, const Endpoint &agent, TimePoint startedAt,
                            const std::map<Endpoint, Duration> &longest) const;
    /// Expected run time of a step's tasks on an agent's server as a multiple of that near their data.
    double dataFactor(const Job &job, const StepState &step, const AgentView &agent) const;
    /// Expected run time of a step's tasks on an agent's server, by its measured speed, as a multiple of the expected run time on
    /// a server of ordinary speed near their data.
    double runTimeFactor(TimePoint now, const Job &job, const StepState &step, const Endpoint &agent) const;
    /// Passes the speeds that the agents report to the health of their servers.
    void applyReportedSpeeds();
    /// The distribution of the run times of a job's queue.
    const RunTimeDistribution &distributionOf(const Job &job) const;
    /// Records the run times of a completed step, or of the running tasks of a job that has not ended in time.
    void recordStepRunTime(TimePoint now, const Job &job, const StepState &step);
    void recordUnfinishedSteps(TimePoint now, const Job &job);
    void stopRun(TimePoint now, Job &job, const RunRef &ref, TaskState &task);
    /// Decides the outcome of a job and stops its runs.
    void finish(TimePoint now, Job &job, JobOutcome answer, const char *reason);
    void answerClients(TimePoint now, Job &job);
    /// Reports the outcome of an answered job to the entries whose clients wait for it.
    void notifyJoinedEntries(TimePoint now, Job &job);
    /// Answers and removes an ended job once none of its runs is outstanding; clients that resubmitted it start it anew.
    void closeIfNoRunsLeft(TimePoint now, JobId id);
    EndedJob &recordEndedJob(TimePoint now, const JobId &id, JobStatus::State state);
    void evictOldestEndedJob();
    /// For the log: how many other entries are heard, and the greatest age of their latest lists of active jobs.
    std::string describePeers(TimePoint now) const;
    /// Sends due heartbeats, acknowledgements and configurations, replaces broken connections and removes expired agents.
    void maintainAgents(TimePoint now);
    /// The same for the other entries.
    void maintainEntries(TimePoint now);
    /// Retransmits join requests and answers clients whose deadline has come or whose coordinator has expired.
    void maintainJoinedJobs(TimePoint now);
    /// Updates the health of all servers from their unfinished runs.
    void updateOverdueRuns(TimePoint now);
    /// Adds the evidence that the running tasks of a step give about the speed of their backend servers.
    void addOverdueEvidence(TimePoint now, const Job &job, const StepState &step, std::map<Endpoint, RunTimeEvidence> &overdue);
    /// Compares the run times on the backend servers of a step. Called once all its tasks have completed.
    void compareRunTimes(TimePoint now, const Job &job, const StepState &step);
    /// Marks this entry's runs at a restarted agent as orphaned.
    void orphanRuns(TimePoint now, const Endpoint &agent);
    void rescheduleOrphanedTasks(TimePoint now, AgentView &agent);
    /// Sending time of the latest list of active jobs that all other live entries have confirmed.
    TimePoint confirmedLists(TimePoint now) const;
    void sendToAgent(TimePoint now, AgentView &agent, Message &&message);
    void sendToEntry(TimePoint now, const Endpoint &to, EntryPeer &entry, Message &&message);
    /// Requests the configuration from a peer while this entry's is older.
    void fetchConfig(TimePoint now);
    Duration replicaLagTimeout() const;
    EntryReport makeHeartbeat(TimePoint now, EntryListState &sentList, const std::vector<EntryAddress> &entries) const;
    std::vector<JobKey> activeJobs() const;
    std::vector<EntryAddress> knownEntries() const;
    /// The live entry that has not confirmed in time that a job is active here, which was requested and listed at these times;
    /// null if there is none.
    const Endpoint *unconfirmedBy(TimePoint now, TimePoint requestedAt, TimePoint listedSince) const;
    /// Gives up a job that another entry may start. Returns whether it did.
    bool giveUpIfUnconfirmed(TimePoint now, Job &job);
    /// Takes over the list of active jobs of another entry, unless a later one has arrived before.
    /// Whether another entry knows that a former incarnation of this one coordinated the job, and that it may still have runs.
    bool mayHaveOwnFormerRuns(TimePoint now, const JobId &id) const;
    /// The jobs of former incarnations of another entry that may still have runs.
    static std::vector<JobKey> formerJobs(TimePoint now, const EntryPeer &entry);
    void receiveActiveJobs(TimePoint now, const Envelope &envelope, const EntryReport &report, EntryPeer &entry);
    void receiveLiveEntries(TimePoint now, const std::vector<LiveEntry> &entries);
    /// Keeps the active jobs of the previous incarnation of an entry, which was last heard at the given time.
    void keepFormerJobs(TimePoint now, TimePoint lastHeardAt, EntryPeer &entry) const;
    /// Whether a former incarnation of the entry may still have runs of the job.
    static bool mayHaveFormerRuns(TimePoint now, const EntryPeer &entry, const JobId &id);
    /// The other entry that coordinates the job; null if there is none or it has been silent for too long.
    const Endpoint *remoteCoordinator(TimePoint now, const JobId &id) const;
    void refuse(TimePoint now, ClientTag client, const JobId &id, const QueueRule &queue, const char *reason,
                AdmissionDecision decision = AdmissionDecision::Shed);
    /// Takes over the demand digest of another entry; logs invalid ones at intervals.
    void receiveDemands(TimePoint now, const Endpoint &from, const EntryReport &report);
    /// Answers that the outcome is unknown: the job is not admitted here, and another entry may run it.
    void holdBack(TimePoint now, ClientTag client, const JobId &id, const char *reason);
    /// Adopts the evacuated domains as known to a peer, or to the store if that is null, if they are newer than the known ones.
    void adoptEvacuations(TimePoint now, const Evacuations &evacuations, const Endpoint *peer);
    /// Logs evacuated domains of which no process is known, once for each change of the set.
    void checkUnknownDomains(TimePoint now);
    /// Records a crash of a server, and ends the jobs of which a task is now suspected of too many.
    void handleServerCrash(TimePoint now, const ProcessId &agent, const std::string &service, const ServerCrash &crash);
    /// Answers the client of a job that has crashed too many servers. Returns false for other jobs.
    bool refuseCrashingJob(TimePoint now, ClientTag client, const JobId &id, const QueueRule &queue);
    /// The waiting tasks of a step that may be placed now. The tasks of a job are alike: after a crash of which one of them is
    /// suspected, one suspect is tried first, and the others wait until a suspect has completed.
    std::vector<std::uint32_t> tasksToPlace(const Job &job, std::uint32_t stepIndex) const;
    /// Which servers these tasks of a step may use.
    Isolation isolationOf(TimePoint now, const Job &job, std::uint32_t stepIndex, const std::vector<std::uint32_t> &tasks) const;

    EntrySettings m_settings;
    LinkPort &m_links;
    ClientPort &m_clients;
    DecisionLog &m_log;
    EntryCounters m_counters;
    NamedHistograms m_jobTimes;
    FleetView m_fleet;
    EarliestFinish m_placement;
    CrashHistory m_crashes;
    QueueIsolation m_isolation;
    std::unique_ptr<AdmissionControl> m_admission; ///< Never null.
    TimePoint m_invalidDemandsLoggedAt;
    DataLocality m_locality;
    CpuOverloadDetector m_cpuOverload;
    std::map<Endpoint, EntryPeer> m_entries;
    Jobs m_jobs;
    HeldJobs m_held;
    HeldRelease m_heldRelease;
    AgentArrival m_agentArrival;
    std::unordered_map<JobId, JoinedJob, JobIdHash> m_joinedJobs;
    std::unordered_map<JobId, Transfer, JobIdHash> m_transfers;
    /// Cancellations requested here, also after they have been answered, for entries that restart or are heard again.
    std::unordered_map<JobId, Cancellation, JobIdHash> m_cancellations;
    std::unordered_map<JobId, TimePoint, JobIdHash> m_cancelledJobs; ///< Cancelled at any entry, with the time of the request.
    TimePoint m_cancellationsReviewedAt;
    std::unordered_map<ClientTag, JobId, IdHash> m_clientJobs;
    std::unordered_map<JobId, EndedJob, JobIdHash> m_endedJobs;
    std::deque<std::pair<TimePoint, JobId>> m_endedOrder; ///< Ended jobs with their end times, oldest first.
    std::map<std::string, RunTimeEstimate> m_estimates; ///< By queue.
    std::map<std::string, RunTimeDistribution> m_distributions; ///< By queue.
    /// Logarithm of the probability that the overdue runs of this entry on a server belong to long tasks, by server and job, as
    /// of m_overdueUpdatedAt. By job, as late tasks of the same job don't show that its server is slow.
    std::map<Endpoint, std::map<JobId, double>> m_overdueLogProbability;
    ConfigBlob m_config;
    std::shared_ptr<const QueueConfig> m_queues; ///< Null until it is set.
    ConfigFetch m_configFetch;
    EvacuationState m_evacuations;
    TimePoint m_unknownDomainsDueAt; ///< When the evacuated domains are compared with the known ones; zero if they have been.
    CoordinationRules m_coordination;
    FleetEvidence m_evidence;
    AgentList m_agentList;
    AdmissionLog m_admissionLog;
    TimePoint m_overdueUpdatedAt;
    TimePoint m_startedAt;
    TimePoint m_lastTickAt;
    TimePoint m_resumedAt; ///< End of the last process pause.
    TimePoint m_shutdownDeadline = TimePoint::max(); ///< No job continues beyond it.
};

} // namespace cuminscale::dispatch
