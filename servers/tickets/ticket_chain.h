/** The accepted tickets in their order, and the catalog that they add up to. */
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "servers/tickets/ticket.h"
#include "servers/tickets/ticket_text.h"

namespace GeraniumLever {

/** What became of a record or snapshot that was offered to the chain. */
enum class Applied : std::uint8_t {
    /** In force now. */
    Done,
    /** The chain already has it, or is further. */
    AlreadyApplied,
    /** Tickets between the head and this one are missing. */
    Gap,
    /** It belongs to another lifetime of the table service's data. */
    EpochMismatch,
    /** It does not follow from the chain's head, or differs from what the chain has under this number. */
    Fork,
    /** Its text cannot be read. */
    Unreadable,
};

/** In snake_case, for log lines. */
std::string_view appliedName(Applied applied);

/** Never falls back to a lower head. */
class TicketChain
{
public:
    /** Puts the next ticket in force as a whole, or leaves the chain as it is. */
    Applied apply(const TicketRecord &record);

    /** Replaces the chain by a snapshot with a higher head. */
    Applied install(const Snapshot &snapshot);

    /** Replaces the catalog by that of another chain with the same head and epoch; false if they differ. */
    bool repairFrom(const TicketChain &other);

    TicketNumber head() const { return state_.catalog->head(); }
    StoreEpoch epoch() const { return epoch_; }
    std::uint64_t digest() const { return state_.catalog->digest(); }
    const CatalogPtr &catalog() const { return state_.catalog; }

    /** A record that is still held. */
    std::optional<TicketRecord> record(TicketNumber number) const;

    /** Held records after the number, at most a batch; nothing if some of them are no longer held. */
    std::optional<std::vector<TicketRecord>> recordsAfter(TicketNumber after) const;

    /** Number of held records after the number. */
    std::size_t countAfter(TicketNumber after) const;

    Snapshot snapshot() const;

    /** One sentence for each entity of the ticket that was changed after the given number. */
    std::vector<std::string> changesSince(const Ticket &ticket, TicketNumber since) const;

private:
    void remember(const TicketRecord &record);
    void pruneRemovals();
    std::deque<TicketRecord>::const_iterator firstAfter(TicketNumber number) const;

    ChainState state_;
    StoreEpoch epoch_;
    std::deque<TicketRecord> records_;
    std::size_t recordBytes_ = 0;
};

} // namespace GeraniumLever
