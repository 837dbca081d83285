/** Catalogs of any size for the slope measurements. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

/** How much of each entity a catalog has. */
struct CatalogSize
{
    std::size_t teams = 10;
    std::size_t models = 1;
    /** Spread over the models' pools; all in one data centre. */
    std::size_t upstreams = 10;

    auto operator<=>(const CatalogSize &) const = default;
};

CatalogPtr makeSlopeCatalog(const CatalogSize &size);

} // namespace GeraniumLever
