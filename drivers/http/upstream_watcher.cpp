#include "drivers/http/upstream_watcher.h"

#include <algorithm>
#include <utility>

#include "drivers/http/upstream_reports.h"

namespace GeraniumLever {

namespace {

constexpr unsigned StatusOk = 200;

/** The body of a successful response; null otherwise. */
const std::string *bodyOf(const HttpResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    return response != nullptr && response->status == StatusOk ? &response->body : nullptr;
}

} // namespace

UpstreamWatcher::UpstreamWatcher(boost::asio::io_context &context,
                                 HttpClient &client,
                                 const UpstreamClientSettings &settings,
                                 WatchedUpstream watched,
                                 Sink sink)
    : client_(client)
    , timer_(context)
    , watched_(std::move(watched))
    , period_(settings.watchPeriod)
    , timeout_(settings.probeTimeout)
    , sink_(std::move(sink))
{
}

void UpstreamWatcher::start()
{
    readLoad();
}

void UpstreamWatcher::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void UpstreamWatcher::readLoad()
{
    client_.send(makeRequest("/load"),
                 [self = shared_from_this()](const HttpResult &result) { self->loadReceived(result); });
}

void UpstreamWatcher::loadReceived(const HttpResult &result)
{
    if (stopped_) {
        return;
    }
    // An upstream that refuses connections numbers its cache events from the beginning after its restart.
    if (result == HttpResult(HttpFailure::NotSent)) {
        lastSequence_ = 0;
    }
    const std::string *body = bodyOf(result);
    if (body == nullptr) {
        waitForNextRead();
        return;
    }
    std::optional<LoadReport> report = parseLoadReport(watched_.upstream, *body);
    if (report.has_value()) {
        sink_(std::move(*report));
    }
    if (!stopped_) {
        readCacheEvents();
    }
}

void UpstreamWatcher::readCacheEvents()
{
    client_.send(makeRequest("/cache_events?after=" + std::to_string(lastSequence_)),
                 [self = shared_from_this()](const HttpResult &result) { self->cacheEventsReceived(result); });
}

void UpstreamWatcher::cacheEventsReceived(const HttpResult &result)
{
    if (stopped_) {
        return;
    }
    const std::string *body = bodyOf(result);
    if (body != nullptr) {
        for (CacheEvent &event : parseCacheEvents(watched_.upstream, *body)) {
            lastSequence_ = std::max(lastSequence_, event.sequence);
            sink_(std::move(event));
        }
    }
    waitForNextRead();
}

void UpstreamWatcher::waitForNextRead()
{
    if (stopped_) {
        return;
    }
    timer_.expires_after(period_);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->stopped_) {
            self->readLoad();
        }
    });
}

HttpRequest UpstreamWatcher::makeRequest(std::string target) const
{
    HttpRequest request;
    request.address = watched_.address;
    request.target = std::move(target);
    request.timeout = timeout_;
    return request;
}

} // namespace GeraniumLever
