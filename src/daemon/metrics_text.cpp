#include "daemon/metrics_text.h"

#include <sstream>

namespace cuminscale
{

namespace
{

constexpr double MsPerSecond = 1e3;
constexpr double UsPerSecond = 1e6;

/// Escapes quotes and backslashes in a label value, and replaces line feeds by spaces.
std::string escapeLabelValue(const std::string &value)
{
    std::string result;
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c == '\n' ? ' ' : c;
    }
    return result;
}

} // namespace

void MetricsText::add(const char *name, std::uint64_t value)
{
    m_text += std::string("cuminscale_") + name + " " + std::to_string(value) + "\n";
}

void MetricsText::add(const char *name, const char *label, const std::map<std::string, double> &samples)
{
    std::ostringstream out;
    out << "# TYPE cuminscale_" << name << " gauge\n";
    for (const std::pair<const std::string, double> &sample : samples) {
        out << "cuminscale_" << name << "{" << label << "=\"" << escapeLabelValue(sample.first) << "\"} " << sample.second
            << "\n";
    }
    m_text += out.str();
}

void MetricsText::add(const char *name, const char *label, const dispatch::NamedHistograms &histograms)
{
    m_text += std::string("# TYPE cuminscale_") + name + " histogram\n";
    for (const std::pair<const std::string, dispatch::LatencyHistogram> &entry : histograms.all()) {
        addSamples(name, std::string(label) + "=\"" + escapeLabelValue(entry.first) + "\"", entry.second);
    }
}

void MetricsText::add(const char *name, const dispatch::LatencyHistogram &histogram)
{
    m_text += std::string("# TYPE cuminscale_") + name + " histogram\n";
    addSamples(name, "", histogram);
}

void MetricsText::addSamples(const char *name, const std::string &labels, const dispatch::LatencyHistogram &histogram)
{
    using dispatch::LatencyHistogram;
    const std::array<std::uint64_t, LatencyHistogram::BoundsMs.size() + 1> cumulative = histogram.cumulative();
    std::ostringstream out;
    for (std::size_t i = 0; i < cumulative.size(); ++i) {
        out << "cuminscale_" << name << "_bucket{" << labels << (labels.empty() ? "" : ",") << "le=\"";
        if (i < LatencyHistogram::BoundsMs.size()) {
            out << static_cast<double>(LatencyHistogram::BoundsMs[i]) / MsPerSecond;
        } else {
            out << "+Inf";
        }
        out << "\"} " << cumulative[i] << "\n";
    }
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    out << "cuminscale_" << name << "_sum" << braces << " " << static_cast<double>(histogram.sum().count()) / UsPerSecond << "\n"
        << "cuminscale_" << name << "_count" << braces << " " << histogram.count() << "\n";
    m_text += out.str();
}

} // namespace cuminscale
