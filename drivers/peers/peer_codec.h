/** Encodes and decodes the datagrams between relays. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "servers/relay/relay.h"

namespace GeraniumLever {

/** Any message between relays. */
using PeerDatagram = std::variant<PeerReport,
                                  WorkReport,
                                  WorkTotals,
                                  StreamRecord,
                                  StreamQuery,
                                  StreamReply,
                                  CrashReport,
                                  LimitReport,
                                  OriginReport>;

std::string encodePeerDatagram(const PeerDatagram &message);

/** Returns nullopt if the bytes are not a valid message. */
std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes);

} // namespace GeraniumLever
