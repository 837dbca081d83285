#include "core/catalog_editor.h"

#include <utility>

#include "core/catalog_hash.h"

namespace GeraniumLever {

namespace {

/** Returns the modifiable copy of a shared value, which it creates and shares on the first call. */
template<typename Value>
Value &mutableCopy(std::shared_ptr<const Value> &shared, std::shared_ptr<Value> &copy)
{
    if (copy == nullptr) {
        copy = std::make_shared<Value>(*shared);
        shared = copy;
    }
    return *copy;
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
    mutableTables_ = MutableTables {};
    return std::move(catalog_);
}

void CatalogEditor::put(const RequestClass &entity)
{
    putRow(mutableCopy(catalog_.classes_, mutableTables_.classes), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Team &entity)
{
    unindexKeys(entity.name);
    Catalog::KeyIndex &index = mutableCopy(catalog_.teamByKeyHash_, mutableTables_.teamByKeyHash);
    for (const std::string &keyHash : entity.keyHashes) {
        index.emplace(keyHash, entity.name);
    }
    putRow(mutableCopy(catalog_.teams_, mutableTables_.teams), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Model &entity)
{
    putRow(mutableCopy(catalog_.models_, mutableTables_.models), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Pool &entity)
{
    putRow(mutableCopy(catalog_.pools_, mutableTables_.pools), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Upstream &entity)
{
    putRow(mutableCopy(catalog_.upstreams_, mutableTables_.upstreams), entity.name, entity, catalog_.digest_);
}

void CatalogEditor::put(const Removal &removal)
{
    switch (removal.kind) {
    case EntityKind::RequestClass:
        removeRow(mutableCopy(catalog_.classes_, mutableTables_.classes), ClassName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Team:
        unindexKeys(TeamName(removal.name));
        removeRow(mutableCopy(catalog_.teams_, mutableTables_.teams), TeamName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Model:
        removeRow(mutableCopy(catalog_.models_, mutableTables_.models), ModelName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Pool:
        removeRow(mutableCopy(catalog_.pools_, mutableTables_.pools), PoolName(removal.name), catalog_.digest_);
        return;
    case EntityKind::Upstream:
        removeRow(
            mutableCopy(catalog_.upstreams_, mutableTables_.upstreams), UpstreamName(removal.name), catalog_.digest_);
        return;
    }
}

void CatalogEditor::unindexKeys(const TeamName &name)
{
    const Team *old = catalog_.teams_->find(name);
    if (old == nullptr) {
        return;
    }
    Catalog::KeyIndex &index = mutableCopy(catalog_.teamByKeyHash_, mutableTables_.teamByKeyHash);
    for (const std::string &keyHash : old->keyHashes) {
        const Catalog::KeyIndex::const_iterator entry = index.find(keyHash);
        if (entry != index.end() && entry->second == name) {
            index.erase(entry);
        }
    }
}

} // namespace GeraniumLever
