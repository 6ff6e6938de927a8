/// Detects that this process gets less CPU time than its work needs.
#pragma once

#include "cuminscale/units.h"

namespace cuminscale::dispatch
{

/// Measures CPU overload by the lag of the process's own timer.
///
/// An entry with an eighth of a core may receive the clients of a whole failure domain, or all connections at once after a fault.
/// Without protection, heartbeats are late, peers replace connections that work, clients time out and reconnect, and each of
/// these costs more CPU time than the jobs themselves. Therefore part of the jobs is refused before parsing, and the readiness
/// check fails so that the load balancer sends new connections to other entries, until the timer is on time again.
class CpuOverloadDetector
{
public:
    /// Records that the timer fired `lag` late. Must be called on every tick.
    void recordTick(TimePoint now, Duration lag);

    /// Decides whether to refuse the next job before parsing it. Call once per job.
    bool shouldRefuseNext();

    /// Fraction of jobs to refuse.
    double refusalFraction() const noexcept;

    /// Whether the load balancer should route new connections to other entries.
    bool isOverloaded() const noexcept
    {
        return m_overloaded;
    }

    /// Whether open connections should be closed, so that clients reconnect through the load balancer. True only after the load
    /// balancer has had time to notice the overload.
    bool shouldCloseConnections(TimePoint now) const noexcept;

private:
    double m_meanLagUs = 0; ///< Moving average.
    double m_refusalCredit = 0; ///< Sum of refusal fractions; a job is refused each time it reaches 1.
    TimePoint m_lastTickAt;
    TimePoint m_overloadedSince;
    bool m_overloaded = false;
};

} // namespace cuminscale::dispatch
