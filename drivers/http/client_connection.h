/** One client connection to an upstream or to the platform. */
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace GeraniumLever {

/** A TCP socket whose handlers run on the io_context without type erasure of the executor. */
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

class ClientConnection
{
public:
    ClientConnection(boost::asio::io_context &context, std::string address);

    Socket &socket() { return socket_; }

    /** Bytes that have been received and not yet parsed. */
    boost::beast::flat_buffer &input() { return input_; }

    const std::string &address() const { return address_; }

    /** When the peer last refused or broke off another connection before this one was opened; absent if not lately. */
    const std::optional<std::chrono::steady_clock::time_point> &precedingLoss() const { return precedingLoss_; }
    void setPrecedingLoss(std::optional<std::chrono::steady_clock::time_point> loss) { precedingLoss_ = loss; }

    /** Longest idle time after which the connection may still be reused; after that, the peer or a middlebox on the
     *  path may have dropped it without notice. */
    std::chrono::steady_clock::duration idleLimit() const { return idleLimit_; }
    void setIdleLimit(std::chrono::steady_clock::duration limit) { idleLimit_ = limit; }

    /** Records that writing has failed. The failed write takes the socket's error, so that a read after it may report a
     *  graceful end of a connection that was reset. */
    void noteWriteFailure() { writeFailed_ = true; }
    bool hasWriteFailed() const { return writeFailed_; }

    /** True if the peer has closed or reset the connection. Does not block. */
    bool isClosedByPeer();

    /** False if the peer has closed an idle connection or has sent unsolicited bytes. Does not block. */
    bool isReusable();

    void close();

    /** Closes the connection with a reset, so that the operating system drops what the peer has not received yet. */
    void reset();

private:
    /** Result of looking for input without taking it. */
    boost::system::error_code peek();

    std::string address_;
    std::optional<std::chrono::steady_clock::time_point> precedingLoss_;
    Socket socket_;
    boost::beast::flat_buffer input_;
    bool writeFailed_ = false;
    std::chrono::steady_clock::duration idleLimit_ = std::chrono::seconds(15);
};

} // namespace GeraniumLever
