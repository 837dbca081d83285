/** Digests of entities, by which nodes detect that their catalogs differ. */
#pragma once

#include <cstdint>

#include "core/entities.h"

namespace GeraniumLever {

/** xxHash over the kind and every field. A catalog's digest is the sum of its entities' digests, so that it can be
 *  updated incrementally, without iterating over the whole catalog. */
std::uint64_t hashEntity(const RequestClass &entity);
std::uint64_t hashEntity(const Team &entity);
std::uint64_t hashEntity(const Model &entity);
std::uint64_t hashEntity(const Pool &entity);
std::uint64_t hashEntity(const Upstream &entity);

} // namespace GeraniumLever
