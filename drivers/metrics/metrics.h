/** Public header of the metrics package: counters, gauges and latency histograms as Prometheus text. */
#pragma once

#include "drivers/metrics/latency_histogram.h"
#include "drivers/metrics/metrics_registry.h"
