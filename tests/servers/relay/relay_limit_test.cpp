#include <algorithm>
#include <set>

#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

/** Servers that limit their requests. */
class RelayLimitTest : public RelayFixture
{
protected:
    RelayLimitTest()
    {
        storeState_.clock = std::chrono::hours(50);
        configuration_.routes[2].timeout = std::chrono::seconds(3);
    }

    /** Sends a request and lets it be answered with what its upstream states; returns the upstream, empty if refused.
     */
    UpstreamName send(const std::string &path, const std::string &key = "key-one")
    {
        commands_.clear();
        const RequestId request = arrive(path, key);
        for (int step = 0; step < 20 && dispatches(request).empty() && refusals(request).empty(); ++step) {
            advance(milliseconds(25));
            storeState_.clock = *storeState_.clock + milliseconds(25);
            tick();
        }
        if (dispatches(request).empty()) {
            lastRefusals_ = refusals(request);
            return {};
        }
        const RelayDispatch sent = dispatches(request).back();
        RelayResponseHead head;
        head.attempt = sent.attempt;
        head.status = 200;
        const auto limit = limits_.find(sent.upstream);
        if (limit != limits_.end()) {
            head.requestLimit = limit->second;
        }
        system_.headArrived(head, clock_.now(), commands_);
        end(request);
        return sent.upstream;
    }

    /** Sends a request each 50 ms; returns how many each upstream got. */
    std::map<UpstreamName, int> run(Duration time, const std::string &path)
    {
        std::map<UpstreamName, int> sent;
        for (Duration passed(0); passed < time; passed += milliseconds(50)) {
            advance(milliseconds(50));
            storeState_.clock = *storeState_.clock + milliseconds(50);
            readStore();
            tick();
            ++sent[send(path)];
        }
        commands_.clear();
        return sent;
    }

    std::map<UpstreamName, double> limits_;
    std::vector<RelayRefusal> lastRefusals_;
};

TEST_F(RelayLimitTest, OtherUpstreamsTakeWhatALimitedOneDoesNot)
{
    configure();
    limits_[UpstreamName("p1")] = 9.0;
    run(std::chrono::seconds(1), "/read/1");
    std::map<UpstreamName, int> sent = run(std::chrono::seconds(20), "/read/1");
    EXPECT_EQ(sent[UpstreamName()], 0) << "refused";
    EXPECT_GE(sent[UpstreamName("p1")], 10);
    EXPECT_LE(sent[UpstreamName("p1")], 22) << "one of nine nodes, 20 s";
    EXPECT_GE(sent[UpstreamName("p2")], 370);
}

TEST_F(RelayLimitTest, RequestsThatNoLimitAllowsAreRefusedAtOnceAndComeBackAtDifferentTimes)
{
    configure();
    limits_[UpstreamName("p1")] = 3.0;
    limits_[UpstreamName("p2")] = 3.0;
    run(std::chrono::seconds(1), "/read/1");
    std::set<Duration> times;
    int refused = 0;
    for (int number = 0; number < 60; ++number) {
        advance(milliseconds(20));
        if (!send("/read/1").empty()) {
            continue;
        }
        if (lastRefusals_.empty()) {
            continue;
        }
        ++refused;
        EXPECT_EQ(lastRefusals_.back().error.code, ResultCode::UpstreamLimited);
        EXPECT_EQ(lastRefusals_.back().outcome, Outcome::NotRun);
        times.insert(*lastRefusals_.back().error.retryAfter);
    }
    EXPECT_GE(refused, 40);
    EXPECT_GE(times.size(), 35U);
    EXPECT_GT(*times.rbegin() - *times.begin(), milliseconds(600)) << "spread over a third of 3 s";
}

TEST_F(RelayLimitTest, LimitThatEndsLeavesNoTrace)
{
    configure();
    limits_[UpstreamName("p1")] = 9.0;
    run(std::chrono::seconds(5), "/read/1");
    EXPECT_TRUE(system_.fleet().limits().isLimited(UpstreamName("p1")));
    limits_.clear();
    run(std::chrono::seconds(4), "/read/1");
    EXPECT_FALSE(system_.fleet().limits().isLimited(UpstreamName("p1")));
    EXPECT_GE(run(std::chrono::seconds(5), "/read/1")[UpstreamName("p1")], 30);
}

TEST_F(RelayLimitTest, RetriesCountAgainstTheLimit)
{
    configure();
    limits_[UpstreamName("p1")] = 9.0;
    run(std::chrono::seconds(2), "/read/1");
    const std::uint64_t before = system_.fleet().limits().sent();
    commands_.clear();
    for (int number = 0; number < 40; ++number) {
        advance(milliseconds(50));
        tick();
        const RequestId request = arrive("/read/1");
        std::size_t attempts = 0;
        while (dispatches(request).size() > attempts) {
            attempts = dispatches(request).size();
            fail(request);
        }
    }
    const auto reached = std::count_if(commands_.begin(), commands_.end(), [](const RelayCommand &command) {
        const RelayDispatch *sent = std::get_if<RelayDispatch>(&command);
        return sent != nullptr && sent->upstream == UpstreamName("p1");
    });
    EXPECT_LE(reached, 4) << "one of nine nodes, 2 s";
    EXPECT_EQ(system_.fleet().limits().sent() - before, static_cast<std::uint64_t>(reached));
}

TEST_F(RelayLimitTest, EnginesWithALimitTakeNoEngineAwayFromTheOthers)
{
    for (int number = 3; number <= 8; ++number) {
        upstreams_.push_back(upstreamOf("e" + std::to_string(number), "engines", 4));
    }
    configure();
    limits_[UpstreamName("e1")] = 1.0;
    limits_[UpstreamName("e2")] = 1.0;
    run(std::chrono::seconds(3), "/stream/1");
    std::map<UpstreamName, int> sent = run(std::chrono::seconds(20), "/stream/1");
    EXPECT_EQ(sent[UpstreamName()], 0);
    EXPECT_LE(sent[UpstreamName("e1")] + sent[UpstreamName("e2")], 8) << "one of nine nodes, 20 s";
}

TEST_F(RelayLimitTest, BrokenStreamNeedNotLeaveAPermitToMoreUrgentRequests)
{
    configuration_.routes[1].tier = 3;
    configure();
    const RequestId stream = arrive("/live/1");
    answer(stream);
    const AttemptId attempt = dispatches(stream).back().attempt;
    limits_[UpstreamName("e1")] = 27.0;
    limits_[UpstreamName("e2")] = 27.0;
    for (int number = 0; number < 4; ++number) {
        run(milliseconds(500), "/stream/1");
        system_.progressed({ attempt }, clock_.now(), commands_);
    }
    system_.failed({ attempt, RelayFailure::Kind::Broken }, clock_.now(), commands_);
    for (Duration passed(0); passed < milliseconds(700); passed += milliseconds(25)) {
        advance(milliseconds(25));
        tick();
    }
    EXPECT_EQ(dispatches(stream).size(), 1U) << "resumed";
}

} // namespace
} // namespace GeraniumLever
