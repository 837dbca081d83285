#include "tests/drivers/http/raw_listener.h"

#include <utility>

#include <boost/asio/ip/udp.hpp>
#include <unistd.h>

namespace GeraniumLever {

namespace {

const boost::asio::ip::tcp::endpoint anyLoopbackPort(boost::asio::ip::address_v4::loopback(), 0);

} // namespace

RawListener::RawListener(boost::asio::io_context &context)
    : acceptor_(context, anyLoopbackPort), port_(acceptor_.local_endpoint().port())
{
    accept();
}

void RawListener::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        connections_.push_back(std::make_shared<RawConnection>(std::move(socket)));
        connections_.back()->startReading();
        accept();
    });
}

std::uint16_t unusedPort(boost::asio::io_context &context)
{
    // Below the range from which the system picks the ports of outgoing connections, so that none of them takes it.
    // Each process has a block of its own, since tests that run side by side could pick one port before either binds
    // it.
    constexpr int FirstPort = 10240;
    constexpr int BlockSize = 256;
    constexpr int Blocks = 88;
    static int picked = 0;
    const int block = FirstPort + ::getpid() % Blocks * BlockSize;
    while (true) {
        const std::uint16_t port = static_cast<std::uint16_t>(block + picked++ % BlockSize);
        const boost::asio::ip::address_v4 loopback = boost::asio::ip::address_v4::loopback();
        boost::asio::ip::tcp::acceptor stream(context, boost::asio::ip::tcp::v4());
        boost::asio::ip::udp::socket datagrams(context, boost::asio::ip::udp::v4());
        boost::system::error_code streamError;
        boost::system::error_code datagramError;
        stream.bind({ loopback, port }, streamError);
        datagrams.bind({ loopback, port }, datagramError);
        if (!streamError && !datagramError) {
            return port;
        }
    }
}

} // namespace GeraniumLever
