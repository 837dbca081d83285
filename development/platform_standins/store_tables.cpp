#include "development/platform_standins/store_tables.h"

namespace GeraniumLever {

bool StoreTables::transact(const std::vector<StoreRow> &expected,
                           const std::vector<StoreRow> &writes,
                           const std::vector<StoreRow> &removals)
{
    for (const StoreRow &row : expected) {
        const std::optional<StoreRow> present = get(row.table, row.part, row.key);
        if ((present.has_value() ? present->version : 0) != row.version) {
            return false;
        }
    }
    ++version_;
    for (StoreRow row : writes) {
        row.version = version_;
        tables_[row.table][{ row.part, row.key }] = row;
        history_.push_back(row);
    }
    for (StoreRow row : removals) {
        tables_[row.table].erase({ row.part, row.key });
        row.version = version_;
        row.deleted = true;
        history_.push_back(row);
    }
    return true;
}

std::optional<StoreRow> StoreTables::get(const std::string &table,
                                         const std::string &part,
                                         const std::string &key) const
{
    const auto rows = tables_.find(table);
    if (rows == tables_.end()) {
        return std::nullopt;
    }
    const auto row = rows->second.find({ part, key });
    return row == rows->second.end() ? std::nullopt : std::optional<StoreRow>(row->second);
}

std::vector<StoreRow> StoreTables::range(const std::string &table,
                                         const std::string &part,
                                         const std::string &from,
                                         const std::string &to,
                                         std::size_t limit) const
{
    std::vector<StoreRow> found;
    const auto rows = tables_.find(table);
    if (rows == tables_.end()) {
        return found;
    }
    for (auto row = rows->second.lower_bound({ part, from }); row != rows->second.end(); ++row) {
        const bool inPart = row->first.first == part;
        if (!inPart || (!to.empty() && row->first.second >= to) || found.size() == limit) {
            break;
        }
        found.push_back(row->second);
    }
    return found;
}

std::optional<std::vector<StoreRow>> StoreTables::changesAfter(const std::string &table, std::uint64_t version) const
{
    if (version < droppedUpTo_ || version > version_) {
        return std::nullopt;
    }
    std::vector<StoreRow> changes;
    for (const StoreRow &row : history_) {
        if (row.table == table && row.version > version) {
            changes.push_back(row);
        }
    }
    return changes;
}

void StoreTables::dropHistory()
{
    history_.clear();
    droppedUpTo_ = version_;
}

} // namespace GeraniumLever
