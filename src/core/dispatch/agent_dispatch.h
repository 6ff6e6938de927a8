/// Dispatch logic of an agent. The agent is the only process that starts and stops runs on its local backend server, and it
/// reports the state of each run to the entry that coordinates it.
#pragma once

#include "core/dispatch/cold_start.h"
#include "core/dispatch/coordination.h"
#include "core/dispatch/crash_history.h"
#include "core/dispatch/entry_selection.h"
#include "core/dispatch/evacuation_state.h"
#include "core/dispatch/latency_histogram.h"
#include "core/dispatch/peer_session.h"
#include "core/dispatch/run_ledger.h"
#include "core/dispatch/server_clock.h"
#include "core/dispatch/server_progress.h"
#include "core/dispatch/server_speed.h"

#include <deque>
#include <functional>
#include <map>

namespace cuminscale::dispatch
{

/// Timeouts, intervals and limits of an agent.
struct AgentTiming
{
    /// The runs of a coordinator are stopped this long after the last time at which it is known to have been running. A client
    /// waits 1.3 s after a broken connection before it submits its job to another entry; the runs must have stopped by then.
    Duration coordinatorTimeout = milliseconds(700);
    /// The backend server ends the runs of a coordinator by itself this long after the last time at which the coordinator is
    /// known to have been running, if their stops are late or lost. Less than the 1.3 s after which clients resubmit, by the
    /// precision of leases and clocks.
    Duration coordinatorRunLimit = milliseconds(1200);
    /// Allows three heartbeats within the 700 ms after which an entry considers an agent failed.
    Duration heartbeatInterval = milliseconds(200);
    /// Minimum interval between reports to an entry that name the live entries. Less than heartbeatInterval, so that each
    /// heartbeat names them.
    Duration liveEntriesInterval = milliseconds(150);
    /// Report interval while tasks are queued: the shortest objectives leave about 90 ms of queueing time.
    Duration queuedReportInterval = milliseconds(80);
    Duration eventBatchDelay = milliseconds(30); ///< Maximum delay of non-urgent events, to send several in one message.
    /// Retransmission timeout of unacknowledged events. It exceeds the heartbeat interval of the entries, because heartbeats
    /// carry the acknowledgements.
    Duration eventRetransmissionTimeout = milliseconds(250);
    /// An order for a job that was requested longer than this before the agent heard its coordinator, for the first time or again
    /// after coordinatorTimeout, is refused: entries may have relied on a report that does not name the coordinator since then,
    /// and the job's client submits it again after 1.3 s. See FleetEvidenceTiming.
    Duration maxJobAgeAtContact = milliseconds(700);
    /// For this long after its start, the agent reports to the entries that it knows and has not heard, and for this long after
    /// it has heard a new incarnation of an entry, to that entry even if it is not attached: entries that have just started need
    /// the reports of all agents.
    Duration startReportPeriod = seconds(2);
    /// Delay of the reports that name an entry which was heard for the first time, so that one report names several.
    Duration newEntryReportDelay = milliseconds(40);
    Duration maxOrderAge = milliseconds(300); ///< An older order was delayed by a stalled connection or process and is refused.
    /// Lease of the runs, renewed by polls. The platform allows up to 1 s; a shorter lease lets the runs of a failed server be
    /// placed elsewhere sooner. It still outlasts process stalls of 100 ms and several unanswered polls at intervals of 40 ms.
    Duration leaseDuration = milliseconds(700);
    /// The server holds the response to a long poll for up to this long, until a run ends. A lost response, and the ends of runs
    /// in it, are noticed this much later.
    Duration pollHoldTime = milliseconds(60);
    Duration startValidity = milliseconds(400); ///< The server rejects a start request that reaches it later than this.
    Duration callRetryTimeout = milliseconds(25); ///< Retry of unanswered calls; the server normally responds in about 1 ms.
    /// Nothing is started if its start request would have to take effect within less than this.
    Duration minStartValidity = milliseconds(50);
    Duration serverTimeout = milliseconds(300); ///< A server that leaves polls unanswered for this long gets no new work.
    Duration progressCheckInterval = milliseconds(45); ///< Interval of checks whether the server stands still.
    Duration probeInterval = milliseconds(500); ///< Interval between polls of a server that refused a connection.
    Duration announcementTimeout = milliseconds(4500); ///< Three announcement intervals.
    /// An announced capacity is used for this long. The platform lets a capacity that has shrunk apply after 4.5 s, and the
    /// server's clock, which measures this time, may run 2% slow.
    Duration capacityValidity = milliseconds(4400);
    /// A response shows for this long after its request was sent which incarnation runs, unless polling stops or fails before.
    /// Allows for a long poll and a pause of 100 ms of a process that waits for its share of processor time.
    Duration incarnationValidity = milliseconds(200);
    /// After two announcement intervals without a higher sequence number, lower ones that rise show that the highest was not the
    /// server's. Less than announcementTimeout, so that the server stays in use.
    Duration sequenceTimeout = seconds(3);
    Duration entryLiveness = seconds(2); ///< An entry that is silent for longer is replaced by another one.
    /// Interval of reports to entries that the agent would be attached to if they answered.
    Duration entryProbeInterval = seconds(1);
    Duration entrySelectionInterval = milliseconds(100); ///< Interval at which the choice of entries is reviewed.
    Duration coordinatorRetention = seconds(10); ///< A silent entry is removed after this, unless it is in the settings.
    CoordinationTiming coordination;
    std::uint32_t maxStartAttempts = 4; ///< Maximum number of times that a start request is sent.
    std::size_t maxStartsInFlight = 10; ///< Concurrent start requests, one connection each; polls use another connection.
    /// Concurrent stop requests, one connection each. Leaves connections for starts, polls and their repetitions.
    std::size_t maxStopsInFlight = 16;
    std::size_t maxWaiting = 512; ///< Maximum number of queued tasks.
    std::size_t maxStartProbes = 16; ///< Entries that have not been heard and get reports in startReportPeriod.
    /// Former jobs in a report. If there are more, the report does not claim that the server has been examined.
    std::size_t maxFormerJobs = 512;
};

/// Identity of an agent, and the entries that it contacts first.
struct AgentSettings
{
    ProcessId self;
    std::string domain;
    std::string service; ///< The service of the backend server; announcements of others are ignored.
    std::vector<Endpoint> entries; ///< Initial entries; their reports contain the addresses of further ones.
    EntrySelectionLimits attachedEntries;
    bool followsEvacuations = false; ///< Whether operators evacuate failure domains.
    /// Initial fencing token, from the wall clock in milliseconds, so that it exceeds the tokens of earlier incarnations.
    FencingToken firstToken;
    AgentTiming timing;
};

/// Counters that are exported as metrics.
struct AgentCounters
{
    std::uint64_t ordersTaken = 0; ///< Start orders received, including retransmitted ones.
    std::uint64_t runsStarted = 0;
    std::uint64_t runsDone = 0;
    std::uint64_t runsFailed = 0;
    std::uint64_t runsStopped = 0;
    std::uint64_t runsLapsed = 0;
    std::uint64_t runsLost = 0;
    /// Runs refused by the agent or the server, or cancelled while queued; orders refused on arrival for their age are not
    /// counted.
    std::uint64_t runsRefused = 0;
    std::uint64_t runsRefusedEvacuated = 0; ///< Of these, the runs refused because the failure domain is evacuated.
    std::uint64_t startsUnanswered = 0; ///< Runs whose start requests got no usable answer.
    std::uint64_t startsRepeated = 0; ///< Start requests retransmitted.
    std::uint64_t leasesLimited = 0; ///< Polls that extended the lease by less than its duration, because of a run's limit.
    std::uint64_t pollsFailed = 0; ///< Polls that failed or timed out.
    std::uint64_t runsUnconfirmed = 0; ///< Runs stopped because other entries may start their jobs.
    std::uint64_t coordinatorsSilent = 0; ///< Coordinators that timed out.
    std::uint64_t connectionsReplaced = 0;
    std::uint64_t coldTimesInvalid = 0; ///< Announcements whose time for which the server is cold is invalid.
    std::uint64_t serverCrashes = 0; ///< Crashes of the backend server with runs on it.
};

/// State machine of an agent. It has no clock, socket or thread of its own: the caller passes the current time and delivers
/// messages and responses.
///
/// agent_dispatch.cpp implements start and stop orders and the queue, agent_server.cpp the protocol with the backend server
/// (starts, stops, polls, leases and fencing tokens), agent_evacuation.cpp the evacuation of its failure domain, and
/// agent_coordinators.cpp the exchange of messages with the entries.
class AgentDispatch
{
public:
    AgentDispatch(AgentSettings settings, ServerPort &server, LinkPort &links, DecisionLog &log, TimePoint now);

    void onMessage(TimePoint now, const Envelope &envelope);

    /// Handles an announcement of a backend server, which other programs can send too: an incarnation in use is replaced only
    /// once the server has confirmed the new one. Returns false if it is for another service than the agent's.
    bool onAnnouncement(TimePoint now, const ServerAnnouncement &announcement);
    /// Logs that an announcement was ignored because a field is missing or invalid.
    void onInvalidAnnouncement(const std::string &serverId);
    /// Handles the deregistration of a backend server.
    void onServerLeft(TimePoint now, const std::string &serverId);

    void onStartAnswered(TimePoint now, const RunRef &run, StartAnswer answer);
    void onStopAnswered(TimePoint now, const RunRef &run, bool acknowledged);
    void onPollAnswered(TimePoint now, std::uint64_t number, const std::optional<Inventory> &inventory, PollFailure failure);
    void onTick(TimePoint now);

    /// Adds entries that were discovered at run time.
    void addEntries(TimePoint now, const std::vector<Endpoint> &entries);

    /// The latest configuration document received from an entry; version 0 if none has been received.
    const ConfigBlob &config() const noexcept
    {
        return m_config;
    }

    /// The evacuated failure domains, as received from the entries.
    const Evacuations &evacuations() const noexcept
    {
        return m_evacuations.valid();
    }

    /// Refuses new and queued tasks; tasks that have been started continue.
    void shutDown(TimePoint now);

    /// Whether a shutdown loses nothing: no run is queued or active, the backend server's reports of ended runs have been
    /// acknowledged, and every coordinator that is alive has acknowledged the events of its runs.
    bool drained(TimePoint now) const;

    /// Whether a message from any entry has arrived within the coordinator timeout.
    bool hasLiveEntry(TimePoint now) const;

    /// Times from the arrival of an order to its start request to the server.
    const LatencyHistogram &waitTimes() const noexcept
    {
        return m_waitTimes;
    }

    /// Times from the first start request to the reported end, of successful runs.
    const LatencyHistogram &runTimes() const noexcept
    {
        return m_runTimes;
    }

    const AgentCounters &counters() const noexcept
    {
        return m_counters;
    }

    const RunLedger &ledger() const noexcept
    {
        return m_ledger;
    }

private:
    /// An entry, as seen by this agent.
    struct Coordinator
    {
        explicit Coordinator(TimePoint now)
            : session(now)
        { }

        PeerSession session;
        /// Latest time at which the entry is known to have been running, from the maximum age of its messages.
        TimePoint lastKnownAliveAt;
        std::deque<RunEvent> unacknowledged;
        std::uint64_t lastEventNumber = 0;
        std::uint64_t sentUpTo = 0; ///< Events up to this number have been sent at least once.
        std::uint64_t ordersSeen = 0;
        TimePoint confirmedLists; ///< As in Envelope, on the entry's clock.
        Duration clockOffset{0}; ///< Upper bound of the entry's clock less this process's clock.
        TimePoint liveEntriesSentAt; ///< When a report last named the live entries.
        std::uint64_t evacuationsSent = 0; ///< Revision of the evacuations in the latest report with them.
        TimePoint reportDueAt; ///< When the pending events must be sent; zero if there are none.
        TimePoint retransmissionTimerStart; ///< Last transmission of the oldest unacknowledged event, or last acknowledgement.
        std::string domain; ///< Empty until it is known.
        bool attached = false; ///< Chosen by selectEntries().
        bool probed = false; ///< It would be attached if it were live.
        bool reporting = false; ///< Reports are sent to it; false once it has been told that they end.
        bool hasRuns = false; ///< The ledger has runs that it ordered.
        bool fromSettings = false;
        /// The entry's clock, at the latest, when this process heard it for the first time or again after coordinatorTimeout.
        TimePoint liveSince;
        bool startProbed = false; ///< It has not been heard, and this process has just started.
        bool named = false; ///< Reports that name the present incarnation have been made due at all entries.
        TimePoint reportUntil; ///< Reports are sent to it until then, even if it is not attached.
        bool runsStopped = false; ///< Whether its runs were stopped because the coordinator timed out.
    };

    using Coordinators = std::map<Endpoint, Coordinator>;

    /// Bounds the memory that unknown senders can make an agent use; well above the number of entries of a deployment.
    static constexpr std::size_t MaxCoordinators = 1024;

    void handleStartOrder(TimePoint now, Coordinator &coordinator, const Envelope &envelope, const StartOrder &order);
    void handleOrderedRun(TimePoint now, const ProcessId &from, const StartOrder &order, const OrderedRun &run, Duration age);
    void handleStopOrder(TimePoint now, const ProcessId &from, const StopOrder &order);
    void startQueuedRuns(TimePoint now);
    void refuseExpiredRuns(TimePoint now);
    /// Chooses the entries to report to.
    void selectCoordinators(TimePoint now);
    /// Sends the report that is due to a coordinator, and tells it when reports end.
    void maintainReports(TimePoint now, const Endpoint &to, Coordinator &coordinator);
    /// Returns the record of an entry, adding one if there is none.
    Coordinator &addCoordinator(TimePoint now, const Endpoint &entry);
    bool coordinatorAlive(TimePoint now, const ProcessId &process) const;
    /// Stops the runs of jobs that other entries may start, because their coordinator has not confirmed them in time. The
    /// coordinator does the same unless it has failed.
    void stopUnconfirmedRuns(TimePoint now);
    /// The entries that runs may be started for at present.
    std::vector<LiveEntry> liveEntries(TimePoint now) const;
    /// Records the time at which a coordinator is known to have been running, from the maximum age of its message.
    void recordAlive(TimePoint now, Coordinator &coordinator, const Envelope &envelope, Duration age);
    /// Has each entry that gets reports get one by a time that names the live entries.
    void nameEntriesToAll(TimePoint due);
    /// Names the live entries in a report, with the jobs whose runs don't belong to one of them.
    void describeEntries(TimePoint now, AgentReport &report) const;
    /// Time on the server's clock after which it has to reject a start request that is sent now; nullopt if such a request would
    /// have too little time to take effect.
    std::optional<ServerTime> startDeadline(TimePoint now, const RunRecord &record) const;
    void sendStart(TimePoint now, RunRecord &record, ServerTime notAfter);
    void retransmitStarts(TimePoint now);
    void refuseQueuedRuns(TimePoint now, RefusalReason reason);
    /// Refuses the queued runs for which `which` returns true.
    void refuseQueuedRuns(TimePoint now, RefusalReason reason, const std::function<bool(const RunRecord &)> &which);
    void refuseRun(TimePoint now, const RunRecord &record, RefusalReason reason);
    void recordEnd(TimePoint now, RunRecord &record, RunEnd outcome, RefusalReason reason, bool serverUnresponsive);
    void requestStop(TimePoint now, RunRecord &record);
    /// Sends the stop of a run, or has it wait while too many are in progress.
    void sendStop(TimePoint now, RunRecord &record);
    void sendWaitingStops(TimePoint now);
    void stopRunsOf(TimePoint now, const Endpoint &coordinator, const char *cause);
    /// Fixes the limit of a run's lifetime, unless it has an earlier one.
    static void limitRun(RunRecord &record, TimePoint limit);
    /// Latest time until which the run may be active if its coordinator gets no further list confirmed.
    TimePoint confirmationLimit(const RunRecord &record, const Coordinator &coordinator) const;
    /// Latest time until which the run may be active: its coordinator may have failed, and clients resubmit its jobs after that.
    TimePoint runLimit(const RunRecord &record) const;
    /// The earliest limit of a run that may be active; nullopt if there is none. The lease of the server ends all of its runs, so
    /// it is not extended beyond this.
    std::optional<TimePoint> leaseLimit() const;
    /// The least that the server's clock can show at a time; the latest time there is for nullopt.
    ServerTime serverTimeAt(const std::optional<TimePoint> &time) const noexcept;
    /// Time until the lease of the server's runs expires, if its clock runs at the lowest rate; negative after that.
    std::int64_t remainingLeaseMs(TimePoint now) const noexcept;
    /// Handles an announcement of another incarnation than the one in use.
    void handleOtherIncarnation(TimePoint now, const ServerAnnouncement &announcement);
    /// Decides from the response to a poll whether m_announcedIncarnation runs at the server, and uses it if so. Returns whether
    /// it does.
    bool adoptAnnouncedIncarnation(TimePoint now, const std::optional<Inventory> &inventory, PollFailure failure);
    /// Whether an announcement is older than the latest one of its incarnation.
    bool isOutdated(TimePoint now, const ServerAnnouncement &announcement);
    void useIncarnation(TimePoint now, const ServerAnnouncement &announcement);
    /// Takes over the state that the server reports of itself.
    void applyAnnouncement(TimePoint now, const ServerAnnouncement &announcement);
    /// Logs that the server has become cold, and invalid times for which it is cold.
    void recordColdTime(TimePoint now, const ServerAnnouncement &announcement, bool wasCold);
    /// Sets the capacity that may be used at present: all that is announced, or a part of it while the server is cold.
    void updateCapacity(TimePoint now) noexcept;
    void endServerIncarnation(TimePoint now, const char *cause);
    /// Records the end of the backend server's process, once for each incarnation, and reports it with the tasks that may have
    /// caused it. To be called while the ledger still has the runs.
    void recordCrash(TimePoint now);
    void recordAllRunsLost(TimePoint now, const char *cause);
    /// Requests the inventory of the backend server. The poll also renews the lease and acknowledges ended runs. The server holds
    /// a long poll until a run ends or pollHoldTime has passed.
    void pollServer(TimePoint now, bool longPoll);
    /// Finds out, shortly after the start and before the first announcement, whether there is a backend server at all. If its
    /// address refuses connections, it has no runs.
    void checkForServer(TimePoint now);
    /// Whether the server may get a start request: it has shown that it is the incarnation whose labels and capacity are known,
    /// and it has been polled since.
    bool incarnationSeen(TimePoint now) const noexcept;
    /// Polls a server whose incarnation has not been seen recently enough for a start request. Returns whether it has.
    bool confirmIncarnation(TimePoint now);
    /// An idle server is not polled, so that its end would not be noticed: the next start request has to wait for a poll.
    void forgetIdleIncarnation() noexcept;
    /// Compares the records with the response to poll `number`: records the end of runs that are no longer listed, and stops
    /// listed runs that have no record.
    void reconcile(TimePoint now, std::uint64_t number, const Inventory &inventory);
    void checkServer(TimePoint now);
    /// Checks whether the backend server stands still, and reports it to the entries when that changes.
    void checkProgress(TimePoint now);
    void checkCoordinators(TimePoint now);
    /// Raises the fencing token, and schedules a poll that carries the new one to the server.
    void raiseToken(TimePoint now, const char *cause);
    /// Adopts the evacuated failure domains of an entry if they are newer than the known ones. Hands queued tasks back when this
    /// agent's own domain is evacuated, and tells the entries when that begins or ends.
    void adoptEvacuations(TimePoint now, const Endpoint &from, const Evacuations &evacuations);
    /// Whether the failure domain of this agent is evacuated.
    bool evacuated() const
    {
        return m_evacuations.isEvacuated(m_settings.domain);
    }
    bool accepting(TimePoint now) const;
    /// Whether the backend server can take runs; accepting() is false nevertheless during an evacuation.
    bool serverUsable(TimePoint now) const noexcept;
    /// Whether this incarnation of the server has announced its capacity recently enough to rely on it.
    bool capacityKnown(TimePoint now) const noexcept;
    /// Raises the token by twice as much as the last time, because the server has rejected the current one.
    void raiseTokenFurther(TimePoint now);
    /// Queues an event for a coordinator. The report with it is due at once if the event is urgent, otherwise
    /// after eventBatchDelay.
    void queueEvent(TimePoint now, const Endpoint &to, RunEvent event, bool urgent);
    /// Sends the load and the new events; with `retransmit`, also the unacknowledged events that were sent before.
    void sendReport(TimePoint now, const Endpoint &to, Coordinator &coordinator, bool retransmit, bool detached = false);
    void sendDueReports(TimePoint now);
    /// Sends a report to each entry that gets reports, because the use that can be made of the server has changed.
    void reportToAll(TimePoint now);
    /// Starts queued runs as resources allow, then sends the reports that are due.
    void startAndReport(TimePoint now);
    void sendConfig(TimePoint now, const Endpoint &to, Coordinator &coordinator);
    RefusalReason refusalFor(TimePoint now, const Resources &need) const;

    AgentSettings m_settings;
    ServerPort &m_server;
    LinkPort &m_links;
    DecisionLog &m_log;
    AgentCounters m_counters;
    LatencyHistogram m_waitTimes;
    LatencyHistogram m_runTimes;
    RunLedger m_ledger;
    Coordinators m_coordinators;
    /// Highest event number of removed coordinators. The events of a coordinator that is added again get higher numbers, as it
    /// ignores numbers that it has seen.
    std::uint64_t m_removedEventNumber = 0;
    TimePoint m_entriesSelectedAt;
    TimePoint m_startedAt;
    ServerProgress m_progress;
    ServerSpeed m_speed;
    bool m_reportedSuspect = false;
    TimePoint m_progressCheckedAt;
    ConfigBlob m_config;
    EvacuationState m_evacuations;

    std::optional<ServerIncarnation> m_serverIncarnation; ///< Empty before the first announcement and after the server has left.
    /// A response of the server has shown that m_serverIncarnation runs there. Until then, its start time may be wrong, and does
    /// not make announcements of others count as outdated.
    bool m_incarnationConfirmed = false;
    /// Announcement of another incarnation, until a poll from m_announcedIncarnationPoll on shows which one runs.
    std::optional<ServerAnnouncement> m_announcedIncarnation;
    std::uint64_t m_announcedIncarnationPoll = 0;
    std::uint64_t m_announcementSequence = 0;
    std::optional<std::uint64_t> m_outdatedSequence; ///< Of the latest outdated announcement since the last one that was not.
    TimePoint m_announcedAt;
    /// Until when the announced capacity may be used, on the server's clock; empty until this incarnation has announced it.
    std::optional<ServerTime> m_capacityValidUntil;
    Resources m_announcedCapacity;
    ColdStart m_coldStart;
    bool m_coldTimeInvalid = false; ///< In the latest announcement.
    bool m_draining = false;
    bool m_leftServer = false; ///< The server's id was deregistered, and it has not responded since.
    std::vector<std::string> m_labels;
    TimePoint m_labelsChangedAt; ///< Start orders of entries that had not heard of the change rely on other labels.
    ServerClock m_clock;
    FencingToken m_token;
    std::int64_t m_tokenIncrement = 1;
    ServerTime m_leaseUntil; ///< Latest lease limit or start deadline sent to this incarnation, on its clock.
    /// The ledger has all runs of this incarnation, also those that a former agent started, or there is no server.
    bool m_examined = false;
    bool m_reconciled = false; ///< A complete inventory of this incarnation has been read and lists no run of unknown origin.
    bool m_reachable = true;
    bool m_shuttingDown = false;

    std::uint64_t m_pollNumber = 0; ///< Number of the outstanding poll, or of the latest one.
    bool m_pollInFlight = false;
    TimePoint m_pollSentAt; ///< When the outstanding poll, or the latest one, was sent.
    TimePoint m_incarnationSeenAt; ///< When the poll was sent that has shown the incarnation; zero if that is not known any more.
    TimePoint m_pollDeadline; ///< Latest expected response to the outstanding poll.
    TimePoint m_inventoryAt; ///< Time of the latest poll response.
    bool m_lastPollUnanswered = false; ///< The latest completed poll failed or timed out.
    TimePoint m_pollFailedAt; ///< When a poll last failed; the ends of runs that were active then may be noticed late.
    TimePoint m_nextPollAt; ///< Zero if no poll is scheduled.
    TimePoint m_nextServerCheckAt; ///< See checkForServer().
    std::uint64_t m_endsSeen = 0; ///< Highest number of a processed finished run; the next poll acknowledges it.
    bool m_endsUnacknowledged = false; ///< The latest inventory has new finished runs that no poll has acknowledged.
    std::size_t m_startsInFlight = 0;
    std::size_t m_stopsInFlight = 0;
    std::deque<RunRef> m_waitingStops; ///< Runs whose stops wait for a call in progress to end; some may have ended.

    CrashReports m_crashReports;
    bool m_crashRecorded = false; ///< The crash of the present incarnation of the server has been recorded.
    /// Runs whose lease expired while the server did not respond. They are suspects if it turns out to have crashed.
    std::vector<RunRecord> m_unresponsiveRuns;

    /// Runs that ended recently, or whose stop order arrived before their start order. A retransmitted or late start order is
    /// answered from here. The key includes the coordinator because each coordinator numbers the runs of a task independently.
    std::map<std::pair<RunRef, ProcessId>, RunEvent> m_endedRuns;
    std::deque<std::pair<TimePoint, std::pair<RunRef, ProcessId>>> m_endedRunsByTime;
};

} // namespace cuminscale::dispatch
