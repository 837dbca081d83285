#include "core/prefix_hash.h"

#include <xxhash.h>

namespace GeraniumLever {

std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    while (prompt.size() >= PrefixBlockBytes && hashes.size() < MaxPrefixBlocks) {
        previous = XXH64(prompt.data(), PrefixBlockBytes, previous);
        hashes.push_back(previous);
        prompt.remove_prefix(PrefixBlockBytes);
    }
    return hashes;
}

} // namespace GeraniumLever
