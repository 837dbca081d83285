/** Hashes of prompt prefixes, by which requests find the engine that has their prefix cached. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace GeraniumLever {

/** Bytes of prompt text in one prefix block. */
constexpr std::size_t PrefixBlockBytes = 256;

/** Most blocks that are hashed; later ones do not change the choice of an engine. */
constexpr std::size_t MaxPrefixBlocks = 64;

/** One hash a whole block, each over the text from the beginning to the block's end. */
std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt);

} // namespace GeraniumLever
