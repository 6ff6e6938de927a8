/// Distribution of a queue's run times relative to the expected ones.
#pragma once

#include <array>
#include <cstddef>

namespace cuminscale::dispatch
{

/// Decaying histogram, on a logarithmic scale, of run times on a server of ordinary speed as multiples of the expected run time.
///
/// Load pattern: a few jobs in a hundred take several times as long as the others of their queue, on every server. Their tasks
/// show the same ages as tasks of ordinary jobs on a slow server, so the age of a run has to be weighed against the fraction of
/// jobs that are long. All tasks of a job are alike, so each job is recorded once.
class RunTimeDistribution
{
public:
    /// Records a job whose tasks took `ratio` times the expected run time.
    void record(double ratio) noexcept
    {
        add(ratio);
    }

    /// Records a job that was given up when its tasks had run for `ratio` times the expected run time. Without these jobs, long
    /// jobs that exceed their clients' timeouts would be missing.
    void recordUnfinished(double ratio) noexcept;

    /// Whether enough jobs have been recorded to rely on the distribution.
    bool known() const noexcept;

    /// Probability that a task takes longer than `ratio` times the expected run time.
    double probabilityLonger(double ratio) const noexcept;

    /// Expected run time of a task that takes longer than `ratio`, both as multiples of the expected run time.
    double meanLonger(double ratio) const noexcept;

private:
    static constexpr std::size_t BucketsPerOctave = 4;
    static constexpr double LowestRatio = 0.25;
    static constexpr std::size_t Buckets = 6 * BucketsPerOctave; ///< Up to 16 times the expected run time.

    /// The weight of the jobs with longer run times, and its product with their mean run time.
    struct Tail
    {
        double weight = 0;
        double sum = 0;
    };

    void add(double ratio) noexcept;
    Tail tail(double ratio) const noexcept;

    std::array<double, Buckets> m_weights{}; ///< The first and last ones include smaller and larger ratios.
    double m_total = 0;
};

} // namespace cuminscale::dispatch
