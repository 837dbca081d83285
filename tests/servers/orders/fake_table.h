/** A fake table service that answers at once, or fails if configured to. */
#pragma once

#include <map>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

class FakeTable
{
public:
    /** True if the service is unreachable. */
    bool down = false;

    StoreResult run(const TableGet &get)
    {
        if (down) {
            return { get.operation, StoreStatus::Unavailable, {}, {} };
        }
        StoreResult result { get.operation, StoreStatus::Done, {}, {} };
        if (rows_.count(get.keys.front()) > 0) {
            result.rows.push_back(rows_[get.keys.front()]);
        }
        return result;
    }

    StoreResult run(const TableTransaction &transaction)
    {
        const bool done = !down && apply(transaction);
        const StoreStatus refused = down ? StoreStatus::Unavailable : StoreStatus::ConditionFailed;
        return { transaction.operation, done ? StoreStatus::Done : refused, {}, {} };
    }

    /** False if the condition does not hold. */
    bool apply(const TableTransaction &transaction)
    {
        const TableWrite &write = transaction.writes.front();
        const std::uint64_t version = rows_.count(write.key) > 0 ? rows_[write.key].version : 0;
        if (version != write.condition.version) {
            return false;
        }
        rows_[write.key] = { write.key, write.value, version + 1 };
        return true;
    }

private:
    std::map<std::string, TableRow> rows_;
};

} // namespace GeraniumLever
