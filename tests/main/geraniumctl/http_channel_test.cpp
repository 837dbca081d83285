#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "main/geraniumctl/geraniumctl.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/http/raw_responses.h"

namespace GeraniumLever {
namespace {

/** A node, on a thread of its own, that responds with raw bytes, since the channel blocks. */
class RawNode
{
public:
    explicit RawNode(std::string bytes) : bytes_(std::move(bytes)), address_(listener_.address())
    {
        thread_ = std::thread([this]() { run(); });
    }

    ~RawNode()
    {
        stopped_ = true;
        thread_.join();
    }

    const std::string &address() const { return address_; }

private:
    void run()
    {
        loop_.runUntil([this]() {
            for (const std::shared_ptr<RawConnection> &connection : listener_.connections()) {
                if (connection->has("\r\n\r\n")) {
                    connection->forget();
                    connection->send(bytes_);
                }
            }
            return stopped_.load();
        });
    }

    std::string bytes_;
    EventLoop loop_;
    RawListener listener_ { loop_.context() };
    std::string address_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

SessionResult submitTo(const RawNode &node)
{
    HttpChannel channel;
    OperatorSession session(channel, { node.address() }, "key");
    return session.submit("number: 7\n");
}

TEST(HttpChannelTest, TicketWithAnInvalidResponseMayHaveBeenAccepted)
{
    const RawNode node(helloWith("000 X"));
    const SessionResult result = submitTo(node);
    ASSERT_TRUE(std::holds_alternative<SessionFailure>(result));
    EXPECT_TRUE(std::get<SessionFailure>(result).mayHaveActed);
}

TEST(HttpChannelTest, InformationalResponseIsNotTheResponseToATicket)
{
    const RawNode node("HTTP/1.1 102 Processing\r\n\r\n" + helloWith("200 OK"));
    const SessionResult result = submitTo(node);
    ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
    EXPECT_EQ(std::get<HttpResponse>(result).status, 200U);
}

} // namespace
} // namespace GeraniumLever
