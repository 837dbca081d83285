#include "servers/tickets/ticket_chain.h"

#include <algorithm>

#include "servers/tickets/entity_fields.h"

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxRecords = 10'000;
constexpr std::size_t MaxRecordBytes = 8 * 1024 * 1024;
constexpr std::size_t MaxBatchRecords = 100;
constexpr std::size_t MaxBatchBytes = 256 * 1024;
/** Maximum number of removed entities whose last change is kept. */
constexpr std::size_t MaxRemovals = 10'000;

std::size_t entityCount(const Catalog &catalog)
{
    return catalog.classes().size() + catalog.teams().size() + catalog.models().size() + catalog.pools().size()
        + catalog.upstreams().size();
}

} // namespace

std::string_view applyResultName(ApplyResult applyResult)
{
    switch (applyResult) {
    case ApplyResult::Done:
        return "done";
    case ApplyResult::AlreadyApplied:
        return "already_applied";
    case ApplyResult::Gap:
        return "gap";
    case ApplyResult::EpochMismatch:
        return "epoch_mismatch";
    case ApplyResult::Fork:
        return "fork";
    case ApplyResult::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

ApplyResult TicketChain::apply(const TicketRecord &record)
{
    if (epoch_ != StoreEpoch() && record.epoch != epoch_) {
        return ApplyResult::EpochMismatch;
    }
    if (record.number <= head()) {
        const std::optional<TicketRecord> known = this->record(record.number);
        return known.has_value() && *known != record ? ApplyResult::Fork : ApplyResult::AlreadyApplied;
    }
    if (record.previous != head()) {
        return record.previous > head() ? ApplyResult::Gap : ApplyResult::Fork;
    }
    const std::variant<Ticket, std::vector<Fault>> parsed = parseTicket(record.text);
    const Ticket *ticket = std::get_if<Ticket>(&parsed);
    if (ticket == nullptr || ticket->number != record.number) {
        return ApplyResult::Unreadable;
    }
    epoch_ = record.epoch;
    state_.catalog = std::make_shared<const Catalog>(state_.catalog->withChanges(ticket->changes, record.number));
    for (const EntityChange &change : ticket->changes) {
        state_.lastChanges.insert_or_assign(keyOf(change), record.number);
    }
    pruneRemovals();
    appendRecord(record);
    return ApplyResult::Done;
}

ApplyResult TicketChain::install(const Snapshot &snapshot)
{
    if (epoch_ != StoreEpoch() && snapshot.epoch != epoch_) {
        return ApplyResult::EpochMismatch;
    }
    if (snapshot.head <= head()) {
        return ApplyResult::AlreadyApplied;
    }
    std::optional<ChainState> state = parseSnapshot(snapshot.text);
    if (!state.has_value() || state->catalog->head() != snapshot.head) {
        return ApplyResult::Unreadable;
    }
    epoch_ = snapshot.epoch;
    state_ = std::move(*state);
    records_.clear();
    recordBytes_ = 0;
    return ApplyResult::Done;
}

bool TicketChain::repairFrom(const TicketChain &other)
{
    if (other.epoch_ != epoch_ || other.head() != head()) {
        return false;
    }
    state_ = other.state_;
    records_ = other.records_;
    recordBytes_ = other.recordBytes_;
    return true;
}

std::optional<TicketRecord> TicketChain::record(TicketNumber number) const
{
    if (number == TicketNumber()) {
        return std::nullopt;
    }
    const std::deque<TicketRecord>::const_iterator found = firstAfter(TicketNumber(number.value() - 1));
    if (found == records_.end() || found->number != number) {
        return std::nullopt;
    }
    return *found;
}

std::optional<std::vector<TicketRecord>> TicketChain::recordsAfter(TicketNumber after) const
{
    if (after >= head()) {
        return std::vector<TicketRecord>();
    }
    std::deque<TicketRecord>::const_iterator next = firstAfter(after);
    if (next == records_.end() || next->previous > after) {
        return std::nullopt;
    }
    std::vector<TicketRecord> batch;
    std::size_t bytes = 0;
    for (; next != records_.end() && batch.size() < MaxBatchRecords && bytes < MaxBatchBytes; ++next) {
        bytes += next->text.size();
        batch.push_back(*next);
    }
    return batch;
}

std::size_t TicketChain::countAfter(TicketNumber after) const
{
    return static_cast<std::size_t>(records_.end() - firstAfter(after));
}

Snapshot TicketChain::snapshot() const
{
    return Snapshot { head(), epoch_, snapshotText(state_) };
}

std::vector<std::string> TicketChain::describeChangesSince(const Ticket &ticket, TicketNumber since) const
{
    std::vector<std::string> messages;
    for (const EntityChange &change : ticket.changes) {
        const std::string label = entityLabel(kindOf(change), nameOf(change));
        const LastChanges::const_iterator last = state_.lastChanges.find(keyOf(change));
        if (last == state_.lastChanges.end()) {
            if (state_.removalsSince > since) {
                messages.push_back(label + " may have been removed after ticket " + std::to_string(since.value())
                                   + "; removals are recorded only since ticket "
                                   + std::to_string(state_.removalsSince.value()));
            }
            continue;
        }
        if (last->second <= since) {
            continue;
        }
        const bool present = findEntity(*state_.catalog, kindOf(change), nameOf(change)).has_value();
        messages.push_back(label + (present ? " was changed by ticket " : " was removed by ticket ")
                           + std::to_string(last->second.value()));
    }
    return messages;
}

void TicketChain::appendRecord(const TicketRecord &record)
{
    records_.push_back(record);
    recordBytes_ += record.text.size();
    while (records_.size() > MaxRecords || recordBytes_ > MaxRecordBytes) {
        recordBytes_ -= records_.front().text.size();
        records_.pop_front();
    }
}

void TicketChain::pruneRemovals()
{
    if (state_.lastChanges.size() <= entityCount(*state_.catalog) + MaxRemovals) {
        return;
    }
    std::vector<TicketNumber> removals;
    for (const auto &[key, number] : state_.lastChanges) {
        if (!findEntity(*state_.catalog, key.first, key.second).has_value()) {
            removals.push_back(number);
        }
    }
    // Discards the older half of the removals at once, so that this full scan is rare.
    const std::vector<TicketNumber>::iterator middle =
        removals.begin() + static_cast<std::ptrdiff_t>(removals.size() / 2);
    std::nth_element(removals.begin(), middle, removals.end());
    state_.removalsSince = std::max(state_.removalsSince, *middle);
    std::erase_if(state_.lastChanges, [this](const LastChanges::value_type &entry) {
        return entry.second <= state_.removalsSince
            && !findEntity(*state_.catalog, entry.first.first, entry.first.second).has_value();
    });
}

std::deque<TicketRecord>::const_iterator TicketChain::firstAfter(TicketNumber number) const
{
    return std::upper_bound(records_.begin(),
                            records_.end(),
                            number,
                            [](TicketNumber value, const TicketRecord &candidate) { return value < candidate.number; });
}

} // namespace GeraniumLever
