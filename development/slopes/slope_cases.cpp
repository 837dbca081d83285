#include "development/slopes/slope_cases.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <limits>

#include <malloc.h>

#include "core/core.h"
#include "development/platform_standins/platform_standins.h"
#include "development/slopes/slope_catalogs.h"
#include "drivers/mesh/mesh.h"
#include "platform/platform.h"
#include "servers/claims/claims.h"
#include "servers/ingress/ingress.h"
#include "servers/membership/membership.h"
#include "servers/scheduling/scheduling.h"
#include "servers/tickets/tickets.h"

namespace GeraniumLever {

namespace {

constexpr int Repeats = 5;
const DataCenterName homeDataCenter("dc");
const NodeName self("entry-0");

/** Processor time of this thread, in microseconds. */
double processorMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/** Least processor time of one call among several rounds of many calls. */
double costOf(int calls, const std::function<void()> &call)
{
    double best = std::numeric_limits<double>::max();
    for (int round = 0; round < Repeats; ++round) {
        const double begin = processorMicroseconds();
        for (int i = 0; i < calls; ++i) {
            call();
        }
        best = std::min(best, (processorMicroseconds() - begin) / calls);
    }
    return best;
}

double heapKilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024.0;
}

NodeAddress peerAddress(std::size_t index)
{
    const std::string name = "entry-" + std::to_string(index);
    return { NodeName(name), homeDataCenter, "127.0.0.1:9001", "127.0.0.1:9000" };
}

Heartbeat makeHeartbeat(std::size_t index, std::size_t pools)
{
    Heartbeat heartbeat;
    heartbeat.node = peerAddress(index).node;
    heartbeat.incarnation = Incarnation(1);
    heartbeat.dataCenter = homeDataCenter;
    heartbeat.state = NodeState::Ready;
    for (std::size_t pool = 0; pool < pools; ++pool) {
        heartbeat.pools.push_back({ PoolName("model-" + std::to_string(pool)), 8, 128, std::vector<Duration>(6) });
    }
    return heartbeat;
}

/** One second of membership: a heartbeat from each peer, and the own to all. */
double membershipSecond(std::size_t nodes)
{
    std::vector<NodeAddress> seeds;
    for (std::size_t i = 1; i < nodes; ++i) {
        seeds.push_back(peerAddress(i));
    }
    MembershipSystem membership(peerAddress(0), Incarnation(1), seeds);
    SteppedClock clock;
    return costOf(20, [&]() {
        for (std::size_t i = 1; i < nodes; ++i) {
            membership.heartbeatReceived(makeHeartbeat(i, 1), clock.now());
        }
        for (int tick = 0; tick < 200; ++tick) {
            clock.advance(std::chrono::milliseconds(5));
            Commands commands;
            membership.tick(SelfDescription {}, clock.now(), commands);
        }
    });
}

double heartbeatBytes(std::size_t pools)
{
    return static_cast<double>(encodedBytes(makeHeartbeat(1, pools)));
}

double catalogKilobytes(std::size_t teams)
{
    const double before = heapKilobytes();
    const CatalogPtr catalog = makeSlopeCatalog({ teams, 36, 225 });
    return heapKilobytes() - before;
}

/** A ticket that changes one upstream of a catalog with so many teams. */
double ticketApplication(std::size_t teams)
{
    const CatalogPtr catalog = makeSlopeCatalog({ teams, 36, 225 });
    const Upstream change = catalog->upstreams().begin()->second;
    std::uint64_t number = 1;
    return costOf(5, [&]() { const Catalog next = catalog->withChanges({ change }, TicketNumber(++number)); });
}

/** A ticket that changes one team of a catalog with so many teams. */
double teamTicketApplication(std::size_t teams)
{
    const CatalogPtr catalog = makeSlopeCatalog({ teams, 36, 225 });
    const Team change = catalog->teams().begin()->second;
    std::uint64_t number = 1;
    return costOf(5, [&]() { const Catalog next = catalog->withChanges({ change }, TicketNumber(++number)); });
}

double snapshotKilobytes(std::size_t teams)
{
    const CatalogPtr catalog = makeSlopeCatalog({ teams, 36, 225 });
    return static_cast<double>(canonicalText(ticketOfCatalog(*catalog)).size()) / 1024.0;
}

double ticketValidation(std::size_t teams)
{
    const CatalogPtr catalog = makeSlopeCatalog({ teams, 36, 225 });
    Ticket ticket;
    ticket.number = TicketNumber(2);
    ticket.author = "operator";
    ticket.changes = { catalog->upstreams().begin()->second };
    return costOf(5, [&]() { validateTicket(ticket, *catalog); });
}

/** Scheduler work for one request from its slot request to its end, with so many upstreams in the shard's pool. */
double schedulerRequest(std::size_t upstreams)
{
    SchedulingSystem scheduling(self, 1, 1);
    SteppedClock clock;
    scheduling.applyCatalog(makeSlopeCatalog({ 10, 1, upstreams }), clock.now());
    std::uint64_t sequence = 0;
    return costOf(500, [&]() {
        SlotRequest request;
        request.request = RequestId(2, ++sequence);
        request.shard = { homeDataCenter, PoolName("model-0"), 0 };
        request.requestClass = ClassName("tier-0");
        request.team = TeamName("team-1");
        request.timeLeft = std::chrono::seconds(10);
        request.promptTokens = 500;
        Commands commands;
        clock.advance(std::chrono::milliseconds(5));
        scheduling.slotRequested(self, request, clock.now(), commands);
        scheduling.tick(clock.now(), commands);
        for (const Command &command : commands) {
            const PeerSend *send = std::get_if<PeerSend>(&command);
            const SlotGrant *grant = send == nullptr ? nullptr : std::get_if<SlotGrant>(&send->message);
            if (grant == nullptr) {
                continue;
            }
            AttemptEnd end;
            end.attempt = grant->attempt;
            end.request = grant->request;
            end.shard = grant->shard;
            end.upstream = grant->upstream;
            end.tokens = 100;
            end.firstToken = std::chrono::milliseconds(200);
            Commands ignored;
            scheduling.attemptEnded(self, end, clock.now(), ignored);
            break;
        }
    });
}

/** An idle scheduler's ticks of one second. */
double schedulerIdleSecond(std::size_t upstreams)
{
    SchedulingSystem scheduling(self, 1, 1);
    SteppedClock clock;
    scheduling.applyCatalog(makeSlopeCatalog({ 10, 36, upstreams }), clock.now());
    return costOf(1, [&]() {
        for (int tick = 0; tick < 200; ++tick) {
            clock.advance(std::chrono::milliseconds(5));
            Commands commands;
            scheduling.tick(clock.now(), commands);
        }
    });
}

/** Ingress work for one streamed answer of so many tokens, without any I/O. */
double ingressAnswer(std::size_t tokens)
{
    OperationCounter operations;
    ClaimSystem claims(self, Incarnation(1), operations);
    const MembershipSystem membership(peerAddress(0), Incarnation(1), {});
    IngressSystem ingress(7, "key", claims, membership);
    ingress.applyCatalog(makeSlopeCatalog({ 10, 1, 4 }));
    const std::string event = R"({"id":"a","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]})";
    const std::string last = R"({"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})";
    SteppedClock clock;
    std::uint64_t sequence = 0;
    return costOf(20, [&]() {
        CallerRequest call;
        call.request = RequestId(7, ++sequence);
        call.method = "POST";
        call.target = "/v1/chat/completions";
        call.keyHash = std::string(63, '0') + "1";
        call.requestClass = ClassName("tier-0");
        call.body = R"({"model":"model-0","stream":true,"messages":[{"role":"user","content":"hello"}]})";
        Commands commands;
        ingress.callerRequested(call, clock.now(), commands);
        const AttemptId attempt(9, sequence);
        const ShardKey shard { homeDataCenter, PoolName("model-0"), 0 };
        ingress.slotGranted(self, { call.request, attempt, UpstreamName("engine-0"), shard }, clock.now(), commands);
        UpstreamHead head;
        head.attempt = attempt;
        head.status = 200;
        head.contentType = "text/event-stream";
        ingress.upstreamHead(head, clock.now(), commands);
        for (std::size_t i = 0; i < tokens; ++i) {
            commands.clear();
            ingress.upstreamData({ attempt, event }, clock.now(), commands);
        }
        ingress.upstreamData({ attempt, last }, clock.now(), commands);
        ingress.upstreamData({ attempt, "[DONE]" }, clock.now(), commands);
    });
}

/** Gives every store request among the commands the answer of a service that works; returns how many writes there were.
 */
std::size_t answerStore(ClaimSystem &claims, Commands &commands, TimePoint now)
{
    std::size_t writes = 0;
    for (std::size_t i = 0; i < commands.size(); ++i) {
        StoreResult result;
        result.status = StoreStatus::Done;
        if (const TableGet *get = std::get_if<TableGet>(&commands[i])) {
            result.operation = get->operation;
        } else if (const TableTransaction *transaction = std::get_if<TableTransaction>(&commands[i])) {
            result.operation = transaction->operation;
            ++writes;
        } else {
            continue;
        }
        claims.storeResultReceived(result, now, commands);
    }
    return writes;
}

/** Claims that go through their whole life together; returns the writes. */
std::size_t runClaims(ClaimSystem &claims, std::uint64_t first, std::size_t calls, SteppedClock &clock)
{
    std::size_t writes = 0;
    const std::uint64_t end = first + calls;
    Commands commands;
    for (std::uint64_t i = first; i < end; ++i) {
        const RequestId request(7, i);
        const TimePoint deadline = clock.now() + std::chrono::seconds(10);
        claims.lookUp({ request, TeamName("team-1"), std::to_string(i), i, deadline }, clock.now(), commands);
    }
    const std::function<void()> settle = [&]() {
        for (int tick = 0; tick < 3; ++tick) {
            clock.advance(std::chrono::milliseconds(5));
            claims.tick(clock.now(), commands);
            writes += answerStore(claims, commands, clock.now());
            commands.clear();
        }
        claims.takeNotices();
    };
    settle();
    for (std::uint64_t i = first; i < end; ++i) {
        claims.claim(RequestId(7, i), AttemptId(9, i), clock.now(), commands);
    }
    settle();
    for (std::uint64_t i = first; i < end; ++i) {
        claims.startDispatch(RequestId(7, i), clock.now(), commands);
        claims.recordAnswer(RequestId(7, i), { 200, "application/json", "{}" }, clock.now(), commands);
    }
    settle();
    return writes;
}

/** Processor time of one call's claim, with so many calls at the same time at the node. */
double claimCall(std::size_t calls)
{
    OperationCounter operations;
    ClaimSystem claims(self, Incarnation(1), operations);
    SteppedClock clock;
    std::uint64_t first = 1;
    return costOf(5,
                  [&]() {
                      runClaims(claims, first, calls, clock);
                      first += calls;
                  })
        / static_cast<double>(calls);
}

/** Transactions of one call, with so many calls at the same time at the node. */
double claimWrites(std::size_t calls)
{
    OperationCounter operations;
    ClaimSystem claims(self, Incarnation(1), operations);
    SteppedClock clock;
    return static_cast<double>(runClaims(claims, 1, calls, clock)) / static_cast<double>(calls);
}

/** Memory of a scheduler with so many requests that wait. */
double schedulerKilobytes(std::size_t waiting)
{
    const CatalogPtr catalog = makeSlopeCatalog({ 10, 1, 16 });
    SteppedClock clock;
    const double before = heapKilobytes();
    SchedulingSystem scheduling(self, 1, 1);
    scheduling.applyCatalog(catalog, clock.now());
    for (std::uint64_t i = 1; i <= waiting; ++i) {
        SlotRequest request;
        request.request = RequestId(2, i);
        request.shard = { homeDataCenter, PoolName("model-0"), 0 };
        request.requestClass = ClassName("tier-0");
        request.team = TeamName("team-1");
        request.timeLeft = std::chrono::seconds(100);
        request.prefixHashes.resize(8);
        Commands commands;
        scheduling.slotRequested(self, request, clock.now(), commands);
    }
    return heapKilobytes() - before;
}

/** Bytes between nodes for the control of one request whose answer takes so many seconds. */
double controlBytes(std::size_t seconds)
{
    const ShardKey shard { homeDataCenter, PoolName("model-0"), 0 };
    const UpstreamName upstream("engine-0");
    SlotRequest request;
    request.shard = shard;
    request.requestClass = ClassName("tier-0");
    request.team = TeamName("team-1");
    request.prefixHashes.resize(8);
    AttemptProgress progress;
    progress.shard = shard;
    progress.upstream = upstream;
    AttemptEnd end;
    end.shard = shard;
    end.upstream = upstream;
    const std::size_t fixed =
        encodedBytes(request) + encodedBytes(SlotGrant { {}, {}, upstream, shard }) + encodedBytes(end);
    return static_cast<double>(fixed + (seconds + 1) * encodedBytes(progress));
}

/** A configuration as the store holds it, with so many routes. */
std::string configurationText(std::size_t routes)
{
    std::string text = R"({"version":1,"routes":[)";
    for (std::size_t number = 0; number < routes; ++number) {
        const std::string name = std::to_string(number);
        text += std::string(number == 0 ? "" : ",") + R"({"name":"route-)" + name + R"(","host":"team-)"
            + std::to_string(number % 1000) + R"(.example","path_prefix":"/service-)" + name
            + R"(/","service":"plain","kind":"idempotent","priority":1,"max_attempts":2,"timeout_ms":3000,)"
            + R"("target_latency_ms":300})";
    }
    return text + R"(],"services":[{"name":"plain"}]})";
}

RouteTablePtr decodedTable(const std::string &text)
{
    return std::make_shared<const RouteTable>(
        std::make_shared<const SiteConfiguration>(valueOf(decodeConfiguration(text))));
}

double configurationDecode(std::size_t routes)
{
    const std::string text = configurationText(routes);
    return costOf(1, [&text]() { decodedTable(text); });
}

double configurationKilobytes(std::size_t routes)
{
    const std::string text = configurationText(routes);
    const double before = heapKilobytes();
    const RouteTablePtr table = decodedTable(text);
    return heapKilobytes() - before;
}

double routeLookup(std::size_t routes)
{
    constexpr int Lookups = 1000;
    const RouteTablePtr table = decodedTable(configurationText(routes));
    const std::string path = "/service-" + std::to_string(routes - 1) + "/7";
    const std::string host = "team-" + std::to_string((routes - 1) % 1000) + ".example";
    return costOf(Lookups, [&]() { table->match(host, path); });
}

/** Reads twice and returns the bytes of the store's second answer. */
template<typename Read>
double secondAnswerBytes(boost::asio::io_context &context, const StoreStandIn &store, Read read)
{
    bool done = false;
    const auto finished = [&done](const auto &) { done = true; };
    std::uint64_t before = 0;
    for (int number = 0; number < 2; ++number) {
        before = store.bytesSent();
        done = false;
        read(finished);
        while (!done) {
            context.run_one();
        }
    }
    return static_cast<double>(store.bytesSent() - before);
}

double unchangedConfigurationBytes(std::size_t routes)
{
    boost::asio::io_context context;
    StoreStandIn store(context, "127.0.0.1:0");
    store.put("op", "config", configurationText(routes));
    PlatformStore client(context, store.address(), std::chrono::seconds(5));
    return secondAnswerBytes(
        context, store, [&client](const auto &handler) { client.readConfiguration(Duration(0), handler); });
}

double unchangedRegistryBytes(std::size_t upstreams)
{
    boost::asio::io_context context;
    StoreStandIn store(context, "127.0.0.1:0");
    for (std::size_t number = 0; number < upstreams; ++number) {
        store.put("servers",
                  "i-" + std::to_string(number),
                  R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":4,"state":"ready"})");
    }
    PlatformStore client(context, store.address(), std::chrono::seconds(5));
    return secondAnswerBytes(context, store, [&client](const auto &handler) { client.readUpstreams(handler); });
}

const std::vector<SlopeCase> cases {
    { "membership", "nodes in the data centre", "us of processor a second", { 8, 16, 24, 32 }, membershipSecond },
    { "heartbeat", "pools scheduled by the sender", "bytes", { 0, 2, 4, 8 }, heartbeatBytes },
    { "catalog memory", "teams", "KB of heap", { 1000, 6000, 12000, 24000 }, catalogKilobytes },
    { "ticket application", "teams", "us a ticket", { 1000, 6000, 12000, 24000 }, ticketApplication },
    { "team ticket application", "teams", "us a ticket", { 1000, 6000, 12000, 24000 }, teamTicketApplication },
    { "ticket validation", "teams", "us a ticket", { 1000, 6000, 12000, 24000 }, ticketValidation },
    { "snapshot", "teams", "KB of text", { 1000, 6000, 12000, 24000 }, snapshotKilobytes },
    { "scheduler request", "upstreams in the shard", "us a request", { 2, 4, 8, 16 }, schedulerRequest },
    { "scheduler idle",
      "upstreams in the data centre",
      "us of processor a second",
      { 36, 72, 144, 225 },
      schedulerIdleSecond },
    { "ingress answer", "tokens", "us an answer", { 10, 100, 200, 400 }, ingressAnswer },
    { "scheduler memory", "requests that wait or run", "KB of heap", { 200, 400, 800, 1600 }, schedulerKilobytes },
    { "claim", "calls at once", "us a call", { 1, 5, 20, 80 }, claimCall },
    { "claim writes", "calls at once", "transactions a call", { 1, 5, 20, 80 }, claimWrites },
    { "relay configuration", "routes", "us a change", { 40, 1400, 14000 }, configurationDecode },
    { "relay configuration memory", "routes", "KB of heap", { 40, 1400, 14000 }, configurationKilobytes },
    { "relay route", "routes", "us a lookup", { 40, 1400, 14000 }, routeLookup },
    { "relay read of an unchanged configuration", "routes", "bytes", { 40, 1400, 14000 }, unchangedConfigurationBytes },
    { "relay read of an unchanged registry", "upstreams", "bytes", { 100, 1000, 2700 }, unchangedRegistryBytes },
    { "request control", "seconds of answer", "bytes a request", { 0, 2, 5, 10 }, controlBytes },
};

} // namespace

const std::vector<SlopeCase> &slopeCases()
{
    return cases;
}

} // namespace GeraniumLever
