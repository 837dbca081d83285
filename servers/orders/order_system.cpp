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
    , leaseManager_(std::move(self), incarnation, operations)
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
    return leaseManager_.storeResultReceived(result, now, commands);
}

void OrderSystem::orderAnswered(const OrderResult &result, TimePoint now, Commands &commands)
{
    const Upgrade *upgrade = upgrades_.find(result.upstream);
    if (upgrade == nullptr || upgrade->phase != Upgrade::Phase::Ordering || upgrade->fence != result.fence) {
        return;
    }
    if (result.accepted) {
        enterPhase(result.upstream, Upgrade::Phase::Loading, now);
        return;
    }
    if (result.staleFence) {
        leaseManager_.invalidate(result.upstream);
        enterPhase(result.upstream, Upgrade::Phase::Leasing, now);
        return;
    }
    refusalPauses_.put(result.upstream, now + RefusalPause);
    endUpgrade(result.upstream, "refused", now, commands);
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
    endUnneededUpgrades(now, responsible, commands);
    leaseManager_.tick(now, commands);
    std::vector<UpstreamName> upgrading;
    for (const auto &[upstream, upgrade] : upgrades_) {
        upgrading.push_back(upstream);
    }
    for (const UpstreamName &upstream : upgrading) {
        advance(upstream, now, inFlightAt, commands);
    }
    startNeededUpgrades(now, responsible);
}

std::vector<UpstreamHold> OrderSystem::takeHolds()
{
    return std::exchange(holds_, {});
}

/** Ends upgrades that another node is now responsible for, or that are no longer needed and have not been ordered. */
void OrderSystem::endUnneededUpgrades(TimePoint now, const std::vector<UpstreamName> &responsible, Commands &commands)
{
    std::vector<UpstreamName> unneeded;
    for (const auto &[upstream, upgrade] : upgrades_) {
        const bool isOwn = std::find(responsible.begin(), responsible.end(), upstream) != responsible.end();
        const std::optional<EngineState> desired = desiredState(*catalog_, upstream);
        const LoadReport *report = freshReport(reports_, upstream, now);
        const bool ordered = upgrade.phase >= Upgrade::Phase::Ordering;
        const bool settled = !ordered && desired && report != nullptr && report->ready && matches(*desired, *report);
        if (!isOwn || !desired || settled) {
            unneeded.push_back(upstream);
        }
    }
    for (const UpstreamName &upstream : unneeded) {
        endUpgrade(upstream, "not_needed", now, commands);
    }
}

void OrderSystem::startNeededUpgrades(TimePoint now, const std::vector<UpstreamName> &responsible)
{
    for (const UpstreamName &upstream : responsible) {
        if (!upgrades_.contains(upstream) && canStartUpgrade(upstream, now)) {
            upgrades_.put(upstream, { Upgrade::Phase::Leasing, now, {}, {} });
            leaseManager_.acquire(upstream, now);
        }
    }
}

bool OrderSystem::canStartUpgrade(const UpstreamName &upstream, TimePoint now) const
{
    const std::optional<EngineState> desired = desiredState(*catalog_, upstream);
    const LoadReport *report = freshReport(reports_, upstream, now);
    const TimePoint *pausedUntil = refusalPauses_.find(upstream);
    if (!desired || report == nullptr || matches(*desired, *report) || (pausedUntil != nullptr && now < *pausedUntil)) {
        return false;
    }
    const Upstream &entity = *catalog_->upstreams().find(upstream);
    const bool leaving = report->leaving || entity.leaving;
    const std::vector<UpstreamName> *ownUpstreams = responsible_.find(entity.pool);
    const Pool *pool = catalog_->pools().find(entity.pool);
    if (leaving || ownUpstreams == nullptr || pool == nullptr) {
        return false;
    }
    const RolloutLimits limits =
        rolloutLimitsFor(*catalog_, *pool, dataCenter_, static_cast<std::uint32_t>(ownUpstreams->size()));
    const std::size_t loading =
        countUpgrades(entity.pool) + countOtherLoading(upstream, *ownUpstreams, report->ready, now);
    return loading < limits.maxLoading && canHold(upstream, now);
}

/** Counts upstreams that are loading because of an order of another node. For a candidate that is not ready itself,
 * only those that already load the desired state count: otherwise two such candidates would wait for each other. */
std::size_t OrderSystem::countOtherLoading(const UpstreamName &candidate,
                                           const std::vector<UpstreamName> &ownUpstreams,
                                           bool candidateReady,
                                           TimePoint now) const
{
    const std::ptrdiff_t count =
        std::count_if(ownUpstreams.begin(), ownUpstreams.end(), [&](const UpstreamName &other) {
            const LoadReport *report = freshReport(reports_, other, now);
            if (other == candidate || upgrades_.contains(other) || report == nullptr) {
                return false;
            }
            const bool isLoading = !report->ready && !report->leaving;
            return isLoading && (candidateReady || matches(*desiredState(*catalog_, other), *report));
        });
    return static_cast<std::size_t>(count);
}

/** True if the pool keeps its minimum of ready upstreams without this one. An upstream that is not ready does not count
 * towards the minimum and can always be held. */
bool OrderSystem::canHold(const UpstreamName &upstream, TimePoint now) const
{
    const LoadReport *ownReport = freshReport(reports_, upstream, now);
    const Upstream *entity = catalog_->upstreams().find(upstream);
    const std::vector<UpstreamName> *ownUpstreams = entity == nullptr ? nullptr : responsible_.find(entity->pool);
    const Pool *pool = entity == nullptr ? nullptr : catalog_->pools().find(entity->pool);
    if (ownReport == nullptr || ownUpstreams == nullptr || pool == nullptr) {
        return false;
    }
    if (!ownReport->ready) {
        return true;
    }
    const RolloutLimits limits =
        rolloutLimitsFor(*catalog_, *pool, dataCenter_, static_cast<std::uint32_t>(ownUpstreams->size()));
    const std::ptrdiff_t others =
        std::count_if(ownUpstreams->begin(), ownUpstreams->end(), [&](const UpstreamName &other) {
            const LoadReport *report = freshReport(reports_, other, now);
            const Upgrade *upgrade = upgrades_.find(other);
            const bool held = upgrade != nullptr && upgrade->phase != Upgrade::Phase::Leasing;
            const bool leaving = report != nullptr && (report->leaving || catalog_->upstreams().find(other)->leaving);
            return other != upstream && report != nullptr && report->ready && !leaving && !held;
        });
    return others >= static_cast<std::ptrdiff_t>(limits.minimumReady);
}

std::size_t OrderSystem::countUpgrades(const PoolName &pool) const
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
    const bool checksFence = entity != nullptr && entity->checksFence;
    return leaseManager_.validFence(upstream, now, checksFence ? Duration(0) : UncheckedOrderMargin);
}

void OrderSystem::advance(const UpstreamName &upstream,
                          TimePoint now,
                          const InFlightLookup &inFlightAt,
                          Commands &commands)
{
    const Upgrade &upgrade = *upgrades_.find(upstream);
    switch (upgrade.phase) {
    case Upgrade::Phase::Leasing:
        if (usableFence(upstream, now) && canHold(upstream, now)) {
            enterPhase(upstream, Upgrade::Phase::Draining, now);
        }
        return;
    case Upgrade::Phase::Draining:
        drain(upstream, now, inFlightAt, commands);
        return;
    case Upgrade::Phase::Ordering:
        checkOrderAnswer(upstream, now, commands);
        return;
    case Upgrade::Phase::Loading:
        checkLoaded(upstream, now, commands);
        return;
    }
}

void OrderSystem::drain(const UpstreamName &upstream,
                        TimePoint now,
                        const InFlightLookup &inFlightAt,
                        Commands &commands)
{
    const std::optional<FenceNumber> fence = usableFence(upstream, now);
    if (!fence || !canHold(upstream, now)) {
        // An order requires a lease, and a pool below its minimum needs the upstream back in service.
        enterPhase(upstream, Upgrade::Phase::Leasing, now);
        return;
    }
    if (inFlightAt(upstream) == 0) {
        sendOrder(upstream, *fence, now, commands);
    }
}

void OrderSystem::checkOrderAnswer(const UpstreamName &upstream, TimePoint now, Commands &commands)
{
    const Upgrade &upgrade = *upgrades_.find(upstream);
    if (isLoaded(upstream, upgrade)) {
        endUpgrade(upstream, "loaded", now, commands);
        return;
    }
    if (now - upgrade.phaseStart < AnswerTimeout) {
        return;
    }
    const std::optional<FenceNumber> fence = usableFence(upstream, now);
    if (fence) {
        // An order names the complete desired state, so repeating it is safe.
        sendOrder(upstream, *fence, now, commands);
    } else {
        enterPhase(upstream, Upgrade::Phase::Leasing, now);
    }
}

bool OrderSystem::isLoaded(const UpstreamName &upstream, const Upgrade &upgrade) const
{
    const ReceivedReport *received = reports_.find(upstream);
    const bool receivedAfterOrder = received != nullptr && received->at > upgrade.phaseStart;
    return receivedAfterOrder && received->report.ready && matches(upgrade.ordered, received->report);
}

void OrderSystem::checkLoaded(const UpstreamName &upstream, TimePoint now, Commands &commands)
{
    const Upgrade &upgrade = *upgrades_.find(upstream);
    if (*desiredState(*catalog_, upstream) != upgrade.ordered || now - upgrade.phaseStart >= LoadTimeout) {
        enterPhase(upstream, Upgrade::Phase::Draining, now);
        return;
    }
    if (isLoaded(upstream, upgrade)) {
        endUpgrade(upstream, "loaded", now, commands);
    }
}

void OrderSystem::sendOrder(const UpstreamName &upstream, FenceNumber fence, TimePoint now, Commands &commands)
{
    Upgrade &upgrade = *upgrades_.edit(upstream);
    upgrade.ordered = *desiredState(*catalog_, upstream);
    upgrade.fence = fence;
    const std::string &address = catalog_->upstreams().find(upstream)->address;
    commands.emplace_back(EngineOrder {
        upstream, address, fence, upgrade.ordered.modelVersion, upgrade.ordered.adapter, upgrade.ordered.role });
    commands.emplace_back(Decision { "order",
                                     { { "upstream", upstream.text() },
                                       { "fence", std::to_string(fence.value()) },
                                       { "version", upgrade.ordered.modelVersion } } });
    enterPhase(upstream, Upgrade::Phase::Ordering, now);
}

void OrderSystem::enterPhase(const UpstreamName &upstream, Upgrade::Phase phase, TimePoint now)
{
    Upgrade &upgrade = *upgrades_.edit(upstream);
    const bool wasHeld = upgrade.phase != Upgrade::Phase::Leasing;
    const bool isHeld = phase != Upgrade::Phase::Leasing;
    upgrade.phase = phase;
    upgrade.phaseStart = now;
    if (wasHeld != isHeld) {
        holds_.push_back({ upstream, isHeld });
    }
}

void OrderSystem::endUpgrade(UpstreamName upstream, std::string_view result, TimePoint now, Commands &commands)
{
    enterPhase(upstream, Upgrade::Phase::Leasing, now);
    upgrades_.erase(upstream);
    leaseManager_.release(upstream, now, commands);
    commands.emplace_back(Decision { "order", { { "upstream", upstream.text() }, { "result", std::string(result) } } });
}

} // namespace GeraniumLever
