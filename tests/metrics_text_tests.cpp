#include "daemon/metrics_text.h"

#include <catch2/catch.hpp>

using namespace cuminscale;
using namespace cuminscale::dispatch;

TEST_CASE("Each duration is counted in one bucket, whose upper bound is inclusive")
{
    LatencyHistogram histogram;
    histogram.record(milliseconds(1));
    histogram.record(Duration(1001));
    histogram.record(milliseconds(150));
    histogram.record(seconds(60));
    const auto cumulative = histogram.cumulative();
    REQUIRE(cumulative.front() == 1);
    REQUIRE(cumulative[1] == 2);
    REQUIRE(cumulative[7] == 3);
    REQUIRE(cumulative[cumulative.size() - 2] == 3);
    REQUIRE(cumulative.back() == histogram.count());
    REQUIRE(histogram.sum() == Duration(1000 + 1001 + 150'000 + 60'000'000));
}

TEST_CASE("The number of named histograms is bounded")
{
    // An operator may add hundreds of queues.
    NamedHistograms histograms;
    for (int i = 0; i < 500; ++i) {
        histograms.record("queue-" + std::to_string(i), milliseconds(10));
    }
    REQUIRE(histograms.all().size() == NamedHistograms::MaxNames + 1);
    REQUIRE(histograms.all().at(NamedHistograms::Others).count() == 500 - NamedHistograms::MaxNames);
}

TEST_CASE("Gauges are rendered with one sample per label value")
{
    MetricsText metrics;
    metrics.add("queue_usual_cpu", "queue", std::map<std::string, double>{{"a\"b", 12.5}, {"c", 0.0}});
    REQUIRE(metrics.text()
            == "# TYPE cuminscale_queue_usual_cpu gauge\ncuminscale_queue_usual_cpu{queue=\"a\\\"b\"} 12.5\n"
               "cuminscale_queue_usual_cpu{queue=\"c\"} 0\n");
}

TEST_CASE("Histograms are rendered with cumulative buckets, sum and count")
{
    NamedHistograms histograms;
    histograms.record("a\"b", milliseconds(120));
    MetricsText metrics;
    metrics.add("jobs", 3);
    metrics.add("job_duration_seconds", "queue", histograms);
    const std::string &text = metrics.text();
    REQUIRE(text.find("cuminscale_jobs 3\n") == 0);
    REQUIRE(text.find("# TYPE cuminscale_job_duration_seconds histogram\n") != std::string::npos);
    REQUIRE(text.find("cuminscale_job_duration_seconds_bucket{queue=\"a\\\"b\",le=\"0.1\"} 0\n") != std::string::npos);
    REQUIRE(text.find("cuminscale_job_duration_seconds_bucket{queue=\"a\\\"b\",le=\"0.15\"} 1\n") != std::string::npos);
    REQUIRE(text.find("cuminscale_job_duration_seconds_bucket{queue=\"a\\\"b\",le=\"+Inf\"} 1\n") != std::string::npos);
    REQUIRE(text.find("cuminscale_job_duration_seconds_sum{queue=\"a\\\"b\"} 0.12\n") != std::string::npos);
    REQUIRE(text.find("cuminscale_job_duration_seconds_count{queue=\"a\\\"b\"} 1\n") != std::string::npos);
}
