/**
 * In-memory fake of the platform's table service and object store. It answers at once and never fails; the
 * scenario world adds delays and faults.
 */
#pragma once

#include <map>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

class FakeStore
{
public:
    StoreResult run(const TableTransaction &transaction);
    StoreResult run(const TableGet &get) const;
    StoreResult run(const TableScan &scan) const;
    StoreResult run(const ObjectPut &put);
    StoreResult run(const ObjectGet &get) const;

private:
    bool conditionHolds(const TableWrite &write) const;

    std::map<std::string, TableRow> rows_;
    std::map<std::string, std::string> objects_;
};

} // namespace GeraniumLever
