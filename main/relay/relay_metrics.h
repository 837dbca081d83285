/** Counters and latency histograms of a relay. */
#pragma once

#include <string>

#include "drivers/metrics/metrics.h"
#include "servers/relay/relay.h"

namespace GeraniumLever {

class RelayMetrics
{
public:
    void note(const RelayRequestMetrics &measured);
    void note(const Decision &decision);
    void noteInputRejected(ResultCode code);
    void noteStoreRead(bool succeeded);

    /** Prometheus text. */
    std::string render(const RelaySystem &system, TimePoint now, std::uint64_t droppedLogLines);

private:
    MetricsRegistry registry_;
};

} // namespace GeraniumLever
