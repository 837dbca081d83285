/** Seeded damage to messages. */
#pragma once

#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** The text with a few changes: flipped, removed and repeated bytes, an early end, and numbers that are out of range.
 */
std::string mutated(std::string text, RandomSource &random);

} // namespace GeraniumLever
