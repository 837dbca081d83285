#include "servers/tickets/ticket_applier.h"

namespace GeraniumLever {

namespace {

/** A mismatch lasts until an operator resolves it; a line for each heartbeat would flood the log. */
constexpr Duration MismatchLogPeriod = std::chrono::seconds(10);

std::string numberText(TicketNumber number)
{
    return std::to_string(number.value());
}

} // namespace

ApplyResult TicketApplier::apply(const TicketRecord &record, std::string_view source, Commands &commands)
{
    const ApplyResult applyResult = chain_.apply(record);
    logAndCount(applyResult, record.number, source, commands);
    return applyResult;
}

ApplyResult TicketApplier::install(const Snapshot &snapshot, std::string_view source, Commands &commands)
{
    const ApplyResult applyResult = chain_.install(snapshot);
    counters_.snapshots += applyResult == ApplyResult::Done ? 1 : 0;
    logAndCount(applyResult, snapshot.head, source, commands);
    return applyResult;
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

bool TicketApplier::detectEpochMismatch(StoreEpoch epoch, std::string_view source, TimePoint now, Commands &commands)
{
    const bool unset = epoch == StoreEpoch() || chain_.epoch() == StoreEpoch();
    if (unset || epoch == chain_.epoch()) {
        return false;
    }
    ++counters_.epochMismatches;
    if (!lastEpochMismatch_.has_value() || now - *lastEpochMismatch_ >= MismatchLogPeriod) {
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

void TicketApplier::reportDigestMismatch(const NodeName &peer, Commands &commands)
{
    ++counters_.digestMismatches;
    commands.push_back(Decision {
        "ticket_digest_mismatch",
        { { "peer", peer.text() }, { "head", numberText(chain_.head()) } },
    });
}

void TicketApplier::logAndCount(ApplyResult applyResult,
                                TicketNumber number,
                                std::string_view source,
                                Commands &commands)
{
    if (applyResult == ApplyResult::AlreadyApplied) {
        return;
    }
    counters_.applied += applyResult == ApplyResult::Done ? 1 : 0;
    counters_.gaps += applyResult == ApplyResult::Gap ? 1 : 0;
    counters_.forks += applyResult == ApplyResult::Fork ? 1 : 0;
    counters_.epochMismatches += applyResult == ApplyResult::EpochMismatch ? 1 : 0;
    commands.push_back(Decision {
        applyResult == ApplyResult::Done ? "ticket_applied" : "ticket_" + std::string(applyResultName(applyResult)),
        { { "number", numberText(number) }, { "head", numberText(chain_.head()) }, { "source", std::string(source) } },
    });
}

} // namespace GeraniumLever
