/** Decoding of URL paths and queries. */
#pragma once

#include <string>
#include <string_view>

namespace GeraniumLever {

/** Replaces each "%" with two hexadecimal digits by the byte that they name; other text stays as it is. */
std::string percentDecoded(std::string_view text);

} // namespace GeraniumLever
