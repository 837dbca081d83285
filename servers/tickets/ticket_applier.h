/** Applies tickets on one node, and logs and counts the result for each. */
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

    /** source: origin of the record, for the log line. */
    ApplyResult apply(const TicketRecord &record, std::string_view source, Commands &commands);
    ApplyResult install(const Snapshot &snapshot, std::string_view source, Commands &commands);

    /** Replaces the catalog by that of the other chain if the two differ at the same head. Returns whether it did. */
    bool repairFrom(const TicketChain &other, std::string_view source, Commands &commands);

    /** Returns whether the epoch differs from that of the chain; a mismatch is logged and counted. */
    bool detectEpochMismatch(StoreEpoch epoch, std::string_view source, TimePoint now, Commands &commands);

    /** Time of the last epoch mismatch; std::nullopt if there was none. */
    std::optional<TimePoint> lastEpochMismatch() const { return lastEpochMismatch_; }

    void reportDigestMismatch(const NodeName &peer, Commands &commands);

private:
    void logAndCount(ApplyResult applyResult, TicketNumber number, std::string_view source, Commands &commands);

    TicketChain chain_;
    TicketCounters counters_;
    std::optional<TimePoint> lastEpochMismatch_;
};

} // namespace GeraniumLever
