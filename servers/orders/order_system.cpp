#include "servers/orders/order_system.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr Duration AnswerTimeout = std::chrono::seconds(10);
constexpr Duration LoadTimeout = std::chrono::minutes(15);
constexpr Duration RefusalPause = std::chrono::seconds(30);

} // namespace

OrderSystem::OrderSystem(NodeName self,
                         Incarnation incarnation,
                         DataCenterName dataCenter,
                         OperationCounter &operations)
    : dataCenter_(std::move(dataCenter))
    , leases_(std::move(self), incarnation, operations)
    , catalog_(std::make_shared<Catalog>())
{
}

void OrderSystem::applyCatalog(const CatalogPtr &catalog)
{
    catalog_ = catalog;
}

void OrderSystem::loadReported(const LoadReport &report, TimePoint now)
{
    reports_.put(report.upstream, { report, now });
}

bool OrderSystem::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    return leases_.storeResultReceived(result, now, commands);
}

void OrderSystem::orderAnswered(const OrderResult &result, TimePoint now, Commands &commands)
{
    const Upgrade *upgrade = upgrades_.find(result.upstream);
    if (upgrade == nullptr || upgrade->phase != Upgrade::Phase::Ordering || upgrade->fence != result.fence) {
        return;
    }
    if (result.accepted) {
        enter(result.upstream, Upgrade::Phase::Loading, now);
        return;
    }
    if (result.staleFence) {
        leases_.lost(result.upstream);
        enter(result.upstream, Upgrade::Phase::Leasing, now);
        return;
    }
    pauses_.put(result.upstream, now + RefusalPause);
    end(result.upstream, "refused", now, commands);
}

void OrderSystem::tick(TimePoint now,
                       const std::vector<UpstreamName> &responsible,
                       const InFlightLookup &inFlightAt,
                       Commands &commands)
{
    responsible_.clear();
    for (const UpstreamName &upstream : responsible) {
        const Upstream *entity = catalog_->upstreams().find(upstream);
        if (entity == nullptr) {
            continue;
        }
        std::vector<UpstreamName> *known = responsible_.edit(entity->pool);
        (known == nullptr ? responsible_.put(entity->pool, {}) : *known).push_back(upstream);
    }
    stopUnneeded(now, responsible, commands);
    leases_.tick(now, commands);
    std::vector<UpstreamName> upgrading;
    for (const auto &[upstream, upgrade] : upgrades_) {
        upgrading.push_back(upstream);
    }
    for (const UpstreamName &upstream : upgrading) {
        advance(upstream, now, inFlightAt, commands);
    }
    startNeeded(now, responsible);
}

std::vector<UpstreamHold> OrderSystem::takeHolds()
{
    return std::exchange(holds_, {});
}

/** Ends upgrades that are another node's now, or that a new catalog has made needless before the order. */
void OrderSystem::stopUnneeded(TimePoint now, const std::vector<UpstreamName> &responsible, Commands &commands)
{
    std::vector<UpstreamName> unneeded;
    for (const auto &[upstream, upgrade] : upgrades_) {
        const bool mine = std::find(responsible.begin(), responsible.end(), upstream) != responsible.end();
        const std::optional<EngineState> wanted = wantedState(*catalog_, upstream);
        const LoadReport *report = freshReport(reports_, upstream, now);
        const bool ordered = upgrade.phase >= Upgrade::Phase::Ordering;
        const bool settled = !ordered && wanted && report != nullptr && report->ready && matches(*wanted, *report);
        if (!mine || !wanted || settled) {
            unneeded.push_back(upstream);
        }
    }
    for (const UpstreamName &upstream : unneeded) {
        end(upstream, "not_needed", now, commands);
    }
}

void OrderSystem::startNeeded(TimePoint now, const std::vector<UpstreamName> &responsible)
{
    for (const UpstreamName &upstream : responsible) {
        if (!upgrades_.contains(upstream) && mayStart(upstream, now)) {
            upgrades_.put(upstream, { Upgrade::Phase::Leasing, now, {}, {} });
            leases_.want(upstream, now);
        }
    }
}

bool OrderSystem::mayStart(const UpstreamName &upstream, TimePoint now) const
{
    const std::optional<EngineState> wanted = wantedState(*catalog_, upstream);
    const LoadReport *report = freshReport(reports_, upstream, now);
    const TimePoint *pausedUntil = pauses_.find(upstream);
    if (!wanted || report == nullptr || matches(*wanted, *report) || (pausedUntil != nullptr && now < *pausedUntil)) {
        return false;
    }
    const Upstream &entity = *catalog_->upstreams().find(upstream);
    const bool leaving = report->leaving || entity.leaving;
    const std::vector<UpstreamName> *mine = responsible_.find(entity.pool);
    const Pool *pool = catalog_->pools().find(entity.pool);
    if (leaving || mine == nullptr || pool == nullptr) {
        return false;
    }
    const PoolShare share = shareOf(*catalog_, *pool, dataCenter_, static_cast<std::uint32_t>(mine->size()));
    const std::size_t loading = upgradesIn(entity.pool) + loadingBesides(upstream, *mine, report->ready, now);
    return loading < share.maxLoading && mayHold(upstream, now);
}

/** Upstreams that load by an order of another node. A candidate that is not ready itself counts only those that load
 * the wanted state already: else two of them would wait for each other. */
std::size_t OrderSystem::loadingBesides(const UpstreamName &candidate,
                                        const std::vector<UpstreamName> &mine,
                                        bool candidateReady,
                                        TimePoint now) const
{
    const std::ptrdiff_t count = std::count_if(mine.begin(), mine.end(), [&](const UpstreamName &other) {
        const LoadReport *report = freshReport(reports_, other, now);
        if (other == candidate || upgrades_.contains(other) || report == nullptr) {
            return false;
        }
        const bool loads = !report->ready && !report->leaving;
        return loads && (candidateReady || matches(*wantedState(*catalog_, other), *report));
    });
    return static_cast<std::size_t>(count);
}

/** True if the pool keeps its minimum without the upstream. One that is not ready takes nothing away. */
bool OrderSystem::mayHold(const UpstreamName &upstream, TimePoint now) const
{
    const LoadReport *own = freshReport(reports_, upstream, now);
    const Upstream *entity = catalog_->upstreams().find(upstream);
    const std::vector<UpstreamName> *mine = entity == nullptr ? nullptr : responsible_.find(entity->pool);
    const Pool *pool = entity == nullptr ? nullptr : catalog_->pools().find(entity->pool);
    if (own == nullptr || mine == nullptr || pool == nullptr) {
        return false;
    }
    if (!own->ready) {
        return true;
    }
    const PoolShare share = shareOf(*catalog_, *pool, dataCenter_, static_cast<std::uint32_t>(mine->size()));
    const std::ptrdiff_t others = std::count_if(mine->begin(), mine->end(), [&](const UpstreamName &other) {
        const LoadReport *report = freshReport(reports_, other, now);
        const Upgrade *upgrade = upgrades_.find(other);
        const bool held = upgrade != nullptr && upgrade->phase != Upgrade::Phase::Leasing;
        const bool leaving = report != nullptr && (report->leaving || catalog_->upstreams().find(other)->leaving);
        return other != upstream && report != nullptr && report->ready && !leaving && !held;
    });
    return others >= static_cast<std::ptrdiff_t>(share.minimumReady);
}

std::size_t OrderSystem::upgradesIn(const PoolName &pool) const
{
    std::size_t count = 0;
    for (const auto &[upstream, upgrade] : upgrades_) {
        const Upstream *entity = catalog_->upstreams().find(upstream);
        count += entity != nullptr && entity->pool == pool ? 1 : 0;
    }
    return count;
}

std::optional<FenceNumber> OrderSystem::usableFence(const UpstreamName &upstream, TimePoint now) const
{
    const Upstream *entity = catalog_->upstreams().find(upstream);
    const bool checks = entity != nullptr && entity->checksFence;
    return leases_.fenceOf(upstream, now, checks ? Duration(0) : UncheckedOrderMargin);
}

void OrderSystem::advance(const UpstreamName &upstream,
                          TimePoint now,
                          const InFlightLookup &inFlightAt,
                          Commands &commands)
{
    const Upgrade &upgrade = *upgrades_.find(upstream);
    switch (upgrade.phase) {
    case Upgrade::Phase::Leasing:
        if (usableFence(upstream, now) && mayHold(upstream, now)) {
            enter(upstream, Upgrade::Phase::Draining, now);
        }
        return;
    case Upgrade::Phase::Draining:
        drain(upstream, now, inFlightAt, commands);
        return;
    case Upgrade::Phase::Ordering:
        awaitAnswer(upstream, now, commands);
        return;
    case Upgrade::Phase::Loading:
        awaitLoaded(upstream, now, commands);
        return;
    }
}

void OrderSystem::drain(const UpstreamName &upstream,
                        TimePoint now,
                        const InFlightLookup &inFlightAt,
                        Commands &commands)
{
    const std::optional<FenceNumber> fence = usableFence(upstream, now);
    if (!fence || !mayHold(upstream, now)) {
        // Without a lease there is no order, and a pool below its minimum needs the upstream back.
        enter(upstream, Upgrade::Phase::Leasing, now);
        return;
    }
    if (inFlightAt(upstream) == 0) {
        sendOrder(upstream, *fence, now, commands);
    }
}

void OrderSystem::awaitAnswer(const UpstreamName &upstream, TimePoint now, Commands &commands)
{
    const Upgrade &upgrade = *upgrades_.find(upstream);
    if (isLoaded(upstream, upgrade)) {
        end(upstream, "loaded", now, commands);
        return;
    }
    if (now - upgrade.since < AnswerTimeout) {
        return;
    }
    const std::optional<FenceNumber> fence = usableFence(upstream, now);
    if (fence) {
        // Orders are absolute, so that a repeat does no harm.
        sendOrder(upstream, *fence, now, commands);
    } else {
        enter(upstream, Upgrade::Phase::Leasing, now);
    }
}

bool OrderSystem::isLoaded(const UpstreamName &upstream, const Upgrade &upgrade) const
{
    const ReceivedReport *received = reports_.find(upstream);
    const bool afterwards = received != nullptr && received->at > upgrade.since;
    return afterwards && received->report.ready && matches(upgrade.ordered, received->report);
}

void OrderSystem::awaitLoaded(const UpstreamName &upstream, TimePoint now, Commands &commands)
{
    const Upgrade &upgrade = *upgrades_.find(upstream);
    if (*wantedState(*catalog_, upstream) != upgrade.ordered || now - upgrade.since >= LoadTimeout) {
        enter(upstream, Upgrade::Phase::Draining, now);
        return;
    }
    if (isLoaded(upstream, upgrade)) {
        end(upstream, "loaded", now, commands);
    }
}

void OrderSystem::sendOrder(const UpstreamName &upstream, FenceNumber fence, TimePoint now, Commands &commands)
{
    Upgrade &upgrade = *upgrades_.edit(upstream);
    upgrade.ordered = *wantedState(*catalog_, upstream);
    upgrade.fence = fence;
    const std::string &address = catalog_->upstreams().find(upstream)->address;
    commands.emplace_back(EngineOrder {
        upstream, address, fence, upgrade.ordered.modelVersion, upgrade.ordered.adapter, upgrade.ordered.role });
    commands.emplace_back(Decision { "order",
                                     { { "upstream", upstream.text() },
                                       { "fence", std::to_string(fence.value()) },
                                       { "version", upgrade.ordered.modelVersion } } });
    enter(upstream, Upgrade::Phase::Ordering, now);
}

void OrderSystem::enter(const UpstreamName &upstream, Upgrade::Phase phase, TimePoint now)
{
    Upgrade &upgrade = *upgrades_.edit(upstream);
    const bool wasHeld = upgrade.phase != Upgrade::Phase::Leasing;
    const bool isHeld = phase != Upgrade::Phase::Leasing;
    upgrade.phase = phase;
    upgrade.since = now;
    if (wasHeld != isHeld) {
        holds_.push_back({ upstream, isHeld });
    }
}

void OrderSystem::end(UpstreamName upstream, std::string_view result, TimePoint now, Commands &commands)
{
    enter(upstream, Upgrade::Phase::Leasing, now);
    upgrades_.erase(upstream);
    leases_.drop(upstream, now, commands);
    commands.emplace_back(Decision { "order", { { "upstream", upstream.text() }, { "result", std::string(result) } } });
}

} // namespace GeraniumLever
