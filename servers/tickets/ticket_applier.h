/** Puts tickets in force on one node, and logs and counts what becomes of each. */
#pragma once

#include <string>
#include <string_view>

#include "core/core.h"
#include "servers/tickets/ticket_chain.h"
#include "servers/tickets/ticket_system.h"

namespace GeraniumLever {

class TicketApplier
{
public:
    const TicketChain &chain() const { return chain_; }
    const TicketCounters &counters() const { return counters_; }

    /** source: where the record comes from, for the log line. */
    Applied apply(const TicketRecord &record, std::string_view source, Commands &commands);
    Applied install(const Snapshot &snapshot, std::string_view source, Commands &commands);

    /** Replaces a catalog that disagrees with others at the same head. */
    bool repairFrom(const TicketChain &other, std::string_view source, Commands &commands);

    /** True if the epoch contradicts that of the chain, which is logged and counted. */
    bool epochMismatches(StoreEpoch epoch, std::string_view source, TimePoint now, Commands &commands);

    /** When an epoch last contradicted the chain's; nothing if none did. */
    std::optional<TimePoint> lastEpochMismatch() const { return lastEpochMismatch_; }

    void digestMismatch(const NodeName &peer, Commands &commands);

private:
    void note(Applied applied, TicketNumber number, std::string_view source, Commands &commands);

    TicketChain chain_;
    TicketCounters counters_;
    std::optional<TimePoint> lastEpochMismatch_;
};

} // namespace GeraniumLever
