/** Fake of the platform's table service and object store. */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

class FakeStore
{
public:
    /** Executes the transaction completely, or not at all. */
    StoreStatus execute(const TableTransaction &transaction)
    {
        for (const TableWrite &write : transaction.writes) {
            if (!holds(write)) {
                return StoreStatus::ConditionFailed;
            }
        }
        for (const TableWrite &write : transaction.writes) {
            if (write.action == TableWrite::Action::Put) {
                TableRow &row = rows[write.key];
                row = TableRow { write.key, write.value, row.version + 1 };
            }
        }
        return StoreStatus::Done;
    }

    std::vector<TableRow> read(const TableGet &get) const
    {
        std::vector<TableRow> found;
        for (const std::string &key : get.keys) {
            const std::map<std::string, TableRow>::const_iterator row = rows.find(key);
            if (row != rows.end()) {
                found.push_back(row->second);
            }
        }
        return found;
    }

    std::vector<TableRow> read(const TableScan &scan) const
    {
        std::vector<TableRow> found;
        for (std::map<std::string, TableRow>::const_iterator row = rows.upper_bound(scan.after);
             row != rows.end() && found.size() < scan.limit;
             ++row) {
            if (row->first.rfind(scan.prefix, 0) == 0) {
                found.push_back(row->second);
            }
        }
        return found;
    }

    std::map<std::string, TableRow> rows;
    std::map<std::string, std::string> objects;

private:
    bool holds(const TableWrite &write) const
    {
        const std::map<std::string, TableRow>::const_iterator row = rows.find(write.key);
        if (write.condition.kind == TableCondition::Kind::Absent) {
            return row == rows.end();
        }
        return write.condition.kind == TableCondition::Kind::None
            || (row != rows.end() && row->second.version == write.condition.version);
    }
};

} // namespace GeraniumLever
