#include "tests/drivers/http/raw_connection.h"

#include <utility>

#include <boost/asio/write.hpp>

namespace GeraniumLever {

RawConnection::RawConnection(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket))
{
    socket_.set_option(boost::asio::ip::tcp::no_delay(true));
}

std::shared_ptr<RawConnection> RawConnection::open(boost::asio::io_context &context, std::uint16_t port)
{
    constexpr int ReceiveBufferBytes = 64 * 1024;
    boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    socket.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    const std::shared_ptr<RawConnection> connection = std::make_shared<RawConnection>(std::move(socket));
    connection->startReading();
    return connection;
}

void RawConnection::startReading()
{
    paused_ = false;
    if (!reading_) {
        read();
    }
}

void RawConnection::send(const std::string &bytes)
{
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
}

void RawConnection::shutDownSend()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

void RawConnection::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void RawConnection::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

void RawConnection::read()
{
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(readBuffer_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                self->reading_ = false;
                                self->received_.append(self->readBuffer_.data(), bytes);
                                self->ended_ = static_cast<bool>(error);
                                if (!error && !self->paused_) {
                                    self->read();
                                }
                            });
}

} // namespace GeraniumLever
