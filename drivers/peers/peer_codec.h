/** Reports as datagrams. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "servers/relay/relay.h"

namespace GeraniumLever {

/** Everything that relays tell each other. */
using PeerDatagram = std::variant<PeerReport, WorkReport, WorkTotals>;

std::string encodePeerDatagram(const PeerDatagram &message);

/** Nothing if the bytes are no message. */
std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes);

} // namespace GeraniumLever
