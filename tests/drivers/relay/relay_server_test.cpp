#include "drivers/relay/relay.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/relay/pass_through_header_codec.h"

namespace GeraniumLever {
namespace {

constexpr std::string_view Request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/** Answers each call at once. */
class RelayServerTest : public testing::Test, public RelayCallerObserver
{
protected:
    RelayServerTest()
        : address_(freeAddress()), server_(RelayServerSettings { address_, 1 }, loop_.context(), dialect_, *this)
    {
        EXPECT_TRUE(succeeded(server_.start()));
    }

    void callArrived(RelayCallPtr call) override
    {
        ++calls_;
        server_.refuse(call->facts.request, { ResultCode::Shed, "x", std::nullopt }, Outcome::NotRun);
    }

    void callerGone(const RequestId &) override { }
    void callerBacklog(const RequestId &, bool) override { }
    void inputRejected(const Error &) override { }

    std::string freeAddress()
    {
        boost::asio::ip::tcp::acceptor acceptor(loop_.context(), { boost::asio::ip::make_address("127.0.0.1"), 0 });
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    /** A caller's connection; the kernel accepts it without the server's help. */
    Socket connect()
    {
        Socket socket(loop_.context());
        socket.connect(*parseEndpoint(address_));
        return socket;
    }

    static void send(Socket &socket) { boost::asio::write(socket, boost::asio::buffer(Request)); }

    /** Everything that arrives until the server closes the connection. */
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
    PlainDialect dialect_;
    RelayServer server_;
    int calls_ = 0;
};

TEST_F(RelayServerTest, ARequestThatHasArrivedWhenTheServerDrainsIsAnswered)
{
    // The request is there before the connection is accepted, so that the drain accepts and reads both at once.
    Socket socket = connect();
    send(socket);
    server_.announceClose();
    server_.drain();
    EXPECT_FALSE(server_.quiet());
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(calls_, 1);
}

TEST_F(RelayServerTest, AnIdleConnectionIsClosedByTheDrain)
{
    Socket socket = connect();
    send(socket);
    ASSERT_TRUE(loop_.runUntil([&] { return calls_ == 1; }));
    server_.announceClose();
    server_.drain();
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(loop_.runUntil([&] { return server_.quiet(); }));
}

TEST_F(RelayServerTest, AStoppingServerIsNotQuietWhileARequestIsArriving)
{
    Socket socket = connect();
    boost::asio::write(socket, boost::asio::buffer(Request.substr(0, 10)));
    ASSERT_TRUE(loop_.runUntil([&] { return !server_.quiet(); }));
    loop_.context().run_for(std::chrono::milliseconds(20));
    server_.announceClose();
    server_.drain();
    EXPECT_FALSE(server_.quiet());
    boost::asio::write(socket, boost::asio::buffer(Request.substr(10)));
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(loop_.runUntil([&] { return server_.quiet(); }));
}

} // namespace
} // namespace GeraniumLever
