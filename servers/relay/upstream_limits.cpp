#include "servers/relay/upstream_limits.h"

#include <algorithm>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Smallest rate that is used for a limit: an answer is the only way to learn that the limit has ended. */
constexpr double MinRate = 0.2;
/** How long it is remembered that a limit has ended, so that older statements do not bring it back. */
constexpr Duration EndedLifetime = std::chrono::minutes(1);
/** Exceeds any outage in which an upstream's entry could reappear. */
constexpr Duration UnregisteredLifetime = std::chrono::minutes(10);
constexpr Duration NewsPeriod = std::chrono::milliseconds(100);
/** Time after which a limit that no answer has confirmed is worth a request. */
constexpr Duration ConfirmationPeriod = std::chrono::seconds(1);

} // namespace

void UpstreamLimits::updateNodes(const NodeRegistry &nodes)
{
    nodes_ = nodes.nodes();
    const bool isListed =
        std::any_of(nodes_.begin(), nodes_.end(), [this](const PeerNode &node) { return node.node == self_; });
    // The list may be older than this node's own entry.
    sharingNodes_ =
        std::max(nodes.sharingNodes().value_or(NodeRegistry::MinSharingNodes), nodes_.size() + (isListed ? 0 : 1));
    for (auto &[upstream, limit] : limits_) {
        setPosition(upstream, limit);
    }
}

void UpstreamLimits::setPosition(const UpstreamName &upstream, Limit &limit) const
{
    const auto score = [&upstream](const NodeName &node) {
        return XXH64(node.text().data(), node.text().size(), XXH64(upstream.text().data(), upstream.text().size(), 0));
    };
    const std::uint64_t own = score(self_);
    const auto precedes = [&](const PeerNode &other) { return other.node != self_ && score(other.node) > own; };
    limit.position = static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), precedes));
}

void UpstreamLimits::updateUpstreams(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now)
{
    std::erase_if(limits_, [&](const auto &item) {
        const auto &[upstream, limit] = item;
        const bool isCurrent = limit.rate.has_value() && entries.contains(upstream);
        return !isCurrent && now - limit.heardAt > (limit.rate.has_value() ? UnregisteredLifetime : EndedLifetime);
    });
}

void UpstreamLimits::noteAnswer(const UpstreamName &upstream,
                                std::optional<double> rate,
                                TimePoint sentAt,
                                TimePoint now)
{
    if (!rate.has_value() && limits_.empty()) {
        return;
    }
    Limit stated;
    stated.rate = rate;
    stated.sentAt = sentAt;
    stated.heardAt = now;
    apply(upstream, stated, self_, now);
}

void UpstreamLimits::receive(const LimitReport &report, TimePoint now)
{
    for (const LimitStatement &statement : report.statements) {
        const std::optional<TimePoint> sentAt = clock_.localTime(statement.sentAt);
        const std::optional<TimePoint> heardAt = clock_.localTime(statement.heardAt);
        if (!sentAt.has_value() || !heardAt.has_value()) {
            return;
        }
        Limit stated;
        stated.rate = statement.rate;
        stated.sentAt = std::min(*sentAt, now);
        stated.heardAt = std::min(*heardAt, now);
        apply(statement.upstream, stated, report.node, now);
    }
}

void UpstreamLimits::apply(const UpstreamName &upstream, const Limit &stated, const NodeName &source, TimePoint now)
{
    const auto known = limits_.find(upstream);
    if (known == limits_.end() && !stated.rate.has_value()) {
        return;
    }
    Limit &limit = known == limits_.end() ? limits_[upstream] : known->second;
    if (known != limits_.end() && limit.rate == stated.rate) {
        limit.sentAt = std::max(limit.sentAt, stated.sentAt);
        limit.heardAt = std::max(limit.heardAt, stated.heardAt);
        return;
    }
    // Answers can overtake each other. Of two statements with an unknown order the stricter one holds.
    const bool isStricter = stated.rate.has_value() && (!limit.rate.has_value() || *stated.rate < *limit.rate);
    const bool isNewer = isStricter ? stated.heardAt > limit.sentAt : stated.sentAt >= limit.heardAt;
    if (known != limits_.end() && !isNewer) {
        return;
    }
    changes_.push_back({ upstream, stated.rate, limit.rate, now - stated.heardAt, source });
    limit = stated;
    limit.isNews = true;
    setPosition(upstream, limit);
    const std::optional<FleetTime> time = clock_.fleetTime(now);
    if (limit.rate.has_value() && time.has_value()) {
        limit.usedSlot = slotsOf(limit).lastBegun(*time);
    }
}

const UpstreamLimits::Limit *UpstreamLimits::limitOf(const UpstreamName &upstream) const
{
    const auto found = limits_.find(upstream);
    return found == limits_.end() || !found->second.rate.has_value() ? nullptr : &found->second;
}

RequestSlots UpstreamLimits::slotsOf(const Limit &limit) const
{
    return { std::max(*limit.rate, MinRate), sharingNodes_, limit.position };
}

RequestPermits UpstreamLimits::permits(const UpstreamName &upstream, TimePoint now) const
{
    const Limit &limit = *limitOf(upstream);
    const std::optional<FleetTime> time = clock_.fleetTime(now);
    if (!time.has_value()) {
        return {};
    }
    const RequestSlots slots = slotsOf(limit);
    const std::int64_t first = slots.firstUsable(*time, limit.usedSlot);
    const std::size_t count = slots.countBegun(first, *time);
    if (count == 0) {
        return {};
    }
    const std::int64_t last = first + static_cast<std::int64_t>((count - 1) * sharingNodes_);
    return { count, slots.endOf(last) - *time };
}

std::size_t UpstreamLimits::permitsUntil(const UpstreamName &upstream, TimePoint until, TimePoint now) const
{
    const Limit &limit = *limitOf(upstream);
    const std::optional<FleetTime> time = clock_.fleetTime(now);
    if (!time.has_value()) {
        return 0;
    }
    const RequestSlots slots = slotsOf(limit);
    return slots.countBegun(slots.firstUsable(*time, limit.usedSlot), *clock_.fleetTime(until));
}

void UpstreamLimits::noteSent(const UpstreamName &upstream, TimePoint now)
{
    const auto found = limits_.find(upstream);
    if (found == limits_.end() || !found->second.rate.has_value()) {
        return;
    }
    ++sent_;
    Limit &limit = found->second;
    const std::optional<FleetTime> time = clock_.fleetTime(now);
    if (time.has_value()) {
        limit.usedSlot = slotsOf(limit).firstUsable(*time, limit.usedSlot);
    }
}

bool UpstreamLimits::needsConfirmation(const UpstreamName &upstream, TimePoint now) const
{
    const Limit *limit = limitOf(upstream);
    return limit != nullptr && now - limit->heardAt >= ConfirmationPeriod;
}

std::vector<LimitStatement> UpstreamLimits::takeNews(TimePoint now)
{
    if (now < nextNewsAt_) {
        return {};
    }
    std::vector<UpstreamName> news;
    for (auto &[upstream, limit] : limits_) {
        if (limit.isNews && news.size() < MaxReportedStatements) {
            news.push_back(upstream);
        }
    }
    std::vector<LimitStatement> statements = statementsOf(news);
    if (statements.empty()) {
        return statements;
    }
    for (const UpstreamName &upstream : news) {
        limits_[upstream].isNews = false;
    }
    nextNewsAt_ = now + NewsPeriod;
    return statements;
}

std::vector<LimitStatement> UpstreamLimits::report(TimePoint now)
{
    std::vector<UpstreamName> part;
    auto next = limits_.upper_bound(lastReported_);
    for (std::size_t count = 0; count < std::min(limits_.size(), MaxReportedStatements); ++count) {
        if (next == limits_.end()) {
            next = limits_.begin();
        }
        if (next->second.rate.has_value() || now - next->second.heardAt <= EndedLifetime) {
            part.push_back(next->first);
        }
        lastReported_ = next->first;
        ++next;
    }
    return statementsOf(part);
}

std::vector<LimitStatement> UpstreamLimits::statementsOf(const std::vector<UpstreamName> &upstreams) const
{
    std::vector<LimitStatement> statements;
    for (const UpstreamName &upstream : upstreams) {
        const Limit &limit = limits_.at(upstream);
        const std::optional<FleetTime> sentAt = clock_.fleetTime(limit.sentAt);
        const std::optional<FleetTime> heardAt = clock_.fleetTime(limit.heardAt);
        if (sentAt.has_value() && heardAt.has_value()) {
            statements.push_back({ upstream, limit.rate, *sentAt, *heardAt });
        }
    }
    return statements;
}

std::size_t UpstreamLimits::size() const
{
    return static_cast<std::size_t>(
        std::count_if(limits_.begin(), limits_.end(), [](const auto &item) { return item.second.rate.has_value(); }));
}

} // namespace GeraniumLever
