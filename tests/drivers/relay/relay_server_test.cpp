#include "drivers/relay/relay.h"

#include <algorithm>
#include <thread>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/relay/pass_through_header_codec.h"

namespace GeraniumLever {
namespace {

constexpr std::string_view Request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/** Answers each call immediately with an error. */
class RelayServerTest : public testing::Test, public RelayCallerObserver
{
protected:
    RelayServerTest()
        : address_(freeAddress()), server_(RelayServerSettings { address_, 1 }, loop_.context(), codec_, *this)
    {
        EXPECT_TRUE(succeeded(server_.start()));
    }

    void callArrived(RelayCallPtr call) override
    {
        ++calls_;
        if (!body_.empty()) {
            RelayResponse response;
            response.status = 200;
            response.reason = "OK";
            response.length = body_.size();
            server_.begin(call->attributes.request, response);
            server_.append(call->attributes.request, body_);
            server_.finish(call->attributes.request);
            return;
        }
        server_.refuse(call->attributes.request, { ResultCode::Shed, "x", std::nullopt }, Outcome::NotRun);
    }

    void callerGone(const RequestId &) override { }
    void callerBacklog(const RequestId &, bool) override { }
    void inputRejected(const Error &) override { }

    std::string freeAddress()
    {
        boost::asio::ip::tcp::acceptor acceptor(loop_.context(), { boost::asio::ip::make_address("127.0.0.1"), 0 });
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    /** Opens a caller's connection; the kernel completes it before the server accepts it. */
    Socket connect()
    {
        Socket socket(loop_.context());
        socket.connect(*parseEndpoint(address_));
        return socket;
    }

    static void send(Socket &socket) { boost::asio::write(socket, boost::asio::buffer(Request)); }

    /** Reads until the server closes the connection. */
    std::string readAll(Socket &socket)
    {
        std::string text;
        bool closed = false;
        std::array<char, 1024> chunk;
        std::function<void()> read = [&] {
            socket.async_read_some(boost::asio::buffer(chunk),
                                   [&](const boost::system::error_code &error, std::size_t bytes) {
                                       text.append(chunk.data(), bytes);
                                       closed = bool(error);
                                       if (!closed) {
                                           read();
                                       }
                                   });
        };
        read();
        EXPECT_TRUE(loop_.runUntil([&] { return closed; }));
        return text;
    }

    EventLoop loop_;
    std::string address_;
    PassThroughHeaderCodec codec_;
    RelayServer server_;
    /** Answers calls with this instead of an error, unless it is empty. */
    std::string body_;
    int calls_ = 0;
};

// Guards against cutting the last response of a connection whose caller does not read for a while.
TEST_F(RelayServerTest, ResponseIsNotCutWhenItsCallerPausesForTwoSeconds)
{
    body_.assign(8 * 1024 * 1024, 'x');
    server_.announceClose();
    Socket socket = connect();
    send(socket);
    ASSERT_TRUE(loop_.runUntil([&] { return calls_ == 1; }));
    loop_.context().restart();
    loop_.context().run_for(std::chrono::milliseconds(2100));
    server_.tick();
    const std::string text = readAll(socket);
    EXPECT_EQ(std::count(text.begin(), text.end(), 'x'), static_cast<long>(body_.size()));
}

TEST_F(RelayServerTest, RequestThatArrivedDuringAPauseOfTheProcessIsAnswered)
{
    InputLimits limits;
    limits.headerTimeout = std::chrono::milliseconds(50);
    server_.setLimits(limits);
    Socket socket = connect();
    boost::asio::write(socket, boost::asio::buffer(Request.substr(0, 10)));
    ASSERT_TRUE(loop_.runUntil([&] { return !server_.isDrained(); }));
    loop_.context().restart();
    loop_.context().run_for(std::chrono::milliseconds(20));
    boost::asio::write(socket, boost::asio::buffer(Request.substr(10)));
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    server_.announceClose();
    server_.tick();
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(calls_, 1);
}

/** A connection whose first request has been answered. */
class IdleConnectionTest : public RelayServerTest
{
protected:
    void SetUp() override
    {
        send(socket_);
        ASSERT_TRUE(loop_.runUntil([&] { return calls_ == 1; }));
        loop_.context().restart();
        loop_.context().run_for(std::chrono::milliseconds(20));
    }

    void setIdleTimeout(Duration timeout)
    {
        InputLimits limits;
        limits.idleTimeout = timeout;
        server_.setLimits(limits);
    }

    void exceedIdleTimeout()
    {
        loop_.context().restart();
        loop_.context().run_for(std::chrono::milliseconds(20));
    }

    /** Sends another request; false if it gets no answer. */
    bool isAnswered()
    {
        const int before = calls_;
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(Request), ignored);
        return loop_.runUntil([&] { return calls_ == before + 1; });
    }

    Socket socket_ = connect();
};

TEST_F(IdleConnectionTest, RequestThatHasNotBeenReadIsNotLostWhenTheIdleTimeEnds)
{
    setIdleTimeout(std::chrono::milliseconds(1));
    ASSERT_TRUE(isAnswered());
    exceedIdleTimeout();
    send(socket_);
    server_.tick();
    EXPECT_TRUE(loop_.runUntil([&] { return calls_ == 3; }));
}

TEST_F(IdleConnectionTest, RequestThatHasNotBeenReadIsNotLostAtADrain)
{
    send(socket_);
    server_.drain();
    EXPECT_TRUE(loop_.runUntil([&] { return calls_ == 2; }));
}

TEST_F(IdleConnectionTest, RequestThatArrivesWhileItsConnectionIsBeingClosedIsNotLost)
{
    server_.drain();
    EXPECT_TRUE(isAnswered());
}

TEST_F(IdleConnectionTest, ShorterIdleLimitDoesNotCloseConnectionsThatWereIdleBefore)
{
    setIdleTimeout(std::chrono::milliseconds(1));
    exceedIdleTimeout();
    server_.tick();
    exceedIdleTimeout();
    EXPECT_TRUE(isAnswered());
}

TEST_F(IdleConnectionTest, IdleConnectionIsClosedAfterTheLimitThatHeldWhenItBecameIdle)
{
    setIdleTimeout(std::chrono::milliseconds(1));
    ASSERT_TRUE(isAnswered());
    exceedIdleTimeout();
    server_.tick();
    EXPECT_TRUE(readAll(socket_).ends_with("}"));
}

TEST_F(RelayServerTest, RequestThatArrivedBeforeTheDrainIsAnswered)
{
    // The request arrives before the connection is accepted, so drain() has to accept the connection and read the
    // request.
    Socket socket = connect();
    send(socket);
    server_.announceClose();
    server_.drain();
    EXPECT_FALSE(server_.isDrained());
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(calls_, 1);
}

TEST_F(RelayServerTest, DrainClosesIdleConnections)
{
    Socket socket = connect();
    send(socket);
    ASSERT_TRUE(loop_.runUntil([&] { return calls_ == 1; }));
    server_.announceClose();
    server_.drain();
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(loop_.runUntil([&] { return server_.isDrained(); }));
}

TEST_F(RelayServerTest, ServerIsNotDrainedWhileARequestIsArriving)
{
    Socket socket = connect();
    boost::asio::write(socket, boost::asio::buffer(Request.substr(0, 10)));
    ASSERT_TRUE(loop_.runUntil([&] { return !server_.isDrained(); }));
    loop_.context().run_for(std::chrono::milliseconds(20));
    server_.announceClose();
    server_.drain();
    EXPECT_FALSE(server_.isDrained());
    EXPECT_EQ(server_.countUnreportedInput(), 1U);
    boost::asio::write(socket, boost::asio::buffer(Request.substr(10)));
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(loop_.runUntil([&] { return server_.isDrained(); }));
    EXPECT_EQ(server_.countUnreportedInput(), 0U);
}

} // namespace
} // namespace GeraniumLever
