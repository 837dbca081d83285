/** Translation between the message values and their Cap'n Proto form. */
#pragma once

#include <optional>

#include "core/core.h"
#include "drivers/mesh/generated/node.capnp.h"

namespace GeraniumLever {

void writeMessage(const PeerMessage &message, Wire::Message::Builder builder);

/** Nothing if the message is of a kind or carries a value that this version does not know. */
std::optional<PeerMessage> readMessage(Wire::Message::Reader reader);

} // namespace GeraniumLever
