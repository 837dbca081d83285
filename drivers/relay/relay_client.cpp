#include "drivers/relay/relay_client.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "drivers/relay/idle_limit.h"

namespace GeraniumLever {

namespace {

/** Maximum number of idle connections that are kept per upstream. */
constexpr std::size_t MaxIdlePerUpstream = 6;

} // namespace

RelayClient::RelayClient(boost::asio::io_context &context,
                         const RelayHeaderCodec &codec,
                         RelayExchangeObserver &observer)
    : context_(context), codec_(codec), observer_(observer), pool_(std::make_shared<ConnectionPool>(MaxIdlePerUpstream))
{
}

RelayClient::~RelayClient()
{
    for (const auto &[attempt, exchange] : exchanges_) {
        exchange->cancel();
    }
    pool_->clear();
}

void RelayClient::dispatch(RelayDispatch dispatch, RelayCallPtr call, const std::string &lastEventId)
{
    const AttemptId attempt = dispatch.attempt;
    const std::shared_ptr<RelayExchange> exchange =
        std::make_shared<RelayExchange>(context_, pool_, std::move(dispatch), std::move(call), codec_, *this);
    exchanges_.emplace(attempt, exchange);
    exchange->start(lastEventId);
}

void RelayClient::cancel(const AttemptId &attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found == exchanges_.end()) {
        return;
    }
    const std::shared_ptr<RelayExchange> exchange = found->second;
    exchanges_.erase(found);
    exchange->cancel();
}

void RelayClient::probe(const RelayProbe &probe, std::function<void(RelayProbeResult)> probed)
{
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(probe.address);
    const std::shared_ptr<ClientConnection> connection = std::make_shared<ClientConnection>(context_, probe.address);
    connection->setPrecedingLoss(pool_->lastLoss(probe.address));
    const std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(context_);
    const UpstreamName upstream = probe.upstream;
    if (!endpoint.has_value()) {
        boost::asio::post(context_, [probed, upstream] { probed({ upstream, false }); });
        return;
    }
    const std::shared_ptr<bool> connecting = std::make_shared<bool>(true);
    timer->expires_after(UpstreamConnectTimeout);
    timer->async_wait([connection, connecting](const boost::system::error_code &error) {
        if (!error && *connecting) {
            connection->close();
        }
    });
    connection->socket().async_connect(
        *endpoint,
        [pool = pool_, connection, timer, connecting, probed, upstream](const boost::system::error_code &error) {
            *connecting = false;
            timer->cancel();
            const bool reached = !error && connection->socket().is_open();
            if (reached) {
                connection->setIdleLimit(DefaultIdleLimit);
                pool->put(connection);
            }
            probed({ upstream, reached });
        });
}

void RelayClient::setReading(const AttemptId &attempt, bool enabled)
{
    const auto found = exchanges_.find(attempt);
    if (found != exchanges_.end()) {
        found->second->setReading(enabled);
    }
}

void RelayClient::exchangeNotice(const UpstreamNotice &notice)
{
    observer_.exchangeNotice(notice);
}

void RelayClient::exchangeHeldBack(const AttemptId &attempt)
{
    observer_.exchangeHeldBack(attempt);
}

void RelayClient::exchangeHead(const RelayResponseHead &head, const RelayResponse &response)
{
    observer_.exchangeHead(head, response);
}

void RelayClient::exchangeData(const AttemptId &attempt, std::string_view bytes, const std::string &lastEventId)
{
    observer_.exchangeData(attempt, bytes, lastEventId);
}

void RelayClient::exchangeEnded(const AttemptId &attempt)
{
    exchanges_.erase(attempt);
    observer_.exchangeEnded(attempt);
}

void RelayClient::exchangeFailed(const RelayFailure &failure)
{
    exchanges_.erase(failure.attempt);
    observer_.exchangeFailed(failure);
}

} // namespace GeraniumLever
