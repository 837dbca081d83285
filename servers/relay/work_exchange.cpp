#include "servers/relay/work_exchange.h"

#include <algorithm>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Unanswered reports after which a collector is skipped; more than one, since single datagrams get lost. */
constexpr std::uint32_t MaxUnanswered = 3;
/** Time for which it is skipped. */
constexpr Duration SkipDuration = std::chrono::seconds(5);
/** Nodes with less than this share of the largest processor share become collectors only if no other is available. */
constexpr double MinProcessorShareRatio = 0.5;
/** Totals are sent to this many nodes of each other data centre, since it is not known which one is its collector. */
constexpr std::size_t ForwardTargets = 2;

std::uint64_t rankOf(const PeerNode &node)
{
    return XXH64(node.node.text().data(), node.node.text().size(), 0);
}

} // namespace

void WorkExchange::updateNodes(const std::vector<PeerNode> &nodes)
{
    nodesByDataCenter_.clear();
    for (const PeerNode &node : nodes) {
        nodesByDataCenter_[node.dataCenter].push_back(node);
    }
    for (auto &[dataCenter, members] : nodesByDataCenter_) {
        double largest = 0.0;
        for (const PeerNode &node : members) {
            largest = std::max(largest, node.processorShare);
        }
        std::sort(members.begin(), members.end(), [largest](const PeerNode &left, const PeerNode &right) {
            const bool leftWeak = left.processorShare < largest * MinProcessorShareRatio;
            const bool rightWeak = right.processorShare < largest * MinProcessorShareRatio;
            return std::pair(leftWeak, rankOf(left)) < std::pair(rightWeak, rankOf(right));
        });
    }
}

const PeerNode *WorkExchange::collector(TimePoint now) const
{
    const auto members = nodesByDataCenter_.find(dataCenter_);
    if (members == nodesByDataCenter_.end()) {
        return nullptr;
    }
    for (const PeerNode &node : members->second) {
        const auto contact = contacts_.find(node.node);
        if (node.node == self_ || contact == contacts_.end() || now >= contact->second.skippedUntil) {
            return &node;
        }
    }
    return nullptr;
}

std::vector<OutgoingWorkReport> WorkExchange::report(const WorkAccount &own, TimePoint now)
{
    std::vector<OutgoingWorkReport> messages;
    collector_.expire(now);
    const PeerNode *target = collector(now);
    if (target == nullptr) {
        return messages;
    }
    WorkReport report { self_, incarnation_, ++sequence_, false, own };
    if (target->node == self_) {
        isCollector_ = true;
        collector_.receive(report, now);
    } else {
        isCollector_ = false;
        Contact &contact = contacts_[target->node];
        if (++contact.unanswered > MaxUnanswered) {
            contact = { 0, now + SkipDuration };
        }
        messages.push_back({ target->address, report });
    }
    // Nodes may still report to this one even after it has found a preferred collector.
    report.collected = true;
    report.work = collector_.collected();
    if (report.work.empty()) {
        return messages;
    }
    for (const auto &[dataCenter, members] : nodesByDataCenter_) {
        if (dataCenter == dataCenter_) {
            continue;
        }
        for (std::size_t index = 0; index < std::min(ForwardTargets, members.size()); ++index) {
            messages.push_back({ members[index].address, report });
        }
    }
    return messages;
}

std::optional<WorkTotals> WorkExchange::receive(const WorkReport &report, TimePoint now)
{
    if (!collector_.receive(report, now) || report.collected) {
        return std::nullopt;
    }
    return WorkTotals { self_, report.sequence, collector_.workOfOthers(report.node) };
}

bool WorkExchange::receive(const WorkTotals &totals)
{
    const auto contact = contacts_.find(totals.collector);
    if (contact == contacts_.end()) {
        return false;
    }
    contact->second = {};
    return totals.sequence == sequence_;
}

std::optional<WorkAccount> WorkExchange::totalsIfCollector() const
{
    if (!isCollector_) {
        return std::nullopt;
    }
    return collector_.workOfOthers(self_);
}

} // namespace GeraniumLever
