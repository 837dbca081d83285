/** Reports as datagrams. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "servers/relay/relay.h"

namespace GeraniumLever {

std::string encodePeerReport(const PeerReport &report);

/** Nothing if the bytes are no report. */
std::optional<PeerReport> decodePeerReport(std::string_view bytes);

} // namespace GeraniumLever
