/// Messages between entries and agents, and among entries. src/adapters/dispatch_codec.cpp encodes and decodes them.
#pragma once

#include "core/dispatch/types.h"

#include <memory>
#include <optional>
#include <variant>

namespace cuminscale::dispatch
{

/// The operators' configuration document, as read from the store.
struct ConfigBlob
{
    std::uint64_t version = 0;
    std::string document;
};

/// A task in a start order, with the number of its run.
struct OrderedRun
{
    std::uint32_t index = 0;
    RunNumber run;
};

/// Order of an entry to an agent to start tasks of one step. The time limits count from `Envelope::sentAt`.
struct StartOrder
{
    std::uint64_t number = 0; ///< Sequence number of the orders of this entry to this agent.
    JobId job;
    QueueKey queue;
    std::uint32_t step = 0;
    Resources need;
    std::uint32_t urgency = 0; ///< Priority of the queue; 0 is the most urgent.
    Duration estimate{0};
    Duration inTimeWithin{0}; ///< Latest start that still meets the objective of the job.
    Duration startWithin{0}; ///< Start deadline; the task is refused if it has not started by then.
    std::shared_ptr<const std::string> payload;
    std::vector<OrderedRun> runs;
    TimePoint requestedAt; ///< When the request of the job's client arrived, on the sender's clock.
    TimePoint admittedAt; ///< Since when the sender lists the job as active, on its clock.
    Duration baseline{0}; ///< Expected run time on a server of ordinary speed; 0 if unknown.
    /// How long waiting at the receiver pays. A task that still waits then is handed back; 0 for no limit.
    Duration waitWithin{0};
};

/// Order of an entry to an agent to stop runs and to remove queued ones.
struct StopOrder
{
    std::vector<RunRef> runs;
};

/// Change of state of a run.
struct RunEvent
{
    enum class Kind : std::uint8_t {
        Queued, ///< The run is queued at the agent.
        Started,
        Ended,
    };
    std::uint64_t number = 0; ///< Sequence number of the events of this agent for this entry.
    RunRef run;
    Kind kind = Kind::Queued;
    RunEnd end = RunEnd::Done;
    RefusalReason reason = RefusalReason::None; ///< Set for runs that never started.
    Duration ran{0}; ///< From the first start request to the end as noticed by the agent; 0 if it never started.
    /// A poll or start request was not answered during the run, so `ran` includes that delay and does not show the backend
    /// server's speed.
    bool serverUnresponsive = false;
};

/// A crash of a backend server.
struct ServerCrash
{
    std::uint64_t number = 0; ///< Sequence number of the crashes that this incarnation of the agent has noticed.
    std::vector<TaskRef> suspects; ///< Tasks whose runs had just been started: one of them has probably caused it.
    /// Suspects whose start request had no answer: their runs may not have begun when the server crashed.
    std::vector<TaskRef> unanswered;
    std::vector<TaskRef> bystanders; ///< The other tasks that had a run on the server.
    std::vector<QueueKey> suspectQueues; ///< The queues of the suspects, each once.
};

/// The evacuated failure domains, as of a revision of the store. Of two, the one with the higher revision is valid.
struct Evacuations
{
    std::uint64_t revision = 0; ///< 0 if none is known.
    std::vector<std::string> domains; ///< Sorted.

    bool operator==(const Evacuations &) const = default;
};

/// Demand of an entry's clients for one queue, in thousandths of a core.
struct QueueDemand
{
    QueueKey queue;
    double usualCpuMilli = 0; ///< Mean over tens of seconds.
    double presentCpuMilli = 0; ///< Mean over the last seconds.
};

/// An entry that an agent starts runs for.
struct LiveEntry
{
    Endpoint endpoint;
    Incarnation incarnation; ///< The one that the agent has heard last; zero if it does not say.

    bool operator==(const LiveEntry &) const = default;
};

/// An entry, as others name it.
struct EntryAddress
{
    Endpoint endpoint;
    std::string domain; ///< Its failure domain; empty if the sender does not know it.
};

/// Load of an agent's backend server and the pending run events. Without events it serves as a heartbeat.
struct AgentReport
{
    std::string service;
    std::string domain;
    ServerLoad load;
    std::uint64_t ordersSeen = 0; ///< Highest number of the receiver's orders that the load accounts for.
    std::uint64_t oldestEvent = 0; ///< Lowest number that this or a later report can still contain; 0 if there was no event yet.
    std::vector<RunEvent> events;
    std::vector<ServerCrash> crashes; ///< Recent crashes of the backend server; each is repeated in several reports.
    /// The agent has chosen other entries and sends this one no more reports, except on runs that it orders.
    bool detached = false;
    /// The entries that the agent starts runs for, because it knows them to be running; absent in most reports.
    std::optional<std::vector<LiveEntry>> liveEntries;
    bool examined = false; ///< The agent has listed all runs of its server since its own start.
    /// Jobs with runs here that were started for another incarnation of their coordinator than the one in `liveEntries`, or for
    /// a coordinator that is unknown.
    std::vector<JobKey> formerJobs;
    Evacuations evacuations;
};

/// A job that must not start any more because a client has cancelled it.
struct CancelledJob
{
    JobId job;
    Duration age{0}; ///< Time since the cancellation was requested.
};

/// Heartbeat of an entry, sent to agents and to other entries.
struct EntryReport
{
    std::string domain; ///< Failure domain of the sender.
    std::vector<EntryAddress> entries; ///< All entries that it knows, including itself; empty in most heartbeats.
    std::vector<JobKey> activeJobs; ///< Jobs that it coordinates at present; filled in only for other entries.
    /// Sending time, on the receiver's clock, of the latest such list of the receiver that the sender has received; zero if none.
    TimePoint confirmedList;
    Duration uptime{0}; ///< How long the sender has been running.
    /// All cancelled jobs that the sender knows, as the receiver has asked for them; absent in most heartbeats.
    std::optional<std::vector<CancelledJob>> cancelledJobs;
    std::vector<JobKey> formerJobs; ///< Jobs of former incarnations of the receiver that may still have runs.
    bool wantsCancelledJobs = false; ///< The sender has not received this list from the receiver yet.
    bool sharesCancelledJobs = false; ///< The sender answers such requests; false for an entry of a version that doesn't.
    Evacuations evacuations;
    std::vector<QueueDemand> demands; ///< By queue, largest first; empty in most heartbeats.
};

/// Request of an entry to the entry that coordinates a job: asks for the state of the job now, and again when the job ends.
struct JoinJob
{
    JobId job;
};

/// State of a job at the sending entry.
struct JobStatus
{
    enum class State : std::uint8_t {
        Unknown,
        Active,
        Succeeded,
        Failed,
        Refused,
        Cancelled,
        Transferred, ///< Given up or unknown here, and left to another entry that had joined it.
    };
    JobId job;
    State state = State::Unknown;
};

/// Cancels a job; takes effect at the entry that coordinates it.
struct CancelJob
{
    JobId job;
};

/// Request of an entry for the configuration that the receiver uses.
struct ConfigRequest
{ };

using Message =
    std::variant<StartOrder, StopOrder, AgentReport, EntryReport, JoinJob, JobStatus, CancelJob, ConfigBlob, ConfigRequest>;

/// A message with its sender, its acknowledgements, and the times from which the receiver bounds its age.
struct Envelope
{
    ProcessId from;
    Incarnation toIncarnation; ///< Incarnation of the receiver; zero if the sender does not know it.
    bool fromEntry = false;
    TimePoint sentAt; ///< On the sender's clock.
    TimePoint echoOf; ///< Newest `sentAt` received from the receiver, on the receiver's clock; zero if none.
    Duration echoHeld{0}; ///< Time between receiving that message and sending this one.
    std::uint64_t eventsSeen = 0; ///< Cumulative acknowledgement: highest processed event number of the receiver.
    std::uint64_t configVersion = 0; ///< Version of the configuration that the sender uses.
    /// From entries to agents: sending time of the sender's latest list of active jobs that all other live entries have
    /// confirmed.
    TimePoint confirmedLists;
    Message message;
};

} // namespace cuminscale::dispatch
