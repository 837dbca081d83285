#include "drivers/http/http_client.h"

#include <unordered_set>
#include <utility>

#include "drivers/http/http_exchange.h"

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxIdlePerAddress = 16;

} // namespace

struct HttpClient::State
{
    explicit State(boost::asio::io_context &context)
        : context(context), pool(std::make_shared<ConnectionPool>(MaxIdlePerAddress))
    {
    }

    boost::asio::io_context &context;
    std::shared_ptr<ConnectionPool> pool;
    std::unordered_set<std::shared_ptr<HttpExchange>> open;
};

HttpClient::HttpClient(boost::asio::io_context &context) : state_(std::make_shared<State>(context)) { }

HttpClient::~HttpClient()
{
    for (const std::shared_ptr<HttpExchange> &exchange : state_->open) {
        exchange->abandon();
    }
    state_->open.clear();
    state_->pool->clear();
}

void HttpClient::send(HttpRequest request, Handler handler)
{
    const std::shared_ptr<HttpExchange> exchange =
        std::make_shared<HttpExchange>(state_->context, state_->pool, request);
    state_->open.insert(exchange);
    const std::weak_ptr<State> weakState = state_;
    const std::weak_ptr<HttpExchange> weakExchange = exchange;
    exchange->start([weakState, weakExchange, handler = std::move(handler)](HttpResult result) {
        const std::shared_ptr<State> state = weakState.lock();
        if (state == nullptr) {
            return;
        }
        state->open.erase(weakExchange.lock());
        handler(std::move(result));
    });
}

} // namespace GeraniumLever
