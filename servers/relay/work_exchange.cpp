#include "servers/relay/work_exchange.h"

#include <algorithm>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Reports without an answer after which a collector is passed over; single datagrams are lost. */
constexpr std::uint32_t MaxUnanswered = 3;
/** How long it is passed over. */
constexpr Duration SilentPause = std::chrono::seconds(5);
/** Nodes with less than this part of the largest processor share collect only if no other is left. */
constexpr double StrongShare = 0.5;
/** Sums go to so many nodes of each other data centre, since it is not known which of them collects. */
constexpr std::size_t ForwardedTo = 2;

std::uint64_t rankOf(const PeerNode &node)
{
    return XXH64(node.node.text().data(), node.node.text().size(), 0);
}

} // namespace

void WorkExchange::updateNodes(const std::vector<PeerNode> &nodes)
{
    ranks_.clear();
    for (const PeerNode &node : nodes) {
        ranks_[node.dataCenter].push_back(node);
    }
    for (auto &[dataCenter, members] : ranks_) {
        double largest = 0.0;
        for (const PeerNode &node : members) {
            largest = std::max(largest, node.processorShare);
        }
        std::sort(members.begin(), members.end(), [largest](const PeerNode &left, const PeerNode &right) {
            const bool leftWeak = left.processorShare < largest * StrongShare;
            const bool rightWeak = right.processorShare < largest * StrongShare;
            return std::pair(leftWeak, rankOf(left)) < std::pair(rightWeak, rankOf(right));
        });
    }
}

const PeerNode *WorkExchange::collector(TimePoint now) const
{
    const auto members = ranks_.find(dataCenter_);
    if (members == ranks_.end()) {
        return nullptr;
    }
    for (const PeerNode &node : members->second) {
        const auto contact = contacts_.find(node.node);
        if (node.node == self_ || contact == contacts_.end() || now >= contact->second.silentUntil) {
            return &node;
        }
    }
    return nullptr;
}

std::vector<OutgoingWorkReport> WorkExchange::report(const WorkAccount &own, TimePoint now)
{
    std::vector<OutgoingWorkReport> messages;
    sums_.expire(now);
    const PeerNode *target = collector(now);
    if (target == nullptr) {
        return messages;
    }
    WorkReport report { self_, incarnation_, ++sequence_, false, own };
    if (target->node == self_) {
        collecting_ = true;
        sums_.take(report, now);
    } else {
        collecting_ = false;
        Contact &contact = contacts_[target->node];
        if (++contact.unanswered > MaxUnanswered) {
            contact = { 0, now + SilentPause };
        }
        messages.push_back({ target->address, report });
    }
    // Nodes may still report here although this one has found a better collector.
    report.collected = true;
    report.work = sums_.collected();
    if (report.work.empty()) {
        return messages;
    }
    for (const auto &[dataCenter, members] : ranks_) {
        if (dataCenter == dataCenter_) {
            continue;
        }
        for (std::size_t index = 0; index < std::min(ForwardedTo, members.size()); ++index) {
            messages.push_back({ members[index].address, report });
        }
    }
    return messages;
}

std::optional<WorkTotals> WorkExchange::take(const WorkReport &report, TimePoint now)
{
    if (!sums_.take(report, now) || report.collected) {
        return std::nullopt;
    }
    return WorkTotals { self_, report.sequence, sums_.othersOf(report.node) };
}

bool WorkExchange::take(const WorkTotals &totals)
{
    const auto contact = contacts_.find(totals.collector);
    if (contact == contacts_.end()) {
        return false;
    }
    contact->second = {};
    return totals.sequence == sequence_;
}

std::optional<WorkAccount> WorkExchange::ownTotals() const
{
    if (!collecting_) {
        return std::nullopt;
    }
    return sums_.othersOf(self_);
}

} // namespace GeraniumLever
