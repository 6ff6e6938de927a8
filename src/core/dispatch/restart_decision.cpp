#include "core/dispatch/restart_decision.h"

#include "core/dispatch/format.h"
#include "core/dispatch/run_limits.h"

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
/// The same as a multiple of the expected run time, while the distribution of the queue's run times is not known.
constexpr double EstimateOverdueFactor = 3.0;
/// The same while the distribution is known: below it, most ordinary tasks are still running.
constexpr double KnownOverdueFactor = 2.0;
/// Added to the run time from which a run counts as overdue.
constexpr Duration OverdueMargin = milliseconds(30);
/// Standard deviation of the logarithm of the ratio of two run times within a step, whose tasks differ by about 0.15.
constexpr double SiblingSigma = 0.2;
/// Probability that a server has become slow since its run times were measured: a few servers do so now and then, and get no
/// new tasks once it has been noticed.
constexpr double SlowServerProbability = 0.01;
/// Factor on this probability after a run that started later has ended in the usual time.
constexpr double LaterRunFactor = 0.1;
/// A task is taken to be long, and is not restarted, from this probability on.
constexpr double MaxLongProbability = 0.5;
/// Tasks of the step that have reached this fraction of the run's age on other servers are as late as the run.
constexpr double EquallyLateFactor = 0.6;

double overdueLimit(const RunEvidence &run, const RunTimeDistribution &distribution)
{
    if (run.suspect) {
        return 1.0;
    }
    if (run.siblingsCompleted) {
        return SiblingOverdueFactor;
    }
    return distribution.known() ? KnownOverdueFactor : EstimateOverdueFactor;
}

} // namespace

double longTaskProbability(const RunEvidence &run, const RunTimeDistribution &distribution)
{
    const double age = ratio(run.age, run.expected) / run.slowness;
    if (run.suspect) {
        return 0.0;
    }
    double slow = SlowServerProbability / std::max(run.otherRunsProbability, 1e-6);
    slow *= run.laterRunEnded ? LaterRunFactor : 1.0;
    double taskLong = 0;
    if (run.siblingsCompleted) {
        taskLong = age <= 1.0 ? 0.5 : 0.5 * std::erfc(std::log(age) / SiblingSigma / std::sqrt(2.0));
    } else {
        taskLong = distribution.probabilityLonger(age);
        if (ratio(run.ageElsewhere, run.age) > EquallyLateFactor) {
            // On the other servers, an ordinary task would have ended by then.
            slow *= distribution.probabilityLonger(ratio(run.ageElsewhere, run.expected) / run.slowness);
        }
    }
    return taskLong / std::max(taskLong + slow, 1e-9);
}

RestartDecision decideRestart(const RunEvidence &run, const RunTimeDistribution &distribution)
{
    RestartDecision decision;
    const bool overdue =
        run.age > scaled(run.expected, overdueLimit(run, distribution) * std::max(run.slowness, 1.0)) + OverdueMargin;
    if (!overdue && run.slowness < SlowServerFactor) {
        decision.longProbability = 1.0;
        return decision;
    }
    // On a server that has become slow by an unknown factor, a run is expected to last as long again.
    const Duration slowTotal = std::max(scaled(run.expected, run.slowness), overdue ? run.age * 2 : run.age);
    const Duration slowRemaining = slowTotal - run.age;
    const Duration ordinaryRestart = scaled(run.expected, RestartTimeFactor) + 2 * NetworkTime;
    decision.remaining = slowRemaining;
    decision.restartTime = ordinaryRestart;
    if (!run.suspect && !run.siblingsCompleted && distribution.known()) {
        // At the measured speed of the server, the task is at least as long as its age shows, here and elsewhere.
        const double age = ratio(run.age, run.expected) / run.slowness;
        const double total = distribution.meanLonger(age);
        const Duration longRemaining = scaled(run.expected, (total - age) * run.slowness);
        const Duration longRestart = scaled(run.expected, total * RestartTimeFactor) + 2 * NetworkTime;
        if (run.slowness >= SlowServerFactor) {
            decision.remaining = longRemaining;
            decision.restartTime = longRestart;
        } else {
            decision.longProbability = longTaskProbability(run, distribution);
            const double slow = 1.0 - decision.longProbability;
            decision.remaining = scaled(slowRemaining, slow) + scaled(longRemaining, decision.longProbability);
            decision.restartTime = scaled(ordinaryRestart, slow) + scaled(longRestart, decision.longProbability);
        }
    } else if (run.siblingsCompleted) {
        decision.longProbability = overdue ? longTaskProbability(run, distribution) : 0.0;
    }
    decision.restart =
        decision.longProbability < MaxLongProbability && ratio(decision.restartTime, decision.remaining) <= MaxRestartCostRatio;
    return decision;
}

} // namespace cuminscale::dispatch
