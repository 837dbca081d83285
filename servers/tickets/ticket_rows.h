/** Encodes the rows of the table service and the snapshot object that store the chain of tickets. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Key of the row that holds the number of the last accepted ticket. */
constexpr const char *HeadKey = "meta/head";

/** Common prefix of the keys of ticket rows. */
constexpr const char *TicketKeyPrefix = "ticket/";

/** Name of the object that holds a recent snapshot, from which a node without state starts. */
constexpr const char *SnapshotObject = "tickets/snapshot";

/** Content of the head row: the number of the last accepted ticket, and the epoch. */
struct HeadRow
{
    TicketNumber head;
    StoreEpoch epoch;

    auto operator<=>(const HeadRow &) const = default;
};

/** The keys sort in the order of the numbers. */
std::string ticketKey(TicketNumber number);

std::string encodeHead(const HeadRow &head);
std::optional<HeadRow> decodeHead(const std::string &value);

std::string encodeRecord(const TicketRecord &record);

/** Returns std::nullopt if the row is not a ticket row or its value is malformed. */
std::optional<TicketRecord> decodeRecord(const TableRow &row);

std::string encodeSnapshot(const Snapshot &snapshot);
std::optional<Snapshot> decodeSnapshot(const std::string &content);

} // namespace GeraniumLever
