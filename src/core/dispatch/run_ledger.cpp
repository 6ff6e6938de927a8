#include "core/dispatch/run_ledger.h"

#include "core/step.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Declared run times below this are taken as this long.
constexpr Duration ShortestRun = milliseconds(5);

} // namespace

Resources RunLedger::free() const noexcept
{
    Resources room = m_capacity;
    room -= m_booked;
    return room;
}

RunRecord *RunLedger::find(const TaskRef &task)
{
    const Records::iterator it = m_records.find(task);
    return it == m_records.end() ? nullptr : &it->second;
}

RunRecord &RunLedger::enqueue(RunRecord &&record)
{
    CUMINSCALE_INVARIANT(m_records.count(record.ref.task) == 0, "one record a task");
    record.state = RunRecord::State::Queued;
    ++m_waiting;
    const TaskRef task = record.ref.task;
    return m_records.emplace(task, std::move(record)).first->second;
}

RunRecord &RunLedger::adopt(const RunRef &run)
{
    RunRecord record;
    record.ref = run;
    record.state = RunRecord::State::Running;
    record.stopWanted = true;
    return m_records.emplace(run.task, std::move(record)).first->second;
}

void RunLedger::book(RunRecord &record)
{
    CUMINSCALE_INVARIANT(record.state == RunRecord::State::Queued, "only waiting tasks are booked");
    CUMINSCALE_INVARIANT(hasRoomFor(record.need), "room is there before it is booked");
    m_booked += record.need;
    --m_waiting;
    record.state = RunRecord::State::Starting;
}

void RunLedger::remove(const TaskRef &task)
{
    const Records::iterator it = m_records.find(task);
    if (it == m_records.end()) {
        return;
    }
    if (it->second.state == RunRecord::State::Queued) {
        --m_waiting;
    } else {
        m_booked -= it->second.need;
    }
    m_records.erase(it);
}

RunRecord *RunLedger::nextWaiting(TimePoint now)
{
    RunRecord *best = nullptr;
    bool bestLate = false;
    if (m_waiting == 0) {
        return nullptr;
    }
    for (Records::value_type &entry : m_records) {
        RunRecord &record = entry.second;
        if (record.state != RunRecord::State::Queued) {
            continue;
        }
        const bool late = record.inTimeBy < now;
        const bool before = best == nullptr || (late != bestLate ? bestLate : record.inTimeBy < best->inTimeBy);
        if (before) {
            best = &record;
            bestLate = late;
        }
    }
    return best;
}

void RunLedger::describe(TimePoint now, ServerLoad &load) const
{
    load.capacity = m_capacity;
    load.free = free();
    load.queuedCpuMilli = {};
    load.releaseRate = 0;
    for (const Records::value_type &entry : m_records) {
        const RunRecord &record = entry.second;
        if (record.state != RunRecord::State::Queued) {
            // Runs of one length are at all stages of it, so each stands for its processor once in its length.
            load.releaseRate += static_cast<double>(record.need.cpuMilli)
                / static_cast<double>(std::max<Duration::rep>(record.estimate.count(), ShortestRun.count()));
            continue;
        }
        for (std::size_t i = slackIndex(record.inTimeBy - now); i < SlackBounds.size(); ++i) {
            load.queuedCpuMilli[i] += record.need.cpuMilli;
        }
    }
}

} // namespace cuminscale::dispatch
