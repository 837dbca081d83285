/** JSON formats of the load reports, cache events and orders of upstreams. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Parses the response to GET /load. Absent fields and fields of another type keep their defaults; empty if the text is
 *  not a JSON object. */
std::optional<LoadReport> parseLoadReport(const UpstreamName &upstream, const std::string &text);

/** Parses the response to GET /cache_events. Invalid entries are skipped. */
std::vector<CacheEvent> parseCacheEvents(const UpstreamName &upstream, const std::string &text);

/** Formats the body of POST /orders. */
std::string formatOrder(const EngineOrder &order);

} // namespace GeraniumLever
