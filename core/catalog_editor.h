/** Makes a catalog from another one and a ticket's changes. */
#pragma once

#include <memory>

#include "core/catalog.h"

namespace GeraniumLever {

/** Copies a table when the first change touches it, and no other. */
class CatalogEditor
{
public:
    explicit CatalogEditor(const Catalog &base) : catalog_(base) { }

    void apply(const EntityChange &change);

    Catalog finish(TicketNumber head);

private:
    /** The copies that this editor may still change. */
    struct Drafts
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
    Drafts drafts_;
};

} // namespace GeraniumLever
