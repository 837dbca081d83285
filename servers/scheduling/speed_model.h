/** Measured speeds of a shard's upstreams: prefill rate, gap between tokens by batch size, slowness against the median.
 */
#pragma once

#include <optional>

#include "servers/scheduling/moving_average.h"
#include "servers/scheduling/running_quantile.h"

#include "core/core.h"

namespace GeraniumLever {

class SpeedModel
{
public:
    /** An attempt's first token came after the upstream had to compute the given number of prompt tokens, those queued
     * before it included. */
    void recordFirstToken(const UpstreamName &upstream, std::uint32_t promptTokens, Duration firstToken);

    /** Tokens came at the given gap while the upstream served a batch of the given size. */
    void recordTokenGap(const UpstreamName &upstream, std::uint32_t batchSize, Duration gap);

    /** Prompt tokens per second; of the whole shard if the upstream has not been measured, nothing if none has. */
    std::optional<double> prefillRate(const UpstreamName &upstream) const;

    /** Expected gap between tokens at a batch size; nothing as long as none has been measured. */
    std::optional<Duration> gapAt(const UpstreamName &upstream, std::uint32_t batchSize) const;

    /** How many times slower between tokens than the shard's median the upstream is; 1 if it has too few samples. */
    double slowness(const UpstreamName &upstream) const;

    /** Forgets what was measured of the upstream's slowness, for example after a restart. */
    void forget(const UpstreamName &upstream);

    /** Forgets every upstream that is not in the table's keys. */
    template<typename Row>
    void keepOnly(const Table<UpstreamName, Row> &known)
    {
        upstreams_.eraseIf([&known](const UpstreamName &name, const UpstreamSpeed &) { return !known.contains(name); });
    }

private:
    struct UpstreamSpeed
    {
        /** Prompt tokens per second. Work of higher tiers only delays a prefill, so that the larger samples count. */
        RunningQuantile prefillRate { 0.8 };
        /** Observed gap divided by the one that the shard's line predicts for the batch size. */
        MovingAverage gapRatio { 0.15 };
    };

    /** Line through (batch size, gap in seconds) by least squares with forgetting. */
    struct GapRegression
    {
        double weight = 0.0;
        double sumBatch = 0.0;
        double sumBatchSquared = 0.0;
        double sumGap = 0.0;
        double sumProduct = 0.0;

        void add(double batch, double gap);
        double gapFor(double batch) const;
    };

    double medianGapRatio() const;

    Table<UpstreamName, UpstreamSpeed> upstreams_;
    RunningQuantile shardPrefillRate_ { 0.8 };
    GapRegression gapRegression_;
};

} // namespace GeraniumLever
