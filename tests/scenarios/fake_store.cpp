#include "tests/scenarios/fake_store.h"

namespace GeraniumLever {

namespace {

StoreResult resultOf(OperationId operation, StoreStatus status)
{
    StoreResult result;
    result.operation = operation;
    result.status = status;
    return result;
}

} // namespace

StoreResult FakeStore::run(const TableTransaction &transaction)
{
    for (const TableWrite &write : transaction.writes) {
        if (!conditionHolds(write)) {
            return resultOf(transaction.operation, StoreStatus::ConditionFailed);
        }
    }
    for (const TableWrite &write : transaction.writes) {
        if (write.action == TableWrite::Action::Remove) {
            rows_.erase(write.key);
        } else if (write.action == TableWrite::Action::Put) {
            TableRow &row = rows_[write.key];
            row = { write.key, write.value, row.version + 1 };
        }
    }
    return resultOf(transaction.operation, StoreStatus::Done);
}

StoreResult FakeStore::run(const TableGet &get) const
{
    StoreResult result = resultOf(get.operation, StoreStatus::Done);
    for (const auto &[key, row] : rows_) {
        if (std::find(get.keys.begin(), get.keys.end(), key) != get.keys.end()) {
            result.rows.push_back(row);
        }
    }
    return result;
}

StoreResult FakeStore::run(const TableScan &scan) const
{
    StoreResult result = resultOf(scan.operation, StoreStatus::Done);
    for (const auto &[key, row] : rows_) {
        if (key.starts_with(scan.prefix) && key > scan.after && result.rows.size() < scan.limit) {
            result.rows.push_back(row);
        }
    }
    return result;
}

StoreResult FakeStore::run(const ObjectPut &put)
{
    objects_[put.name] = put.content;
    return resultOf(put.operation, StoreStatus::Done);
}

StoreResult FakeStore::run(const ObjectGet &get) const
{
    StoreResult result = resultOf(get.operation, StoreStatus::Done);
    std::map<std::string, std::string>::const_iterator object = objects_.find(get.name);
    if (object != objects_.end()) {
        result.content = object->second;
    }
    return result;
}

bool FakeStore::conditionHolds(const TableWrite &write) const
{
    std::map<std::string, TableRow>::const_iterator row = rows_.find(write.key);
    switch (write.condition.kind) {
    case TableCondition::Kind::None:
        return true;
    case TableCondition::Kind::Absent:
        return row == rows_.end();
    case TableCondition::Kind::VersionIs:
        return row != rows_.end() && row->second.version == write.condition.version;
    }
    return false;
}

} // namespace GeraniumLever
