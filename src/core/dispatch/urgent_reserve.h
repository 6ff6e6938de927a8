/// CPU capacity that less urgent runs leave free for the most urgent ones.
#pragma once

#include "core/dispatch/types.h"

namespace cuminscale::dispatch
{

/// Reserves the CPU that the most urgent runs use on average but have not booked at the moment.
///
/// Urgent jobs of short tasks arrive in bursts and can wait for less than 100 ms, while long tasks are queued for any
/// free CPU. A long task that starts between two bursts would occupy the CPU for many times as long as the next burst can wait.
class UrgentReserve
{
public:
    /// Adds a sample of the CPU that the most urgent runs have booked, in thousandths of a core. To be called at regular
    /// intervals.
    void sample(TimePoint now, std::int64_t bookedCpuMilli) noexcept;

    /// CPU that less urgent runs must leave free, given what the most urgent runs have booked; in thousandths of a core.
    std::int64_t reserved(std::int64_t bookedCpuMilli) const noexcept;

private:
    double m_averageCpuMilli = 0; ///< Exponential moving average of the samples.
    TimePoint m_sampledAt;
};

} // namespace cuminscale::dispatch
