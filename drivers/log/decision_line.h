/** Text format of decision lines. */
#pragma once

#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** "decision=KIND key=value ...", without a trailing newline. */
std::string formatDecision(const Decision &decision);

} // namespace GeraniumLever
