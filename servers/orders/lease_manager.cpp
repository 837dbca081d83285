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

LeaseManager::LeaseManager(NodeName self, Incarnation incarnation, OperationCounter &operations)
    : self_(std::move(self)), incarnation_(incarnation), operations_(operations)
{
}

void LeaseManager::acquire(const UpstreamName &upstream, TimePoint now)
{
    if (leases_.contains(upstream)) {
        return;
    }
    Lease lease;
    lease.nextAction = now;
    leases_.put(upstream, lease);
}

void LeaseManager::release(const UpstreamName &upstream, TimePoint now, Commands &commands)
{
    const Lease *lease = leases_.find(upstream);
    if (lease == nullptr) {
        return;
    }
    if (lease->validUntil > now && lease->operation == OperationId()) {
        const OperationId operation = operations_.issue();
        // The result is ignored: if the release fails, the lease expires.
        const TableCondition condition { TableCondition::Kind::VersionIs, lease->version };
        const TableWrite releaseWrite {
            TableWrite::Action::Put, rowKey(upstream), formatLeaseRow(NodeName(), lease->fence, operation), condition
        };
        pending_.put(operation, { upstream, true });
        commands.emplace_back(TableTransaction { operation, { releaseWrite } });
    }
    leases_.erase(upstream);
}

void LeaseManager::invalidate(const UpstreamName &upstream)
{
    Lease *lease = leases_.edit(upstream);
    if (lease != nullptr) {
        lease->validUntil = TimePoint();
        lease->mustRead = true;
        // Forces a new fence even if the row still names this node.
        lease->writeOperation = OperationId();
    }
}

std::optional<FenceNumber> LeaseManager::validFence(const UpstreamName &upstream, TimePoint now, Duration margin) const
{
    const Lease *lease = leases_.find(upstream);
    if (lease == nullptr || now + margin >= lease->validUntil) {
        return std::nullopt;
    }
    return lease->fence;
}

bool LeaseManager::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
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
    if (operation.isWrite) {
        leaseRowWritten(*lease, result.status, now);
    } else {
        leaseRowRead(operation.upstream, *lease, result, now, commands);
    }
    return true;
}

void LeaseManager::tick(TimePoint now, Commands &commands)
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

std::string LeaseManager::rowKey(const UpstreamName &upstream)
{
    return "lease/" + upstream.text();
}

std::optional<LeaseManager::Row> LeaseManager::parseRow(const std::string &text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    const json::object *object = error ? nullptr : document.if_object();
    const json::value *holder = object == nullptr ? nullptr : object->if_contains("holder");
    const json::value *incarnation = object == nullptr ? nullptr : object->if_contains("incarnation");
    const json::value *fence = object == nullptr ? nullptr : object->if_contains("fence");
    const json::value *write = object == nullptr ? nullptr : object->if_contains("write");
    const bool complete = holder != nullptr && holder->is_string() && incarnation != nullptr && incarnation->is_number()
        && fence != nullptr && fence->is_number() && write != nullptr && write->is_number();
    if (!complete) {
        return std::nullopt;
    }
    const std::uint64_t incarnationNumber = incarnation->to_number<std::uint64_t>(error);
    const std::uint64_t fenceNumber = fence->to_number<std::uint64_t>(error);
    const std::uint64_t writeNumber = write->to_number<std::uint64_t>(error);
    return Row { NodeName(std::string(holder->get_string())),
                 Incarnation(incarnationNumber),
                 FenceNumber(fenceNumber),
                 OperationId(writeNumber) };
}

std::string LeaseManager::formatLeaseRow(const NodeName &holder, FenceNumber fence, OperationId operation) const
{
    return json::serialize(json::object { { "holder", holder.text() },
                                          { "incarnation", incarnation_.value() },
                                          { "fence", fence.value() },
                                          { "write", operation.value() } });
}

void LeaseManager::read(const UpstreamName &upstream, Lease &lease, Commands &commands)
{
    lease.operation = operations_.issue();
    pending_.put(lease.operation, { upstream, false });
    commands.emplace_back(TableGet { lease.operation, { rowKey(upstream) } });
}

void LeaseManager::write(
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
        { { TableWrite::Action::Put, rowKey(upstream), formatLeaseRow(self_, fence, lease.operation), condition } } });
}

void LeaseManager::leaseRowRead(
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
    const bool isOwn = found->holder == self_ && found->incarnation == incarnation_;
    const bool isLastWrite = isOwn && found->writeOperation == lease.writeOperation;
    if (isLastWrite && lease.writeSentAt + LeaseDuration > now) {
        confirm(lease, now);
        return;
    }
    if (row.version != lease.unchangedVersion) {
        lease.unchangedVersion = row.version;
        lease.unchangedSince = now;
    }
    const bool isFree = isOwn || found->holder.empty();
    if (isFree || now - lease.unchangedSince >= LeaseDuration) {
        lease.version = row.version;
        write(upstream, lease, found->fence.next(), now, commands);
    }
}

void LeaseManager::leaseRowWritten(Lease &lease, StoreStatus status, TimePoint now)
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

/** Records that the last write has taken effect, at an unknown time after it was sent. */
void LeaseManager::confirm(Lease &lease, TimePoint now)
{
    lease.version = lease.writeVersion;
    lease.fence = lease.writeFence;
    lease.validUntil = lease.writeSentAt + LeaseDuration;
    lease.mustRead = false;
    lease.nextAction = std::max(now, lease.writeSentAt + RenewPeriod);
}

} // namespace GeraniumLever
