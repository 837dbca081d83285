/** Plays loads against the relay's decisions and checks what callers get. */
#include "tests/servers/relay/relay_fixture.h"

#include <map>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

/** Upstreams that serve each request for a fixed time, with as many at once as they have seats. */
class RelayLoadTest : public RelayFixture
{
protected:
    struct Counts
    {
        int asked = 0;
        int answered = 0;
        int refused = 0;
        Duration longestToRefusal { 0 };
    };

    /** Moves the time on by one millisecond and ends what is due. */
    void step()
    {
        advance(milliseconds(1));
        const RelayCommands news = std::exchange(commands_, {});
        for (const RelayCommand &command : news) {
            if (const RelayDispatch *dispatch = std::get_if<RelayDispatch>(&command)) {
                endings_.emplace(clock_.now() + service_, std::make_pair(dispatch->attempt, dispatch->request));
            }
            if (const RelayRefusal *refusal = std::get_if<RelayRefusal>(&command)) {
                Counts &counts = counts_[kinds_[refusal->request]];
                ++counts.refused;
                counts.longestToRefusal = std::max(counts.longestToRefusal, clock_.now() - arrivals_[refusal->request]);
                EXPECT_TRUE(refusal->error.retryAfter.has_value());
            }
        }
        while (!endings_.empty() && endings_.begin()->first <= clock_.now()) {
            const auto [attempt, request] = endings_.begin()->second;
            endings_.erase(endings_.begin());
            RelayResponseHead head;
            head.attempt = attempt;
            head.status = 200;
            system_.headArrived(head, clock_.now(), commands_);
            system_.ended({ attempt }, clock_.now(), commands_);
            ++counts_[kinds_[request]].answered;
        }
        if (++steps_ % 25 == 0) {
            tick();
        }
    }

    void ask(const std::string &kind, const std::string &path, const std::string &key)
    {
        const RequestId request(1, lastRequest_ + 1);
        kinds_[request] = kind;
        arrivals_[request] = clock_.now();
        ++counts_[kind].asked;
        arrive(path, key);
    }

    Duration service_ = milliseconds(50);
    std::multimap<TimePoint, std::pair<AttemptId, RequestId>> endings_;
    std::map<RequestId, std::string> kinds_;
    std::map<RequestId, TimePoint> arrivals_;
    std::map<std::string, Counts> counts_;
    int steps_ = 0;
};

TEST_F(RelayLoadTest, AFloodOfLowTierWorkCostsLiveRequestsNothing)
{
    upstreams_ = { upstreamOf("e1", "engines", 4), upstreamOf("e2", "engines", 4) };
    learn();
    for (int millisecond = 0; millisecond < 4000; ++millisecond) {
        if (millisecond % 2 == 0) {
            ask("low", "/stream/1", "key-one");
        }
        if (millisecond % 20 == 0) {
            ask("live", "/live/1", "key-two");
        }
        step();
    }
    EXPECT_EQ(counts_["live"].refused, 0);
    EXPECT_GT(counts_["low"].answered, 300);
    EXPECT_GT(counts_["low"].refused, 100);
    EXPECT_LE(counts_["low"].longestToRefusal, milliseconds(200));
}

TEST_F(RelayLoadTest, ATeamThatFloodsDoesNotStarveAnother)
{
    upstreams_ = { upstreamOf("e1", "engines", 4), upstreamOf("e2", "engines", 4) };
    learn();
    for (int millisecond = 0; millisecond < 4000; ++millisecond) {
        if (millisecond % 2 == 0) {
            ask("flood", "/stream/1", "key-one");
        }
        if (millisecond % 25 == 0) {
            ask("small", "/stream/1", "key-two");
        }
        step();
    }
    EXPECT_GT(counts_["small"].answered, counts_["small"].asked * 9 / 10);
}

} // namespace
} // namespace GeraniumLever
