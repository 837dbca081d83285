/** Reports of upstreams in JSON. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Reads the answer of GET /load. Absent fields and fields of another type keep their defaults; empty if the text is
 *  no JSON object. */
std::optional<LoadReport> parseLoadReport(const UpstreamName &upstream, const std::string &text);

/** Reads the answer of GET /cache_events. Entries that are not understood are left out. */
std::vector<CacheEvent> parseCacheEvents(const UpstreamName &upstream, const std::string &text);

/** The body of POST /orders. */
std::string formatOrder(const EngineOrder &order);

} // namespace GeraniumLever
