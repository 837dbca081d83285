#include "development/soak/fault_proxy.h"

#include <array>
#include <deque>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace GeraniumLever {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds LinkDelay(100);

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return { boost::asio::ip::make_address(address.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

} // namespace

/** One connection through the proxy. */
class FaultProxy::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(boost::asio::io_context &context, tcp::socket caller, LinkFault fault)
        : caller_(std::move(caller))
        , target_(context)
        , fault_(fault)
        , toTarget_(context, caller_, target_, LinkFault::OneWayToTarget)
        , fromTarget_(context, target_, caller_, LinkFault::OneWayFromTarget)
    {
    }

    void start(const tcp::endpoint &target)
    {
        target_.async_connect(target, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                self->reset();
                return;
            }
            boost::system::error_code ignored;
            self->caller_.set_option(tcp::no_delay(true), ignored);
            self->target_.set_option(tcp::no_delay(true), ignored);
            self->read(self->toTarget_);
            self->read(self->fromTarget_);
        });
    }

    void setFault(LinkFault fault)
    {
        fault_ = fault;
        if (fault == LinkFault::Reset) {
            reset();
            return;
        }
        forward(toTarget_);
        forward(fromTarget_);
    }

    void reset()
    {
        for (tcp::socket *socket : { &caller_, &target_ }) {
            boost::system::error_code ignored;
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        toTarget_.timer.cancel();
        fromTarget_.timer.cancel();
    }

private:
    struct Piece
    {
        std::string bytes;
        std::chrono::steady_clock::time_point dueAt;
    };

    struct Direction
    {
        Direction(boost::asio::io_context &context, tcp::socket &source, tcp::socket &sink, LinkFault oneWay)
            : from(source), to(sink), holdingFault(oneWay), timer(context)
        {
        }

        tcp::socket &from;
        tcp::socket &to;
        /** The one-way fault that holds this direction back. */
        LinkFault holdingFault;
        boost::asio::steady_timer timer;
        std::array<char, 16 * 1024> buffer {};
        std::deque<Piece> pieces;
        bool writing = false;
        bool ended = false;
    };

    void read(Direction &direction)
    {
        direction.from.async_read_some(
            boost::asio::buffer(direction.buffer),
            [self = shared_from_this(), &direction](const boost::system::error_code &error, std::size_t size) {
                if (error && error != boost::asio::error::eof) {
                    self->reset();
                    return;
                }
                direction.ended = static_cast<bool>(error);
                const bool delays = self->fault_ == LinkFault::Delay;
                direction.pieces.push_back(
                    { std::string(direction.buffer.data(), size),
                      std::chrono::steady_clock::now() + (delays ? LinkDelay : std::chrono::milliseconds(0)) });
                self->forward(direction);
                if (!direction.ended) {
                    self->read(direction);
                }
            });
    }

    void forward(Direction &direction)
    {
        const bool isHeld = fault_ == LinkFault::Silent || fault_ == direction.holdingFault;
        if (direction.writing || direction.pieces.empty() || isHeld) {
            return;
        }
        const std::chrono::steady_clock::time_point dueAt = direction.pieces.front().dueAt;
        if (std::chrono::steady_clock::now() < dueAt) {
            direction.timer.expires_at(dueAt);
            direction.timer.async_wait(
                [self = shared_from_this(), &direction](const boost::system::error_code &cancelled) {
                    if (!cancelled) {
                        self->forward(direction);
                    }
                });
            return;
        }
        if (direction.ended && direction.pieces.size() == 1) {
            boost::system::error_code ignored;
            direction.to.shutdown(tcp::socket::shutdown_send, ignored);
            direction.pieces.clear();
            return;
        }
        direction.writing = true;
        boost::asio::async_write(
            direction.to,
            boost::asio::buffer(direction.pieces.front().bytes),
            [self = shared_from_this(), &direction](const boost::system::error_code &error, std::size_t) {
                direction.writing = false;
                if (error) {
                    self->reset();
                    return;
                }
                direction.pieces.pop_front();
                self->forward(direction);
            });
    }

    tcp::socket caller_;
    tcp::socket target_;
    LinkFault fault_;
    Direction toTarget_;
    Direction fromTarget_;
};

FaultProxy::FaultProxy(boost::asio::io_context &context, const std::string &target)
    : context_(context)
    , target_(endpointOf(target))
    , acceptor_(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
{
    accept();
}

FaultProxy::~FaultProxy()
{
    setFault(LinkFault::Reset);
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void FaultProxy::setFault(LinkFault fault)
{
    fault_ = fault;
    std::erase_if(links_, [](const std::weak_ptr<Link> &link) { return link.expired(); });
    const std::vector<std::weak_ptr<Link>> links = links_;
    for (const std::weak_ptr<Link> &link : links) {
        if (const std::shared_ptr<Link> open = link.lock()) {
            open->setFault(fault);
        }
    }
}

void FaultProxy::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            accept();
            return;
        }
        const std::shared_ptr<Link> link = std::make_shared<Link>(context_, std::move(socket), fault_);
        links_.push_back(link);
        if (fault_ == LinkFault::Reset) {
            link->reset();
        } else {
            link->start(target_);
        }
        accept();
    });
}

} // namespace GeraniumLever
