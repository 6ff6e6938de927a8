/// Decision whether a run that takes long is restarted on another server.
#pragma once

#include "core/dispatch/run_time_distribution.h"
#include "cuminscale/units.h"

namespace cuminscale::dispatch
{

/// What is known of a run in progress and of its server.
struct RunEvidence
{
    Duration age{0};
    /// Expected run time on a server of ordinary speed: from tasks of the same step that have completed, if there are any.
    Duration expected{0};
    bool siblingsCompleted = false; ///< `expected` comes from such tasks.
    double slowness = 1.0; ///< Measured run times on the server over the expected ones, without its unfinished runs.
    bool suspect = false; ///< The agent reports that the server stands still or fails what it starts.
    /// A run that started there later than this one has ended, and took no longer than usual.
    bool laterRunEnded = false;
    /// Probability of the ages of the overdue runs of other jobs on this server if it is not slow.
    double otherRunsProbability = 1.0;
    /// The longest age that tasks of the same step, or earlier runs of this task, have reached on other servers, converted to the
    /// speed and the distance from the data of this run's server, so that it compares with `age`.
    Duration ageElsewhere{0};
};

struct RestartDecision
{
    bool restart = false;
    double longProbability = 0; ///< That the task is long and the server is not slow.
    Duration remaining{0}; ///< Expected remaining time of the run.
    Duration restartTime{0}; ///< Expected time until a restarted run would end.
};

/// Load pattern: of the runs that take several times the expected time, most belong to long jobs, which take as long on any
/// other server, and some are on a server that has become slow or stands still. A restart discards the work done so far: it pays
/// only on a slow server, and only if the whole task ends elsewhere before the rest of it would have ended here.
///
/// Both causes are weighed by their probabilities: that of a task being as long by the queue's distribution of run times, or by
/// the spread within a step if tasks of the step have completed, and that of a slow server by the server's other runs.
RestartDecision decideRestart(const RunEvidence &run, const RunTimeDistribution &distribution);

/// Probability that a task is long and its server is not slow, as in RestartDecision.
double longTaskProbability(const RunEvidence &run, const RunTimeDistribution &distribution);

} // namespace cuminscale::dispatch
