/** Percent-encoding of text in URLs. */
#pragma once

#include <string>
#include <string_view>

namespace GeraniumLever {

/** Replaces each byte that is not an unreserved character of RFC 3986 by "%" and two hexadecimal digits. */
std::string percentEncoded(std::string_view text);

} // namespace GeraniumLever
