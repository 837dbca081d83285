#include "drivers/http/listener.h"

#include <optional>
#include <utility>

#include "drivers/http/endpoint.h"

namespace GeraniumLever {

namespace {

/** Pause after accept has failed, for example because no file descriptor was left. */
constexpr std::chrono::milliseconds AcceptRetryPause(100);

} // namespace

Listener::Listener(boost::asio::io_context &context, Handler handler)
    : context_(context), handler_(std::move(handler)), acceptor_(context), retryTimer_(context)
{
}

Result<Success> Listener::start(const std::string &address)
{
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
    if (!endpoint.has_value()) {
        return Error { ResultCode::SettingsInvalid,
                       "The listen address " + address + " is not of the form IP:PORT.",
                       {} };
    }
    boost::system::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) {
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(*endpoint, error);
    }
    if (!error) {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        return Error { ResultCode::SettingsInvalid, "Cannot listen on " + address + ": " + error.message() + ".", {} };
    }
    accept();
    return Success {};
}

void Listener::drain()
{
    if (!acceptor_.is_open()) {
        return;
    }
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        Socket socket(context_);
        acceptor_.accept(socket, error);
        if (!error) {
            handler_(std::move(socket));
        }
    }
    close();
}

void Listener::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
}

void Listener::accept()
{
    acceptor_.async_accept(context_,
                           [self = shared_from_this()](const boost::system::error_code &error, Socket socket) {
                               self->accepted(error, std::move(socket));
                           });
}

void Listener::accepted(const boost::system::error_code &error, Socket socket)
{
    if (!acceptor_.is_open()) {
        return;
    }
    if (!error) {
        handler_(std::move(socket));
        accept();
        return;
    }
    retryTimer_.expires_after(AcceptRetryPause);
    retryTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (!cancelled && self->acceptor_.is_open()) {
            self->accept();
        }
    });
}

} // namespace GeraniumLever
