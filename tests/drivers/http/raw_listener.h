/** A listener on an ephemeral port of 127.0.0.1 that keeps every accepted connection for the test. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/drivers/http/raw_connection.h"

namespace GeraniumLever {

class RawListener
{
public:
    explicit RawListener(boost::asio::io_context &context);

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /** Accepted connections, oldest first. */
    const std::vector<std::shared_ptr<RawConnection>> &connections() const { return connections_; }

    /** Refuses further connections. */
    void close() { acceptor_.close(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::vector<std::shared_ptr<RawConnection>> connections_;
};

/** A port of 127.0.0.1 that nothing uses at the time of the call, and that no outgoing connection will use. */
std::uint16_t unusedPort(boost::asio::io_context &context);

} // namespace GeraniumLever
