/** Sends orders to engines, which upgrade them one after the other without interrupting requests. */
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "core/core.h"
#include "servers/orders/lease_manager.h"
#include "servers/orders/rollout_budget.h"

namespace GeraniumLever {

/** Remaining validity of the lease that an order requires if the engine does not check fences. */
constexpr Duration UncheckedOrderMargin = LeaseDuration / 3;

/** Tells the scheduler whether an upstream is held, which means that it must not get new requests. */
struct UpstreamHold
{
    UpstreamName upstream;
    bool held = false;

    auto operator<=>(const UpstreamHold &) const = default;
};

/** Returns the number of attempts in flight at an upstream. */
using InFlightLookup = std::function<std::uint32_t(const UpstreamName &)>;

/**
 * Compares the states that the engines report with the desired states from the catalog. For an engine that differs, it
 * acquires a lease, holds the upstream until its last attempt has ended, sends the order, and ends the hold when the
 * engine reports the desired state and is ready. The number of ready upstreams never drops below the minimum of the
 * pool, and no more upstreams load at once than the pool allows. If a delayed order of another node changes the state
 * of an engine, that is a difference like any other, and the node that is then responsible corrects it.
 */
class OrderSystem
{
public:
    OrderSystem(NodeName self, Incarnation incarnation, DataCenterName dataCenter, OperationCounter &operations);

    void applyCatalog(const CatalogPtr &catalog);
    void loadReported(const LoadReport &report, TimePoint now);

    /** Handles the result of a store operation; returns false if the operation is not one of this system's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    void orderAnswered(const OrderResult &result, TimePoint now, Commands &commands);

    /** Must be called a few times per second with the upstreams that this node schedules. Holds returned by takeHolds()
     *  must be applied before the next call. */
    void tick(TimePoint now,
              const std::vector<UpstreamName> &responsible,
              const InFlightLookup &inFlightAt,
              Commands &commands);

    /** Returns the holds that changed since the last call, in order. */
    std::vector<UpstreamHold> takeHolds();

private:
    struct Upgrade
    {
        enum class Phase : std::uint8_t {
            Leasing,
            /** The upstream is held until its attempts in flight have ended. */
            Draining,
            /** The order was sent. */
            Ordering,
            /** The engine accepted the order and has not reported the result yet. */
            Loading,
        };

        Phase phase = Phase::Leasing;
        TimePoint phaseStart;
        EngineState ordered;
        FenceNumber fence;
    };

    void endUnneededUpgrades(TimePoint now, const std::vector<UpstreamName> &responsible, Commands &commands);
    void startNeededUpgrades(TimePoint now, const std::vector<UpstreamName> &responsible);
    bool canStartUpgrade(const UpstreamName &upstream, TimePoint now) const;
    std::size_t countOtherLoading(const UpstreamName &candidate,
                                  const std::vector<UpstreamName> &ownUpstreams,
                                  bool candidateReady,
                                  TimePoint now) const;
    bool canHold(const UpstreamName &upstream, TimePoint now) const;
    std::size_t countUpgrades(const PoolName &pool) const;
    std::optional<FenceNumber> usableFence(const UpstreamName &upstream, TimePoint now) const;

    void advance(const UpstreamName &upstream, TimePoint now, const InFlightLookup &inFlightAt, Commands &commands);
    void drain(const UpstreamName &upstream, TimePoint now, const InFlightLookup &inFlightAt, Commands &commands);
    void checkOrderAnswer(const UpstreamName &upstream, TimePoint now, Commands &commands);
    bool isLoaded(const UpstreamName &upstream, const Upgrade &upgrade) const;
    void checkLoaded(const UpstreamName &upstream, TimePoint now, Commands &commands);
    void sendOrder(const UpstreamName &upstream, FenceNumber fence, TimePoint now, Commands &commands);
    void enterPhase(const UpstreamName &upstream, Upgrade::Phase phase, TimePoint now);
    void endUpgrade(UpstreamName upstream, std::string_view result, TimePoint now, Commands &commands);

    DataCenterName dataCenter_;
    LeaseManager leaseManager_;
    CatalogPtr catalog_;
    Reports reports_;
    Table<UpstreamName, Upgrade> upgrades_;
    /** The upstreams of each pool that this node was responsible for at the last tick. */
    Table<PoolName, std::vector<UpstreamName>> responsible_;
    /** Time until which an engine that refused an order gets no further order. */
    Table<UpstreamName, TimePoint> refusalPauses_;
    std::vector<UpstreamHold> holds_;
};

} // namespace GeraniumLever
