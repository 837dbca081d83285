/** Rows of the store stand-in. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace GeraniumLever {

struct StoreRow
{
    std::string table;
    std::string part;
    std::string key;
    /** Base64, as it arrived. */
    std::string value;
    std::uint64_t version = 0;
    /** Only in the history. */
    bool deleted = false;

    auto operator<=>(const StoreRow &) const = default;
};

/** Tables with one counter of versions, conditional transactions and a history of changes. */
class StoreTables
{
public:
    /** Carries out all of it if every expected row has its version (0: is absent), else nothing. */
    bool transact(const std::vector<StoreRow> &expected,
                  const std::vector<StoreRow> &writes,
                  const std::vector<StoreRow> &removals);

    std::optional<StoreRow> get(const std::string &table, const std::string &part, const std::string &key) const;

    /** Rows with from <= key < to, ascending; an empty to means no end. */
    std::vector<StoreRow> range(const std::string &table,
                                const std::string &part,
                                const std::string &from,
                                const std::string &to,
                                std::size_t limit) const;

    /** Changes of a table after a version, oldest first; nothing if the history does not reach back so far, or if there
     *  is no such version. */
    std::optional<std::vector<StoreRow>> changesAfter(const std::string &table, std::uint64_t version) const;

    /** Forgets the history up to now. */
    void dropHistory();

    std::uint64_t version() const { return version_; }

private:
    using Key = std::pair<std::string, std::string>;

    std::map<std::string, std::map<Key, StoreRow>> tables_;
    std::vector<StoreRow> history_;
    std::uint64_t droppedUpTo_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace GeraniumLever
