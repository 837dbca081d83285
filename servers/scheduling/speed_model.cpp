#include "servers/scheduling/speed_model.h"

#include <algorithm>
#include <vector>

namespace GeraniumLever {

namespace {

/** Prefills of fewer tokens are dominated by fixed costs, and so do not measure the rate. */
constexpr std::uint32_t MinPrefillTokens = 128;

/** Samples that an upstream needs before its own measurements are used. */
constexpr std::uint64_t MinSamples = 5;

/** Factor by which each new sample reduces the weight of all earlier ones. */
constexpr double RegressionDecay = 0.998;

/** Lower limit of predicted gaps between tokens. */
constexpr double MinGapSeconds = 0.0001;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void SpeedModel::GapRegression::add(double batch, double gap)
{
    weight = weight * RegressionDecay + 1.0;
    sumBatch = sumBatch * RegressionDecay + batch;
    sumBatchSquared = sumBatchSquared * RegressionDecay + batch * batch;
    sumGap = sumGap * RegressionDecay + gap;
    sumProduct = sumProduct * RegressionDecay + batch * gap;
}

double SpeedModel::GapRegression::gapFor(double batch) const
{
    const double meanBatch = sumBatch / weight;
    const double meanGap = sumGap / weight;
    const double variance = sumBatchSquared / weight - meanBatch * meanBatch;
    // Batch sizes that hardly vary do not determine the slope. It cannot be negative: a larger batch is never faster.
    const double fittedSlope = variance < 0.25 ? 0.0 : (sumProduct / weight - meanBatch * meanGap) / variance;
    // The line must not predict a negative gap at batch size zero.
    const double slope = std::clamp(fittedSlope, 0.0, meanGap / meanBatch);
    return std::max(MinGapSeconds, meanGap + slope * (batch - meanBatch));
}

void SpeedModel::recordFirstToken(const UpstreamName &upstream, std::uint32_t promptTokens, Duration firstToken)
{
    if (promptTokens < MinPrefillTokens || firstToken <= Duration(0)) {
        return;
    }
    if (!upstreams_.contains(upstream)) {
        upstreams_.put(upstream, UpstreamSpeed {});
    }
    const double rate = promptTokens / secondsOf(firstToken);
    upstreams_.edit(upstream)->prefillRate.add(rate);
    shardPrefillRate_.add(rate);
}

void SpeedModel::recordTokenGap(const UpstreamName &upstream, std::uint32_t batchSize, Duration gap)
{
    if (gap <= Duration(0)) {
        return;
    }
    if (!upstreams_.contains(upstream)) {
        upstreams_.put(upstream, UpstreamSpeed {});
    }
    gapRegression_.add(batchSize, secondsOf(gap));
    upstreams_.edit(upstream)->gapRatio.add(secondsOf(gap) / gapRegression_.gapFor(batchSize));
}

std::optional<double> SpeedModel::prefillRate(const UpstreamName &upstream) const
{
    const UpstreamSpeed *measured = upstreams_.find(upstream);
    if (measured != nullptr && measured->prefillRate.samples() >= MinSamples) {
        return measured->prefillRate.value();
    }
    if (shardPrefillRate_.samples() == 0) {
        return std::nullopt;
    }
    return shardPrefillRate_.value();
}

std::optional<Duration> SpeedModel::gapAt(const UpstreamName &upstream, std::uint32_t batchSize) const
{
    if (gapRegression_.weight == 0.0) {
        return std::nullopt;
    }
    const UpstreamSpeed *measured = upstreams_.find(upstream);
    const bool own = measured != nullptr && measured->gapRatio.samples() >= MinSamples;
    return fromSeconds(gapRegression_.gapFor(batchSize) * (own ? measured->gapRatio.value() : 1.0));
}

double SpeedModel::medianGapRatio() const
{
    std::vector<double> ratios;
    for (const auto &[name, measured] : upstreams_) {
        if (measured.gapRatio.samples() >= MinSamples) {
            ratios.push_back(measured.gapRatio.value());
        }
    }
    if (ratios.empty()) {
        return 1.0;
    }
    std::sort(ratios.begin(), ratios.end());
    return ratios[(ratios.size() - 1) / 2];
}

double SpeedModel::slowness(const UpstreamName &upstream) const
{
    const UpstreamSpeed *measured = upstreams_.find(upstream);
    if (measured == nullptr || measured->gapRatio.samples() < MinSamples) {
        return 1.0;
    }
    return std::max(1.0, measured->gapRatio.value() / medianGapRatio());
}

void SpeedModel::forget(const UpstreamName &upstream)
{
    upstreams_.erase(upstream);
}

} // namespace GeraniumLever
