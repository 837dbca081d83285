#include "drivers/peers/peer_link.h"

#include <gtest/gtest.h>

#include "tests/drivers/http/event_loop.h"

namespace GeraniumLever {
namespace {

std::string freeAddress(boost::asio::io_context &context)
{
    boost::asio::ip::udp::socket socket(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

TEST(PeerLinkTest, MessagesArriveWithTheSendersAddress)
{
    EventLoop loop;
    const std::string first = freeAddress(loop.context());
    std::string second = freeAddress(loop.context());
    while (second == first) {
        second = freeAddress(loop.context());
    }
    std::vector<std::pair<std::string, PeerDatagram>> received;
    PeerLink receiver(loop.context(), [&](const std::string &from, const PeerDatagram &message) {
        received.emplace_back(from, message);
    });
    PeerLink sender(loop.context(), [](const std::string &, const PeerDatagram &) {});
    ASSERT_TRUE(succeeded(receiver.start(first)));
    ASSERT_TRUE(succeeded(sender.start(second)));
    PeerReport report;
    report.node = NodeName("n");
    sender.send(first, report);
    sender.send("no address", report);
    ASSERT_TRUE(loop.runUntil([&]() { return received.size() == 1; }));
    EXPECT_EQ(received[0].first, second);
    EXPECT_EQ(received[0].second, PeerDatagram(report));
}

TEST(PeerLinkTest, AddressInUseOrInvalidIsAnError)
{
    EventLoop loop;
    const std::string address = freeAddress(loop.context());
    PeerLink first(loop.context(), [](const std::string &, const PeerDatagram &) {});
    PeerLink second(loop.context(), [](const std::string &, const PeerDatagram &) {});
    EXPECT_TRUE(succeeded(first.start(address)));
    EXPECT_FALSE(succeeded(second.start(address)));
    EXPECT_FALSE(succeeded(second.start("no address")));
}

} // namespace
} // namespace GeraniumLever
