#include "development/platform_standins/raw_session.h"

#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace GeraniumLever {

namespace {

constexpr std::uint64_t MaxBodyBytes = 16 * 1024 * 1024;

boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return { boost::asio::ip::make_address(address.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

} // namespace

RawSession::RawSession(boost::asio::ip::tcp::socket socket, Handler handler)
    : socket_(std::move(socket)), handler_(std::move(handler))
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void RawSession::readRequest()
{
    parser_.emplace();
    parser_->body_limit(MaxBodyBytes);
    answering_ = false;
    finished_ = false;
    peerClosed_ = nullptr;
    boost::beast::http::async_read(
        socket_, input_, *parser_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (error) {
                self->end();
                return;
            }
            self->answering_ = true;
            self->watch();
            const Request request = self->parser_->release();
            self->handler_(self, request);
        });
}

void RawSession::send(const std::string &bytes)
{
    if (ended_) {
        return;
    }
    waiting_ += bytes;
    write();
}

void RawSession::finish()
{
    finished_ = true;
    write();
}

void RawSession::closeAfterSending()
{
    closing_ = true;
    write();
}

void RawSession::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    end();
}

void RawSession::write()
{
    if (!sending_.empty() || ended_) {
        return;
    }
    if (waiting_.empty()) {
        if (closing_) {
            boost::system::error_code ignored;
            socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
            end();
        } else if (finished_) {
            boost::system::error_code ignored;
            socket_.cancel(ignored);
            readRequest();
        }
        return;
    }
    sending_.swap(waiting_);
    boost::asio::async_write(socket_,
                             boost::asio::buffer(sending_),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                 self->sending_.clear();
                                 if (error) {
                                     self->end();
                                     return;
                                 }
                                 self->write();
                             });
}

void RawSession::watch()
{
    socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error || self->ended_ || !self->answering_ || self->finished_) {
                return;
            }
            boost::system::error_code peeked;
            char byte = 0;
            self->socket_.non_blocking(true, peeked);
            self->socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, peeked);
            if (peeked && peeked != boost::asio::error::would_block) {
                self->end();
            }
        });
}

void RawSession::end()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    const std::function<void()> handler = std::exchange(peerClosed_, nullptr);
    if (answering_ && !finished_ && handler != nullptr) {
        handler();
    }
}

RawServer::RawServer(boost::asio::io_context &context, const std::string &address, RawSession::Handler handler)
    : acceptor_(context, endpointOf(address)), handler_(std::move(handler))
{
    accept();
}

std::string RawServer::address() const
{
    const boost::asio::ip::tcp::endpoint local = acceptor_.local_endpoint();
    return local.address().to_string() + ":" + std::to_string(local.port());
}

void RawServer::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    resetAll();
}

void RawServer::resetAll()
{
    for (const std::weak_ptr<RawSession> &weak : std::exchange(sessions_, {})) {
        const std::shared_ptr<RawSession> session = weak.lock();
        if (session != nullptr) {
            session->reset();
        }
    }
}

void RawServer::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        std::erase_if(sessions_, [](const std::weak_ptr<RawSession> &session) { return session.expired(); });
        const std::shared_ptr<RawSession> session = std::make_shared<RawSession>(std::move(socket), handler_);
        sessions_.push_back(session);
        session->readRequest();
        accept();
    });
}

} // namespace GeraniumLever
