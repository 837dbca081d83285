/** Hashes of prompt prefixes, used to route a request to an engine that has its prefix cached. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace GeraniumLever {

/** Size of one prefix block of the prompt text, in bytes. */
constexpr std::size_t PrefixBlockBytes = 256;

/** Maximum number of blocks that are hashed; later blocks do not affect the choice of an engine. */
constexpr std::size_t MaxPrefixBlocks = 64;

/** Returns one hash per complete block, each covering the prompt from its start to the end of the block. */
std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt);

} // namespace GeraniumLever
