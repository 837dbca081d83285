#include "servers/orders/lease_manager.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace GeraniumLever {

namespace json = boost::json;

namespace {

constexpr Duration RenewPeriod = LeaseDuration / 3;
constexpr Duration PollPeriod = std::chrono::seconds(1);

} // namespace

LeaseKeeper::LeaseKeeper(NodeName self, Incarnation incarnation, OperationCounter &operations)
    : self_(std::move(self)), incarnation_(incarnation), operations_(operations)
{
}

void LeaseKeeper::want(const UpstreamName &upstream, TimePoint now)
{
    if (leases_.contains(upstream)) {
        return;
    }
    Lease lease;
    lease.nextAction = now;
    leases_.put(upstream, lease);
}

void LeaseKeeper::drop(const UpstreamName &upstream, TimePoint now, Commands &commands)
{
    const Lease *lease = leases_.find(upstream);
    if (lease == nullptr) {
        return;
    }
    if (lease->validUntil > now && lease->operation == OperationId()) {
        const OperationId operation = operations_.issue();
        // Nobody waits for the result: if the release fails, the lease runs out.
        const TableCondition condition { TableCondition::Kind::VersionIs, lease->version };
        const TableWrite release {
            TableWrite::Action::Put, rowKey(upstream), formatRow(NodeName(), lease->fence, operation), condition
        };
        pending_.put(operation, { upstream, true });
        commands.emplace_back(TableTransaction { operation, { release } });
    }
    leases_.erase(upstream);
}

void LeaseKeeper::lost(const UpstreamName &upstream)
{
    Lease *lease = leases_.edit(upstream);
    if (lease != nullptr) {
        lease->validUntil = TimePoint();
        lease->mustRead = true;
        // Forces a new fence even if the row still names this node.
        lease->writeOperation = OperationId();
    }
}

std::optional<FenceNumber> LeaseKeeper::fenceOf(const UpstreamName &upstream, TimePoint now, Duration margin) const
{
    const Lease *lease = leases_.find(upstream);
    if (lease == nullptr || now + margin >= lease->validUntil) {
        return std::nullopt;
    }
    return lease->fence;
}

bool LeaseKeeper::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    const Operation *found = pending_.find(result.operation);
    if (found == nullptr) {
        return false;
    }
    const Operation operation = *found;
    pending_.erase(result.operation);
    Lease *lease = leases_.edit(operation.upstream);
    if (lease == nullptr || lease->operation != result.operation) {
        return true;
    }
    lease->operation = OperationId();
    if (operation.write) {
        rowWritten(*lease, result.status, now);
    } else {
        rowRead(operation.upstream, *lease, result, now, commands);
    }
    return true;
}

void LeaseKeeper::tick(TimePoint now, Commands &commands)
{
    for (auto &[upstream, lease] : leases_) {
        if (lease.operation != OperationId() || now < lease.nextAction) {
            continue;
        }
        if (lease.mustRead || lease.validUntil <= now) {
            read(upstream, lease, commands);
        } else {
            write(upstream, lease, lease.fence, now, commands);
        }
    }
}

std::string LeaseKeeper::rowKey(const UpstreamName &upstream)
{
    return "lease/" + upstream.text();
}

std::optional<LeaseKeeper::Row> LeaseKeeper::parseRow(const std::string &text)
{
    boost::system::error_code fault;
    const json::value document = json::parse(text, fault);
    const json::object *object = fault ? nullptr : document.if_object();
    const json::value *holder = object == nullptr ? nullptr : object->if_contains("holder");
    const json::value *incarnation = object == nullptr ? nullptr : object->if_contains("incarnation");
    const json::value *fence = object == nullptr ? nullptr : object->if_contains("fence");
    const json::value *write = object == nullptr ? nullptr : object->if_contains("write");
    const bool whole = holder != nullptr && holder->is_string() && incarnation != nullptr && incarnation->is_number()
        && fence != nullptr && fence->is_number() && write != nullptr && write->is_number();
    if (!whole) {
        return std::nullopt;
    }
    const std::uint64_t incarnationNumber = incarnation->to_number<std::uint64_t>(fault);
    const std::uint64_t fenceNumber = fence->to_number<std::uint64_t>(fault);
    const std::uint64_t writeNumber = write->to_number<std::uint64_t>(fault);
    return Row { NodeName(std::string(holder->get_string())),
                 Incarnation(incarnationNumber),
                 FenceNumber(fenceNumber),
                 OperationId(writeNumber) };
}

std::string LeaseKeeper::formatRow(const NodeName &holder, FenceNumber fence, OperationId operation) const
{
    return json::serialize(json::object { { "holder", holder.text() },
                                          { "incarnation", incarnation_.value() },
                                          { "fence", fence.value() },
                                          { "write", operation.value() } });
}

void LeaseKeeper::read(const UpstreamName &upstream, Lease &lease, Commands &commands)
{
    lease.operation = operations_.issue();
    pending_.put(lease.operation, { upstream, false });
    commands.emplace_back(TableGet { lease.operation, { rowKey(upstream) } });
}

void LeaseKeeper::write(
    const UpstreamName &upstream, Lease &lease, FenceNumber fence, TimePoint now, Commands &commands)
{
    const bool absent = lease.version == 0;
    const TableCondition condition { absent ? TableCondition::Kind::Absent : TableCondition::Kind::VersionIs,
                                     lease.version };
    lease.operation = operations_.issue();
    lease.writeSentAt = now;
    lease.writeFence = fence;
    lease.writeVersion = lease.version + 1;
    lease.writeOperation = lease.operation;
    pending_.put(lease.operation, { upstream, true });
    commands.emplace_back(TableTransaction {
        lease.operation,
        { { TableWrite::Action::Put, rowKey(upstream), formatRow(self_, fence, lease.operation), condition } } });
}

void LeaseKeeper::rowRead(
    const UpstreamName &upstream, Lease &lease, const StoreResult &result, TimePoint now, Commands &commands)
{
    lease.nextAction = now + PollPeriod;
    if (result.status != StoreStatus::Done) {
        return;
    }
    if (result.rows.empty()) {
        lease.version = 0;
        write(upstream, lease, FenceNumber(1), now, commands);
        return;
    }
    const TableRow &row = result.rows.front();
    const std::optional<Row> found = parseRow(row.value);
    if (!found) {
        return;
    }
    const bool own = found->holder == self_ && found->incarnation == incarnation_;
    const bool lastWrite = own && found->write == lease.writeOperation;
    if (lastWrite && lease.writeSentAt + LeaseDuration > now) {
        confirm(lease, now);
        return;
    }
    if (row.version != lease.watchedVersion) {
        lease.watchedVersion = row.version;
        lease.watchedSince = now;
    }
    const bool free = own || found->holder.empty();
    if (free || now - lease.watchedSince >= LeaseDuration) {
        lease.version = row.version;
        write(upstream, lease, found->fence.next(), now, commands);
    }
}

void LeaseKeeper::rowWritten(Lease &lease, StoreStatus status, TimePoint now)
{
    switch (status) {
    case StoreStatus::Done:
        confirm(lease, now);
        return;
    case StoreStatus::ConditionFailed:
        lease.validUntil = TimePoint();
        lease.mustRead = true;
        lease.nextAction = now;
        return;
    case StoreStatus::Ambiguous:
        lease.mustRead = true;
        break;
    case StoreStatus::Unavailable:
        break;
    }
    lease.nextAction = now + PollPeriod;
}

/** The last write has taken effect, at some time after it was sent. */
void LeaseKeeper::confirm(Lease &lease, TimePoint now)
{
    lease.version = lease.writeVersion;
    lease.fence = lease.writeFence;
    lease.validUntil = lease.writeSentAt + LeaseDuration;
    lease.mustRead = false;
    lease.nextAction = std::max(now, lease.writeSentAt + RenewPeriod);
}

} // namespace GeraniumLever
