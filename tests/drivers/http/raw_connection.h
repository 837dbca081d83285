/** One end of a TCP connection that sends exactly the bytes that the test passes. */
#pragma once

#include <array>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace GeraniumLever {

class RawConnection : public std::enable_shared_from_this<RawConnection>
{
public:
    explicit RawConnection(boost::asio::ip::tcp::socket socket);

    /** Connects to 127.0.0.1 and starts reading. */
    static std::shared_ptr<RawConnection> open(boost::asio::io_context &context, std::uint16_t port);

    /** Reads until the peer closes the connection or pauseReading() is called. */
    void startReading();
    void pauseReading() { paused_ = true; }

    /** Blocks until the operating system has accepted every byte. */
    void send(const std::string &bytes);

    /** Ends the sending direction only. */
    void shutDownSend();

    /** Closes the connection; the peer sees an orderly end. */
    void close();

    /** Closes the connection so that the peer sees a reset. */
    void reset();

    const std::string &received() const { return received_; }
    void forget() { received_.clear(); }

    /** True once the peer has closed or reset the connection. */
    bool ended() const { return ended_; }

    bool has(const std::string &text) const { return received_.find(text) != std::string::npos; }

private:
    void read();

    boost::asio::ip::tcp::socket socket_;
    std::array<char, 16384> readBuffer_ {};
    std::string received_;
    bool reading_ = false;
    bool paused_ = false;
    bool ended_ = false;
};

} // namespace GeraniumLever
