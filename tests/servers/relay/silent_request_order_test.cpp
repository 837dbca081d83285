/** The order in which silent requests are moved to other upstreams. */
#include "tests/servers/relay/silent_upstream_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

TEST_F(SilentUpstreamTest, RequestsThatCannotMoveDoNotKeepOthersAtTheirSilentUpstreams)
{
    for (UpstreamEntry &upstream : upstreams_) {
        upstream.version = upstream.name == UpstreamName("e1") ? "old" : "new";
    }
    configure();
    std::vector<RequestId> old;
    std::vector<RequestId> begun;
    for (const auto &[upstream, requests] : beginStreams(90)) {
        std::vector<RequestId> &group = upstream == UpstreamName("e1") ? old : begun;
        group.insert(group.end(), requests.begin(), requests.end());
    }
    ASSERT_GE(old.size(), 6U);
    // The last one that began at another upstream, which falls silent, too.
    const RequestId later = *std::max_element(begun.begin(), begun.end());
    const UpstreamName silent = dispatches(later).front().upstream;
    std::vector<RequestId> goingOn;
    for (const RequestId &stream : begun) {
        if (dispatches(stream).front().upstream != silent) {
            goingOn.push_back(stream);
        } else if (stream != later) {
            end(stream);
        }
    }
    pass(milliseconds(1800), goingOn);
    EXPECT_GE(dispatches(later).size(), 2U) << old.size() << " streams of the old version are tried in its place";
}

TEST_F(SilentUpstreamTest, FreeRoomGoesToTheSilentRequestOfTheHighestTier)
{
    Route low = configuration_.routes[1];
    low.name = "low";
    low.pathPrefix = "/low/";
    low.tier = 2;
    configuration_.routes.push_back(low);
    upstreams_ = { upstreamOf("e1", "engines", 1), upstreamOf("e2", "engines", 1) };
    configure();
    std::map<UpstreamName, std::vector<RequestId>> streams;
    for (const std::string path : { "/low/1", "/low/1", "/live/1", "/live/1" }) {
        const RequestId stream = arrive(path);
        answer(stream);
        streams[dispatches(stream).front().upstream].push_back(stream);
    }
    const std::vector<RequestId> silent = streams.at(UpstreamName("e1"));
    std::vector<RequestId> goingOn = streams.at(UpstreamName("e2"));
    ASSERT_EQ(silent.size(), 2U);
    ASSERT_GT(dispatches(silent.front()).front().tier, dispatches(silent.back()).front().tier);
    pass(milliseconds(900), goingOn);
    end(goingOn.back());
    goingOn.pop_back();
    pass(milliseconds(100), goingOn);
    EXPECT_EQ(dispatches(silent.back()).size(), 2U);
    EXPECT_EQ(dispatches(silent.front()).size(), 1U);
}

} // namespace
} // namespace GeraniumLever
