#include "development/standins/item_table.h"

#include <algorithm>

namespace GeraniumLever {

std::vector<bool> ItemTable::write(const std::vector<ItemWrite> &writes)
{
    std::vector<bool> held;
    held.reserve(writes.size());
    for (const ItemWrite &write : writes) {
        held.push_back(holds(write));
    }
    if (std::find(held.begin(), held.end(), false) != held.end()) {
        return held;
    }
    for (const ItemWrite &write : writes) {
        apply(write);
    }
    return held;
}

std::optional<Item> ItemTable::get(const ItemKey &key) const
{
    std::map<ItemKey, Item>::const_iterator found = items_.find(key);
    return found == items_.end() ? std::nullopt : std::optional<Item>(found->second);
}

std::vector<Item> ItemTable::query(const std::string &partition,
                                   const std::string &first,
                                   const std::string &last,
                                   std::size_t limit) const
{
    std::vector<Item> items;
    ItemKey end { partition, last };
    for (std::map<ItemKey, Item>::const_iterator item = items_.lower_bound(ItemKey { partition, first });
         item != items_.end() && item->first <= end && items.size() < limit;
         ++item) {
        items.push_back(item->second);
    }
    return items;
}

bool ItemTable::holds(const ItemWrite &write) const
{
    std::optional<Item> item = get(write.key);
    if (write.mustBeAbsent) {
        return !item;
    }
    return !write.version || (item && item->version == *write.version);
}

void ItemTable::apply(const ItemWrite &write)
{
    if (write.action == ItemWrite::Action::Delete) {
        items_.erase(write.key);
        return;
    }
    if (write.action == ItemWrite::Action::Update) {
        Item &item = items_[write.key];
        item.key = write.key;
        item.data = write.data;
        ++item.version;
    }
}

} // namespace GeraniumLever
