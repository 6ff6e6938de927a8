/// Accounting of the runs on one backend server and the resources that they use.
#pragma once

#include "core/dispatch/messages.h"
#include "core/dispatch/urgent_reserve.h"
#include "ports/dispatch_ports.h"

#include <unordered_map>

namespace cuminscale::dispatch
{

/// One run that an agent has accepted. Resources are booked in all states except Queued.
struct RunRecord
{
    enum class State : std::uint8_t {
        Queued, ///< Waits for free resources.
        Starting, ///< A start request is outstanding.
        Running,
        StartUnknown, ///< The start request was not answered: the run may be active or may still begin.
    };

    RunRef ref;
    ProcessId coordinator; ///< Zero for a run that an earlier incarnation of the agent started.
    Resources need;
    QueueKey queue;
    std::uint32_t urgency = 0;
    Duration estimate{0};
    Duration baseline{0}; ///< As in StartOrder; 0 if unknown.
    TimePoint requestedAt; ///< As in StartOrder, on the coordinator's clock; zero if unknown.
    TimePoint admittedAt; ///< As in StartOrder, on the coordinator's clock.
    std::shared_ptr<const std::string> payload;
    State state = State::Queued;
    TimePoint inTimeBy; ///< Latest start at which the job ends within its objective.
    TimePoint queuedAt;
    TimePoint waitUntil; ///< A run that is still queued is handed back then; zero for no limit. See StartOrder::waitWithin.
    TimePoint startBy; ///< Start deadline; a run that is still queued is refused then.
    TimePoint startedAt; ///< When the resources were booked and the first start request was sent.
    ServerTime notAfter; ///< On its own clock, the server rejects all start requests after this time.
    TimePoint startSentAt; ///< When the start request was last sent.
    std::uint32_t startAttempts = 0; ///< Number of start requests sent. They are idempotent: the server starts the run once.
    std::uint32_t startsInFlight = 0; ///< Start requests without a response so far.
    std::uint64_t conclusiveFromPoll = 0; ///< Polls from this number on list the run if it is active; 0 if not known yet.
    bool listed = false; ///< The server has listed it as running.
    /// The server has restarted since the start request: the run was lost, or it began after the restart.
    bool serverRestarted = false;
    bool stopRequested = false;
    bool stopAcknowledged = false;
    /// Fixed limit of the run's lifetime, on this process's clock, once its coordinator has been lost; zero before.
    TimePoint limit;
    TimePoint stopRequestedAt; ///< When the first stop was requested; zero if none was.
    bool stopWaiting = false; ///< The stop waits for one of the calls in progress to end.
    TimePoint stopSentAt;
};

/// Keeps the runs of one backend server and books resources for them. Invariant: a booking never makes the booked resources
/// exceed the capacity that was announced at that time.
class RunLedger
{
public:
    using Records = std::unordered_map<TaskRef, RunRecord, TaskRefHash>;

    /// Changes the capacity. Existing bookings stay, even if they exceed the new capacity.
    void setCapacity(const Resources &capacity) noexcept
    {
        m_capacity = capacity;
    }

    const Resources &capacity() const noexcept
    {
        return m_capacity;
    }

    Resources free() const noexcept;

    bool hasFreeResources(const Resources &need) const noexcept
    {
        return need.fits(free());
    }

    /// Whether starting the run would leave enough CPU free for the most urgent runs. Always true for those.
    bool leavesUrgentReserve(const RunRecord &record) const noexcept;

    RunRecord *find(const TaskRef &task);

    /// Adds a run in state Queued. The task must not have a record yet.
    RunRecord &enqueue(RunRecord &&record);

    /// Adds a run that the server lists but this agent did not start. The run is marked to be stopped.
    RunRecord &adopt(const RunRef &run);

    /// Books the resources of a queued run. They must be free.
    void book(RunRecord &record);

    /// Removes a record and releases its resources.
    void remove(const TaskRef &task);

    /// The queued run to start next, or null. Runs that can still meet their objective come first, ordered by latest start; late
    /// runs follow in the same order. Skips runs that would use the CPU reserved for the most urgent ones.
    RunRecord *nextWaiting(TimePoint now);

    /// Updates the average CPU use of the most urgent runs. To be called at regular intervals.
    void sampleUrgentCpu(TimePoint now);

    Records &records() noexcept
    {
        return m_records;
    }

    const Records &records() const noexcept
    {
        return m_records;
    }

    std::size_t waiting() const noexcept
    {
        return m_waiting;
    }

    /// Number of runs that have resources booked.
    std::size_t booked() const noexcept
    {
        return m_records.size() - m_waiting;
    }

    /// Sets the fields of `load` that derive from the runs and the capacity.
    void fillLoad(TimePoint now, ServerLoad &load) const;

private:
    Resources m_capacity;
    Resources m_booked;
    std::int64_t m_urgentCpuMilli = 0; ///< CPU booked by the most urgent runs.
    UrgentReserve m_reserve;
    std::size_t m_waiting = 0;
    Records m_records;
};

} // namespace cuminscale::dispatch
