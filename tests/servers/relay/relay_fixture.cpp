#include "tests/servers/relay/relay_fixture.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

Route routeOf(const std::string &name, const std::string &pool)
{
    Route route;
    route.name = name;
    route.host = "a.example";
    route.pathPrefix = "/" + name + "/";
    route.pools = { { PoolName(pool), 1 } };
    route.timeout = std::chrono::seconds(10);
    route.target = std::chrono::milliseconds(300);
    return route;
}

RelaySystemSettings fixtureSettings()
{
    RelaySystemSettings settings;
    settings.dataCenter = DataCenterName("dc");
    settings.retryAllowance = { 0.2, 58.0, std::chrono::seconds(10) };
    settings.origin = 1;
    settings.isFirstStart = true;
    return settings;
}

template<typename Command>
std::vector<Command> commandsOf(const RelayCommands &commands)
{
    std::vector<Command> found;
    for (const RelayCommand &command : commands) {
        if (const Command *value = std::get_if<Command>(&command)) {
            found.push_back(*value);
        }
    }
    return found;
}

} // namespace

UpstreamEntry upstreamOf(const std::string &name, const std::string &pool, std::uint32_t seats)
{
    UpstreamEntry entry;
    entry.name = UpstreamName(name);
    entry.pool = PoolName(pool);
    entry.address = "127.0.0.1:1" + name;
    entry.dataCenter = DataCenterName("dc");
    entry.seats = seats;
    return entry;
}

RelayFixture::RelayFixture() : system_(fixtureSettings())
{
    Route stream = routeOf("stream", "engines");
    stream.streamed = true;
    stream.sharesPrefixes = true;
    stream.tier = 2;
    Route live = routeOf("live", "engines");
    live.streamed = true;
    live.resumable = true;
    live.sharesPrefixes = true;
    live.maxAttempts = 2;
    live.gapTarget = std::chrono::milliseconds(200);
    Route read = routeOf("read", "plain");
    read.isIdempotent = true;
    read.maxAttempts = 2;
    Route once = routeOf("once", "plain");
    once.maxAttempts = 2;
    configuration_.version = ConfigurationVersion(1);
    configuration_.routes = { stream, live, read, once };
    configuration_.pools.resize(2);
    configuration_.pools[0].name = PoolName("engines");
    configuration_.pools[0].engines = true;
    configuration_.pools[1].name = PoolName("plain");
    configuration_.teams = { { TeamName("one"), { "key-one" }, std::nullopt },
                             { TeamName("two"), { "key-two" }, std::nullopt } };
    upstreams_ = { upstreamOf("e1", "engines", 4),
                   upstreamOf("e2", "engines", 4),
                   upstreamOf("p1", "plain", 4),
                   upstreamOf("p2", "plain", 4) };
}

void RelayFixture::configure()
{
    constexpr int Nodes = 9;
    std::vector<PeerNode> nodes;
    nodes.reserve(Nodes);
    for (int number = 0; number < Nodes; ++number) {
        nodes.push_back({ NodeName("node-" + std::to_string(number)), DataCenterName("dc"), "127.0.0.1:1" });
    }
    system_.updateNodes({ nodes, storeState_ }, clock_.now(), clock_.now(), commands_);
    readStore();
}

void RelayFixture::readStore()
{
    system_.applyConfiguration(
        { std::make_shared<const SiteConfiguration>(configuration_), configurationRow_, storeState_ },
        clock_.now(),
        clock_.now(),
        commands_);
    system_.updateUpstreams({ upstreams_, storeState_ }, clock_.now(), clock_.now(), commands_);
}

RequestId RelayFixture::arrive(const std::string &path, const std::string &key, PromptInfo prompt)
{
    RelayRequest request;
    request.request = RequestId(1, ++lastRequest_);
    request.callerId = std::to_string(lastRequest_);
    request.host = "a.example";
    request.path = path;
    request.key = key;
    request.prompt = std::move(prompt);
    system_.arrived(request, clock_.now(), commands_);
    return request.request;
}

void RelayFixture::advance(Duration step)
{
    clock_.advance(step);
}

void RelayFixture::tick()
{
    system_.tick(clock_.now(), commands_);
}

void RelayFixture::answer(const RequestId &request, unsigned status)
{
    RelayResponseHead head;
    head.attempt = dispatches(request).back().attempt;
    head.status = status;
    head.resumable = status == 200 && dispatches(request).back().resumable;
    system_.headArrived(head, clock_.now(), commands_);
}

void RelayFixture::noticeLeaving(const RequestId &request)
{
    system_.noticeArrived({ dispatches(request).back().attempt, true, std::nullopt }, clock_.now(), commands_);
}

void RelayFixture::answerPaused(const RequestId &request, Duration pause)
{
    system_.noticeArrived({ dispatches(request).back().attempt, false, pause }, clock_.now(), commands_);
    answerNotRun(request);
}

void RelayFixture::answerNotRun(const RequestId &request)
{
    RelayResponseHead head;
    head.attempt = dispatches(request).back().attempt;
    head.status = 503;
    head.notRun = true;
    system_.headArrived(head, clock_.now(), commands_);
}

void RelayFixture::end(const RequestId &request)
{
    system_.ended({ dispatches(request).back().attempt }, clock_.now(), commands_);
}

void RelayFixture::fail(const RequestId &request, RelayFailure::Kind kind)
{
    system_.failed({ dispatches(request).back().attempt, kind }, clock_.now(), commands_);
}

void RelayFixture::disconnect(const RequestId &request)
{
    system_.callerGone(request, clock_.now(), commands_);
}

std::vector<RelayDispatch> RelayFixture::dispatches(const RequestId &request) const
{
    std::vector<RelayDispatch> found = commandsOf<RelayDispatch>(commands_);
    std::erase_if(found, [&request](const RelayDispatch &command) { return command.request != request; });
    return found;
}

std::vector<RelayRefusal> RelayFixture::refusals(const RequestId &request) const
{
    std::vector<RelayRefusal> found = commandsOf<RelayRefusal>(commands_);
    std::erase_if(found, [&request](const RelayRefusal &command) { return command.request != request; });
    return found;
}

bool RelayFixture::broken(const RequestId &request) const
{
    const std::vector<RelayAbort> found = commandsOf<RelayAbort>(commands_);
    return std::count(found.begin(), found.end(), RelayAbort { request }) > 0;
}

bool RelayFixture::accepted(const RequestId &request) const
{
    const std::vector<RelayForward> found = commandsOf<RelayForward>(commands_);
    const std::vector<RelayDispatch> sent = dispatches(request);
    return !sent.empty() && std::count(found.begin(), found.end(), RelayForward { sent.back().attempt }) > 0;
}

bool RelayFixture::cancelled(const AttemptId &attempt) const
{
    const std::vector<RelayCancel> found = commandsOf<RelayCancel>(commands_);
    return std::count(found.begin(), found.end(), RelayCancel { attempt }) > 0;
}

std::map<std::string, std::string> RelayFixture::lastDecision(const std::string &kind) const
{
    const std::vector<Decision> decisions = commandsOf<Decision>(commands_);
    const auto found = std::find_if(
        decisions.rbegin(), decisions.rend(), [&kind](const Decision &decision) { return decision.kind == kind; });
    if (found == decisions.rend()) {
        return {};
    }
    return { found->fields.begin(), found->fields.end() };
}

} // namespace GeraniumLever
