#include "main/relay/store_poller.h"

#include <gtest/gtest.h>

#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

/** A poller and a store without rows, which can leave reads of the configuration unanswered. */
class StorePollerTest : public testing::Test, public StorePollObserver
{
protected:
    void configurationRead(const StoredConfiguration &, TimePoint) override { }
    void upstreamsRead(const StoredUpstreams &, TimePoint) override { ++upstreamReads_; }
    void readFailed(const Error &) override { ++failures_; }
    void storeRecovered() override { }

    /** Runs the store until the condition holds. */
    bool serveUntil(const std::function<bool()> &condition)
    {
        return loop_.runUntil([&]() {
            for (const std::shared_ptr<RawConnection> &connection : listener_.connections()) {
                serve(*connection);
            }
            return condition();
        });
    }

    void serve(RawConnection &connection)
    {
        if (!connection.has("\r\n\r\n")) {
            return;
        }
        const std::string request = connection.received();
        connection.forget();
        if (request.find("table=op&") != std::string::npos) {
            configurationReads_.push_back(request.substr(0, request.find(" HTTP/")));
            if (silent_) {
                return;
            }
        }
        const std::string body = "{\"rows\":[],\"ver\":1,\"now_ms\":1,\"has_more\":false}";
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    bool lastConfigurationReadWaits() const
    {
        const std::string &target = configurationReads_.back();
        return target.find("wait_timeout_ms=") != std::string::npos && !target.ends_with("wait_timeout_ms=0");
    }

    EventLoop loop_;
    RawListener listener_ { loop_.context() };
    PlatformStore store_ { loop_.context(), listener_.address(), milliseconds(200) };
    BootClock clock_;
    StorePoller poller_ { loop_.context(), store_, milliseconds(60), clock_, *this };
    std::vector<std::string> configurationReads_;
    bool silent_ = false;
    int upstreamReads_ = 0;
    int failures_ = 0;
};

TEST_F(StorePollerTest, ConfigurationIsReadWithoutAWaitAfterAFailureAlthoughOtherReadsSucceed)
{
    poller_.start();
    ASSERT_TRUE(serveUntil([this]() { return !configurationReads_.empty() && lastConfigurationReadWaits(); }));
    silent_ = true;
    ASSERT_TRUE(serveUntil([this]() { return failures_ == 1; }));
    silent_ = false;
    upstreamReads_ = 0;
    const std::size_t reads = configurationReads_.size();
    ASSERT_TRUE(serveUntil([&]() { return configurationReads_.size() > reads; }));
    EXPECT_GT(upstreamReads_, 0);
    EXPECT_FALSE(lastConfigurationReadWaits()) << configurationReads_.back();
    ASSERT_TRUE(serveUntil([this]() { return lastConfigurationReadWaits(); }));
    poller_.stop();
}

} // namespace
} // namespace GeraniumLever
