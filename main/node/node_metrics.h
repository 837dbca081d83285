/** The node's metrics, counted from the commands that its logic gives. */
#pragma once

#include <string>

#include "core/core.h"
#include "drivers/metrics/metrics.h"
#include "main/node/node_logic.h"

namespace GeraniumLever {

class NodeMetrics
{
public:
    void note(const RequestMetrics &measured);
    void note(const Decision &decision);
    void note(const StoreResult &result);
    void note(const PeerSend &send);

    /** Prometheus text, with gauges of the logic's present state. */
    std::string render(const NodeLogic &logic);

private:
    MetricsRegistry registry_;
};

} // namespace GeraniumLever
