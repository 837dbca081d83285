#include "drivers/relay/relay.h"

#include <thread>

#include <gtest/gtest.h>

#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/relay/pass_through_header_codec.h"

namespace GeraniumLever {
namespace {

class RelayClientTest : public testing::Test, public RelayExchangeObserver
{
protected:
    RelayClientTest() : listener_(loop_.context()), client_(loop_.context(), codec_, *this) { }

    void exchangeNotice(const UpstreamNotice &) override { }
    void exchangeHeldBack(const AttemptId &) override { ++heldBack_; }
    void exchangeHead(const RelayResponseHead &, const RelayResponse &) override { ++heads_; }
    void exchangeData(const AttemptId &, std::string_view, const std::string &) override { }
    void exchangeEnded(const AttemptId &) override { ++ended_; }
    void exchangeFailed(const RelayFailure &failure) override { failures_.push_back(failure.kind); }

    void dispatch(bool readPaused = false)
    {
        RelayDispatch dispatch;
        dispatch.readPaused = readPaused;
        dispatch.attempt = AttemptId(1, ++lastAttempt_);
        dispatch.address = listener_.address();
        dispatch.freshConnection = true;
        dispatch.timeLeft = std::chrono::minutes(1);
        const std::shared_ptr<RelayCall> call = std::make_shared<RelayCall>();
        call->method = "POST";
        call->target = "/x";
        call->fields.set(boost::beast::http::field::host, "a");
        client_.dispatch(dispatch, call, "");
    }

    /** The upstream sends part of its response to the only request; waits until it has arrived. */
    void sendPart(const std::string &bytes)
    {
        ASSERT_TRUE(loop_.runUntil(
            [this]() { return !listener_.connections().empty() && !listener_.connections()[0]->received().empty(); }));
        listener_.connections()[0]->send(bytes);
        const std::chrono::steady_clock::time_point settled =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
        loop_.runUntil([settled]() { return std::chrono::steady_clock::now() >= settled; });
    }

    /** Blocks the event loop for longer than the connect timeout, as if the process got no processor time. */
    static void blockThread() { std::this_thread::sleep_for(UpstreamConnectTimeout * 2); }

    EventLoop loop_;
    RawListener listener_;
    PassThroughHeaderCodec codec_;
    RelayClient client_;
    int heldBack_ = 0;
    int heads_ = 0;
    int ended_ = 0;
    std::vector<RelayFailure::Kind> failures_;
    std::uint64_t lastAttempt_ = 0;
};

TEST_F(RelayClientTest, SentRequestIsNeverReportedAsNotConnected)
{
    dispatch();
    blockThread();
    // Long enough for sent data to arrive on the loopback interface.
    const std::chrono::steady_clock::time_point settled =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    loop_.runUntil([settled]() { return std::chrono::steady_clock::now() >= settled; });
    ASSERT_EQ(listener_.connections().size(), 1U);
    const bool arrived = !listener_.connections()[0]->received().empty();
    EXPECT_NE(arrived, !failures_.empty());
}

TEST_F(RelayClientTest, PooledProbeConnectionIsNotClosed)
{
    std::vector<RelayProbeResult> results;
    client_.probe({ UpstreamName("u"), listener_.address() },
                  [&results](const RelayProbeResult &result) { results.push_back(result); });
    blockThread();
    ASSERT_TRUE(loop_.runUntil([&]() { return results.size() == 1; }));
    if (!results[0].reached) {
        return;
    }
    ASSERT_TRUE(loop_.runUntil([&]() { return listener_.connections().size() == 1; }));
    for (int turn = 0; turn < 5; ++turn) {
        loop_.context().restart();
        loop_.context().run_one_for(std::chrono::milliseconds(5));
    }
    EXPECT_FALSE(listener_.connections()[0]->ended());
}

TEST_F(RelayClientTest, ResponseOfAnAttemptThatBeginsPausedIsNotReadBeforeItIsAllowed)
{
    dispatch(true);
    ASSERT_TRUE(loop_.runUntil(
        [this]() { return listener_.connections().size() == 1 && listener_.connections()[0]->has("\r\n\r\n"); }));
    listener_.connections()[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const auto settled = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    loop_.runUntil([settled]() { return std::chrono::steady_clock::now() >= settled; });
    EXPECT_EQ(heads_, 0);
    client_.setReading(AttemptId(1, lastAttempt_), true);
    EXPECT_TRUE(loop_.runUntil([this]() { return ended_ == 1; }));
}

TEST_F(RelayClientTest, AttemptThatMayBeReadBeforeItIsConnectedDoesNotFail)
{
    dispatch(true);
    client_.setReading(AttemptId(1, lastAttempt_), true);
    ASSERT_TRUE(loop_.runUntil(
        [this]() { return listener_.connections().size() == 1 && listener_.connections()[0]->has("\r\n\r\n"); }));
    listener_.connections()[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(loop_.runUntil([this]() { return ended_ == 1; }));
    EXPECT_TRUE(failures_.empty());
}

TEST_F(RelayClientTest, RequestThatIsGivenUpIsNotDeliveredAfterwards)
{
    boost::asio::ip::tcp::acceptor acceptor(loop_.context(), { boost::asio::ip::address_v4::loopback(), 0 });
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    boost::asio::ip::tcp::socket peer(loop_.context());
    bool accepted = false;
    acceptor.async_accept(peer, [&accepted](const boost::system::error_code &error) { accepted = !error; });
    RelayDispatch dispatch;
    dispatch.attempt = AttemptId(1, 1);
    dispatch.address = address;
    dispatch.freshConnection = true;
    const std::shared_ptr<RelayCall> call = std::make_shared<RelayCall>();
    call->method = "POST";
    call->target = "/x";
    constexpr std::size_t BodyBytes = 16 * 1024 * 1024;
    call->body = std::string(BodyBytes, 'b');
    client_.dispatch(dispatch, call, "");
    ASSERT_TRUE(loop_.runUntil([&]() { return accepted; }));
    for (int turn = 0; turn < 10; ++turn) {
        loop_.context().restart();
        loop_.context().run_one_for(std::chrono::milliseconds(5));
    }
    client_.cancel(dispatch.attempt);
    boost::system::error_code error;
    std::vector<char> received(64 * 1024);
    while (!error) {
        peer.read_some(boost::asio::buffer(received), error);
    }
    EXPECT_EQ(error, boost::asio::error::connection_reset);
}

TEST_F(RelayClientTest, ResponseThatIsHeldBackIsReportedWhileItArrives)
{
    dispatch();
    sendPart("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
    EXPECT_EQ(heldBack_, 1);
    sendPart("0123456789");
    EXPECT_EQ(heldBack_, 2);
    EXPECT_EQ(heads_, 0);
    sendPart("0123456789");
    EXPECT_EQ(heldBack_, 2);
    EXPECT_EQ(heads_, 1);
    EXPECT_EQ(ended_, 1);
}

TEST_F(RelayClientTest, InformationalResponseAndFailureAreNotReportedAsAResponseThatArrives)
{
    dispatch();
    sendPart("HTTP/1.1 100 Continue\r\n\r\n");
    sendPart("HTTP/1.1 500 X\r\nContent-Length: 20\r\n\r\n");
    sendPart("0123456789");
    EXPECT_EQ(heldBack_, 0);
    sendPart("0123456789");
    EXPECT_EQ(ended_, 1);
}

TEST_F(RelayClientTest, ByteNowAndThenIsNotReportedAsAResponseThatArrives)
{
    dispatch();
    sendPart("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
    sendPart("0");
    sendPart("1");
    EXPECT_EQ(heldBack_, 1);
}

} // namespace
} // namespace GeraniumLever
