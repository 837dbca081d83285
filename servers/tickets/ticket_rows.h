/** Rows of the table service and the object that hold the chain of tickets. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Key of the row that names the last accepted ticket. */
constexpr const char *HeadKey = "meta/head";

/** Common beginning of the keys of ticket rows. */
constexpr const char *TicketKeyPrefix = "ticket/";

/** Name of the object that holds a recent snapshot, from which a node without state starts. */
constexpr const char *SnapshotObject = "tickets/snapshot";

/** The last accepted ticket. */
struct HeadRow
{
    TicketNumber head;
    StoreEpoch epoch;

    auto operator<=>(const HeadRow &) const = default;
};

/** Keys order as the numbers do. */
std::string ticketKey(TicketNumber number);

std::string encodeHead(const HeadRow &head);
std::optional<HeadRow> decodeHead(const std::string &value);

std::string encodeRecord(const TicketRecord &record);

/** Nothing if the row is no ticket row or its value is malformed. */
std::optional<TicketRecord> decodeRecord(const TableRow &row);

std::string encodeSnapshot(const Snapshot &snapshot);
std::optional<Snapshot> decodeSnapshot(const std::string &content);

} // namespace GeraniumLever
