/// Tells slow, failing and stuck backend servers from sound ones by how their runs go, compared with all servers.
#pragma once

#include "cuminscale/units.h"

#include <cstdint>

namespace cuminscale::dispatch
{

/// Averages over runs: the share that failed, and how long runs took against what was expected.
///
/// Load pattern: a few servers fail everything they start, or take several times as long, while their own health checks are good.
/// A server that fails at once looks idle and would draw all the work.
class ServerHealth
{
public:
    /// A run has ended by itself. `ratio` is its run time over the expected one.
    void recordDone(TimePoint now, double ratio);
    void recordFailure(TimePoint now);
    /// A run was stopped because it was overdue by this ratio; it would have taken longer still.
    void recordOverdue(TimePoint now, double ratio);
    /// The server owed an answer for long, or a run stood still.
    void recordStall(TimePoint now);
    /// Notes how far the most overdue run is beyond its expected time, as a ratio; below 1 for none.
    void setOverdue(double ratio) noexcept
    {
        m_overdue = ratio;
    }

    /// Expected run time as a multiple of the one on a sound server.
    double slowness(TimePoint now) const noexcept;

    /// Whether new work had better go elsewhere.
    bool suspect(TimePoint now) const noexcept
    {
        return now < m_suspectUntil;
    }

    /// Whether it was suspect lately and has not proved itself since: it gets one run at a time.
    bool onProbation() const noexcept
    {
        return m_probation;
    }

    double failureShare() const noexcept
    {
        return m_failureShare;
    }

private:
    void suspectIfFailing(TimePoint now);
    double remembered(TimePoint now) const noexcept;

    double m_ratio = 1.0;
    TimePoint m_measuredAt;
    double m_overdue = 0.0;
    double m_failureShare = 0.0;
    std::uint32_t m_suspicions = 0; ///< In a row; each lasts longer.
    bool m_probation = false;
    TimePoint m_suspectUntil;
};

} // namespace cuminscale::dispatch
