/** TCP proxy whose link can fail. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace GeraniumLever {

/** What a link does to the connections through it. Nothing is lost: what is held back is forwarded once the fault ends,
 *  as after a cut that is shorter than the time-outs of TCP. */
enum class LinkFault : std::uint8_t {
    None,
    /** Everything arrives 100 ms late. */
    Delay,
    /** Connections are reset. */
    Reset,
    /** Everything is held back. */
    Silent,
    /** What the target is sent is held back. */
    OneWayToTarget,
    /** What the target sends is held back. */
    OneWayFromTarget,
};

/** Listens on a port of 127.0.0.1 and forwards each connection to the target. */
class FaultProxy
{
public:
    /** target: "a.b.c.d:port". Throws boost::system::system_error if it cannot listen. */
    FaultProxy(boost::asio::io_context &context, const std::string &target);
    ~FaultProxy();

    std::string address() const;

    void setFault(LinkFault fault);

private:
    class Link;

    void accept();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Link>> links_;
    LinkFault fault_ = LinkFault::None;
};

} // namespace GeraniumLever
