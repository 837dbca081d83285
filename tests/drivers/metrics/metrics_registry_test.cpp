#include "drivers/metrics/metrics.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(MetricsRegistryTest, RendersCountersAndGauges)
{
    MetricsRegistry registry;
    const MetricFamily requests { "geranium_requests_total", "Requests by class and outcome." };
    registry.counter(requests, { { "class", "live" }, { "outcome", "answered" } }).add(3);
    registry.counter(requests, { { "class", "a\"b\\c\nd" }, { "outcome", "failed" } }).add();
    registry.counter(requests, { { "class", "live" }, { "outcome", "answered" } }).add();
    registry.gauge({ "geranium_open_requests", "Requests in flight." }).set(2.5);
    EXPECT_EQ(registry.render(),
              "# HELP geranium_requests_total Requests by class and outcome.\n"
              "# TYPE geranium_requests_total counter\n"
              "geranium_requests_total{class=\"a\\\"b\\\\c\\nd\",outcome=\"failed\"} 1\n"
              "geranium_requests_total{class=\"live\",outcome=\"answered\"} 4\n"
              "# HELP geranium_open_requests Requests in flight.\n"
              "# TYPE geranium_open_requests gauge\n"
              "geranium_open_requests 2.5\n");
}

TEST(MetricsRegistryTest, CountsEveryDurationInItsBucketAndAllHigherOnes)
{
    MetricsRegistry registry;
    LatencyHistogram &histogram = registry.histogram({ "geranium_first_token_seconds", "Time." }, { { "class", "x" } });
    for (const Duration::rep microseconds : { -5, 700, 45'000, 90'000'000 }) {
        histogram.record(Duration(microseconds));
    }
    const std::string text = registry.render();
    const std::string name = "geranium_first_token_seconds";
    for (const std::string line : { "_bucket{class=\"x\",le=\"0.0005\"} 1\n",
                                    "_bucket{class=\"x\",le=\"0.001\"} 2\n",
                                    "_bucket{class=\"x\",le=\"0.04\"} 2\n",
                                    "_bucket{class=\"x\",le=\"0.05\"} 3\n",
                                    "_bucket{class=\"x\",le=\"80\"} 3\n",
                                    "_bucket{class=\"x\",le=\"+Inf\"} 4\n",
                                    "_sum{class=\"x\"} 90.0457\n",
                                    "_count{class=\"x\"} 4\n" }) {
        EXPECT_NE(text.find("\n" + name + line), std::string::npos) << line;
    }
}

} // namespace
} // namespace GeraniumLever
