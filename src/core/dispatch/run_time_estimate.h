/// Estimation of run times for a queue's tasks from declared and measured run times.
#pragma once

#include "cuminscale/units.h"

#include <cstdint>

namespace cuminscale::dispatch
{

/// The error of declared run times is as wide as the spread of the run times themselves. The estimate is therefore halfway, on a
/// logarithmic scale, between the queue's mean run time and the declared time corrected for the queue's mean error.
class RunTimeEstimate
{
public:
    Duration expected(Duration declared) const;

    /// Records the run time of a completed run.
    void record(Duration declared, Duration ran);

private:
    double m_meanLogRan = 0;
    double m_meanLogDeclared = 0;
    std::uint32_t m_runs = 0;
};

} // namespace cuminscale::dispatch
