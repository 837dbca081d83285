/** Hashing and comparison of keys. */
#pragma once

#include <string>
#include <string_view>

namespace GeraniumLever {

/** SHA-256 in lower-case hex. */
std::string sha256Hex(std::string_view text);

/** Compares in a time that does not depend on where the texts differ; it may reveal their lengths. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** The key of an "Authorization: Bearer KEY" field; empty if it holds none. */
std::string_view bearerKey(std::string_view authorization);

} // namespace GeraniumLever
