#include "drivers/peers/peer_link.h"

#include <utility>

#include "drivers/http/http.h"

namespace GeraniumLever {

namespace {

/** Larger than any message. */
constexpr std::size_t MaxDatagramBytes = 16 * 1024;

} // namespace

struct PeerLink::State : std::enable_shared_from_this<PeerLink::State>
{
    State(boost::asio::io_context &context, Handler receiver) : socket(context), handler(std::move(receiver)) { }

    void receive()
    {
        socket.async_receive_from(boost::asio::buffer(buffer),
                                  sender,
                                  [self = shared_from_this()](const boost::system::error_code &error,
                                                              std::size_t size) { self->received(error, size); });
    }

    void received(const boost::system::error_code &error, std::size_t size)
    {
        if (!socket.is_open()) {
            return;
        }
        if (!error) {
            const std::optional<PeerDatagram> message = decodePeerDatagram(std::string_view(buffer.data(), size));
            if (message.has_value()) {
                handler(sender.address().to_string() + ":" + std::to_string(sender.port()), *message);
            }
        }
        receive();
    }

    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, MaxDatagramBytes> buffer;
    Handler handler;
};

PeerLink::PeerLink(boost::asio::io_context &context, Handler handler)
    : state_(std::make_shared<State>(context, std::move(handler)))
{
}

PeerLink::~PeerLink()
{
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

Result<Success> PeerLink::start(const std::string &address)
{
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
    if (!endpoint.has_value()) {
        return Error { ResultCode::SettingsInvalid,
                       "The peer address " + address + " is not of the form IP:PORT.",
                       {} };
    }
    const boost::asio::ip::udp::endpoint local(endpoint->address(), endpoint->port());
    boost::system::error_code error;
    state_->socket.open(local.protocol(), error);
    if (!error) {
        state_->socket.bind(local, error);
    }
    if (!error) {
        state_->socket.non_blocking(true, error);
    }
    if (error) {
        return Error { ResultCode::SettingsInvalid, "Cannot receive on " + address + ": " + error.message() + ".", {} };
    }
    state_->receive();
    return Success {};
}

void PeerLink::send(const std::string &address, const PeerDatagram &message)
{
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
    if (!endpoint.has_value() || !state_->socket.is_open()) {
        return;
    }
    const std::string bytes = encodePeerDatagram(message);
    boost::system::error_code ignored;
    state_->socket.send_to(
        boost::asio::buffer(bytes), boost::asio::ip::udp::endpoint(endpoint->address(), endpoint->port()), 0, ignored);
}

} // namespace GeraniumLever
