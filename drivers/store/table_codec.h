/** JSON bodies of the table service's protocol, a subset of the DynamoDB API. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** A key split into the service's partition key (the part before the first '/') and sort key (the rest). */
struct TableKey
{
    std::string partition;
    std::string sort;

    auto operator<=>(const TableKey &) const = default;
};

/** A key without '/' gets the sort key "-". */
TableKey splitTableKey(const std::string &key);

/** Body of a TransactWriteItems request. */
std::string encodeTransaction(const TableTransaction &transaction);

/** Body of a TransactGetItems request. */
std::string encodeGet(const TableGet &get);

/** Body of a Query request for at most `limit` rows. */
std::string encodeScan(const TableScan &scan, std::size_t limit);

/** Returns the rows of a TransactGetItems response, or std::nullopt if the text is not one. */
std::optional<std::vector<TableRow>> decodeGet(std::string_view text);

/** Rows of a Query response. */
struct ScanPage
{
    std::vector<TableRow> rows;
    /** True if the service returned only part of the range. */
    bool more = false;

    auto operator<=>(const ScanPage &) const = default;
};

/** Returns std::nullopt if the text is not a Query response. */
std::optional<ScanPage> decodeScan(std::string_view text);

/** Maps the response to a write to its status. */
StoreStatus writeStatus(unsigned httpStatus, std::string_view body);

/** Maps the response to a read to its status; never Ambiguous. */
StoreStatus readStatus(unsigned httpStatus);

} // namespace GeraniumLever
