#include "servers/tickets/ticket_applier.h"

namespace GeraniumLever {

namespace {

/** A mismatch lasts until an operator ends it, so that a line per heartbeat would flood the log. */
constexpr Duration MismatchLogPause = std::chrono::seconds(10);

std::string numberText(TicketNumber number)
{
    return std::to_string(number.value());
}

} // namespace

Applied TicketApplier::apply(const TicketRecord &record, std::string_view source, Commands &commands)
{
    const Applied applied = chain_.apply(record);
    note(applied, record.number, source, commands);
    return applied;
}

Applied TicketApplier::install(const Snapshot &snapshot, std::string_view source, Commands &commands)
{
    const Applied applied = chain_.install(snapshot);
    counters_.snapshots += applied == Applied::Done ? 1 : 0;
    note(applied, snapshot.head, source, commands);
    return applied;
}

bool TicketApplier::repairFrom(const TicketChain &other, std::string_view source, Commands &commands)
{
    if (other.digest() == chain_.digest() || !chain_.repairFrom(other)) {
        return false;
    }
    ++counters_.repairs;
    commands.push_back(Decision {
        "ticket_catalog_repaired",
        { { "head", numberText(chain_.head()) }, { "source", std::string(source) } },
    });
    return true;
}

bool TicketApplier::epochMismatches(StoreEpoch epoch, std::string_view source, TimePoint now, Commands &commands)
{
    const bool unset = epoch == StoreEpoch() || chain_.epoch() == StoreEpoch();
    if (unset || epoch == chain_.epoch()) {
        return false;
    }
    ++counters_.epochMismatches;
    if (!lastEpochMismatch_.has_value() || now - *lastEpochMismatch_ >= MismatchLogPause) {
        commands.push_back(Decision {
            "ticket_epoch_mismatch",
            { { "source", std::string(source) },
              { "epoch", std::to_string(epoch.value()) },
              { "own_epoch", std::to_string(chain_.epoch().value()) } },
        });
    }
    lastEpochMismatch_ = now;
    return true;
}

void TicketApplier::digestMismatch(const NodeName &peer, Commands &commands)
{
    ++counters_.digestMismatches;
    commands.push_back(Decision {
        "ticket_digest_mismatch",
        { { "peer", peer.text() }, { "head", numberText(chain_.head()) } },
    });
}

void TicketApplier::note(Applied applied, TicketNumber number, std::string_view source, Commands &commands)
{
    if (applied == Applied::AlreadyApplied) {
        return;
    }
    counters_.applied += applied == Applied::Done ? 1 : 0;
    counters_.gaps += applied == Applied::Gap ? 1 : 0;
    counters_.forks += applied == Applied::Fork ? 1 : 0;
    counters_.epochMismatches += applied == Applied::EpochMismatch ? 1 : 0;
    commands.push_back(Decision {
        applied == Applied::Done ? "ticket_applied" : "ticket_" + std::string(appliedName(applied)),
        { { "number", numberText(number) }, { "head", numberText(chain_.head()) }, { "source", std::string(source) } },
    });
}

} // namespace GeraniumLever
