#include "tests/drivers/http/raw_listener.h"

#include <random>
#include <utility>

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
    std::uniform_int_distribution<std::uint16_t> ports(10240, 32767);
    std::random_device random;
    while (true) {
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), ports(random));
        boost::asio::ip::tcp::acceptor probe(context, endpoint.protocol());
        boost::system::error_code error;
        probe.bind(endpoint, error);
        if (!error) {
            return endpoint.port();
        }
    }
}

} // namespace GeraniumLever
