/** Requests to the platform's table service and object store, and their results, as value types. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace GeraniumLever {

/** One row of the table service. */
struct TableRow
{
    /** Keys are ordered bytewise; the parts of a key are separated by '/'. */
    std::string key;
    std::string value;
    /** Incremented by every write to the key; 1 after the first write. */
    std::uint64_t version = 0;

    auto operator<=>(const TableRow &) const = default;
};

/** Precondition of a write. */
struct TableCondition
{
    enum class Kind : std::uint8_t {
        /** No precondition. */
        None,
        /** The key has no row. */
        Absent,
        /** The row's version equals `version`. */
        VersionIs,
    };

    Kind kind = Kind::None;
    std::uint64_t version = 0;

    auto operator<=>(const TableCondition &) const = default;
};

/** One write of a transaction. */
struct TableWrite
{
    enum class Action : std::uint8_t {
        Put,
        Remove,
        /** Only checks the condition, without writing. */
        Check,
    };

    Action action = Action::Put;
    std::string key;
    std::string value;
    TableCondition condition;

    auto operator<=>(const TableWrite &) const = default;
};

/** An atomic transaction: either all writes take effect or none. */
struct TableTransaction
{
    OperationId operation;
    std::vector<TableWrite> writes;

    auto operator<=>(const TableTransaction &) const = default;
};

/** Reads rows by exact keys, in one consistent snapshot. */
struct TableGet
{
    OperationId operation;
    std::vector<std::string> keys;

    auto operator<=>(const TableGet &) const = default;
};

/** Reads, in key order, at most `limit` rows whose keys begin with `prefix` and are greater than `after`. */
struct TableScan
{
    OperationId operation;
    std::string prefix;
    std::string after;
    std::uint32_t limit = 100;

    auto operator<=>(const TableScan &) const = default;
};

/** Stores an object under a name, replacing any existing one. */
struct ObjectPut
{
    OperationId operation;
    std::string name;
    std::string content;

    auto operator<=>(const ObjectPut &) const = default;
};

/** Reads an object. */
struct ObjectGet
{
    OperationId operation;
    std::string name;

    auto operator<=>(const ObjectGet &) const = default;
};

/** Result status of a request to the table service or object store. */
enum class StoreStatus : std::uint8_t {
    /** The transaction took effect, or the read succeeded. */
    Done,
    /** A condition did not hold; nothing took effect. */
    ConditionFailed,
    /** Nothing took effect: the service rejected the request or was never reached. */
    Unavailable,
    /** The request was sent but no response arrived; it may have taken effect or still do so. */
    Ambiguous,
};

/** Result of any of the requests above. */
struct StoreResult
{
    OperationId operation;
    StoreStatus status = StoreStatus::Unavailable;
    /** Rows of a get or scan, in key order. Keys without a row are omitted. */
    std::vector<TableRow> rows;
    /** Content of an object get; absent if there is no such object. */
    std::optional<std::string> content;

    auto operator<=>(const StoreResult &) const = default;
};

} // namespace GeraniumLever
