/** The accepted tickets in order, and the catalog that results from them. */
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "servers/tickets/ticket.h"
#include "servers/tickets/ticket_text.h"

namespace GeraniumLever {

/** The result of applying a record or snapshot to the chain. */
enum class ApplyResult : std::uint8_t {
    /** The record or snapshot is now in force. */
    Done,
    /** The chain already contains it, or has a higher head. */
    AlreadyApplied,
    /** Tickets between the head and this one are missing. */
    Gap,
    /** It belongs to another epoch, which means that the data of the table service was recreated. */
    EpochMismatch,
    /** It does not follow the head of the chain, or differs from the record that the chain holds under this number. */
    Fork,
    /** Its text cannot be parsed. */
    Unreadable,
};

/** Returns the name in snake_case, for log lines. */
std::string_view applyResultName(ApplyResult applyResult);

/** Holds the accepted tickets. The head never decreases. */
class TicketChain
{
public:
    /** Applies the next ticket completely, or leaves the chain unchanged. */
    ApplyResult apply(const TicketRecord &record);

    /** Replaces the state of the chain by a snapshot with a higher head. */
    ApplyResult install(const Snapshot &snapshot);

    /** Replaces the catalog by that of another chain with the same head and epoch; returns false if these differ. */
    bool repairFrom(const TicketChain &other);

    TicketNumber head() const { return state_.catalog->head(); }
    StoreEpoch epoch() const { return epoch_; }
    std::uint64_t digest() const { return state_.catalog->digest(); }
    const CatalogPtr &catalog() const { return state_.catalog; }

    /** The record with the number; std::nullopt if it is not or no longer held. */
    std::optional<TicketRecord> record(TicketNumber number) const;

    /** Held records after the number, limited to one batch; std::nullopt if some of them are no longer held. */
    std::optional<std::vector<TicketRecord>> recordsAfter(TicketNumber after) const;

    /** Number of held records after the number. */
    std::size_t countAfter(TicketNumber after) const;

    Snapshot snapshot() const;

    /** Returns a message for each entity of the ticket that was, or may have been, changed after the given number. */
    std::vector<std::string> describeChangesSince(const Ticket &ticket, TicketNumber since) const;

private:
    void appendRecord(const TicketRecord &record);
    void pruneRemovals();
    std::deque<TicketRecord>::const_iterator firstAfter(TicketNumber number) const;

    ChainState state_;
    StoreEpoch epoch_;
    std::deque<TicketRecord> records_;
    std::size_t recordBytes_ = 0;
};

} // namespace GeraniumLever
