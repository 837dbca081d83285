#include <algorithm>

#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

constexpr Duration TickPeriod = milliseconds(25);

class SilentUpstreamTest : public RelayFixture
{
protected:
    SilentUpstreamTest()
    {
        upstreams_.clear();
        for (int number = 1; number <= 9; ++number) {
            upstreams_.push_back(upstreamOf("e" + std::to_string(number), "engines", 48));
            upstreams_.push_back(upstreamOf("p" + std::to_string(number), "plain", 48));
        }
    }

    std::vector<RequestId> arriveMany(const std::string &path, int count)
    {
        std::vector<RequestId> requests;
        requests.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            requests.push_back(arrive(path));
        }
        return requests;
    }

    /** Nothing arrives from any upstream. A new configuration is read at the start. */
    void passInSilence(Duration silence)
    {
        configuration_.version = ConfigurationVersion(configuration_.version.value() + 1);
        readStore();
        for (Duration passed(0); passed < silence; passed += TickPeriod) {
            advance(TickPeriod);
            tick();
        }
    }

    /** Each upstream answers what was sent to it last. */
    void goOn(const std::vector<RequestId> &requests)
    {
        for (const RequestId &request : requests) {
            if (!accepted(request)) {
                answer(request);
            }
            system_.progressed({ dispatches(request).back().attempt }, clock_.now());
            end(request);
        }
    }

    long countBroken(const std::vector<RequestId> &requests) const
    {
        return std::count_if(
            requests.begin(), requests.end(), [this](const RequestId &request) { return broken(request); });
    }

    long countRefused(const std::vector<RequestId> &requests) const
    {
        return std::count_if(
            requests.begin(), requests.end(), [this](const RequestId &request) { return !refusals(request).empty(); });
    }
};

TEST_F(SilentUpstreamTest, StreamsAreNotCutWhenAllTheirUpstreamsAreSilentForASecond)
{
    configure();
    const std::vector<RequestId> streams = arriveMany("/live/1", 90);
    for (const RequestId &stream : streams) {
        answer(stream);
    }
    passInSilence(milliseconds(1200));
    EXPECT_EQ(countBroken(streams), 0);
    goOn(streams);
    EXPECT_EQ(countBroken(streams), 0);
    EXPECT_EQ(system_.inFlight(), 0U);
}

TEST_F(SilentUpstreamTest, RequestsGetAnswersAfterAllTheirUpstreamsWereSilentForASecond)
{
    configure();
    const std::vector<RequestId> reads = arriveMany("/read/1", 120);
    passInSilence(milliseconds(1200));
    EXPECT_EQ(countRefused(reads), 0);
    goOn(reads);
    EXPECT_EQ(countRefused(reads), 0);
    EXPECT_EQ(system_.inFlight(), 0U);
}

} // namespace
} // namespace GeraniumLever
