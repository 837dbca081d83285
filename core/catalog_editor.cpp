#include "core/catalog_editor.h"

#include <utility>

#include "core/catalog_hash.h"

namespace GeraniumLever {

namespace {

/** The copy to change in place of a shared value. */
template<typename Value>
Value &drafted(std::shared_ptr<const Value> &shared, std::shared_ptr<Value> &draft)
{
    if (draft == nullptr) {
        draft = std::make_shared<Value>(*shared);
        shared = draft;
    }
    return *draft;
}

template<typename Key, typename Row>
void removeRow(Table<Key, Row> &table, const Key &key, std::uint64_t &digest)
{
    if (const Row *old = table.find(key)) {
        digest -= hashEntity(*old);
        table.erase(key);
    }
}

template<typename Key, typename Row>
void putRow(Table<Key, Row> &table, const Key &key, const Row &row, std::uint64_t &digest)
{
    removeRow(table, key, digest);
    digest += hashEntity(row);
    table.put(key, row);
}

} // namespace

void CatalogEditor::apply(const EntityChange &change)
{
    std::visit([this](const auto &value) { put(value); }, change);
}

Catalog CatalogEditor::finish(TicketNumber head)
{
    catalog_.head_ = head;
    drafts_ = Drafts {};
    return std::move(catalog_);
}

void CatalogEditor::put(const RequestClass &entity)
{
    putRow(drafted(catalog_.classes_, drafts_.classes), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Team &entity)
{
    unindexKeys(entity.name);
    Catalog::KeyIndex &index = drafted(catalog_.teamByKeyHash_, drafts_.teamByKeyHash);
    for (const std::string &keyHash : entity.keyHashes) {
        index.emplace(keyHash, entity.name);
    }
    putRow(drafted(catalog_.teams_, drafts_.teams), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Model &entity)
{
    putRow(drafted(catalog_.models_, drafts_.models), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Pool &entity)
{
    putRow(drafted(catalog_.pools_, drafts_.pools), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Upstream &entity)
{
    putRow(drafted(catalog_.upstreams_, drafts_.upstreams), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Removal &removal)
{
    switch (removal.kind) {
    case EntityKind::RequestClass:
        removeRow(drafted(catalog_.classes_, drafts_.classes), ClassName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Team:
        unindexKeys(TeamName(removal.name));
        removeRow(drafted(catalog_.teams_, drafts_.teams), TeamName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Model:
        removeRow(drafted(catalog_.models_, drafts_.models), ModelName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Pool:
        removeRow(drafted(catalog_.pools_, drafts_.pools), PoolName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Upstream:
        removeRow(drafted(catalog_.upstreams_, drafts_.upstreams), UpstreamName(removal.name), catalog_.digest_);
        return;
    }
}

void CatalogEditor::unindexKeys(const TeamName &name)
{
    const Team *old = catalog_.teams_->find(name);
    if (old == nullptr) {
        return;
    }
    Catalog::KeyIndex &index = drafted(catalog_.teamByKeyHash_, drafts_.teamByKeyHash);
    for (const std::string &keyHash : old->keyHashes) {
        const Catalog::KeyIndex::const_iterator entry = index.find(keyHash);
        if (entry != index.end() && entry->second == name) {
            index.erase(entry);
        }
    }
}

} // namespace GeraniumLever
