/** JSON bodies of the table service's protocol, a subset of the published protocol of DynamoDB. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** A key of the logic as the service's two key attributes: the part before the first '/', and the rest. */
struct TableKey
{
    std::string partition;
    std::string sort;

    auto operator<=>(const TableKey &) const = default;
};

/** A key without '/' gets the sort part "-". */
TableKey splitTableKey(const std::string &key);

/** Body of a TransactWriteItems request. */
std::string encodeTransaction(const TableTransaction &transaction);

/** Body of a TransactGetItems request. */
std::string encodeGet(const TableGet &get);

/** Body of a Query request for at most `limit` rows. */
std::string encodeScan(const TableScan &scan, std::size_t limit);

/** Rows of a TransactGetItems response; nothing if the text is not one. */
std::optional<std::vector<TableRow>> decodeGet(std::string_view text);

/** Rows of a Query response. */
struct ScanPage
{
    std::vector<TableRow> rows;
    /** True if the service stopped before the end of the range. */
    bool more = false;

    auto operator<=>(const ScanPage &) const = default;
};

/** Nothing if the text is not a Query response. */
std::optional<ScanPage> decodeScan(std::string_view text);

/** What the response to a write says about its effect. */
StoreStatus writeStatus(unsigned httpStatus, std::string_view body);

/** What the response to a read says; never Ambiguous. */
StoreStatus readStatus(unsigned httpStatus);

} // namespace GeraniumLever
