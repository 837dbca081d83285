#include "servers/relay/upstream_limits.h"

#include <deque>
#include <memory>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const UpstreamName server("s1");

/** Nodes that all want to send more requests to one server than it takes. */
class UpstreamLimitsTest : public testing::Test
{
protected:
    struct Node
    {
        explicit Node(const NodeName &nodeName) : name(nodeName), view(nodeName), limits(nodeName) { }

        NodeName name;
        PeerView view;
        UpstreamLimits limits;
        /** Requests per second that it would send. */
        double demand = 20.0;
        double backlog = 0.0;
        /** When it first received an answer with a limit. */
        std::optional<TimePoint> toldAt;
        std::size_t dataCenter = 0;
    };

    struct Arrival
    {
        TimePoint at;
        bool told = false;
    };

    void start(std::size_t count, std::size_t dataCenters = 3)
    {
        for (std::size_t number = 0; number < count; ++number) {
            const NodeName name("node-" + std::to_string(1000 + number));
            listed_.push_back({ name, DataCenterName("dc"), "" });
        }
        for (const PeerNode &peer : listed_) {
            indices_[peer.node] = nodes_.size();
            nodes_.push_back(std::make_unique<Node>(peer.node));
            nodes_.back()->dataCenter = nodes_.size() * dataCenters / (count + 1);
            list(*nodes_.back());
        }
    }

    /** The node reads the list of nodes and the store's clock. */
    void list(Node &node)
    {
        NodeRegistry registry(node.name, 1);
        StoreEras eras;
        registry.update({ listed_, {} }, eras, clock_.now());
        node.view.updateNodes(listed_);
        node.limits.updateNodes(registry);
        readClock(node);
    }

    void readClock(Node &node)
    {
        const Duration delay(static_cast<Duration::rep>(random_.fraction() * 20'000.0));
        node.limits.noteStoreClock(clock_.now().time_since_epoch() + storeAhead_ - delay, clock_.now());
    }

    void restart(std::size_t index)
    {
        const NodeName name = nodes_[index]->name;
        const std::size_t dataCenter = nodes_[index]->dataCenter;
        nodes_[index] = std::make_unique<Node>(name);
        nodes_[index]->dataCenter = dataCenter;
        list(*nodes_[index]);
    }

    void deliver(const Node &from, const std::vector<LimitStatement> &statements)
    {
        if (statements.empty()) {
            return;
        }
        for (const PeerNode &peer : from.view.targets()) {
            Node &to = *nodes_[indices_.at(peer.node)];
            ++datagrams_;
            const bool isCut = cutOff_.has_value() && (from.dataCenter == *cutOff_) != (to.dataCenter == *cutOff_);
            if (!isCut && random_.fraction() >= loss_) {
                to.limits.receive({ from.name, statements }, clock_.now());
            }
        }
    }

    void send(Node &node)
    {
        const TimePoint now = clock_.now();
        node.limits.noteSent(server, now);
        arrivals_.push_back({ now, node.toldAt.has_value() && now - *node.toldAt >= milliseconds(500) });
        if (serverLimit_.has_value() && !namedAt_.has_value()) {
            namedAt_ = now;
        }
        answers_.push_back({ &node, now, now + milliseconds(20), serverLimit_ });
    }

    void run(Duration time)
    {
        constexpr Duration Step = milliseconds(25);
        for (Duration passed(0); passed < time; passed += Step) {
            clock_.advance(Step);
            const TimePoint now = clock_.now();
            while (!answers_.empty() && answers_.front().arrivesAt <= now) {
                const Answer answer = answers_.front();
                answers_.pop_front();
                answer.node->limits.noteAnswer(server, answer.limit, answer.sentAt, now);
                if (answer.limit.has_value() && !answer.node->toldAt.has_value()) {
                    answer.node->toldAt = now;
                }
            }
            const bool isReportDue = now.time_since_epoch() % PeerReportPeriod < Step;
            for (const std::unique_ptr<Node> &node : nodes_) {
                deliver(*node, node->limits.takeNews(now));
                if (isReportDue) {
                    deliver(*node, node->limits.report(now));
                }
                node->backlog = std::min(20.0, node->backlog + node->demand * 0.025 * 2.0 * random_.fraction());
                while (node->backlog >= 1.0
                       && (!node->limits.isLimited(server) || node->limits.permits(server, now).count > 0)) {
                    node->backlog -= 1.0;
                    send(*node);
                }
            }
        }
    }

    /** The most requests from told nodes in any 4 s, from 3 s after the limit was first named. */
    std::size_t mostIn4s() const
    {
        std::vector<TimePoint> counted;
        for (const Arrival &arrival : arrivals_) {
            if (arrival.told && arrival.at >= *namedAt_ + seconds(3)) {
                counted.push_back(arrival.at);
            }
        }
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < counted.size(); ++last) {
            while (counted[last] - counted[first] >= seconds(4)) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::size_t arrivalsIn(Duration time) const
    {
        return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(), [&](const Arrival &arrival) {
            return clock_.now() - arrival.at <= time;
        }));
    }

    std::size_t limitedNodes() const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(), [](const auto &node) { return node->limits.isLimited(server); }));
    }

    static std::size_t allowed(double limit) { return static_cast<std::size_t>(limit * 4.0 * 1.5 + 5.0); }

    struct Answer
    {
        Node *node = nullptr;
        TimePoint sentAt;
        TimePoint arrivesAt;
        std::optional<double> limit;
    };

    SteppedClock clock_;
    std::vector<PeerNode> listed_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<NodeName, std::size_t> indices_;
    RandomSource random_ { 7 };
    std::deque<Answer> answers_;
    std::vector<Arrival> arrivals_;
    std::optional<double> serverLimit_;
    std::optional<TimePoint> namedAt_;
    Duration storeAhead_ = std::chrono::hours(100);
    double loss_ = 0.1;
    std::optional<std::size_t> cutOff_;
    std::uint64_t datagrams_ = 0;
};

class UpstreamLimitsFleetTest : public UpstreamLimitsTest, public testing::WithParamInterface<std::size_t>
{
};

TEST_P(UpstreamLimitsFleetTest, NodesTogetherStayWithinTheLimitAndUseMostOfIt)
{
    for (const double limit : { 1.0, 2.9, 40.0 }) {
        nodes_.clear();
        listed_.clear();
        arrivals_.clear();
        answers_.clear();
        namedAt_.reset();
        start(GetParam());
        serverLimit_ = limit;
        run(seconds(40));
        EXPECT_EQ(limitedNodes(), nodes_.size());
        EXPECT_LE(mostIn4s(), allowed(limit)) << limit;
        EXPECT_GE(static_cast<double>(arrivalsIn(seconds(20))), limit * 20.0 * 0.9) << limit;
    }
}

TEST_P(UpstreamLimitsFleetTest, DataCenterThatIsCutOffStaysWithinItsShare)
{
    start(GetParam());
    cutOff_ = 1;
    serverLimit_ = 1.0;
    run(seconds(30));
    EXPECT_LE(mostIn4s(), allowed(1.0));
    cutOff_.reset();
    run(seconds(30));
    EXPECT_LE(mostIn4s(), allowed(1.0));
}

TEST_P(UpstreamLimitsFleetTest, LimitThatRisesFallsAndEndsIsFollowedEverywhere)
{
    start(GetParam());
    serverLimit_ = 4.0;
    run(seconds(15));
    arrivals_.clear();
    serverLimit_ = 1.0;
    namedAt_ = clock_.now();
    run(seconds(20));
    EXPECT_LE(mostIn4s(), allowed(1.0));
    serverLimit_ = 6.0;
    run(seconds(20));
    EXPECT_GE(arrivalsIn(seconds(10)), 50U);
    EXPECT_LE(mostIn4s(), allowed(6.0));
    serverLimit_.reset();
    run(seconds(5));
    EXPECT_EQ(limitedNodes(), 0U);
    EXPECT_GT(arrivalsIn(seconds(1)), nodes_.size() * 10);
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, UpstreamLimitsFleetTest, testing::Values(9, 76, 300));

TEST_F(UpstreamLimitsTest, RestartedNodesLearnTheLimitFromTheirPeers)
{
    start(9);
    serverLimit_ = 1.0;
    run(seconds(10));
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        nodes_[index]->demand = 0.0;
        restart(index);
        nodes_[index]->demand = 0.0;
        run(milliseconds(1100));
        EXPECT_TRUE(nodes_[index]->limits.isLimited(server)) << index;
    }
}

TEST_F(UpstreamLimitsTest, ClockOfARestoredStoreDoesNotBreakTheLimit)
{
    start(9);
    serverLimit_ = 2.0;
    run(seconds(10));
    storeAhead_ = std::chrono::hours(7);
    for (const std::unique_ptr<Node> &node : nodes_) {
        readClock(*node);
        run(milliseconds(300));
    }
    run(seconds(10));
    EXPECT_LE(mostIn4s(), allowed(2.0));
    serverLimit_.reset();
    run(seconds(8));
    EXPECT_EQ(limitedNodes(), 0U);
}

TEST_F(UpstreamLimitsTest, AddedNodesShareTheLimit)
{
    start(9);
    serverLimit_ = 2.0;
    run(seconds(10));
    for (std::size_t number = 0; number < 7; ++number) {
        const NodeName name("node-" + std::to_string(2000 + number));
        listed_.push_back({ name, DataCenterName("dc"), "" });
        indices_[name] = nodes_.size();
        nodes_.push_back(std::make_unique<Node>(name));
        list(*nodes_.back());
    }
    run(seconds(2));
    for (const std::unique_ptr<Node> &node : nodes_) {
        list(*node);
        run(milliseconds(200));
    }
    run(seconds(20));
    EXPECT_LE(mostIn4s(), allowed(2.0));
}

TEST_F(UpstreamLimitsTest, AnswerToAnEarlierRequestDoesNotEndTheLimit)
{
    start(1);
    UpstreamLimits &limits = nodes_[0]->limits;
    const TimePoint before = clock_.now();
    clock_.advance(milliseconds(50));
    limits.noteAnswer(server, 3.0, before, clock_.now());
    clock_.advance(milliseconds(10));
    limits.noteAnswer(server, std::nullopt, before, clock_.now());
    EXPECT_TRUE(limits.isLimited(server));
    limits.noteAnswer(server, 8.0, before, clock_.now());
    EXPECT_EQ(limits.rate(server), 3.0);
    limits.noteAnswer(server, 2.0, before, clock_.now());
    EXPECT_EQ(limits.rate(server), 2.0) << "of two statements with an unknown order the stricter one holds";
    clock_.advance(milliseconds(10));
    limits.noteAnswer(server, std::nullopt, clock_.now(), clock_.now());
    EXPECT_FALSE(limits.isLimited(server));
}

TEST_F(UpstreamLimitsTest, LimitOfZeroStillLetsTheEndBeFound)
{
    start(1);
    serverLimit_ = 0.0;
    run(seconds(15));
    serverLimit_.reset();
    run(seconds(30));
    EXPECT_EQ(limitedNodes(), 0U);
}

TEST_F(UpstreamLimitsTest, ChangesNameTheirSource)
{
    start(2);
    nodes_[0]->limits.noteAnswer(server, 3.0, clock_.now(), clock_.now());
    clock_.advance(milliseconds(5));
    nodes_[1]->limits.receive({ nodes_[0]->name, nodes_[0]->limits.takeNews(clock_.now()) }, clock_.now());
    const std::vector<LimitChange> changes = nodes_[1]->limits.takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].source, nodes_[0]->name);
    EXPECT_EQ(changes[0].rate, 3.0);
    EXPECT_EQ(changes[0].before, std::nullopt);
}

TEST_F(UpstreamLimitsTest, ManyLimitsAreReportedInParts)
{
    start(9);
    for (int number = 0; number < 90; ++number) {
        const UpstreamName name("engine-" + std::to_string(number));
        nodes_[0]->limits.noteAnswer(name, 2.0, clock_.now(), clock_.now());
    }
    for (const std::unique_ptr<Node> &node : nodes_) {
        node->demand = 0.0;
    }
    run(seconds(3));
    for (const std::unique_ptr<Node> &node : nodes_) {
        EXPECT_EQ(node->limits.size(), 90U);
        EXPECT_LE(node->limits.report(clock_.now()).size(), UpstreamLimits::MaxReportedStatements);
    }
}

} // namespace
} // namespace GeraniumLever
