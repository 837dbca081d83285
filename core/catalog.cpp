#include "core/catalog.h"

#include "core/catalog_hash.h"

namespace GeraniumLever {

EntityKind kindOf(const EntityChange &change)
{
    if (const Removal *removal = std::get_if<Removal>(&change)) {
        return removal->kind;
    }
    return static_cast<EntityKind>(change.index());
}

const std::string &nameOf(const EntityChange &change)
{
    struct Visitor
    {
        const std::string &operator()(const RequestClass &entity) const { return entity.name.text(); }
        const std::string &operator()(const Team &entity) const { return entity.name.text(); }
        const std::string &operator()(const Model &entity) const { return entity.name.text(); }
        const std::string &operator()(const Pool &entity) const { return entity.name.text(); }
        const std::string &operator()(const Upstream &entity) const { return entity.name.text(); }
        const std::string &operator()(const Removal &removal) const { return removal.name; }
    };
    return std::visit(Visitor {}, change);
}

Catalog Catalog::withChanges(const std::vector<EntityChange> &changes, TicketNumber head) const
{
    Catalog result = *this;
    for (const EntityChange &change : changes) {
        result.apply(change);
    }
    result.head_ = head;
    result.rebuildIndex();
    return result;
}

const Team *Catalog::teamByKeyHash(const std::string &keyHash) const
{
    const std::unordered_map<std::string, TeamName>::const_iterator found = teamByKeyHash_.find(keyHash);
    return found == teamByKeyHash_.end() ? nullptr : teams_.find(found->second);
}

const Pool *Catalog::poolForModel(const ModelName &model) const
{
    if (model.empty()) {
        return nullptr;
    }
    for (const auto &[name, pool] : pools_) {
        if (pool.model == model) {
            return &pool;
        }
    }
    return nullptr;
}

const Pool *Catalog::poolForService(std::string_view service) const
{
    if (service.empty()) {
        return nullptr;
    }
    for (const auto &[name, pool] : pools_) {
        if (pool.service == service) {
            return &pool;
        }
    }
    return nullptr;
}

bool Catalog::operator==(const Catalog &other) const
{
    return head_ == other.head_ && classes_ == other.classes_ && teams_ == other.teams_ && models_ == other.models_
        && pools_ == other.pools_ && upstreams_ == other.upstreams_;
}

void Catalog::apply(const EntityChange &change)
{
    struct Visitor
    {
        Catalog &catalog;

        void operator()(const RequestClass &entity) const { catalog.classes_.put(entity.name, entity); }
        void operator()(const Team &entity) const { catalog.teams_.put(entity.name, entity); }
        void operator()(const Model &entity) const { catalog.models_.put(entity.name, entity); }
        void operator()(const Pool &entity) const { catalog.pools_.put(entity.name, entity); }
        void operator()(const Upstream &entity) const { catalog.upstreams_.put(entity.name, entity); }
        void operator()(const Removal &removal) const { catalog.remove(removal); }
    };
    std::visit(Visitor { *this }, change);
}

void Catalog::remove(const Removal &removal)
{
    switch (removal.kind) {
    case EntityKind::RequestClass:
        classes_.erase(ClassName(removal.name));
        return;
    case EntityKind::Team:
        teams_.erase(TeamName(removal.name));
        return;
    case EntityKind::Model:
        models_.erase(ModelName(removal.name));
        return;
    case EntityKind::Pool:
        pools_.erase(PoolName(removal.name));
        return;
    case EntityKind::Upstream:
        upstreams_.erase(UpstreamName(removal.name));
        return;
    }
}

void Catalog::rebuildIndex()
{
    teamByKeyHash_.clear();
    for (const auto &[name, team] : teams_) {
        for (const std::string &keyHash : team.keyHashes) {
            teamByKeyHash_.emplace(keyHash, name);
        }
    }
    digest_ = hashCatalog(*this);
}

} // namespace GeraniumLever
