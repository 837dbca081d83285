#include <array>
#include <iostream>
#include <utility>

#include <gtest/gtest.h>

#include "servers/orders/lease_manager.h"
#include "tests/servers/orders/fake_table.h"

namespace GeraniumLever {
namespace {

constexpr std::size_t ManagerCount = 3;

/** Lease managers that contend for one lease while the store fails and nodes pause, in an order determined by the seed.
 */
class LeaseContention
{
public:
    explicit LeaseContention(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t manager = 0; manager < ManagerCount; ++manager) {
            managers_.emplace_back(NodeName("node-" + std::to_string(manager)), Incarnation(1), operations_[manager]);
        }
    }

    void run()
    {
        for (int step = 0; step < 600; ++step) {
            clock_.advance(std::chrono::milliseconds(100 + random_.below(200)));
            const std::size_t chosen = random_.below(ManagerCount);
            pausedUntil_[chosen] =
                random_.below(60) == 0 ? clock_.now() + std::chrono::seconds(random_.below(40)) : pausedUntil_[chosen];
            applyDelayedWrites();
            for (std::size_t manager = 0; manager < ManagerCount; ++manager) {
                if (clock_.now() >= pausedUntil_[manager]) {
                    runManager(manager);
                }
            }
            check();
        }
    }

    int conflicts = 0;
    int holderCount = 0;
    int fenceDecreases = 0;

private:
    /** Handles the answers to the requests of the last step, which a pause may have delayed, and sends new requests. */
    void runManager(std::size_t manager)
    {
        Commands commands;
        for (const StoreResult &result : std::exchange(answers_[manager], {})) {
            managers_[manager].storeResultReceived(result, clock_.now(), commands);
        }
        managers_[manager].acquire(upstream_, clock_.now());
        if (random_.below(300) == 0) {
            managers_[manager].release(upstream_, clock_.now(), commands);
        }
        managers_[manager].tick(clock_.now(), commands);
        for (const Command &command : commands) {
            answers_[manager].push_back(executeCommand(command));
        }
    }

    StoreResult executeCommand(const Command &command)
    {
        const TableTransaction *transaction = std::get_if<TableTransaction>(&command);
        if (transaction == nullptr) {
            return table_.run(std::get<TableGet>(command));
        }
        switch (random_.below(8)) {
        case 0:
            return { transaction->operation, StoreStatus::Unavailable, {}, {} };
        case 1:
            table_.apply(*transaction);
            return { transaction->operation, StoreStatus::Ambiguous, {}, {} };
        case 2:
            delayedWrites_.push_back(*transaction);
            return { transaction->operation, StoreStatus::Ambiguous, {}, {} };
        default:
            return table_.run(*transaction);
        }
    }

    void applyDelayedWrites()
    {
        if (!delayedWrites_.empty() && random_.below(10) == 0) {
            table_.apply(delayedWrites_.front());
            delayedWrites_.erase(delayedWrites_.begin());
        }
    }

    void check()
    {
        int held = 0;
        for (const LeaseManager &manager : managers_) {
            const std::optional<FenceNumber> fence = manager.validFence(upstream_, clock_.now(), Duration(0));
            held += fence.has_value() ? 1 : 0;
            fenceDecreases += fence && *fence < highest_ ? 1 : 0;
            highest_ = fence ? std::max(highest_, *fence) : highest_;
        }
        conflicts += held > 1 ? 1 : 0;
        holderCount += held;
    }

    RandomSource random_;
    SteppedClock clock_;
    FakeTable table_;
    UpstreamName upstream_ { "gpu-1" };
    std::array<OperationCounter, ManagerCount> operations_;
    std::vector<LeaseManager> managers_;
    std::array<TimePoint, ManagerCount> pausedUntil_;
    std::array<std::vector<StoreResult>, ManagerCount> answers_;
    std::vector<TableTransaction> delayedWrites_;
    FenceNumber highest_;
};

TEST(LeaseManagerTest, NeverHasTwoHoldersAndFencesNeverDecrease)
{
    int holderCount = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        LeaseContention contention(seed);
        contention.run();
        EXPECT_EQ(contention.conflicts, 0) << "seed " << seed;
        EXPECT_EQ(contention.fenceDecreases, 0) << "seed " << seed;
        holderCount += contention.holderCount;
    }
    std::cout << holderCount << " of " << 300 * 600 << " steps had a holder\n";
    EXPECT_GT(holderCount, 300 * 600 / 4);
}

} // namespace
} // namespace GeraniumLever
