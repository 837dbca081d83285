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

TEST_F(RelayPlacementTest, RequestsWithEqualPrefixGoToOneEngine)
{
    upstreams_.clear();
    for (int number = 1; number <= 8; ++number) {
        upstreams_.push_back(upstreamOf("e" + std::to_string(number), "engines", 48));
    }
    configure();
    std::set<UpstreamName> used;
    for (std::uint64_t prefix = 10; prefix < 20; ++prefix) {
        std::set<UpstreamName> enginesOfPrefix;
        for (std::uint64_t own = 0; own < 4; ++own) {
            const RequestId request = arrive("/stream/1", "key-one", promptOf(prefix, 1000 + own));
            enginesOfPrefix.insert(dispatches(request).at(0).upstream);
            answer(request);
            end(request);
        }
        EXPECT_EQ(enginesOfPrefix.size(), 1U);
        used.insert(enginesOfPrefix.begin(), enginesOfPrefix.end());
    }
    EXPECT_GE(used.size(), 4U);
}

TEST_F(RelayPlacementTest, HotPrefixSpreadsOverEngines)
{
    upstreams_.clear();
    for (int number = 1; number <= 8; ++number) {
        upstreams_.push_back(upstreamOf("e" + std::to_string(number), "engines", 48));
    }
    configure();
    std::map<UpstreamName, int> counts;
    for (std::uint64_t own = 0; own < 80; ++own) {
        ++counts[dispatches(arrive("/stream/1", "key-one", promptOf(7, own))).at(0).upstream];
    }
    EXPECT_GE(counts.size(), 6U);
    for (const auto &[upstream, count] : counts) {
        EXPECT_LE(count, 80 / 8 * 1.3 + 3) << upstream.text();
    }
}

TEST_F(RelayPlacementTest, UpstreamThatReportsLoadGetsFewerRequests)
{
    configure();
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

TEST_F(RelayPlacementTest, UnreachableUpstreamIsSkipped)
{
    configure();
    const RequestId first = arrive("/read/1");
    fail(first, RelayFailure::Kind::NotConnected);
    const UpstreamName unreachable = dispatches(first)[0].upstream;
    for (int count = 0; count < 3; ++count) {
        EXPECT_NE(dispatches(arrive("/read/1")).at(0).upstream, unreachable);
    }
}

TEST_F(RelayPlacementTest, UpstreamConnectionsAreDividedAmongNodes)
{
    configuration_.pools[0].maxConnections = 24;
    upstreams_ = { upstreamOf("e1", "engines", 48) };
    configure();
    EXPECT_EQ(dispatches(arrive("/stream/1")).size(), 1U);
    EXPECT_EQ(dispatches(arrive("/stream/1")).size(), 1U);
    EXPECT_TRUE(dispatches(arrive("/stream/1")).empty());
}

} // namespace
} // namespace GeraniumLever
