/** The complete routing configuration that results from all tickets up to a given number. */
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/entities.h"
#include "core/table.h"

namespace GeraniumLever {

/** Immutable after construction; shared by pointer and replaced as a whole. Consecutive catalogs share the tables that
 *  the ticket between them does not change. */
class Catalog
{
public:
    Catalog();

    /** Returns a copy of the catalog with all given changes applied atomically and with ticket number head. */
    Catalog withChanges(const std::vector<EntityChange> &changes, TicketNumber head) const;

    /** Number of the last ticket that this catalog includes. */
    TicketNumber head() const { return head_; }

    /** Hash over all entities; equal catalogs have equal digests on every node. */
    std::uint64_t digest() const { return digest_; }

    const Table<ClassName, RequestClass> &classes() const { return *classes_; }
    const Table<TeamName, Team> &teams() const { return *teams_; }
    const Table<ModelName, Model> &models() const { return *models_; }
    const Table<PoolName, Pool> &pools() const { return *pools_; }
    const Table<UpstreamName, Upstream> &upstreams() const { return *upstreams_; }

    /** The team that owns the key with the given SHA-256 in lower-case hex; nullptr if none does. */
    const Team *teamByKeyHash(const std::string &keyHash) const;

    /** The pool that serves a model; nullptr if none does. */
    const Pool *poolForModel(const ModelName &model) const;

    /** The pool of a plain service; nullptr if there is none. */
    const Pool *poolForService(std::string_view service) const;

    bool operator==(const Catalog &other) const;

private:
    friend class CatalogEditor;

    using KeyIndex = std::unordered_map<std::string, TeamName>;

    TicketNumber head_;
    std::uint64_t digest_ = 0;
    std::shared_ptr<const Table<ClassName, RequestClass>> classes_;
    std::shared_ptr<const Table<TeamName, Team>> teams_;
    std::shared_ptr<const Table<ModelName, Model>> models_;
    std::shared_ptr<const Table<PoolName, Pool>> pools_;
    std::shared_ptr<const Table<UpstreamName, Upstream>> upstreams_;
    std::shared_ptr<const KeyIndex> teamByKeyHash_;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

} // namespace GeraniumLever
