#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"
#include "core/dispatch/run_limits.h"

#include <algorithm>
#include <cmath>

namespace cuminscale::dispatch
{

namespace
{

/// A run that takes this multiple of its expected time, and at least MinStallTime, has stalled.
constexpr double StallFactor = 5.0;
constexpr Duration MinStallTime = milliseconds(350);
constexpr Duration OverdueUpdateInterval = milliseconds(40);
/// The server is taken to have stalled only if a long task is no likelier cause than this.
constexpr double MaxStallLongProbability = 0.5;
/// Runs count as evidence on the other runs of their server once fewer than this fraction of all tasks take as long.
constexpr double OverdueProbability = 0.1;
/// Longer run times relative to the expected ones may come from long tasks.
constexpr double OrdinaryRatio = 1.5;

/// From this number of measured jobs on, the reported speed of a server counts for the mean of the fleet.
constexpr double MinReportedJobs = 10.0;
/// Bound of a server's logarithmic speed in the mean of the fleet, which servers that are slow for seconds must not shift much.
constexpr double MaxLogSpeed = 0.7;

/// Ages of the longest running tasks of a step, by agent. Run times of a step's tasks on one server are correlated: together they
/// give little more evidence than the longest one, so only that one counts.
std::map<Endpoint, Duration> longestAges(TimePoint now, const StepState &step)
{
    std::map<Endpoint, Duration> longest;
    for (const TaskState &task : step.tasks) {
        if (task.phase == TaskState::Phase::Running && !task.stopSent) {
            Duration &most = longest[task.agent];
            most = std::max(most, now - task.startedAt);
        }
    }
    return longest;
}

} // namespace

double EntryDispatch::dataFactor(const Job &job, const StepState &step, const AgentView &agent) const
{
    const std::string &rack = job.spec->steps[static_cast<std::size_t>(&step - job.steps.data())].preferredRack;
    return rack.empty() || agent.hasLabel(rack) ? 1.0 : m_settings.remoteDataFactor;
}

double EntryDispatch::runTimeFactor(TimePoint now, const Job &job, const StepState &step, const Endpoint &agent) const
{
    const FleetView::Agents::const_iterator it = m_fleet.agents().find(agent);
    return it == m_fleet.agents().end() ? 1.0 : it->second.health.measuredSlowness(now) * dataFactor(job, step, it->second);
}

void EntryDispatch::applyReportedSpeeds()
{
    // Expected run times are learned from runs corrected by the speeds of their servers, and agents measure speeds against
    // expected run times. Without a fixed reference both would drift together. It is the mean over the servers, each with equal
    // weight, so that it does not depend on how much work the fast ones get.
    double sum = 0;
    double servers = 0;
    for (const FleetView::Agents::value_type &item : m_fleet.agents()) {
        const ServerLoad &load = item.second.load;
        if (load.slownessWeight >= MinReportedJobs) {
            sum += std::clamp(std::log(load.slowness), -MaxLogSpeed, MaxLogSpeed);
            servers += 1.0;
        }
    }
    const double reference = servers > 0 ? sum / servers : 0.0;
    for (FleetView::Agents::value_type &item : m_fleet.agents()) {
        const ServerLoad &load = item.second.load;
        item.second.health.setReportedRatio(load.slowness * std::exp(-reference), load.slownessWeight);
    }
}

const RunTimeDistribution &EntryDispatch::distributionOf(const Job &job) const
{
    static const RunTimeDistribution Unknown;
    const std::map<std::string, RunTimeDistribution>::const_iterator it = m_distributions.find(job.queue->name);
    return it == m_distributions.end() ? Unknown : it->second;
}

RunEvidence EntryDispatch::evidenceFor(TimePoint now, const Job &job, const StepState &step, const Endpoint &agent,
                                       TimePoint startedAt, const std::map<Endpoint, Duration> &longest) const
{
    RunEvidence evidence;
    evidence.age = now - startedAt;
    // Tasks of a step have similar run times: once half of them have completed, the longest of these run times is a better
    // estimate than the expected run time.
    evidence.siblingsCompleted = step.done * 2 >= step.tasks.size() && step.done > 0;
    evidence.expected = evidence.siblingsCompleted ? step.longestRunTime : step.expectedRun;
    const FleetView::Agents::const_iterator it = m_fleet.agents().find(agent);
    if (it != m_fleet.agents().end()) {
        evidence.slowness = it->second.health.measuredSlowness(now);
        // A restarted run may be away from its data as well.
        evidence.expected = scaled(evidence.expected, dataFactor(job, step, it->second));
        evidence.suspect = it->second.load.suspect;
        evidence.laterRunEnded = it->second.ordinaryRunStartedAt >= startedAt
            && it->second.ordinaryRunEndedAt >= startedAt + scaled(evidence.expected, evidence.slowness);
    }
    const double ownFactor = runTimeFactor(now, job, step, agent);
    for (const std::pair<const Endpoint, Duration> &item : longest) {
        if (item.first != agent) {
            const double factor = ownFactor / runTimeFactor(now, job, step, item.first);
            evidence.ageElsewhere = std::max(evidence.ageElsewhere, scaled(item.second, factor));
        }
    }
    const std::map<Endpoint, std::map<JobId, double>>::const_iterator onServer = m_overdueLogProbability.find(agent);
    if (onServer != m_overdueLogProbability.end()) {
        double others = 0;
        for (const std::pair<const JobId, double> &item : onServer->second) {
            others += item.first == job.id ? 0.0 : item.second;
        }
        evidence.otherRunsProbability = std::exp(others);
    }
    return evidence;
}

void EntryDispatch::restartStragglers(TimePoint now, Job &job, std::uint32_t stepIndex)
{
    StepState &step = job.steps[stepIndex];
    std::map<Endpoint, Duration> longest;
    for (std::uint32_t k = 0; k < step.tasks.size(); ++k) {
        TaskState &task = step.tasks[k];
        if (task.phase != TaskState::Phase::Running || task.stopSent) {
            continue;
        }
        // Entries have a tenth of a core. Most runs are not late, and their evidence is not needed.
        const AgentView *agent = m_fleet.find(task.agent);
        const bool late =
            now - task.startedAt > (step.done > 0 ? std::min(step.expectedRun, step.longestRunTime) : step.expectedRun);
        if (!late && (agent == nullptr || agent->health.measuredSlowness(now) < SlowServerFactor)) {
            continue;
        }
        if (longest.empty()) {
            longest = longestAges(now, step);
        }
        RunEvidence evidence = evidenceFor(now, job, step, task.agent, task.startedAt, longest);
        const double factor = runTimeFactor(now, job, step, task.agent);
        evidence.ageElsewhere = std::max(evidence.ageElsewhere, scaled(task.reachedAge, factor));
        const RestartDecision decision = decideRestart(evidence, distributionOf(job));
        if (!decision.restart || now + decision.restartTime > job.clientDeadline) {
            continue;
        }
        task.reachedAge = std::max(task.reachedAge, scaled(evidence.age, 1.0 / factor));
        ++m_counters.runsRestarted;
        m_log.write(LogLevel::Info, "run-restarted",
                    "job=" + idText(job.id) + " task=" + std::to_string(stepIndex) + "." + std::to_string(k) + " agent="
                        + toString(task.agent) + " elapsed_ms=" + ms(evidence.age) + " expected_ms=" + ms(evidence.expected)
                        + " remaining_ms=" + ms(decision.remaining) + " restart_ms=" + ms(decision.restartTime)
                        + " slowness=" + std::to_string(evidence.slowness) + " suspect=" + (evidence.suspect ? "1" : "0")
                        + " siblings=" + (evidence.siblingsCompleted ? "1" : "0") + " others="
                        + std::to_string(evidence.otherRunsProbability) + " long=" + std::to_string(decision.longProbability));
        stopRun(now, job, RunRef{TaskRef{job.id, 0, stepIndex, k}, task.run}, task);
    }
}

void EntryDispatch::recordStepRunTime(TimePoint now, const Job &job, const StepState &step)
{
    // The median is not affected by a task on a server that has become slow.
    std::vector<double> ratios;
    for (const TaskState &task : step.tasks) {
        ratios.push_back(ratio(task.runTime, step.expectedRun) / runTimeFactor(now, job, step, task.agent));
    }
    const std::vector<double>::iterator middle = ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    m_distributions[job.queue->name].record(*middle);
}

void EntryDispatch::recordUnfinishedSteps(TimePoint now, const Job &job)
{
    for (const StepState &step : job.steps) {
        Duration longest{0};
        for (const TaskState &task : step.tasks) {
            const AgentView *agent = m_fleet.find(task.agent);
            if (task.phase == TaskState::Phase::Running && agent != nullptr && !agent->load.suspect) {
                longest = std::max(longest, scaled(now - task.startedAt, 1.0 / runTimeFactor(now, job, step, task.agent)));
            }
            longest = std::max(longest, task.reachedAge);
        }
        if (longest > step.expectedRun) {
            m_distributions[job.queue->name].recordUnfinished(ratio(longest, step.expectedRun));
        }
    }
}

void EntryDispatch::updateOverdueRuns(TimePoint now)
{
    if (now - m_overdueUpdatedAt < OverdueUpdateInterval) {
        return;
    }
    m_overdueUpdatedAt = now;
    m_overdueLogProbability.clear();
    applyReportedSpeeds();
    std::map<Endpoint, RunTimeEvidence> overdue;
    for (Jobs::value_type &item : m_jobs) {
        for (StepState &step : item.second.steps) {
            addOverdueEvidence(now, item.second, step, overdue);
        }
    }
    for (FleetView::Agents::value_type &item : m_fleet.agents()) {
        const std::map<Endpoint, RunTimeEvidence>::const_iterator it = overdue.find(item.first);
        item.second.health.setOverdueEvidence(it == overdue.end() ? RunTimeEvidence() : it->second);
    }
}

void EntryDispatch::addOverdueEvidence(TimePoint now, const Job &job, const StepState &step,
                                       std::map<Endpoint, RunTimeEvidence> &overdue)
{
    const std::map<Endpoint, Duration> longest = longestAges(now, step);
    const bool hasSiblings = step.longestRunTime > Duration(0);
    const Duration reference = hasSiblings ? step.longestRunTime : step.expectedRun;
    const double weight =
        evidence::UnfinishedRunFactor * (hasSiblings ? evidence::SiblingRunWeight : evidence::DeclaredTimeWeight);
    const RunTimeDistribution &distribution = distributionOf(job);
    for (const std::pair<const Endpoint, Duration> &item : longest) {
        AgentView *agent = m_fleet.find(item.first);
        if (agent == nullptr) {
            continue;
        }
        const Duration age = scaled(item.second, 1.0 / dataFactor(job, step, *agent)); // As if near the data.
        const double elapsedRatio = ratio(age, reference);
        if (distribution.known() && age > step.expectedRun) {
            const double probability =
                distribution.probabilityLonger(ratio(age, step.expectedRun) / agent->health.measuredSlowness(now));
            if (probability < OverdueProbability) {
                m_overdueLogProbability[item.first][job.id] += std::log(probability);
            }
        }
        if (elapsedRatio <= agent->health.slowness(now)) {
            continue;
        }
        // A long task is as late on any server, so it counts only as far as it does not explain the age.
        const RunEvidence run = evidenceFor(now, job, step, item.first, now - item.second, longest);
        const double explained =
            !hasSiblings && distribution.known() && elapsedRatio > OrdinaryRatio ? longTaskProbability(run, distribution) : 0.0;
        RunTimeEvidence &sum = overdue[item.first];
        sum.logRatios += weight * (1.0 - explained) * std::log(elapsedRatio);
        sum.weights += weight * (1.0 - explained);
        if (explained < MaxStallLongProbability && ratio(age, std::max(reference, step.expectedRun)) > StallFactor
            && item.second > MinStallTime) {
            agent->health.recordStall(now);
        }
    }
}

void EntryDispatch::compareRunTimes(TimePoint now, const Job &job, const StepState &step)
{
    struct RunTimeSum
    {
        double logTimeSum = 0;
        double logBaselineSum = 0; ///< Of the run times on a server of ordinary speed.
        std::uint32_t runs = 0;
    };
    std::map<Endpoint, RunTimeSum> sums;
    RunTimeSum combined;
    for (const TaskState &task : step.tasks) {
        const double logTime = std::log(static_cast<double>(std::max<Duration::rep>(task.runTime.count(), 1)));
        const double logBaseline = logTime - std::log(runTimeFactor(now, job, step, task.agent));
        RunTimeSum &serverSum = sums[task.agent];
        serverSum.logTimeSum += logTime;
        serverSum.logBaselineSum += logBaseline;
        ++serverSum.runs;
        combined.logBaselineSum += logBaseline;
        ++combined.runs;
    }
    for (const std::pair<const Endpoint, RunTimeSum> &item : sums) {
        AgentView *agent = m_fleet.find(item.first);
        if (agent == nullptr) {
            continue;
        }
        const RunTimeSum &own = item.second;
        const double meanOwn = own.logTimeSum / own.runs - std::log(dataFactor(job, step, *agent));
        const std::uint32_t others = combined.runs - own.runs;
        if (others == 0) {
            const double expected = std::log(static_cast<double>(step.expectedRun.count()));
            const double ratio = std::exp(meanOwn - expected);
            const RunTimeDistribution &distribution = distributionOf(job);
            double explained = 0;
            if (distribution.known() && ratio > OrdinaryRatio) {
                RunEvidence run;
                run.age = scaled(step.expectedRun, ratio);
                run.expected = step.expectedRun;
                run.slowness = agent->health.measuredSlowness(now);
                explained = longTaskProbability(run, distribution);
            }
            agent->health.recordRunTimeRatio(now, ratio, evidence::DeclaredTimeWeight * (1.0 - explained));
            continue;
        }
        const double meanOthers = (combined.logBaselineSum - own.logBaselineSum) / others;
        agent->health.recordRunTimeRatio(now, std::exp(meanOwn - meanOthers),
                                         evidence::SiblingRunWeight * std::min(own.runs, others));
    }
}
} // namespace cuminscale::dispatch
