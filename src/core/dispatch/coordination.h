/// Rules by which at most one entry at a time has runs of a job, although entries learn of each other's jobs only from lists that
/// they exchange with their heartbeats.
///
/// A list that is missing or old does not show that a job is unknown at its sender. So an entry goes on with a job only while the
/// other live entries confirm lists that contain it, and an entry that may have missed lists admits no job. spec/coordination.pml
/// is a model of these rules.
#pragma once

#include "cuminscale/units.h"

#include <algorithm>

namespace cuminscale::dispatch
{

/// Time limits of the rules. They rely on two times of other parties: a client waits 1.3 s (the platform's retransmit_ms) after a
/// broken connection before it submits its job to another entry, and agents stop the runs of an entry that they have not heard
/// for AgentTiming::coordinatorTimeout.
struct CoordinationTiming
{
    /// A job may continue for this long after its client's request without confirmation by an entry. Its runs must have stopped
    /// 1.3 s after that.
    Duration unconfirmedJobTimeout = milliseconds(1100);
    /// A confirmed job may continue for this long after the list that was confirmed last.
    Duration confirmationTimeout = milliseconds(1400);
    /// The runs of an unconfirmed job end within this after its client's request, which the client may repeat after 1.3 s.
    Duration unconfirmedRunLimit = milliseconds(1200);
    /// The runs of a confirmed job end within this after the list that was confirmed last: less than silentEntryTimeout.
    Duration confirmedRunLimit = milliseconds(1800);
    /// The jobs of a silent entry that agents still hear count as active for this long. The entry gives them up after
    /// confirmationTimeout, and its runs need time to stop.
    Duration silentEntryTimeout = seconds(2);
    /// The jobs of an entry that is silent and that agents don't hear either count as active for this long. Its runs end within
    /// AgentTiming::coordinatorRunLimit (1.2 s) after it has failed, and it may have been silent for a heartbeat interval then.
    Duration failedEntryTimeout = milliseconds(1400);
    /// The jobs of the former incarnation of an entry that has restarted count as active for this long after its last message,
    /// which it may have sent two heartbeat intervals before its end.
    Duration formerJobsTimeout = milliseconds(1600);
    /// An entry that may have missed lists admits no job for this long, unless it has recent lists from all known entries. By
    /// then the other entries have noticed that it is alive, and have given up the jobs that it has not confirmed.
    Duration admissionHold = seconds(2);
    /// Maximum age of a recent list: a job that was admitted later elsewhere is not resubmitted yet.
    Duration recentListAge = seconds(1);
    /// The list of an entry does not contain the jobs of its former incarnation, whose runs may not have ended until the entry
    /// has been running for this long, unless the agents show that they have (FleetEvidence). The runs end within
    /// AgentTiming::coordinatorRunLimit (1.2 s) after their coordinator, and a restart takes 0.1 s or more.
    Duration formerRunsTimeout = milliseconds(1100);
    /// An entry counts as alive for this long after the last report in which an agent named it. Two intervals of these reports,
    /// and delays.
    Duration namedTimeout = milliseconds(700);
    /// An entry that has just become alive admits no job that another one coordinates, so its confirmation may take this long.
    /// Less than admissionHold by the time that runs need to stop.
    Duration firstConfirmationTimeout = seconds(1);
    /// An entry that no agent has named to it for this long may count as failed elsewhere. Longer than the interval of these
    /// reports, and short enough that it stops ordering runs before others admit its jobs.
    Duration ownNameTimeout = milliseconds(500);
    /// A longer interval between two checks shows that this process lags: reports that name it may not have been read yet.
    Duration maxCheckInterval = milliseconds(100);
};

/// Time by which the runs of a job must have ended if no further list is confirmed. All times are as in isConfirmed().
inline TimePoint runsEndBy(const CoordinationTiming &timing, TimePoint requestedAt, TimePoint admittedAt,
                           TimePoint confirmed) noexcept
{
    const TimePoint unconfirmed = requestedAt + timing.unconfirmedRunLimit;
    return confirmed > admittedAt ? std::max(unconfirmed, confirmed + timing.confirmedRunLimit) : unconfirmed;
}

/// What an entry knows of the job lists that it exchanges with another entry. Times are on this entry's clock unless stated
/// otherwise; zero means never.
struct ListExchange
{
    TimePoint sentAt; ///< Sending time of the latest list received, on the other entry's clock.
    TimePoint receivedAt; ///< When that list arrived.
    /// Lower bound of the sending time of the latest list of an entry that has no runs of a former incarnation; zero if there is
    /// none.
    TimePoint notOlderThan;
    /// The same for the latest list of the present incarnation, which may have runs of a former one.
    TimePoint latestNotOlderThan;
    TimePoint confirmed; ///< Sending time of the latest list of this entry that the other one has confirmed.
    TimePoint namedAt; ///< When an agent last named the other entry as alive.
    bool confirms = true; ///< False for an entry of a version that does not confirm lists.
    TimePoint aliveSince; ///< When an agent first named it after it had not counted as alive; earlier if that is not known.
};

/// Whether a job may continue. All times are on its coordinator's clock. Its client's request arrived at `requestedAt`; since
/// `admittedAt` it is on the coordinator's list, and `confirmed` is the sending time of the latest list that has been confirmed.
inline bool isConfirmed(const CoordinationTiming &timing, TimePoint now, TimePoint requestedAt, TimePoint admittedAt,
                        TimePoint confirmed) noexcept
{
    return now - requestedAt < timing.unconfirmedJobTimeout
        || (confirmed > admittedAt && now - confirmed < timing.confirmationTimeout);
}

/// Applies the rules for one entry. It has no clock: callers pass the current time.
class CoordinationRules
{
public:
    CoordinationRules(const CoordinationTiming &timing, TimePoint now) noexcept
        : m_timing(timing)
        , m_uncertainSince(now)
    { }

    /// Records that an agent has named the entries that are alive, and whether this entry is among them.
    void recordNames(TimePoint now, bool named) noexcept;

    /// Records the end of a pause of this process.
    void recordPause(TimePoint now) noexcept
    {
        m_uncertainSince = now;
    }

    /// Records that an agent has named another entry as alive.
    void recordName(TimePoint now, ListExchange &other) const noexcept;

    /// Checks whether agents still hear this entry. To be called before any decision on a job.
    void checkOwnName(TimePoint now) noexcept;

    /// Whether agents hear the other entry, so that it may start runs.
    bool isAlive(const ListExchange &other) const noexcept
    {
        return other.namedAt != TimePoint() && m_namesReceivedAt - std::max(other.namedAt, m_namesSince) <= m_timing.namedTimeout;
    }

    /// Whether the confirmations of the other entry count at present: it may admit jobs.
    bool mustConfirm(TimePoint now, const ListExchange &other) const noexcept
    {
        return other.confirms && isAlive(other) && now - other.aliveSince >= m_timing.firstConfirmationTimeout;
    }

    /// Whether this entry may go on with a job, as far as the other entry is concerned. Its client's request arrived at
    /// `requestedAt`; since `admittedAt` it is on this entry's list.
    bool mayContinue(TimePoint now, TimePoint requestedAt, TimePoint admittedAt, const ListExchange &other) const noexcept;

    /// How long the jobs on the other entry's latest list count as active after its last message.
    Duration activeJobsTimeout(const ListExchange &other) const noexcept
    {
        return isAlive(other) ? m_timing.silentEntryTimeout : m_timing.failedEntryTimeout;
    }

    /// Whether this entry may have missed lists of active jobs, so that it admits a job only if mayAdmit().
    bool mayLackLists(TimePoint now) const noexcept
    {
        return now - m_uncertainSince < m_timing.admissionHold;
    }

    /// Whether this entry may admit a job that is on no list, as far as the other entry is concerned. `formerRunsExcluded` if
    /// agents show that the job has no run of a former incarnation of the other entry; otherwise its uptime has to.
    bool mayAdmit(TimePoint now, const ListExchange &other, bool formerRunsExcluded) const noexcept;

private:
    CoordinationTiming m_timing;
    TimePoint m_uncertainSince; ///< From when on this entry may have missed lists.
    TimePoint m_namesReceivedAt; ///< When an agent last named the entries that are alive.
    TimePoint m_namesSince; ///< Start of the period without a gap in such reports.
    TimePoint m_namedAt; ///< When this entry was last among them.
    TimePoint m_checkedAt; ///< Time of the latest check.
    TimePoint m_checkedSince; ///< Start of the period without a longer interval between checks than maxCheckInterval.
};

} // namespace cuminscale::dispatch
