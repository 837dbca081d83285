/** Table of rows of one type, with lookup by key and iteration in key order. */
#pragma once

#include <cstddef>
#include <map>
#include <utility>

namespace GeraniumLever {

/** Iterates in key order, so that the order in which systems process rows is deterministic. */
template<typename Key, typename Row>
class Table
{
public:
    using Rows = std::map<Key, Row>;

    /** Returns the row, or nullptr if there is none. Valid until the row is erased. */
    const Row *find(const Key &key) const
    {
        const typename Rows::const_iterator found = rows_.find(key);
        return found == rows_.end() ? nullptr : &found->second;
    }

    /** Returns the row for modification in place, or nullptr if there is none. */
    Row *edit(const Key &key)
    {
        const typename Rows::iterator found = rows_.find(key);
        return found == rows_.end() ? nullptr : &found->second;
    }

    /** Inserts or replaces a row and returns the stored row. */
    Row &put(const Key &key, Row row) { return rows_.insert_or_assign(key, std::move(row)).first->second; }

    /** Erases a row; returns false if there was none. */
    bool erase(const Key &key) { return rows_.erase(key) > 0; }

    /** Erases every row for which condition(key, row) is true; returns their number. */
    template<typename Condition>
    std::size_t eraseIf(Condition condition)
    {
        return std::erase_if(rows_, [&condition](const typename Rows::value_type &entry) {
            return condition(entry.first, entry.second);
        });
    }

    bool contains(const Key &key) const { return rows_.count(key) > 0; }
    std::size_t size() const { return rows_.size(); }
    bool empty() const { return rows_.empty(); }
    void clear() { rows_.clear(); }

    typename Rows::const_iterator begin() const { return rows_.begin(); }
    typename Rows::const_iterator end() const { return rows_.end(); }
    typename Rows::iterator begin() { return rows_.begin(); }
    typename Rows::iterator end() { return rows_.end(); }

    bool operator==(const Table &) const = default;

private:
    Rows rows_;
};

} // namespace GeraniumLever
