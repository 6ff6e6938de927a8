/// Prometheus text format of counters and histograms.
#pragma once

#include "core/dispatch/latency_histogram.h"

#include <map>
#include <string>

namespace cuminscale
{

/// Builds a document in the Prometheus text format. Adds the prefix "cuminscale_" to all names and converts durations to seconds.
class MetricsText
{
public:
    void add(const char *name, std::uint64_t value);
    /// Adds one sample of a gauge per value of the label `label`; the values are the keys of `samples`.
    void add(const char *name, const char *label, const std::map<std::string, double> &samples);
    /// Adds one histogram per value of the label `label`; the values are the names in `histograms`.
    void add(const char *name, const char *label, const dispatch::NamedHistograms &histograms);
    void add(const char *name, const dispatch::LatencyHistogram &histogram);

    const std::string &text() const noexcept
    {
        return m_text;
    }

private:
    void addSamples(const char *name, const std::string &labels, const dispatch::LatencyHistogram &histogram);

    std::string m_text;
};

} // namespace cuminscale
