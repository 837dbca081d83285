#include <map>

#include <gtest/gtest.h>

#include "servers/orders/orders.h"
#include "tests/servers/orders/fake_table.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t EngineCount = 4;

struct Engine
{
    bool checksFence = false;
    std::string version = "v1";
    FenceNumber fence;
    TimePoint readyAt;
    std::uint32_t inFlight = 0;
    int orders = 0;
};

/** Two nodes that may both believe to be responsible, four engines, and a fake table service. */
class OrderSystemTest : public testing::Test
{
public:
    OrderSystemTest()
    {
        for (std::size_t engine = 0; engine < EngineCount; ++engine) {
            engines[nameOf(engine)] = Engine();
        }
    }

    static UpstreamName nameOf(std::size_t engine) { return UpstreamName("gpu-" + std::to_string(engine)); }

    CatalogPtr catalogWith(const std::string &version) const
    {
        const DataCenterName dataCenter("cm-a");
        std::vector<EntityChange> changes;
        changes.emplace_back(Model { ModelName("chat"), version, "" });
        changes.emplace_back(Pool { PoolName("chat"), ModelName("chat"), "", minimumReady, maxLoading });
        for (const auto &[name, engine] : engines) {
            changes.emplace_back(
                Upstream { name, PoolName("chat"), dataCenter, "127.0.0.1:1", 8, engine.checksFence, false, "" });
        }
        return std::make_shared<Catalog>(Catalog().withChanges(changes, TicketNumber(1)));
    }

    void reportAll(OrderSystem &node)
    {
        for (const auto &[name, engine] : engines) {
            LoadReport report;
            report.upstream = name;
            report.ready = clock.now() >= engine.readyAt;
            report.modelVersion = engine.version;
            node.loadReported(report, clock.now());
        }
    }

    void tick(OrderSystem &node)
    {
        reportAll(node);
        std::vector<UpstreamName> names;
        for (const auto &[name, engine] : engines) {
            names.push_back(name);
        }
        Commands commands;
        node.tick(
            clock.now(), names, [this](const UpstreamName &name) { return engines[name].inFlight; }, commands);
        carryOut(node, commands);
        for (const UpstreamHold &hold : node.takeHolds()) {
            held[hold.upstream] = hold.held;
        }
    }

    void carryOut(OrderSystem &node, Commands &commands)
    {
        while (!commands.empty()) {
            const Command command = commands.front();
            commands.erase(commands.begin());
            if (const TableGet *get = std::get_if<TableGet>(&command)) {
                node.storeResultReceived(table.run(*get), clock.now(), commands);
            } else if (const TableTransaction *transaction = std::get_if<TableTransaction>(&command)) {
                node.storeResultReceived(table.run(*transaction), clock.now(), commands);
            } else if (const EngineOrder *order = std::get_if<EngineOrder>(&command)) {
                if (delaysOrders) {
                    delayed.push_back(*order);
                    continue;
                }
                EXPECT_EQ(engines[order->upstream].inFlight, 0U);
                node.orderAnswered(deliver(*order), clock.now(), commands);
            }
        }
    }

    OrderResult deliver(const EngineOrder &order)
    {
        Engine &engine = engines[order.upstream];
        if (engine.checksFence && order.fence < engine.fence) {
            return { order.upstream, order.fence, false, true };
        }
        engine.fence = engine.checksFence ? order.fence : FenceNumber();
        engine.version = order.modelVersion;
        engine.readyAt = clock.now() + seconds(20);
        ++engine.orders;
        return { order.upstream, order.fence, true, false };
    }

    /** Lets the given nodes run, and checks the pool's limits all the time. */
    void run(const std::vector<OrderSystem *> &nodes, Duration duration)
    {
        const TimePoint end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(milliseconds(500));
            for (OrderSystem *node : nodes) {
                tick(*node);
            }
            finishAttempts();
            std::uint32_t ready = 0;
            std::uint32_t loading = 0;
            for (const auto &[name, engine] : engines) {
                const bool isReady = clock.now() >= engine.readyAt;
                ready += isReady && !held[name] ? 1 : 0;
                loading += isReady ? 0 : 1;
            }
            fewestReady = std::min(fewestReady, ready);
            mostLoading = std::max(mostLoading, loading);
        }
    }

    void finishAttempts()
    {
        for (auto &[name, engine] : engines) {
            engine.inFlight -= held[name] && engine.inFlight > 0 ? 1 : 0;
        }
    }

    bool allRun(const std::string &version) const
    {
        return std::all_of(
            engines.begin(), engines.end(), [&](const std::map<UpstreamName, Engine>::value_type &entry) {
                return entry.second.version == version;
            });
    }

    std::uint32_t minimumReady = 2;
    std::uint32_t maxLoading = 1;
    SteppedClock clock;
    FakeTable table;
    std::map<UpstreamName, Engine> engines;
    std::map<UpstreamName, bool> held;
    bool delaysOrders = false;
    std::vector<EngineOrder> delayed;
    std::uint32_t fewestReady = EngineCount;
    std::uint32_t mostLoading = 0;
    OperationCounter operations;
    OrderSystem first { NodeName("node-1"), Incarnation(1), DataCenterName("cm-a"), operations };
    OrderSystem second { NodeName("node-2"), Incarnation(1), DataCenterName("cm-a"), operations };
};

TEST_F(OrderSystemTest, UpgradesAPoolWithinItsLimits)
{
    for (auto &[name, engine] : engines) {
        engine.inFlight = 7;
    }
    first.applyCatalog(catalogWith("v2"));
    run({ &first }, std::chrono::minutes(4));
    EXPECT_TRUE(allRun("v2"));
    EXPECT_EQ(mostLoading, 1U);
    EXPECT_EQ(fewestReady, EngineCount - 1);
    for (const auto &[name, engine] : engines) {
        EXPECT_EQ(engine.orders, 1);
        EXPECT_FALSE(held[name]);
    }
}

TEST_F(OrderSystemTest, LoadsSeveralAtOnceButKeepsTheMinimumReady)
{
    maxLoading = 4;
    minimumReady = 2;
    first.applyCatalog(catalogWith("v2"));
    run({ &first }, std::chrono::minutes(4));
    EXPECT_TRUE(allRun("v2"));
    EXPECT_EQ(mostLoading, 2U);
    EXPECT_EQ(fewestReady, 2U);
}

TEST_F(OrderSystemTest, CountsTheLoadsThatAnotherNodeOrdered)
{
    Engine &loading = engines[nameOf(EngineCount - 1)];
    loading.version = "v2";
    loading.readyAt = clock.now() + seconds(60);
    first.applyCatalog(catalogWith("v2"));
    run({ &first }, std::chrono::minutes(4));
    EXPECT_TRUE(allRun("v2"));
    EXPECT_EQ(mostLoading, 1U);
}

TEST_F(OrderSystemTest, TakesNobodyOutIfTheMinimumIsAll)
{
    minimumReady = EngineCount;
    first.applyCatalog(catalogWith("v2"));
    run({ &first }, std::chrono::minutes(2));
    EXPECT_TRUE(allRun("v1"));
    EXPECT_EQ(fewestReady, EngineCount);
}

TEST_F(OrderSystemTest, TwoNodesThatBothBelieveToBeResponsibleOrderOnceEach)
{
    first.applyCatalog(catalogWith("v2"));
    second.applyCatalog(catalogWith("v2"));
    run({ &first, &second }, std::chrono::minutes(8));
    EXPECT_TRUE(allRun("v2"));
    EXPECT_EQ(mostLoading, 1U);
    for (const auto &[name, engine] : engines) {
        EXPECT_EQ(engine.orders, 1);
    }
}

TEST_F(OrderSystemTest, GivesNoOrderWithoutThePlatformAndServingGoesOn)
{
    first.applyCatalog(catalogWith("v2"));
    run({ &first }, seconds(3));
    table.down = true;
    const bool wasOrdered = mostLoading > 0;
    run({ &first }, std::chrono::minutes(3));
    int orders = 0;
    for (const auto &[name, engine] : engines) {
        orders += engine.orders;
        EXPECT_FALSE(held[name]);
    }
    EXPECT_LE(orders, 1);
    EXPECT_TRUE(wasOrdered);
    table.down = false;
    run({ &first }, std::chrono::minutes(4));
    EXPECT_TRUE(allRun("v2"));
}

/** The first node's order leaves it, and reaches the engine only after the second node has given a newer one. */
class PausedHolderTest : public OrderSystemTest
{
public:
    void pauseTheHolder(bool checksFence)
    {
        for (auto &[name, engine] : engines) {
            engine.checksFence = checksFence;
        }
        first.applyCatalog(catalogWith("v2"));
        delaysOrders = true;
        run({ &first }, seconds(3));
        delaysOrders = false;
        ASSERT_EQ(delayed.size(), 1U);
        second.applyCatalog(catalogWith("v3"));
        run({ &second }, std::chrono::minutes(5));
        ASSERT_TRUE(allRun("v3"));
    }
};

TEST_F(PausedHolderTest, AnEngineThatChecksRefusesTheLateOrder)
{
    pauseTheHolder(true);
    EXPECT_TRUE(deliver(delayed.front()).staleFence);
    EXPECT_TRUE(allRun("v3"));
}

TEST_F(PausedHolderTest, AnEngineThatDoesNotCheckIsRepaired)
{
    pauseTheHolder(false);
    EXPECT_TRUE(deliver(delayed.front()).accepted);
    EXPECT_FALSE(allRun("v3"));
    run({ &second }, std::chrono::minutes(2));
    EXPECT_TRUE(allRun("v3"));
}

TEST_F(PausedHolderTest, AHolderThatWakesUpAfterItsLeaseGivesNoOrder)
{
    engines[nameOf(0)].inFlight = 1000;
    first.applyCatalog(catalogWith("v2"));
    run({ &first }, seconds(3));
    EXPECT_TRUE(held[nameOf(0)]);
    clock.advance(LeaseDuration);
    engines[nameOf(0)].inFlight = 0;
    table.down = true;
    tick(first);
    EXPECT_EQ(engines[nameOf(0)].orders, 0);
    EXPECT_FALSE(held[nameOf(0)]);
}

} // namespace
} // namespace GeraniumLever
