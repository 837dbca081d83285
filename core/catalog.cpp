#include "core/catalog.h"

#include "core/catalog_editor.h"

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

Catalog::Catalog()
    : classes_(std::make_shared<const Table<ClassName, RequestClass>>())
    , teams_(std::make_shared<const Table<TeamName, Team>>())
    , models_(std::make_shared<const Table<ModelName, Model>>())
    , pools_(std::make_shared<const Table<PoolName, Pool>>())
    , upstreams_(std::make_shared<const Table<UpstreamName, Upstream>>())
    , teamByKeyHash_(std::make_shared<const KeyIndex>())
{
}

Catalog Catalog::withChanges(const std::vector<EntityChange> &changes, TicketNumber head) const
{
    CatalogEditor editor(*this);
    for (const EntityChange &change : changes) {
        editor.apply(change);
    }
    return editor.finish(head);
}

const Team *Catalog::teamByKeyHash(const std::string &keyHash) const
{
    const KeyIndex::const_iterator found = teamByKeyHash_->find(keyHash);
    return found == teamByKeyHash_->end() ? nullptr : teams_->find(found->second);
}

const Pool *Catalog::poolForModel(const ModelName &model) const
{
    if (model.empty()) {
        return nullptr;
    }
    for (const auto &[name, pool] : *pools_) {
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
    for (const auto &[name, pool] : *pools_) {
        if (pool.service == service) {
            return &pool;
        }
    }
    return nullptr;
}

bool Catalog::operator==(const Catalog &other) const
{
    return head_ == other.head_ && *classes_ == *other.classes_ && *teams_ == *other.teams_
        && *models_ == *other.models_ && *pools_ == *other.pools_ && *upstreams_ == *other.upstreams_;
}

} // namespace GeraniumLever
