#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"

namespace cuminscale::dispatch
{

void EntryDispatch::recordLocality(TimePoint now, Job &job, std::uint32_t stepIndex, const std::vector<std::uint32_t> &tasks,
                                   const std::vector<Placement> &places)
{
    const std::string &rack = job.spec->steps[stepIndex].preferredRack;
    if (!m_settings.decidesDataLocality || rack.empty()) {
        return;
    }
    std::size_t remote = 0;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        TaskState &task = job.steps[stepIndex].tasks[tasks[i]];
        const Placement &place = places[i];
        task.nearData = !place.remoteData;
        task.waitUntil = place.waitWithin > Duration(0) ? now + place.waitWithin : TimePoint();
        remote += place.remoteData ? 1 : 0;
    }
    m_counters.placementsNear += tasks.size() - remote;
    m_counters.placementsRemote += remote;
    if (remote > 0) {
        m_log.write(LogLevel::Info, "placement-remote",
                    "job=" + idText(job.id) + " step=" + std::to_string(stepIndex) + " rack=" + rack
                        + " remote=" + std::to_string(remote) + " near=" + std::to_string(tasks.size() - remote)
                        + " failed_share=" + std::to_string(m_locality.failedShare(now, rack)));
    }
}

void EntryDispatch::recordWait(TimePoint now, const Job &job, const TaskRef &ref, TaskState &task, bool started)
{
    if (!task.nearData) {
        return;
    }
    task.nearData = false; // Counted once, also if events are repeated.
    const std::string &rack = job.spec->steps[ref.step].preferredRack;
    if (started) {
        // The wait was too long as well if the task could have been in time when it was sent and no longer can.
        const Duration run = job.steps[ref.step].expectedRun;
        const bool tooLate = now + run > job.objectiveDeadline && task.orderedAt + run <= job.objectiveDeadline;
        tooLate ? m_locality.recordExpired(now, rack) : m_locality.recordStarted(now, rack);
        return;
    }
    task.handedBack = true;
    ++m_counters.waitsExpired;
    m_locality.recordExpired(now, rack);
    m_log.write(LogLevel::Info, "wait-expired",
                "job=" + idText(job.id) + " task=" + toString(ref) + " agent=" + toString(task.agent) + " rack=" + rack
                    + " waited_ms=" + ms(now - task.orderedAt)
                    + " failed_share=" + std::to_string(m_locality.failedShare(now, rack)));
}

} // namespace cuminscale::dispatch
