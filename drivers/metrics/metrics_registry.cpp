#include "drivers/metrics/metrics_registry.h"

#include <cmath>
#include <sstream>
#include <string_view>

namespace GeraniumLever {

namespace {

constexpr std::string_view BoundLabel = "le";

/** Escapes backslashes, double quotes and line feeds, as the text format requires. */
std::string escapeLabelValue(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '\\' || character == '"') {
            escaped.push_back('\\');
        }
        escaped.push_back(character);
    }
    return escaped;
}

std::string formatLabels(const MetricLabels &labels)
{
    if (labels.empty()) {
        return {};
    }
    std::string text;
    for (const MetricLabel &label : labels) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"" + escapeLabelValue(label.value) + "\"";
    }
    return text + "}";
}

std::string formatBound(double bound)
{
    if (std::isinf(bound)) {
        return "+Inf";
    }
    std::ostringstream text;
    text << bound;
    return text.str();
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void renderMetric(std::ostream &out, const std::string &name, const MetricLabels &labels, const Counter &counter)
{
    out << name << formatLabels(labels) << ' ' << counter.value() << '\n';
}

void renderMetric(std::ostream &out, const std::string &name, const MetricLabels &labels, const Gauge &gauge)
{
    out << name << formatLabels(labels) << ' ' << gauge.value() << '\n';
}

void renderMetric(std::ostream &out,
                  const std::string &name,
                  const MetricLabels &labels,
                  const LatencyHistogram &histogram)
{
    const std::vector<HistogramBucket> buckets = histogram.buckets();
    for (const HistogramBucket &bucket : buckets) {
        MetricLabels bucketLabels = labels;
        bucketLabels.push_back({ std::string(BoundLabel), formatBound(bucket.upperBound) });
        out << name << "_bucket" << formatLabels(bucketLabels) << ' ' << bucket.cumulativeCount << '\n';
    }
    out << name << "_sum" << formatLabels(labels) << ' ' << toSeconds(histogram.sum()) << '\n';
    out << name << "_count" << formatLabels(labels) << ' ' << buckets.back().cumulativeCount << '\n';
}

template<typename FamilyMap>
void renderFamilies(std::ostream &out, std::string_view kind, const FamilyMap &families)
{
    for (const auto &[name, series] : families) {
        out << "# HELP " << name << ' ' << series.help << '\n';
        out << "# TYPE " << name << ' ' << kind << '\n';
        for (const auto &[labels, metric] : series.metrics) {
            renderMetric(out, name, labels, metric);
        }
    }
}

} // namespace

template<typename Metric>
Metric &MetricsRegistry::find(Families<Metric> &families, const MetricFamily &family, const MetricLabels &labels)
{
    Series<Metric> &series = families[family.name];
    if (series.help.empty()) {
        series.help = family.help;
    }
    return series.metrics[labels];
}

Counter &MetricsRegistry::counter(const MetricFamily &family, const MetricLabels &labels)
{
    return find(counters_, family, labels);
}

Gauge &MetricsRegistry::gauge(const MetricFamily &family, const MetricLabels &labels)
{
    return find(gauges_, family, labels);
}

LatencyHistogram &MetricsRegistry::histogram(const MetricFamily &family, const MetricLabels &labels)
{
    return find(histograms_, family, labels);
}

std::string MetricsRegistry::render() const
{
    std::ostringstream out;
    constexpr int SignificantDigits = 15;
    out.precision(SignificantDigits);
    renderFamilies(out, "counter", counters_);
    renderFamilies(out, "gauge", gauges_);
    renderFamilies(out, "histogram", histograms_);
    return out.str();
}

} // namespace GeraniumLever
