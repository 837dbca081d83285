#include <algorithm>

#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

/** Servers that limit the requests of all nodes, of which the node is one of at most a hundred. */
class RelayLimitsTest : public RelayNodeFixture
{
protected:
    RelayLimitsTest()
    {
        settings_.keyLifetime = std::chrono::seconds(30);
        writeConfiguration();
    }

    /** Sends requests for some time; returns their statuses. */
    std::map<unsigned, std::size_t> sendFor(milliseconds time)
    {
        std::map<unsigned, std::size_t> statuses;
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            const std::string id = "r" + std::to_string(++lastId_);
            ++statuses[sendRequest(request(id, "POST", "/read/1", "prompt", "Stand-In: gap=1\r\n")).status];
            runFor(milliseconds(4));
        }
        return statuses;
    }

    std::size_t arrivalsSince(const ServerStandIn &server, std::chrono::steady_clock::time_point time) const
    {
        const std::vector<ServerArrival> &arrivals = server.arrivals();
        return static_cast<std::size_t>(std::count_if(
            arrivals.begin(), arrivals.end(), [&](const ServerArrival &arrival) { return arrival.at >= time; }));
    }

    int lastId_ = 0;
};

// Guards against a server that gets more requests than the limit that it names.
TEST_F(RelayLimitsTest, ServerThatNamesALimitGetsNoMoreRequestsThanItAllows)
{
    ServerStandIn &limited = addServer("p1", "plain");
    ServerStandIn &other = addServer("p2", "plain");
    startNode();
    limited.limit("2.5");
    sendFor(milliseconds(500));
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    const std::map<unsigned, std::size_t> statuses = sendFor(milliseconds(4000));
    EXPECT_LE(arrivalsSince(limited, begin), 20U) << "one and a half times 10, and 5";
    EXPECT_GE(arrivalsSince(other, begin), 200U);
    EXPECT_EQ(statuses.size(), 1U) << "all are answered";
    EXPECT_EQ(statuses.count(200), 1U);
}

TEST_F(RelayLimitsTest, LimitEndsWithTheFirstAnswerThatNamesNone)
{
    ServerStandIn &limited = addServer("p1", "plain");
    startNode();
    limited.limit("100");
    sendFor(milliseconds(1000));
    limited.limit("");
    sendFor(milliseconds(2500));
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    const std::map<unsigned, std::size_t> statuses = sendFor(milliseconds(1000));
    EXPECT_GE(arrivalsSince(limited, begin), 50U);
    EXPECT_EQ(statuses.count(503), 0U);
}

TEST_F(RelayLimitsTest, RequestsBeyondTheLimitOfAllServersAreRefusedAsNotRun)
{
    ServerStandIn &limited = addServer("p1", "plain");
    startNode();
    limited.limit("1");
    sendFor(milliseconds(300));
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    std::map<unsigned, std::size_t> statuses = sendFor(milliseconds(2000));
    EXPECT_LE(arrivalsSince(limited, begin), 8U);
    EXPECT_GE(statuses[503], 100U);
    const ReceivedResponse refused = sendRequest(request("last", "POST", "/read/1", "prompt"));
    EXPECT_NE(refused.body.find("upstream_limited"), std::string::npos);
    EXPECT_NE(refused.head.find("Retry-After: "), std::string::npos);
}

} // namespace
} // namespace GeraniumLever
