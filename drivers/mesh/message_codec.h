/** Conversion between peer messages and their Cap'n Proto representation. */
#pragma once

#include <optional>

#include "core/core.h"
#include "drivers/mesh/generated/node.capnp.h"

namespace GeraniumLever {

void writeMessage(const PeerMessage &message, Wire::Message::Builder builder);

/** Returns std::nullopt if the message's kind or one of its enum values is unknown to this version. */
std::optional<PeerMessage> readMessage(Wire::Message::Reader reader);

} // namespace GeraniumLever
