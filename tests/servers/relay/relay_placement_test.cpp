#include "tests/servers/relay/relay_fixture.h"

#include <set>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

class RelayPlacementTest : public RelayFixture
{
protected:
    static PromptInfo promptOf(std::uint64_t shared, std::uint64_t own)
    {
        return { 1000, 100, { { 1, 100 }, { shared, 500 }, { own, 400 } } };
    }
};

TEST_F(RelayPlacementTest, RequestsWithEqualPromptPartsGoToOneEngine)
{
    upstreams_.clear();
    for (int number = 1; number <= 8; ++number) {
        upstreams_.push_back(upstreamOf("e" + std::to_string(number), "engines", 48));
    }
    learn();
    std::set<UpstreamName> used;
    for (std::uint64_t subject = 10; subject < 20; ++subject) {
        std::set<UpstreamName> ofSubject;
        for (std::uint64_t own = 0; own < 4; ++own) {
            const RequestId request = arrive("/stream/1", "key-one", promptOf(subject, 1000 + own));
            ofSubject.insert(dispatches(request).at(0).upstream);
            answer(request);
            end(request);
        }
        EXPECT_EQ(ofSubject.size(), 1U);
        used.insert(ofSubject.begin(), ofSubject.end());
    }
    EXPECT_GE(used.size(), 4U);
}

TEST_F(RelayPlacementTest, OneHotSubjectSpreadsOverTheEngines)
{
    upstreams_.clear();
    for (int number = 1; number <= 8; ++number) {
        upstreams_.push_back(upstreamOf("e" + std::to_string(number), "engines", 48));
    }
    learn();
    std::map<UpstreamName, int> counts;
    for (std::uint64_t own = 0; own < 80; ++own) {
        ++counts[dispatches(arrive("/stream/1", "key-one", promptOf(7, own))).at(0).upstream];
    }
    EXPECT_GE(counts.size(), 6U);
    for (const auto &[upstream, count] : counts) {
        EXPECT_LE(count, 80 / 8 * 1.3 + 3) << upstream.text();
    }
}

TEST_F(RelayPlacementTest, AnUpstreamThatStatesALoadGetsLess)
{
    learn();
    const RequestId first = arrive("/read/1");
    RelayResponseHead head;
    head.attempt = dispatches(first).back().attempt;
    head.status = 200;
    head.load = ReportedLoad { 4, 2, 4 };
    system_.headArrived(head, clock_.now(), commands_);
    end(first);
    for (int count = 0; count < 3; ++count) {
        EXPECT_NE(dispatches(arrive("/read/1")).at(0).upstream, dispatches(first)[0].upstream);
    }
}

TEST_F(RelayPlacementTest, AnUpstreamThatCannotBeReachedIsPassedOver)
{
    learn();
    const RequestId first = arrive("/read/1");
    fail(first, RelayFailure::Kind::NotConnected);
    const UpstreamName lost = dispatches(first)[0].upstream;
    for (int count = 0; count < 3; ++count) {
        EXPECT_NE(dispatches(arrive("/read/1")).at(0).upstream, lost);
    }
}

TEST_F(RelayPlacementTest, ConnectionsOfAnUpstreamAreDividedAmongTheNodes)
{
    configuration_.pools[0].maxConnections = 24;
    upstreams_ = { upstreamOf("e1", "engines", 48) };
    learn();
    EXPECT_EQ(dispatches(arrive("/stream/1")).size(), 1U);
    EXPECT_EQ(dispatches(arrive("/stream/1")).size(), 1U);
    EXPECT_TRUE(dispatches(arrive("/stream/1")).empty());
}

} // namespace
} // namespace GeraniumLever
