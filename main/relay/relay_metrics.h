/** Counters and latency histograms of a relay. */
#pragma once

#include <string>

#include "drivers/metrics/metrics.h"
#include "servers/relay/relay.h"

namespace GeraniumLever {

class RelayMetrics
{
public:
    void record(const RelayRequestMetrics &measured);
    void record(const Decision &decision);
    void recordInputRejected(ResultCode code);
    void recordStoreRead(bool succeeded);

    /** Returns the metrics in the Prometheus text format. */
    std::string render(const RelaySystem &system, TimePoint now, std::uint64_t droppedLogLines);

private:
    MetricsRegistry registry_;
};

} // namespace GeraniumLever
