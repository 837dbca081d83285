/** Public header of the peers package: messages between relays. */
#pragma once

#include "drivers/peers/peer_codec.h"
#include "drivers/peers/peer_link.h"
