/** Encoding of texts in URLs. */
#pragma once

#include <string>
#include <string_view>

namespace GeraniumLever {

/** Replaces each byte that RFC 3986 does not call unreserved by "%" and two hexadecimal digits. */
std::string percentEncoded(std::string_view text);

} // namespace GeraniumLever
