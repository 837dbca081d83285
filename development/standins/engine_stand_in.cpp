#include "development/standins/engine_stand_in.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json.hpp>

#include "development/standins/completion_format.h"

namespace GeraniumLever {

namespace {

namespace Json = boost::json;

constexpr std::size_t BytesPerToken = 4;
/** How long an engine that leaves still takes connections. */
constexpr std::chrono::seconds AcceptWhileLeaving { 3 };
constexpr std::string_view CacheEventsPath = "/cache_events";

HttpAnswer errorAnswer(unsigned status, std::string_view message)
{
    return { status, "application/json", Json::serialize(Json::object { { "error", message } }) };
}

std::string textOr(const Json::object &object, std::string_view name, const std::string &fallback)
{
    const Json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : fallback;
}

std::optional<Json::object> parseObject(const std::string &body)
{
    Json::error_code error;
    Json::value parsed = Json::parse(body, error);
    return error || !parsed.is_object() ? std::nullopt : std::optional<Json::object>(parsed.get_object());
}

/** The number after "after=" in a target; 0 if there is none. */
std::uint64_t afterParameter(std::string_view target)
{
    constexpr std::string_view Name = "after=";
    std::uint64_t number = 0;
    std::size_t position = target.find(Name);
    if (position != std::string_view::npos) {
        std::from_chars(target.data() + position + Name.size(), target.data() + target.size(), number);
    }
    return number;
}

} // namespace

struct EngineStandIn::Run
{
    Run(boost::asio::io_context &context, ConnectionPtr requester, CompletionRequest asked)
        : connection(std::move(requester)), request(std::move(asked)), timer(context)
    {
    }

    ConnectionPtr connection;
    CompletionRequest request;
    CompletionFormat format;
    boost::asio::steady_timer timer;
    std::uint64_t hash = 0;
    /** Token numbers: the first to generate, the next one, and the one after the last. */
    std::uint32_t first = 0;
    std::uint32_t next = 0;
    std::uint32_t end = 0;
    bool over = false;
};

EngineStandIn::EngineStandIn(EngineSettings settings, boost::asio::io_context &context, std::function<void()> finished)
    : settings_(std::move(settings))
    , context_(context)
    , finished_(std::move(finished))
    , cache_(settings_.cacheBlocks)
    , leaveTimer_(context)
    , loadingTimer_(context)
    , server_(context, settings_.listenAddress, [this](const ConnectionPtr &connection) { handle(connection); })
{
    loadChanged();
    server_.observeFaults([this](const StandInFault &fault) {
        if (fault.kind == StandInFault::Kind::Leaving) {
            leave();
        }
    });
}

EngineStandIn::~EngineStandIn() = default;

void EngineStandIn::leave()
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    server_.announceLeaving();
    loadChanged();
    leaveTimer_.expires_after(AcceptWhileLeaving);
    leaveTimer_.async_wait([this](const boost::system::error_code &) {
        server_.stopListening();
        closed_ = true;
        exitIfIdle();
    });
}

void EngineStandIn::handle(const ConnectionPtr &connection)
{
    std::string_view target(connection->request().target().data(), connection->request().target().size());
    if (target == "/v1/chat/completions" || target == "/v1/completions") {
        beginCompletion(connection, target == "/v1/chat/completions");
    } else if (target == "/load") {
        answerLoad(connection);
    } else if (target.starts_with(CacheEventsPath)) {
        answerCacheEvents(connection);
    } else if (target == "/orders") {
        takeOrder(connection);
    } else {
        connection->answer(errorAnswer(404, "unknown path"));
    }
}

void EngineStandIn::beginCompletion(const ConnectionPtr &connection, bool chat)
{
    std::optional<Json::object> body = parseObject(connection->request().body());
    std::optional<CompletionRequest> request = body ? parseCompletionRequest(*body, chat) : std::nullopt;
    if (!request) {
        connection->answer(errorAnswer(400, "malformed completion request"));
        return;
    }
    if (!ready_) {
        connection->answer(errorAnswer(503, "loading"));
        return;
    }
    RunPtr run = std::make_shared<Run>(context_, connection, std::move(*request));
    run->hash = promptHash(run->request.prompt);
    std::optional<std::uint32_t> delivered = countDeliveredTokens(run->hash, run->request.delivered);
    if (!delivered) {
        connection->answer(errorAnswer(400, "the text to continue does not belong to the prompt"));
        return;
    }
    run->first = *delivered;
    run->next = run->first;
    run->end = run->request.maxTokens ? run->first + *run->request.maxTokens
                                      : std::max(run->first, standInTokenCount(run->hash, settings_.maxTokens));
    run->format = { "cmpl-" + std::to_string(run->hash), run->request.model, chat };
    connection->whenBroken([this, run]() { finish(run); });
    waiting_.push_back(run);
    startWaiting();
    loadChanged();
}

void EngineStandIn::startWaiting()
{
    while (running_.size() < settings_.seats && !waiting_.empty()) {
        std::vector<RunPtr>::iterator best =
            std::min_element(waiting_.begin(), waiting_.end(), [](const RunPtr &left, const RunPtr &right) {
                return left->request.priority < right->request.priority;
            });
        RunPtr run = *best;
        waiting_.erase(best);
        running_.push_back(run);
        start(run);
    }
}

void EngineStandIn::start(const RunPtr &run)
{
    scheduleToken(run, prefillTime(run));
}

Duration EngineStandIn::prefillTime(const RunPtr &run)
{
    std::size_t cachedBytes = cache_.use(run->request.prompt, clock_.now()) * PrefixBlockBytes;
    std::size_t bytes = run->request.prompt.size() - cachedBytes + run->request.delivered.size();
    return settings_.prefillPerToken * static_cast<Duration::rep>(bytes / BytesPerToken);
}

Duration EngineStandIn::tokenGap() const
{
    return settings_.tokenGap * (settings_.seats + running_.size()) / settings_.seats;
}

void EngineStandIn::scheduleToken(const RunPtr &run, Duration delay)
{
    run->timer.expires_after(delay);
    run->timer.async_wait([this, run](const boost::system::error_code &error) {
        if (!error && !run->over) {
            emitToken(run);
        }
    });
}

void EngineStandIn::emitToken(const RunPtr &run)
{
    if (server_.fault().kind == StandInFault::Kind::Freeze) {
        scheduleToken(run, tokenGap());
        return;
    }
    bool begun = run->next > run->first;
    if (!begun && run->request.streamed) {
        run->connection->beginEvents();
    }
    if (run->next == run->end) {
        complete(run);
        return;
    }
    if (run->request.streamed) {
        run->connection->writeEvent(run->format.chunk(standInToken(run->hash, run->next)));
    }
    ++run->next;
    StandInFault fault = server_.fault();
    if (fault.kind == StandInFault::Kind::CrashAfterTokens && run->next - run->first >= fault.value) {
        crash();
        return;
    }
    if (run->next == run->end) {
        complete(run);
        return;
    }
    scheduleToken(run, tokenGap());
}

void EngineStandIn::complete(const RunPtr &run)
{
    std::uint32_t tokens = run->end - run->first;
    if (run->request.streamed) {
        run->connection->writeEvent(run->format.lastChunk(tokens));
        run->connection->writeEvent("[DONE]");
        run->connection->endEvents();
    } else {
        std::string text = standInText(run->hash, run->end).substr(run->request.delivered.size());
        run->connection->answer({ 200, "application/json", run->format.whole(text, tokens) });
    }
    finish(run);
}

void EngineStandIn::finish(const RunPtr &run)
{
    if (run->over) {
        return;
    }
    run->over = true;
    run->timer.cancel();
    run->connection->whenBroken(nullptr);
    std::erase(waiting_, run);
    std::erase(running_, run);
    startWaiting();
    loadChanged();
    exitIfIdle();
}

void EngineStandIn::crash()
{
    server_.setFault({});
    server_.closeAllConnections();
    cache_ = EnginePrefixCache(settings_.cacheBlocks);
}

void EngineStandIn::answerLoad(const ConnectionPtr &connection)
{
    TimePoint visible = clock_.now() - settings_.loadLag;
    while (samples_.size() > 1 && samples_[1].at <= visible) {
        samples_.pop_front();
    }
    connection->answer({ 200, "application/json", samples_.front().body });
}

void EngineStandIn::answerCacheEvents(const ConnectionPtr &connection)
{
    std::string_view target(connection->request().target().data(), connection->request().target().size());
    Json::array events;
    StandInFault fault = server_.fault();
    for (const PrefixCacheEvent &event :
         cache_.eventsAfter(afterParameter(target), clock_.now(), settings_.cacheEventLag)) {
        bool left = fault.kind == StandInFault::Kind::CacheGaps && fault.value > 0 && event.sequence % fault.value == 0;
        if (!left) {
            events.push_back(
                Json::object { { "sequence", event.sequence }, { "block", event.block }, { "stored", event.stored } });
        }
    }
    connection->answer({ 200, "application/json", Json::serialize(Json::object { { "events", std::move(events) } }) });
}

void EngineStandIn::takeOrder(const ConnectionPtr &connection)
{
    std::optional<Json::object> order = parseObject(connection->request().body());
    const Json::value *fenceField = order ? order->if_contains("fence") : nullptr;
    if (fenceField == nullptr || !fenceField->is_number()) {
        connection->answer(errorAnswer(400, "malformed order"));
        return;
    }
    std::uint64_t fence = fenceField->to_number<std::uint64_t>();
    if (settings_.checksFence && fence < highestFence_) {
        connection->answer(errorAnswer(409, "old fence"));
        return;
    }
    highestFence_ = std::max(highestFence_, fence);
    std::string version = textOr(*order, "model_version", modelVersion_);
    std::string adapter = textOr(*order, "adapter", adapter_);
    bool loads = version != modelVersion_ || adapter != adapter_;
    modelVersion_ = version;
    adapter_ = adapter;
    role_ = textOr(*order, "role", role_);
    if (loads && settings_.loadingTime > Duration(0)) {
        ready_ = false;
        loadingTimer_.expires_after(settings_.loadingTime);
        loadingTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                ready_ = true;
                loadChanged();
            }
        });
    }
    loadChanged();
    connection->answer({ 200, "application/json", "{}" });
}

void EngineStandIn::loadChanged()
{
    samples_.push_back({ clock_.now(), loadBody() });
    // A sample that was older than the lag already when the next one came is of no more use.
    while (samples_.size() > 1 && samples_[1].at <= clock_.now() - settings_.loadLag) {
        samples_.pop_front();
    }
}

std::string EngineStandIn::loadBody() const
{
    return Json::serialize(Json::object { { "running", running_.size() },
                                          { "waiting", waiting_.size() },
                                          { "free_cache_per_mille", cache_.freePerMille() },
                                          { "ready", ready_ },
                                          { "leaving", leaving_ },
                                          { "model_version", modelVersion_ },
                                          { "adapter", adapter_ },
                                          { "role", role_ },
                                          { "fence", settings_.checksFence ? highestFence_ : 0 } });
}

void EngineStandIn::exitIfIdle()
{
    if (closed_ && waiting_.empty() && running_.empty() && finished_) {
        // The last answer may still be on its way out.
        boost::asio::post(context_, std::exchange(finished_, nullptr));
    }
}

} // namespace GeraniumLever
