/** Creates a catalog from an existing one and the changes of a ticket. */
#pragma once

#include <memory>

#include "core/catalog.h"

namespace GeraniumLever {

/** Copy-on-write editor: copies only the tables that a change affects, on the first such change. */
class CatalogEditor
{
public:
    explicit CatalogEditor(const Catalog &base) : catalog_(base) { }

    void apply(const EntityChange &change);

    Catalog finish(TicketNumber head);

private:
    /** The copied tables, which this editor may modify; nullptr for a table that is still shared. */
    struct MutableTables
    {
        std::shared_ptr<Table<ClassName, RequestClass>> classes;
        std::shared_ptr<Table<TeamName, Team>> teams;
        std::shared_ptr<Table<ModelName, Model>> models;
        std::shared_ptr<Table<PoolName, Pool>> pools;
        std::shared_ptr<Table<UpstreamName, Upstream>> upstreams;
        std::shared_ptr<Catalog::KeyIndex> teamByKeyHash;
    };

    void put(const RequestClass &entity);
    void put(const Team &entity);
    void put(const Model &entity);
    void put(const Pool &entity);
    void put(const Upstream &entity);
    void put(const Removal &removal);

    void unindexKeys(const TeamName &name);

    Catalog catalog_;
    MutableTables mutableTables_;
};

} // namespace GeraniumLever
