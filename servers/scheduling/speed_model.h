/** Measured speeds of a shard's upstreams: prefill rate, gap between tokens (inter-token latency) by batch size, and
 * slowness relative to the shard's median. */
#pragma once

#include <optional>

#include "servers/scheduling/moving_average.h"
#include "servers/scheduling/running_quantile.h"

#include "core/core.h"

namespace GeraniumLever {

class SpeedModel
{
public:
    /** Records the time to first token of an attempt. promptTokens: tokens that the upstream had to compute until then,
     * including those of earlier attempts. */
    void recordFirstToken(const UpstreamName &upstream, std::uint32_t promptTokens, Duration firstToken);

    /** Records the gap between tokens while the upstream served a batch of the given size. */
    void recordTokenGap(const UpstreamName &upstream, std::uint32_t batchSize, Duration gap);

    /** Prompt tokens per second, of the whole shard if the upstream has too few samples; std::nullopt if the shard has
     * none. */
    std::optional<double> prefillRate(const UpstreamName &upstream) const;

    /** Expected gap between tokens at a batch size; std::nullopt if none has been measured. */
    std::optional<Duration> gapAt(const UpstreamName &upstream, std::uint32_t batchSize) const;

    /** The upstream's token gap, corrected for batch size, divided by the shard's median; at least 1, and 1 if it has
     * too few samples. */
    double slowness(const UpstreamName &upstream) const;

    /** Discards the measurements of the upstream, for example after a restart. */
    void forget(const UpstreamName &upstream);

    /** Discards the measurements of all upstreams that are not in the table. */
    template<typename Row>
    void keepOnly(const Table<UpstreamName, Row> &known)
    {
        upstreams_.eraseIf([&known](const UpstreamName &name, const UpstreamSpeed &) { return !known.contains(name); });
    }

private:
    struct UpstreamSpeed
    {
        /** Prompt tokens per second. Work of higher tiers can only delay a prefill, so a high quantile is used, not the
         * median. */
        RunningQuantile prefillRate { 0.8 };
        /** Observed gap divided by the one that the shard's regression predicts for the batch size. */
        MovingAverage gapRatio { 0.15 };
    };

    /** Linear least-squares regression of the gap in seconds on the batch size, with exponential forgetting. */
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
