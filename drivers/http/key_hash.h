/** Hashing and comparison of keys. */
#pragma once

#include <string>
#include <string_view>

namespace GeraniumLever {

/** SHA-256 in lower-case hex. */
std::string sha256Hex(std::string_view text);

/** Compares without telling by its running time where the texts differ; their lengths are not kept secret. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** The key of an "Authorization: Bearer KEY" field; empty if it holds none. */
std::string_view bearerKey(std::string_view authorization);

} // namespace GeraniumLever
