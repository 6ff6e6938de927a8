/// What remains of a coordinator that has shut down in good order.
#pragma once

#include "core/step.h"

#include <deque>
#include <map>

namespace cuminscale
{

/// Records of coordinators that have ended and have handed them to this process. A coordinator hands over only once it has
/// ended every job and takes no more, so an id that it never recorded has not been started and never will be.
class Inheritance
{
public:
    /// Takes a part of the records in and acknowledges it. A process that is leaving takes nothing: what it holds has been,
    /// or is being, handed on.
    void onHandoff(Step &step, const ProcessId &from, const msg::Handoff &handoff, bool leaving);

    /// Answers for an id of an ended coordinator; false when this process holds nothing of that coordinator.
    bool answer(Step &step, const ProcessId &from, const SubmissionId &id, const Digest *digest);

    /// Forgets what is older than answers are kept.
    void tick(TimePoint now, Duration remember);

    /// All records, to be handed on when this process ends as well.
    std::vector<msg::Handoff> all() const;

    /// The coordinators whose records are here whole.
    std::vector<ProcessId> coordinators() const;

private:
    struct Estate
    {
        Sequence lowWater;
        TimePoint received;
        bool complete = false;
        std::map<Sequence, msg::HandoffItem> items;
    };

    std::map<ProcessId, Estate> m_estates;
};

/// Hands records to a successor, part by part, each repeated until it is acknowledged.
class Handover
{
public:
    /// Adds what has to be handed over.
    void add(msg::Handoff handoff);

    /// Begins, or begins anew with another successor.
    void start(const ProcessId &successor, TimePoint now);

    /// Notes an answer; false when the successor will not take the records.
    bool onAck(Step &step, const ProcessId &from, const msg::HandoffAck &ack);

    /// Sends the next part, or the last one again.
    void tick(Step &step);

    bool started() const noexcept
    {
        return m_successor != ProcessId();
    }

    const ProcessId &successor() const noexcept
    {
        return m_successor;
    }

    /// Whether everything has been taken.
    bool finished() const noexcept
    {
        return m_next == m_parts.size();
    }

    /// Whether the successor has not answered for too long.
    bool stuck(TimePoint now) const noexcept;

private:
    ProcessId m_successor;
    std::vector<msg::Handoff> m_parts;
    std::size_t m_next = 0; ///< The part that is being sent.
    TimePoint m_lastSent;
    TimePoint m_lastProgress;
};

} // namespace cuminscale
