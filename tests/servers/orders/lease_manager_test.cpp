#include <array>
#include <iostream>
#include <utility>

#include <gtest/gtest.h>

#include "servers/orders/lease_manager.h"
#include "tests/servers/orders/fake_table.h"

namespace GeraniumLever {
namespace {

constexpr std::size_t KeeperCount = 3;

/** Keepers that contend for one lease while the store fails and nodes pause, in an order fixed by the seed. */
class LeaseContest
{
public:
    explicit LeaseContest(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t keeper = 0; keeper < KeeperCount; ++keeper) {
            keepers_.emplace_back(NodeName("node-" + std::to_string(keeper)), Incarnation(1), operations_[keeper]);
        }
    }

    void run()
    {
        for (int step = 0; step < 600; ++step) {
            clock_.advance(std::chrono::milliseconds(100 + random_.below(200)));
            const std::size_t chosen = random_.below(KeeperCount);
            pausedUntil_[chosen] =
                random_.below(60) == 0 ? clock_.now() + std::chrono::seconds(random_.below(40)) : pausedUntil_[chosen];
            applyLateWrites();
            for (std::size_t keeper = 0; keeper < KeeperCount; ++keeper) {
                if (clock_.now() >= pausedUntil_[keeper]) {
                    act(keeper);
                }
            }
            check();
        }
    }

    int conflicts = 0;
    int holders = 0;
    int fencesThatFell = 0;

private:
    /** Takes the answers to the last step's requests, which a pause may have kept waiting, and makes new requests. */
    void act(std::size_t keeper)
    {
        Commands commands;
        for (const StoreResult &result : std::exchange(answers_[keeper], {})) {
            keepers_[keeper].storeResultReceived(result, clock_.now(), commands);
        }
        keepers_[keeper].want(upstream_, clock_.now());
        if (random_.below(300) == 0) {
            keepers_[keeper].drop(upstream_, clock_.now(), commands);
        }
        keepers_[keeper].tick(clock_.now(), commands);
        for (const Command &command : commands) {
            answers_[keeper].push_back(carryOut(command));
        }
    }

    StoreResult carryOut(const Command &command)
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
            late_.push_back(*transaction);
            return { transaction->operation, StoreStatus::Ambiguous, {}, {} };
        default:
            return table_.run(*transaction);
        }
    }

    void applyLateWrites()
    {
        if (!late_.empty() && random_.below(10) == 0) {
            table_.apply(late_.front());
            late_.erase(late_.begin());
        }
    }

    void check()
    {
        int held = 0;
        for (const LeaseKeeper &keeper : keepers_) {
            const std::optional<FenceNumber> fence = keeper.fenceOf(upstream_, clock_.now(), Duration(0));
            held += fence.has_value() ? 1 : 0;
            fencesThatFell += fence && *fence < highest_ ? 1 : 0;
            highest_ = fence ? std::max(highest_, *fence) : highest_;
        }
        conflicts += held > 1 ? 1 : 0;
        holders += held;
    }

    RandomSource random_;
    SteppedClock clock_;
    FakeTable table_;
    UpstreamName upstream_ { "gpu-1" };
    std::array<OperationCounter, KeeperCount> operations_;
    std::vector<LeaseKeeper> keepers_;
    std::array<TimePoint, KeeperCount> pausedUntil_;
    std::array<std::vector<StoreResult>, KeeperCount> answers_;
    std::vector<TableTransaction> late_;
    FenceNumber highest_;
};

TEST(LeaseKeeperTest, NeverHasTwoHoldersNorAFallingFence)
{
    int holders = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        LeaseContest contest(seed);
        contest.run();
        EXPECT_EQ(contest.conflicts, 0) << "seed " << seed;
        EXPECT_EQ(contest.fencesThatFell, 0) << "seed " << seed;
        holders += contest.holders;
    }
    std::cout << holders << " of " << 300 * 600 << " moments had a holder\n";
    EXPECT_GT(holders, 300 * 600 / 4);
}

} // namespace
} // namespace GeraniumLever
