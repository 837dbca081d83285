/** Simulates load on the relay's decisions and checks the callers' results. Guards against low-priority floods that
 *  delay, starve or reject the requests of others. */
#include "tests/servers/relay/relay_fixture.h"

#include <map>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

/** Upstreams that serve each request for a fixed time, with as many concurrent requests as they have seats. */
class RelayLoadTest : public RelayFixture
{
protected:
    struct Counts
    {
        int sent = 0;
        int answered = 0;
        int rejected = 0;
        Duration longestTimeToRejection { 0 };
    };

    /** Advances the clock by one millisecond and completes the attempts that are due. */
    void step()
    {
        advance(milliseconds(1));
        const RelayCommands newCommands = std::exchange(commands_, {});
        for (const RelayCommand &command : newCommands) {
            if (const RelayDispatch *dispatch = std::get_if<RelayDispatch>(&command)) {
                completions_.emplace(clock_.now() + serviceTime_, std::make_pair(dispatch->attempt, dispatch->request));
            }
            if (const RelayRefusal *refusal = std::get_if<RelayRefusal>(&command)) {
                Counts &counts = counts_[kinds_[refusal->request]];
                ++counts.rejected;
                counts.longestTimeToRejection =
                    std::max(counts.longestTimeToRejection, clock_.now() - arrivals_[refusal->request]);
                EXPECT_TRUE(refusal->error.retryAfter.has_value());
            }
        }
        while (!completions_.empty() && completions_.begin()->first <= clock_.now()) {
            const auto [attempt, request] = completions_.begin()->second;
            completions_.erase(completions_.begin());
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

    void send(const std::string &kind, const std::string &path, const std::string &key)
    {
        const RequestId request(1, lastRequest_ + 1);
        kinds_[request] = kind;
        arrivals_[request] = clock_.now();
        ++counts_[kind].sent;
        arrive(path, key);
    }

    Duration serviceTime_ = milliseconds(50);
    std::multimap<TimePoint, std::pair<AttemptId, RequestId>> completions_;
    std::map<RequestId, std::string> kinds_;
    std::map<RequestId, TimePoint> arrivals_;
    std::map<std::string, Counts> counts_;
    int steps_ = 0;
};

TEST_F(RelayLoadTest, LowTierFloodDoesNotAffectHighTierRequests)
{
    upstreams_ = { upstreamOf("e1", "engines", 4), upstreamOf("e2", "engines", 4) };
    configure();
    for (int millisecond = 0; millisecond < 4000; ++millisecond) {
        if (millisecond % 2 == 0) {
            send("low", "/stream/1", "key-one");
        }
        if (millisecond % 20 == 0) {
            send("live", "/live/1", "key-two");
        }
        step();
    }
    EXPECT_EQ(counts_["live"].rejected, 0);
    EXPECT_GT(counts_["low"].answered, 300);
    EXPECT_GT(counts_["low"].rejected, 100);
    EXPECT_LE(counts_["low"].longestTimeToRejection, milliseconds(200));
}

TEST_F(RelayLoadTest, FloodingTeamDoesNotStarveAnother)
{
    upstreams_ = { upstreamOf("e1", "engines", 4), upstreamOf("e2", "engines", 4) };
    configure();
    for (int millisecond = 0; millisecond < 4000; ++millisecond) {
        if (millisecond % 2 == 0) {
            send("flood", "/stream/1", "key-one");
        }
        if (millisecond % 25 == 0) {
            send("small", "/stream/1", "key-two");
        }
        step();
    }
    EXPECT_GT(counts_["small"].answered, counts_["small"].sent * 9 / 10);
}

} // namespace
} // namespace GeraniumLever
