#include "drivers/http/upstream_client.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include "drivers/http/http_client.h"
#include "drivers/http/upstream_exchange.h"
#include "drivers/http/upstream_reports.h"
#include "drivers/http/upstream_watcher.h"

namespace GeraniumLever {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;

unsigned statusOf(const HttpResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    return response == nullptr ? 0 : response->status;
}

} // namespace

struct UpstreamClient::State
{
    State(UpstreamClientSettings settings, boost::asio::io_context &context, Sink sink)
        : settings(settings)
        , context(context)
        , sink(std::move(sink))
        , pool(std::make_shared<ConnectionPool>(settings.maxPooledPerUpstream))
        , client(context)
    {
    }

    UpstreamClientSettings settings;
    boost::asio::io_context &context;
    Sink sink;
    std::shared_ptr<ConnectionPool> pool;
    /** For short requests beside the attempts: load, cache events, probes, orders. */
    HttpClient client;
    std::unordered_map<AttemptId, std::shared_ptr<UpstreamExchange>> open;
    std::map<WatchedUpstream, std::shared_ptr<UpstreamWatcher>> watchers;
};

UpstreamClient::UpstreamClient(UpstreamClientSettings settings, boost::asio::io_context &context, Sink sink)
    : state_(std::make_shared<State>(settings, context, std::move(sink)))
{
}

UpstreamClient::~UpstreamClient()
{
    watch({});
    const std::unordered_map<AttemptId, std::shared_ptr<UpstreamExchange>> open = std::move(state_->open);
    state_->open.clear();
    for (const auto &[attempt, exchange] : open) {
        exchange->cancel();
    }
    state_->pool->clear();
}

void UpstreamClient::dispatch(const UpstreamDispatch &dispatch)
{
    const std::weak_ptr<State> weakState = state_;
    const std::shared_ptr<UpstreamExchange> exchange = std::make_shared<UpstreamExchange>(
        state_->context, state_->pool, state_->settings, dispatch, state_->sink, [weakState](const AttemptId &attempt) {
            const std::shared_ptr<State> state = weakState.lock();
            if (state != nullptr) {
                state->open.erase(attempt);
            }
        });
    const bool inserted = state_->open.emplace(dispatch.attempt, exchange).second;
    // An attempt is sent at most once, also if it is dispatched twice.
    if (inserted) {
        exchange->start();
    }
}

void UpstreamClient::cancel(const UpstreamCancel &cancel)
{
    const std::unordered_map<AttemptId, std::shared_ptr<UpstreamExchange>>::iterator found =
        state_->open.find(cancel.attempt);
    if (found == state_->open.end()) {
        return;
    }
    const std::shared_ptr<UpstreamExchange> exchange = found->second;
    exchange->cancel();
}

void UpstreamClient::setReading(const UpstreamReadControl &reading)
{
    const std::unordered_map<AttemptId, std::shared_ptr<UpstreamExchange>>::iterator found =
        state_->open.find(reading.attempt);
    if (found != state_->open.end()) {
        found->second->setReading(reading.enabled);
    }
}

void UpstreamClient::probe(const UpstreamProbe &probe)
{
    HttpRequest request;
    request.address = probe.address;
    request.target = "/load";
    request.timeout = state_->settings.probeTimeout;
    request.freshConnection = true;
    state_->client.send(std::move(request), [sink = state_->sink, upstream = probe.upstream](const HttpResult &result) {
        sink(ProbeResult { upstream, std::holds_alternative<HttpResponse>(result) });
    });
}

void UpstreamClient::order(const EngineOrder &order)
{
    HttpRequest request;
    request.address = order.address;
    request.method = "POST";
    request.target = "/orders";
    request.headers = { { "content-type", "application/json" } };
    request.body = formatOrder(order);
    request.timeout = state_->settings.probeTimeout;
    state_->client.send(
        std::move(request),
        [sink = state_->sink, upstream = order.upstream, fence = order.fence](const HttpResult &result) {
            const unsigned status = statusOf(result);
            sink(OrderResult { upstream, fence, status == StatusOk, status == StatusConflict });
        });
}

void UpstreamClient::watch(std::vector<WatchedUpstream> upstreams)
{
    std::sort(upstreams.begin(), upstreams.end());
    std::erase_if(state_->watchers, [&upstreams](const auto &entry) {
        const bool wanted = std::binary_search(upstreams.begin(), upstreams.end(), entry.first);
        if (!wanted) {
            entry.second->stop();
        }
        return !wanted;
    });
    for (const WatchedUpstream &upstream : upstreams) {
        if (state_->watchers.contains(upstream)) {
            continue;
        }
        const std::shared_ptr<UpstreamWatcher> watcher = std::make_shared<UpstreamWatcher>(
            state_->context, state_->client, state_->settings, upstream, state_->sink);
        state_->watchers.emplace(upstream, watcher);
        watcher->start();
    }
}

std::size_t UpstreamClient::openAttempts() const
{
    return state_->open.size();
}

} // namespace GeraniumLever
