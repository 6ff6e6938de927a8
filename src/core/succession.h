/// The handoff of a coordinator's records to another process when the coordinator shuts down.
#pragma once

#include "core/step.h"

#include <deque>
#include <map>

namespace cuminscale
{

/// The records of coordinators that have shut down and handed them off to this process. A coordinator does so only when
/// all its jobs have ended and it accepts no more, so a submission without a record was not started and never will be.
class TakenOverRecords
{
public:
    /// Stores a part of the records and acknowledges it. A process that is leaving refuses the records, as it has handed off
    /// its own, or is doing so.
    void onHandoff(Step &step, const ProcessId &from, const msg::Handoff &handoff, bool leaving);

    /// Replies to a submission, query or cancellation for an id of a former coordinator. Returns false when this process does not
    /// have all records of that coordinator. `digest` is that of a submission, and null for a query or a cancellation.
    bool answer(Step &step, const ProcessId &from, const SubmissionId &id, const Digest *digest);

    /// Drops the records of coordinators received longer ago than `retention`.
    void tick(TimePoint now, Duration retention);

    /// All records, one message for each coordinator, to be handed off when this process shuts down.
    std::vector<msg::Handoff> toHandoffs() const;

    /// The coordinators whose records have been received in full.
    std::vector<ProcessId> coordinators() const;

private:
    /// The records received from one coordinator.
    struct CoordinatorRecords
    {
        Sequence lowWater;
        TimePoint received;
        bool complete = false; ///< Whether the last part has been received.
        std::map<Sequence, msg::HandoffItem> items;
    };

    std::map<ProcessId, CoordinatorRecords> m_records;
};

/// Sends records to a successor part by part; each part is retransmitted until it is acknowledged.
class HandoffSender
{
public:
    /// Adds a part to be sent.
    void add(msg::Handoff handoff);

    /// Starts sending, from the first part on, to the given successor. May be called again with another one.
    void start(const ProcessId &successor, TimePoint now);

    /// Handles an acknowledgement and sends the next part. Returns false when the successor refuses the records.
    bool onAck(Step &step, const ProcessId &from, const msg::HandoffAck &ack);

    /// Sends the current part when it has not been sent yet or its retransmission is due.
    void tick(Step &step);

    bool started() const noexcept
    {
        return m_successor != ProcessId();
    }

    const ProcessId &successor() const noexcept
    {
        return m_successor;
    }

    /// Whether all parts have been acknowledged.
    bool finished() const noexcept
    {
        return m_nextPart == m_parts.size();
    }

    /// Whether the successor has acknowledged nothing within the timeout.
    bool timedOut(TimePoint now) const noexcept;

private:
    ProcessId m_successor;
    std::vector<msg::Handoff> m_parts;
    std::size_t m_nextPart = 0; ///< Index of the part that awaits its acknowledgement.
    TimePoint m_lastSent;
    TimePoint m_lastProgress;
};

} // namespace cuminscale
