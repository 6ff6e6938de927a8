#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"
#include "core/dispatch/run_limits.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// A run is restarted elsewhere only if that is expected to take at most this fraction of its remaining time.
constexpr double MaxRestartCostRatio = 0.7;
/// Safety factor on the expected run time of a restart.
constexpr double RestartTimeFactor = 1.1;
/// A run is overdue at this multiple of the run time of its step's completed tasks, which varies by about a sixth.
constexpr double SiblingOverdueFactor = 1.6;
/// The same as a multiple of the expected run time, which may be off by a factor of two.
constexpr double EstimateOverdueFactor = 3.0;
/// Added to the run time from which a run counts as overdue.
constexpr Duration OverdueMargin = milliseconds(30);
/// A run that takes this multiple of its expected time, and at least MinStallTime, has stalled.
constexpr double StallFactor = 5.0;
constexpr Duration MinStallTime = milliseconds(350);
constexpr Duration OverdueUpdateInterval = milliseconds(40);

} // namespace

void EntryDispatch::restartStragglers(TimePoint now, Job &job, std::uint32_t stepIndex)
{
    StepState &step = job.steps[stepIndex];
    // Tasks of a step have similar run times: once half of them have completed, the longest of these run times is a better
    // estimate than the expected run time.
    const bool halfCompleted = step.done * 2 >= step.tasks.size() && step.done > 0;
    for (std::uint32_t k = 0; k < step.tasks.size(); ++k) {
        TaskState &task = step.tasks[k];
        if (task.phase != TaskState::Phase::Running || task.stopSent) {
            continue;
        }
        const AgentView *agent = m_fleet.find(task.agent);
        const Duration elapsed = now - task.startedAt;
        const Duration expected =
            std::max(scaled(halfCompleted ? step.longestRunTime : step.expectedRun, task.dataFactor), task.minimumRunTime);
        const bool suspect = agent != nullptr && agent->load.suspect;
        const double limit = suspect ? 1.0 : (halfCompleted ? SiblingOverdueFactor : EstimateOverdueFactor);
        const bool overdue = elapsed > scaled(expected, limit) + OverdueMargin;
        const double slowness = agent == nullptr ? 1.0 : agent->health.slowness(now);
        if (!overdue && slowness < SlowServerFactor) {
            continue;
        }
        const Duration total = std::max(scaled(expected, slowness), overdue ? elapsed * 2 : elapsed);
        const Duration remaining = total - elapsed;
        const Duration restartTime = scaled(expected, RestartTimeFactor) + 2 * NetworkTime;
        if (now + restartTime > job.clientDeadline || ratio(restartTime, remaining) > MaxRestartCostRatio) {
            continue;
        }
        if (slowness < SlowServerFactor) {
            task.minimumRunTime = elapsed;
        }
        ++m_counters.runsRestarted;
        m_log.write(LogLevel::Info, "run-restarted",
                    "job=" + idText(job.id) + " task=" + std::to_string(stepIndex) + "." + std::to_string(k)
                        + " agent=" + toString(task.agent) + " elapsed_ms=" + ms(elapsed) + " expected_ms=" + ms(expected)
                        + " slowness=" + std::to_string(slowness));
        stopRun(now, job, RunRef{TaskRef{job.id, 0, stepIndex, k}, task.run}, task);
    }
}

void EntryDispatch::updateOverdueRuns(TimePoint now)
{
    if (now - m_overdueUpdatedAt < OverdueUpdateInterval) {
        return;
    }
    m_overdueUpdatedAt = now;
    std::map<Endpoint, RunTimeEvidence> overdue;
    for (Jobs::value_type &item : m_jobs) {
        for (StepState &step : item.second.steps) {
            addOverdueEvidence(now, step, overdue);
        }
    }
    for (FleetView::Agents::value_type &item : m_fleet.agents()) {
        const std::map<Endpoint, RunTimeEvidence>::const_iterator it = overdue.find(item.first);
        item.second.health.setOverdueEvidence(it == overdue.end() ? RunTimeEvidence() : it->second);
    }
}

void EntryDispatch::addOverdueEvidence(TimePoint now, const StepState &step, std::map<Endpoint, RunTimeEvidence> &overdue)
{
    // Run times of a step's tasks on one server are correlated: together they give little more evidence than the longest one,
    // so only that one counts.
    std::map<Endpoint, Duration> longest;
    for (const TaskState &task : step.tasks) {
        if (task.phase == TaskState::Phase::Running && !task.stopSent) {
            Duration &most = longest[task.agent];
            most = std::max(most, scaled(now - task.startedAt, 1.0 / task.dataFactor));
        }
    }
    const bool hasSiblings = step.longestRunTime > Duration(0);
    const Duration reference = hasSiblings ? step.longestRunTime : step.expectedRun;
    const double weight =
        evidence::UnfinishedRunFactor * (hasSiblings ? evidence::SiblingRunWeight : evidence::DeclaredTimeWeight);
    for (const std::pair<const Endpoint, Duration> &item : longest) {
        const double elapsedRatio = ratio(item.second, reference);
        AgentView *agent = m_fleet.find(item.first);
        if (agent == nullptr || elapsedRatio <= agent->health.slowness(now)) {
            continue;
        }
        RunTimeEvidence &sum = overdue[item.first];
        sum.logRatios += weight * std::log(elapsedRatio);
        sum.weights += weight;
        if (ratio(item.second, step.expectedRun) > StallFactor && item.second > MinStallTime) {
            agent->health.recordStall(now);
        }
    }
}

void EntryDispatch::compareRunTimes(TimePoint now, const StepState &step)
{
    struct RunTimeSum
    {
        double logTimeSum = 0;
        std::uint32_t runs = 0;
    };
    std::map<Endpoint, RunTimeSum> sums;
    RunTimeSum combined;
    for (const TaskState &task : step.tasks) {
        const double logTime = std::log(static_cast<double>(std::max<Duration::rep>(task.runTime.count(), 1)));
        RunTimeSum &serverSum = sums[task.agent];
        serverSum.logTimeSum += logTime;
        ++serverSum.runs;
        combined.logTimeSum += logTime;
        ++combined.runs;
    }
    for (const std::pair<const Endpoint, RunTimeSum> &item : sums) {
        AgentView *agent = m_fleet.find(item.first);
        if (agent == nullptr) {
            continue;
        }
        const RunTimeSum &own = item.second;
        const double meanOwn = own.logTimeSum / own.runs;
        const std::uint32_t others = combined.runs - own.runs;
        if (others == 0) {
            const double expected = std::log(static_cast<double>(step.expectedRun.count()));
            agent->health.recordRunTimeRatio(now, std::exp(meanOwn - expected), evidence::DeclaredTimeWeight);
            continue;
        }
        const double meanOthers = (combined.logTimeSum - own.logTimeSum) / others;
        agent->health.recordRunTimeRatio(now, std::exp(meanOwn - meanOthers),
                                         evidence::SiblingRunWeight * std::min(own.runs, others));
    }
}
} // namespace cuminscale::dispatch
