/** Registry of a process's metrics. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "drivers/metrics/latency_histogram.h"

namespace GeraniumLever {

/** A value that never decreases. */
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_ += amount; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/** A value that can increase and decrease. */
class Gauge
{
public:
    void set(double value) { value_ = value; }
    double value() const { return value_; }

private:
    double value_ = 0;
};

/** A label's name and value. */
struct MetricLabel
{
    std::string name;
    std::string value;

    auto operator<=>(const MetricLabel &) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

/** Name and help text of metrics that differ only in their labels. */
struct MetricFamily
{
    /** In Prometheus form, for example "geranium_requests_total"; durations end in "_seconds". */
    std::string name;
    std::string help;

    auto operator<=>(const MetricFamily &) const = default;
};

/** Creates metrics on first use and renders them in Prometheus text format. Each name must be used for one
 *  kind of metric only. Returned references stay valid for the lifetime of the registry. */
class MetricsRegistry
{
public:
    Counter &counter(const MetricFamily &family, const MetricLabels &labels = {});
    Gauge &gauge(const MetricFamily &family, const MetricLabels &labels = {});
    LatencyHistogram &histogram(const MetricFamily &family, const MetricLabels &labels = {});

    /** Returns Prometheus text format 0.0.4, ordered by kind, then alphabetically. */
    std::string render() const;

private:
    template<typename Metric>
    struct Series
    {
        std::string help;
        std::map<MetricLabels, Metric> metrics;
    };

    template<typename Metric>
    using Families = std::map<std::string, Series<Metric>>;

    template<typename Metric>
    static Metric &find(Families<Metric> &families, const MetricFamily &family, const MetricLabels &labels);

    Families<Counter> counters_;
    Families<Gauge> gauges_;
    Families<LatencyHistogram> histograms_;
};

} // namespace GeraniumLever
