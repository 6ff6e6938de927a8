/// Expected run times of a queue's tasks, from what clients declare and what runs have taken.
#pragma once

#include "cuminscale/units.h"

#include <cstdint>

namespace cuminscale::dispatch
{

/// Declared run times are rough: off by a factor that is as wide as the spread of the run times themselves. The estimate lies
/// half way, on a logarithmic scale, between the declared time and the queue's mean.
class RunTimeEstimate
{
public:
    Duration expected(Duration declared) const;

    /// A run has ended as done.
    void record(Duration declared, Duration ran);

private:
    double m_meanLogRan = 0;
    double m_meanLogDeclared = 0;
    std::uint32_t m_runs = 0;
};

} // namespace cuminscale::dispatch
