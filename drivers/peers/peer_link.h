/** UDP transport between relays. */
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "drivers/peers/peer_codec.h"

namespace GeraniumLever {

/** Sends and receives messages without acknowledgement or retransmission. */
class PeerLink
{
public:
    /** from: "a.b.c.d:port" of the sender. */
    using Handler = std::function<void(const std::string &from, const PeerDatagram &message)>;

    PeerLink(boost::asio::io_context &context, Handler handler);
    ~PeerLink();

    /** Starts receiving on "a.b.c.d:port". */
    Result<Success> start(const std::string &address);

    void send(const std::string &address, const PeerDatagram &message);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
