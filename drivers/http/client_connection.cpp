#include "drivers/http/client_connection.h"

#include <utility>

namespace GeraniumLever {

ClientConnection::ClientConnection(boost::asio::io_context &context, std::string address)
    : address_(std::move(address)), socket_(context)
{
}

bool ClientConnection::isReusable()
{
    return socket_.is_open() && input_.size() == 0 && peek() == boost::asio::error::would_block;
}

bool ClientConnection::isClosedByPeer()
{
    if (!socket_.is_open()) {
        return false;
    }
    const boost::system::error_code error = peek();
    return error && error != boost::asio::error::would_block;
}

boost::system::error_code ClientConnection::peek()
{
    boost::system::error_code error;
    socket_.non_blocking(true, error);
    char byte = 0;
    socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error;
}

void ClientConnection::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void ClientConnection::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace GeraniumLever
