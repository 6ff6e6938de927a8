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

constexpr std::size_t EndCount = 5;
constexpr const char *EndNames[EndCount] = {"complete", "failed", "not_run", "unknown", "wrong"};

/// One stream's samples, put together.
struct Summary
{
    std::array<std::uint64_t, EndCount> ends{};
    std::uint64_t tasksDone = 0;
    std::vector<double> overIdeal;
    std::vector<double> responseMs;
    std::vector<double> addedMs;
    std::vector<double> refusalMs;
};

Summary summarize(const std::vector<Sample> &samples, std::size_t stream)
{
    Summary summary;
    for (const Sample &sample : samples) {
        if (sample.stream != stream || sample.warmup) {
            continue;
        }
        ++summary.ends[static_cast<std::size_t>(sample.end)];
        const double responseMs = static_cast<double>(sample.response.count()) / 1000.0;
        if (sample.end == End::NotRun) {
            summary.refusalMs.push_back(responseMs);
        }
        if (sample.end != End::Complete) {
            continue;
        }
        summary.tasksDone += sample.tasks;
        summary.responseMs.push_back(responseMs);
        if (sample.ideal.count() > 0) {
            summary.overIdeal.push_back(static_cast<double>(sample.response.count()) / static_cast<double>(sample.ideal.count()));
        }
        if (sample.backend.count() > 0) {
            summary.addedMs.push_back(static_cast<double>((sample.response - sample.backend).count()) / 1000.0);
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
        for (std::size_t end = 0; end < EndCount; ++end) {
            out[EndNames[end]] = summary.ends[end];
        }
        out["tasks_done"] = summary.tasksDone;
        out["response_ms_p50"] = quantile(summary.responseMs, 0.5);
        out["response_ms_p99"] = quantile(summary.responseMs, 0.99);
        out["over_ideal_p50"] = quantile(summary.overIdeal, 0.5);
        out["over_ideal_p99"] = quantile(summary.overIdeal, 0.99);
        out["added_ms_p50"] = quantile(summary.addedMs, 0.5);
        out["added_ms_p99"] = quantile(summary.addedMs, 0.99);
        out["refusal_ms_p50"] = quantile(summary.refusalMs, 0.5);
        streams[mix.streams[i].name] = std::move(out);
    }
    // Arrivals that were told "not run", so that the backend servers' logs can be searched for them.
    json::array notRun;
    for (std::size_t i = 0; i < samples.size(); ++i) {
        if (samples[i].end == End::NotRun) {
            notRun.emplace_back(i);
        }
    }
    json::object reasons;
    for (const Sample &sample : samples) {
        if (sample.end != End::Complete) {
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
                      mix.streams[i].name.c_str(), static_cast<unsigned long long>(s.ends[0]),
                      static_cast<unsigned long long>(s.ends[1]), static_cast<unsigned long long>(s.ends[2]),
                      static_cast<unsigned long long>(s.ends[3]), static_cast<unsigned long long>(s.ends[4]),
                      quantile(s.overIdeal, 0.5), quantile(s.overIdeal, 0.99), quantile(s.responseMs, 0.5),
                      quantile(s.responseMs, 0.99));
        text += buf.data();
    }
    return text;
}

} // namespace cuminscale::load
