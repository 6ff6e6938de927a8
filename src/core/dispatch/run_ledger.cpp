#include "core/dispatch/run_ledger.h"

#include "core/step.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Lower bound of the remaining run time, as a fraction of the estimate; it applies to runs that exceed their estimate.
constexpr double MinRemainingShare = 0.25;
/// Runs that exceed their estimate by this factor are mostly those of long jobs. They take several times the estimate, but
/// delay the release of capacity less than their share of it, as others end meanwhile: they count with the whole estimate.
constexpr double OverdueFactor = 1.5;

} // namespace

Resources RunLedger::free() const noexcept
{
    Resources unbooked = m_capacity;
    unbooked -= m_booked;
    return unbooked;
}

RunRecord *RunLedger::find(const TaskRef &task)
{
    const Records::iterator it = m_records.find(task);
    return it == m_records.end() ? nullptr : &it->second;
}

RunRecord &RunLedger::enqueue(RunRecord &&record)
{
    CUMINSCALE_INVARIANT(m_records.count(record.ref.task) == 0, "a task has at most one record");
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
    record.stopRequested = true;
    return m_records.emplace(run.task, std::move(record)).first->second;
}

void RunLedger::book(RunRecord &record)
{
    CUMINSCALE_INVARIANT(record.state == RunRecord::State::Queued, "only a queued run can be booked");
    CUMINSCALE_INVARIANT(hasFreeResources(record.need), "resources must be free before they are booked");
    m_booked += record.need;
    m_urgentCpuMilli += record.urgency == MostUrgent ? record.need.cpuMilli : 0;
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
        m_urgentCpuMilli -= it->second.urgency == MostUrgent ? it->second.need.cpuMilli : 0;
    }
    m_records.erase(it);
}

bool RunLedger::leavesUrgentReserve(const RunRecord &record) const noexcept
{
    const std::int64_t reserved = record.urgency == MostUrgent ? 0 : m_reserve.reserved(m_urgentCpuMilli);
    return reserved == 0 || record.need.cpuMilli + reserved <= free().cpuMilli;
}

void RunLedger::sampleUrgentCpu(TimePoint now)
{
    m_reserve.sample(now, m_urgentCpuMilli);
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
        if (record.state != RunRecord::State::Queued || !leavesUrgentReserve(record)) {
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

void RunLedger::fillLoad(TimePoint now, ServerLoad &load) const
{
    load.capacity = m_capacity;
    load.free = free();
    load.queued = QueuedCpu();
    load.reservedCpuMilli = m_reserve.reserved(m_urgentCpuMilli);
    load.runningWork = 0;
    for (const Records::value_type &entry : m_records) {
        const RunRecord &record = entry.second;
        const double estimate = static_cast<double>(record.estimate.count());
        const double cpu = static_cast<double>(record.need.cpuMilli);
        if (record.state == RunRecord::State::Queued) {
            load.queued.add(record.inTimeBy - now, record.need.cpuMilli);
            continue;
        }
        const double elapsed =
            record.state == RunRecord::State::Running ? static_cast<double>((now - record.startedAt).count()) : 0.0;
        const double minRemaining = elapsed > OverdueFactor * estimate ? estimate : MinRemainingShare * estimate;
        load.runningWork += cpu * std::max(estimate - elapsed, minRemaining);
    }
}

} // namespace cuminscale::dispatch
