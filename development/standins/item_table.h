/** Items of the table service stand-in. */
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace GeraniumLever {

/** Partition key and sort key. */
struct ItemKey
{
    std::string partition;
    std::string sort;

    auto operator<=>(const ItemKey &) const = default;
};

struct Item
{
    ItemKey key;
    std::string data;
    std::uint64_t version = 0;

    auto operator<=>(const Item &) const = default;
};

/** One part of a transaction. */
struct ItemWrite
{
    enum class Action : std::uint8_t {
        Update,
        Delete,
        ConditionCheck,
    };

    Action action = Action::Update;
    ItemKey key;
    std::string data;
    /** The item must not exist. */
    bool mustBeAbsent = false;
    /** The item's version must be this one. */
    std::optional<std::uint64_t> version;

    auto operator<=>(const ItemWrite &) const = default;
};

/** Rows with versions and conditional writes of several rows at once. */
class ItemTable
{
public:
    /** Carries out all writes if every condition holds, else none. One entry a write: true if its condition held. */
    std::vector<bool> write(const std::vector<ItemWrite> &writes);

    std::optional<Item> get(const ItemKey &key) const;

    /** Items of the partition with first <= sort key <= last, ascending. */
    std::vector<Item> query(const std::string &partition,
                            const std::string &first,
                            const std::string &last,
                            std::size_t limit) const;

private:
    bool holds(const ItemWrite &write) const;
    void apply(const ItemWrite &write);

    std::map<ItemKey, Item> items_;
};

} // namespace GeraniumLever
