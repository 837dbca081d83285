#include "servers/relay/node_registry.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t Incarnation = 7;

class NodeRegistryTest : public testing::Test
{
protected:
    /** Applies a list of so many nodes, from n0 on, which is this one. */
    bool update(int nodes)
    {
        StoredNodes stored { {}, state_ };
        for (int number = 0; number < nodes; ++number) {
            stored.nodes.push_back(nodeOf(number));
        }
        return update(std::move(stored));
    }

    bool update(StoredNodes stored)
    {
        eras_.note(state_, clock_.now());
        return registry_.update(stored, eras_, clock_.now());
    }

    static PeerNode nodeOf(int number, std::uint64_t incarnation = Incarnation)
    {
        PeerNode node { NodeName("n" + std::to_string(number)), DataCenterName("dc"), "127.0.0.1:1" };
        node.incarnation = incarnation;
        return node;
    }

    SteppedClock clock_;
    StoreState state_ { 1, 10 };
    StoreEras eras_;
    NodeRegistry registry_ { NodeName("n0"), Incarnation };
};

TEST_F(NodeRegistryTest, ListOfARestoredStoreTakesNoNodeAwayUntilLostEntriesHaveHadTimeToReturn)
{
    update(9);
    clock_.advance(seconds(5));
    update(9);
    EXPECT_EQ(registry_.sharingNodes(), 9U);
    for (int restoration = 0; restoration < 2; ++restoration) {
        ++state_.era;
        clock_.advance(seconds(2));
        update(4);
        EXPECT_EQ(registry_.nodes().size(), 9U);
        EXPECT_GE(*registry_.sharingNodes(), 9U) << "nothing is granted twice";
    }
    clock_.advance(seconds(3));
    EXPECT_TRUE(registry_.needsList(eras_, clock_.now()));
    update(8);
    EXPECT_FALSE(registry_.needsList(eras_, clock_.now()));
    EXPECT_EQ(registry_.sharingNodes(), 8U);
}

TEST_F(NodeRegistryTest, NodeThatHasJustStartedTakesNoShortListForTheFleet)
{
    EXPECT_EQ(registry_.sharingNodes(), std::nullopt);
    update(2);
    EXPECT_EQ(registry_.sharingNodes(), NodeRegistry::MinSharingNodes);
    update(300);
    EXPECT_EQ(registry_.sharingNodes(), 300U);
    EXPECT_FALSE(registry_.needsList(eras_, clock_.now()));
    clock_.advance(StoreRewriteTime);
    EXPECT_TRUE(registry_.needsList(eras_, clock_.now()));
    update(9);
    EXPECT_EQ(registry_.sharingNodes(), 9U);
    EXPECT_FALSE(registry_.needsList(eras_, clock_.now()));
}

TEST_F(NodeRegistryTest, ListIsCompleteOnceTheEraIsKnownToBeOld)
{
    update(2);
    eras_.note(StoreEraReport { 1, seconds(60), 10 }, clock_.now());
    registry_.completeLastList(eras_);
    EXPECT_EQ(registry_.sharingNodes(), 2U);
}

TEST_F(NodeRegistryTest, ListOfAnEarlierEraIsIgnored)
{
    update(9);
    const StoreState before = state_;
    state_ = { 2, 5 };
    EXPECT_TRUE(update(9));
    state_ = before;
    EXPECT_FALSE(update(12));
    EXPECT_EQ(registry_.nodes().size(), 9U);
}

TEST_F(NodeRegistryTest, OwnEntryIsWrittenAgainInEachEra)
{
    eras_.note(state_, clock_.now());
    EXPECT_TRUE(registry_.needsRegistration(eras_));
    registry_.noteRegistered(state_, clock_.now());
    EXPECT_FALSE(registry_.needsRegistration(eras_));
    eras_.note(StoreState { 3, 5 }, clock_.now());
    EXPECT_TRUE(registry_.needsRegistration(eras_));
    registry_.noteRegistered({ 2, 30 }, clock_.now());
    EXPECT_TRUE(registry_.needsRegistration(eras_)) << "the confirmation was late, and the entry is lost";
    registry_.noteRegistered({ 3, 6 }, clock_.now());
    EXPECT_FALSE(registry_.needsRegistration(eras_));
}

// Guards against an entry that a late call has removed, or replaced, never being written again.
TEST_F(NodeRegistryTest, OwnEntryIsWrittenAgainIfAListLacksIt)
{
    registry_.noteRegistered(state_, clock_.now());
    clock_.advance(seconds(1));
    update(3);
    EXPECT_FALSE(registry_.needsRegistration(eras_));
    update({ { nodeOf(1), nodeOf(2) }, state_ });
    EXPECT_TRUE(registry_.needsRegistration(eras_)) << "removed";
    registry_.noteRegistered(state_, clock_.now());
    EXPECT_FALSE(registry_.needsRegistration(eras_));
    update({ { nodeOf(0, Incarnation - 1), nodeOf(1) }, state_ });
    EXPECT_TRUE(registry_.needsRegistration(eras_)) << "written by an earlier process";
}

TEST_F(NodeRegistryTest, ListThatWasReadBeforeTheRegistrationDoesNotUndoIt)
{
    const TimePoint sentAt = clock_.now();
    clock_.advance(seconds(1));
    registry_.noteRegistered(state_, clock_.now());
    eras_.note(state_, clock_.now());
    registry_.update({ { nodeOf(1) }, state_ }, eras_, sentAt);
    EXPECT_FALSE(registry_.needsRegistration(eras_));
}

// Guards against a node that is not listed leaving its own share of what all nodes share to the others, and taking it.
TEST_F(NodeRegistryTest, NodeCountsItselfThoughItIsNotListed)
{
    update(3);
    clock_.advance(StoreRewriteTime);
    update(3);
    EXPECT_EQ(registry_.sharingNodes(), 3U);
    update({ { nodeOf(1), nodeOf(2) }, state_ });
    EXPECT_EQ(registry_.sharingNodes(), 3U);
    update({ {}, state_ });
    EXPECT_EQ(registry_.sharingNodes(), 1U);
}

TEST_F(NodeRegistryTest, StoreWithoutErasNeedsOneRegistration)
{
    EXPECT_TRUE(registry_.needsRegistration(eras_));
    registry_.noteRegistered({ 0, 7 }, clock_.now());
    EXPECT_FALSE(registry_.needsRegistration(eras_));
}

} // namespace
} // namespace GeraniumLever
