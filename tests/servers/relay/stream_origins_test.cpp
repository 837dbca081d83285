#include "servers/relay/relay.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Lifetime = seconds(20);

/** Nodes in three data centres that deliver each other's messages. */
class StreamOriginsTest : public testing::Test
{
protected:
    void addNodes(int count)
    {
        std::vector<PeerNode> list;
        for (int number = 0; number < count; ++number) {
            const std::string name = "node-" + std::to_string(number);
            list.push_back({ NodeName(name), DataCenterName("dc-" + std::to_string(number % 3)), name });
        }
        for (const PeerNode &node : list) {
            nodes_.emplace(node.address, StreamOrigins(node.node, node.dataCenter)).first->second.updateNodes(list);
        }
    }

    StreamOrigins &node(int number) { return nodes_.at("node-" + std::to_string(number)); }

    void begin(int number, const std::string &stream)
    {
        for (const OutgoingStreamMessage &message : node(number).record(stream, origin_, Lifetime, now_)) {
            ++messages_;
            if (down_.count(message.address) == 0) {
                nodes_.at(message.address).receive(std::get<StreamRecord>(message.message), now_);
            }
        }
    }

    std::optional<StreamOrigin> locate(int number, const std::string &stream)
    {
        std::optional<StreamOrigin> origin = node(number).find(stream, now_);
        if (origin.has_value()) {
            return origin;
        }
        for (const OutgoingStreamMessage &message : node(number).startLookup(stream, now_)) {
            ++messages_;
            if (down_.count(message.address) != 0) {
                continue;
            }
            const StreamReply reply = nodes_.at(message.address).answer(std::get<StreamQuery>(message.message), now_);
            if (node(number).receive(reply) && reply.origin.has_value()) {
                return reply.origin;
            }
        }
        return std::nullopt;
    }

    const StreamOrigin origin_ { PoolName("engines"), "v1.1" };
    std::map<std::string, StreamOrigins> nodes_;
    std::set<std::string> down_;
    TimePoint now_ { seconds(1000) };
    int messages_ = 0;
};

TEST_F(StreamOriginsTest, AnyNodeFindsTheOriginAfterTheFirstNodeIsGone)
{
    for (const int count : { 2, 3, 9, 300 }) {
        nodes_.clear();
        addNodes(count);
        down_ = { "node-0" };
        for (int number = 0; number < 100; ++number) {
            const std::string stream = std::to_string(count) + "/" + std::to_string(number);
            begin(0, stream);
            EXPECT_EQ(locate(1 + number % (count - 1), stream), origin_) << stream;
        }
    }
}

TEST_F(StreamOriginsTest, OriginIsFoundWithinTheDataCenterThatIsCutOff)
{
    addNodes(9);
    down_ = { "node-0", "node-1", "node-2", "node-4", "node-5", "node-7", "node-8" };
    for (int number = 0; number < 100; ++number) {
        const std::string stream = std::to_string(number);
        begin(0, stream);
        EXPECT_EQ(locate(number % 2 == 0 ? 3 : 6, stream), origin_) << stream;
    }
}

TEST_F(StreamOriginsTest, OriginSurvivesTheLossOfItsDataCenter)
{
    addNodes(9);
    for (int number = 0; number < 100; ++number) {
        begin(0, std::to_string(number));
    }
    down_ = { "node-0", "node-3", "node-6" };
    for (int number = 0; number < 100; ++number) {
        EXPECT_EQ(locate(number % 2 == 0 ? 1 : 5, std::to_string(number)), origin_) << number;
    }
}

TEST_F(StreamOriginsTest, MessagesDoNotGrowWithTheFleet)
{
    for (const int count : { 30, 300 }) {
        nodes_.clear();
        addNodes(count);
        messages_ = 0;
        begin(0, "stream");
        EXPECT_EQ(messages_, 3) << count;
        locate(1, "unknown");
        EXPECT_LE(messages_, 8) << count;
    }
}

TEST_F(StreamOriginsTest, LookupEndsWhenAllHaveAnsweredOrItTimesOut)
{
    addNodes(9);
    const std::vector<OutgoingStreamMessage> queries = node(1).startLookup("unknown", now_);
    ASSERT_GT(queries.size(), 1U);
    for (std::size_t index = 0; index < queries.size(); ++index) {
        EXPECT_EQ(node(1).silentNodes("unknown"), queries.size() - index);
        const NodeName name(queries[index].address);
        EXPECT_EQ(node(1).receive(StreamReply { name, "unknown", std::nullopt }), index + 1 == queries.size());
    }
    const std::size_t asked = node(1).startLookup("lost", now_).size();
    EXPECT_TRUE(node(1).repeatQueries(now_ + milliseconds(10)).empty());
    EXPECT_EQ(node(1).repeatQueries(now_ + milliseconds(60)).size(), asked);
    EXPECT_TRUE(node(1).repeatQueries(now_ + milliseconds(70)).empty());
    node(1).expire(now_ + StreamLookupTimeout);
    EXPECT_FALSE(node(1).receive(StreamReply { NodeName(queries[0].address), "lost", origin_ }));
}

TEST_F(StreamOriginsTest, StreamsThatCannotBeTakenUpAreForgotten)
{
    addNodes(2);
    begin(0, "stream");
    EXPECT_EQ(node(1).size(), 1U);
    now_ += Lifetime / 2;
    begin(0, "stream");
    now_ += Lifetime / 2;
    node(1).expire(now_);
    EXPECT_EQ(locate(1, "stream"), origin_);
    now_ += Lifetime / 2;
    EXPECT_EQ(node(1).find("stream", now_), std::nullopt);
    node(1).expire(now_);
    EXPECT_EQ(node(1).size(), 0U);
}

} // namespace
} // namespace GeraniumLever
