/** Decoding of URL paths and queries. */
#pragma once

#include <string>
#include <string_view>

namespace GeraniumLever {

/** Replaces each "%" that is followed by two hexadecimal digits by the byte that they encode; leaves other text
 * unchanged. */
std::string percentDecoded(std::string_view text);

} // namespace GeraniumLever
