/** Orders to engines: upgrades them one after the other without cutting work. */
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "core/core.h"
#include "servers/orders/lease_manager.h"
#include "servers/orders/rollout_budget.h"

namespace GeraniumLever {

/** Time of a lease that must be left for an order to an engine that does not check fences. */
constexpr Duration UncheckedOrderMargin = LeaseDuration / 3;

/** The upstream must get no new work (held), or may get work again. */
struct UpstreamHold
{
    UpstreamName upstream;
    bool held = false;

    auto operator<=>(const UpstreamHold &) const = default;
};

/** Number of attempts in flight at an upstream. */
using InFlightLookup = std::function<std::uint32_t(const UpstreamName &)>;

/**
 * Compares what the engines report with what the catalog wants. An engine that differs is leased, held out of new work,
 * ordered when its last attempt has ended, and given back when it reports the wanted state and is ready. Never fewer
 * ready upstreams than the pool's minimum are left, and never more load at once than the pool allows. A state that was
 * changed by somebody's late order is just another difference, and is repaired by whoever is responsible then.
 */
class OrderSystem
{
public:
    OrderSystem(NodeName self, Incarnation incarnation, DataCenterName dataCenter, OperationCounter &operations);

    void applyCatalog(const CatalogPtr &catalog);
    void loadReported(const LoadReport &report, TimePoint now);

    /** False if the operation is not one of this system's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    void orderAnswered(const OrderResult &result, TimePoint now, Commands &commands);

    /** To be called a few times a second with the upstreams that this node schedules. Holds that are taken afterwards
     *  must be in force before the next call. */
    void tick(TimePoint now,
              const std::vector<UpstreamName> &responsible,
              const InFlightLookup &inFlightAt,
              Commands &commands);

    /** Changes since the last call, in order. */
    std::vector<UpstreamHold> takeHolds();

private:
    struct Upgrade
    {
        enum class Phase : std::uint8_t {
            Leasing,
            /** Held; attempts in flight are ending. */
            Draining,
            /** The order was sent. */
            Ordering,
            /** The engine took the order and has not reported its result yet. */
            Loading,
        };

        Phase phase = Phase::Leasing;
        TimePoint since;
        EngineState ordered;
        FenceNumber fence;
    };

    void stopUnneeded(TimePoint now, const std::vector<UpstreamName> &responsible, Commands &commands);
    void startNeeded(TimePoint now, const std::vector<UpstreamName> &responsible);
    bool mayStart(const UpstreamName &upstream, TimePoint now) const;
    std::size_t loadingBesides(const UpstreamName &candidate,
                               const std::vector<UpstreamName> &mine,
                               bool candidateReady,
                               TimePoint now) const;
    bool mayHold(const UpstreamName &upstream, TimePoint now) const;
    std::size_t upgradesIn(const PoolName &pool) const;
    std::optional<FenceNumber> usableFence(const UpstreamName &upstream, TimePoint now) const;

    void advance(const UpstreamName &upstream, TimePoint now, const InFlightLookup &inFlightAt, Commands &commands);
    void drain(const UpstreamName &upstream, TimePoint now, const InFlightLookup &inFlightAt, Commands &commands);
    void awaitAnswer(const UpstreamName &upstream, TimePoint now, Commands &commands);
    bool isLoaded(const UpstreamName &upstream, const Upgrade &upgrade) const;
    void awaitLoaded(const UpstreamName &upstream, TimePoint now, Commands &commands);
    void sendOrder(const UpstreamName &upstream, FenceNumber fence, TimePoint now, Commands &commands);
    void enter(const UpstreamName &upstream, Upgrade::Phase phase, TimePoint now);
    void end(UpstreamName upstream, std::string_view result, TimePoint now, Commands &commands);

    DataCenterName dataCenter_;
    LeaseKeeper leases_;
    CatalogPtr catalog_;
    Reports reports_;
    Table<UpstreamName, Upgrade> upgrades_;
    /** Upstreams of each pool that this node is responsible for, as of the last tick. */
    Table<PoolName, std::vector<UpstreamName>> responsible_;
    /** Engines that refused an order, and until when they are left alone. */
    Table<UpstreamName, TimePoint> pauses_;
    std::vector<UpstreamHold> holds_;
};

} // namespace GeraniumLever
