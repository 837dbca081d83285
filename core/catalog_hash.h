/** Digest of a catalog, by which nodes notice that they disagree. */
#pragma once

#include <cstdint>

namespace GeraniumLever {

class Catalog;

/** xxHash over every field of every entity in key order. The head is not part of it. */
std::uint64_t hashCatalog(const Catalog &catalog);

} // namespace GeraniumLever
