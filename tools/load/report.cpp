#include "load/report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace cuminscale::load
{

namespace json = boost::json;

namespace
{

constexpr std::size_t ResultCount = 5;
/// Names in the JSON report, indexed by ArrivalResult.
constexpr const char *ResultNames[ResultCount] = {"complete", "failed", "not_run", "unknown", "wrong"};

/// Aggregated samples of one stream.
struct Summary
{
    std::array<std::uint64_t, ResultCount> resultCounts{};
    std::uint64_t tasksDone = 0;
    std::vector<double> slowdown; ///< Response time divided by ideal response time.
    std::vector<double> responseMs;
    std::vector<double> overheadMs; ///< Response time minus run time at the backend server.
    std::vector<double> refusalMs;
};

Summary summarize(const std::vector<Sample> &samples, std::size_t stream)
{
    Summary summary;
    for (const Sample &sample : samples) {
        if (sample.stream != stream || sample.warmup) {
            continue;
        }
        ++summary.resultCounts[static_cast<std::size_t>(sample.result)];
        const double responseMs = static_cast<double>(sample.responseTime.count()) / 1000.0;
        if (sample.result == ArrivalResult::NotRun) {
            summary.refusalMs.push_back(responseMs);
        }
        if (sample.result != ArrivalResult::Complete) {
            continue;
        }
        summary.tasksDone += sample.tasks;
        summary.responseMs.push_back(responseMs);
        if (sample.idealResponse.count() > 0) {
            summary.slowdown.push_back(static_cast<double>(sample.responseTime.count())
                                       / static_cast<double>(sample.idealResponse.count()));
        }
        if (sample.backendTime.count() > 0) {
            summary.overheadMs.push_back(static_cast<double>((sample.responseTime - sample.backendTime).count()) / 1000.0);
        }
    }
    return summary;
}

} // namespace

double quantile(std::vector<double> &values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const std::size_t rank = std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

std::string renderJson(const Mix &mix, const std::vector<Sample> &samples, double elapsedS)
{
    json::object streams;
    for (std::size_t i = 0; i < mix.streams.size(); ++i) {
        Summary summary = summarize(samples, i);
        json::object out;
        for (std::size_t result = 0; result < ResultCount; ++result) {
            out[ResultNames[result]] = summary.resultCounts[result];
        }
        out["tasks_done"] = summary.tasksDone;
        out["response_ms_p50"] = quantile(summary.responseMs, 0.5);
        out["response_ms_p99"] = quantile(summary.responseMs, 0.99);
        out["over_ideal_p50"] = quantile(summary.slowdown, 0.5);
        out["over_ideal_p99"] = quantile(summary.slowdown, 0.99);
        out["added_ms_p50"] = quantile(summary.overheadMs, 0.5);
        out["added_ms_p99"] = quantile(summary.overheadMs, 0.99);
        out["refusal_ms_p50"] = quantile(summary.refusalMs, 0.5);
        streams[mix.streams[i].name] = std::move(out);
    }
    // Lists the arrivals that were answered "not run", so that a test can check that no backend server started them.
    json::array notRun;
    for (std::size_t i = 0; i < samples.size(); ++i) {
        if (samples[i].result == ArrivalResult::NotRun) {
            notRun.emplace_back(i);
        }
    }
    json::object reasons;
    for (const Sample &sample : samples) {
        if (sample.result != ArrivalResult::Complete) {
            json::value &n = reasons[sample.reason];
            n = n.is_int64() ? n.get_int64() + 1 : 1;
        }
    }
    const json::object report{{"reasons", std::move(reasons)},
                              {"service", mix.service},
                              {"elapsed_s", elapsedS},
                              {"streams", std::move(streams)},
                              {"not_run_arrivals", std::move(notRun)}};
    return json::serialize(report) + "\n";
}

std::string renderText(const Mix &mix, const std::vector<Sample> &samples, double elapsedS)
{
    std::string text;
    std::array<char, 256> buf{};
    std::snprintf(buf.data(), buf.size(), "%-16s %8s %7s %7s %7s %6s %10s %10s %9s %9s  (%.1f s)\n", "stream", "complete",
                  "failed", "not-run", "unknown", "wrong", "ideal p50", "ideal p99", "ms p50", "ms p99", elapsedS);
    text += buf.data();
    for (std::size_t i = 0; i < mix.streams.size(); ++i) {
        Summary s = summarize(samples, i);
        std::snprintf(buf.data(), buf.size(), "%-16s %8llu %7llu %7llu %7llu %6llu %10.3f %10.3f %9.1f %9.1f\n",
                      mix.streams[i].name.c_str(), static_cast<unsigned long long>(s.resultCounts[0]),
                      static_cast<unsigned long long>(s.resultCounts[1]), static_cast<unsigned long long>(s.resultCounts[2]),
                      static_cast<unsigned long long>(s.resultCounts[3]), static_cast<unsigned long long>(s.resultCounts[4]),
                      quantile(s.slowdown, 0.5), quantile(s.slowdown, 0.99), quantile(s.responseMs, 0.5),
                      quantile(s.responseMs, 0.99));
        text += buf.data();
    }
    return text;
}

} // namespace cuminscale::load
