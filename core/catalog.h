/** The routing configuration as a whole: what all tickets up to one number add up to. */
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/entities.h"
#include "core/table.h"

namespace GeraniumLever {

/** Immutable after construction; nodes share it by pointer and replace it whole. Catalogs that follow each other share
 *  the tables that the ticket between them does not touch. */
class Catalog
{
public:
    Catalog();

    /** The catalog in which all the given changes are in force at once, as of ticket number head. */
    Catalog withChanges(const std::vector<EntityChange> &changes, TicketNumber head) const;

    /** Number of the last ticket that is part of this catalog. */
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
