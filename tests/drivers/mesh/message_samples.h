/** At least one sample of each message kind, with every field set. */
#pragma once

#include <vector>

#include "core/core.h"

namespace GeraniumLever {

std::vector<PeerMessage> messageSamples();

} // namespace GeraniumLever
