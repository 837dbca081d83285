/** Plays a rush against many nodes that place requests on the same engines, and checks what callers get. */
#include <deque>
#include <map>
#include <memory>

#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

constexpr int Nodes = 24;
constexpr int Engines = 12;
constexpr std::uint32_t Seats = 8;
constexpr milliseconds Service(800);
constexpr milliseconds Target(1000);
/** Requests that the engines can serve in a second. */
constexpr double Capacity = Engines * Seats * 1000.0 / 800.0;

class FleetLoadTest : public testing::Test
{
protected:
    struct Engine
    {
        std::uint32_t running = 0;
        std::deque<AttemptId> waiting;
    };

    struct Figures
    {
        int asked = 0;
        int answered = 0;
        int inTarget = 0;
        int refused = 0;
        std::size_t longestQueue = 0;
        Duration longestToRefusal { 0 };
    };

    FleetLoadTest()
    {
        Route route;
        route.name = "stream";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.pools = { { PoolName("engines"), 1 } };
        route.streamed = true;
        route.sharesPrefixes = true;
        route.open = true;
        route.target = Target;
        SiteConfiguration configuration;
        configuration.version = ConfigurationVersion(1);
        configuration.routes = { route };
        configuration.pools.resize(1);
        configuration.pools[0].name = PoolName("engines");
        configuration.pools[0].engines = true;
        std::vector<UpstreamEntry> upstreams;
        upstreams.reserve(Engines);
        for (int number = 0; number < Engines; ++number) {
            upstreams.push_back(upstreamOf("e" + std::to_string(number), "engines", Seats));
        }
        std::vector<PeerNode> peers;
        peers.reserve(Nodes);
        for (int number = 0; number < Nodes; ++number) {
            const std::string name = "n" + std::to_string(number);
            peers.push_back({ NodeName(name), DataCenterName("dc"), name, 0.25 });
            RelaySystemSettings settings;
            settings.node = NodeName(name);
            settings.dataCenter = DataCenterName("dc");
            settings.origin = static_cast<std::uint64_t>(number) + 1;
            settings.seed = settings.origin;
            nodes_.push_back(std::make_unique<RelaySystem>(settings));
        }
        RelayCommands ignored;
        for (const std::unique_ptr<RelaySystem> &node : nodes_) {
            node->updateNodes(peers);
            node->applyConfiguration(std::make_shared<const SiteConfiguration>(configuration), clock_.now(), ignored);
            node->updateUpstreams(upstreams, clock_.now(), clock_.now(), ignored);
        }
    }

    void carryOut(RelaySystem &node, RelayCommands &commands)
    {
        for (const RelayCommand &command : std::exchange(commands, {})) {
            if (const RelayDispatch *dispatch = std::get_if<RelayDispatch>(&command)) {
                owners_[dispatch->attempt] = { &node, dispatch->request };
                Engine &engine = engines_[dispatch->upstream];
                engine.waiting.push_back(dispatch->attempt);
                figures_.longestQueue = std::max(figures_.longestQueue, engine.waiting.size());
            }
            if (const RelayRefusal *refusal = std::get_if<RelayRefusal>(&command)) {
                ++figures_.refused;
                const Duration held = clock_.now() - arrivals_.at(refusal->request);
                figures_.longestToRefusal = std::max(figures_.longestToRefusal, held);
                EXPECT_TRUE(refusal->error.retryAfter.has_value());
            }
        }
    }

    void serveEngines()
    {
        RelayCommands commands;
        while (!endings_.empty() && endings_.begin()->first <= clock_.now()) {
            const auto [upstream, attempt] = endings_.begin()->second;
            endings_.erase(endings_.begin());
            --engines_[upstream].running;
            RelaySystem &node = *owners_.at(attempt).first;
            node.ended({ attempt }, clock_.now(), commands);
            carryOut(node, commands);
        }
        for (auto &[upstream, engine] : engines_) {
            while (engine.running < Seats && !engine.waiting.empty()) {
                const AttemptId attempt = engine.waiting.front();
                engine.waiting.pop_front();
                ++engine.running;
                endings_.emplace(clock_.now() + Service, std::make_pair(upstream, attempt));
                const auto &[node, request] = owners_.at(attempt);
                ++figures_.answered;
                figures_.inTarget += clock_.now() - arrivals_.at(request) <= Target ? 1 : 0;
                RelayResponseHead head;
                head.attempt = attempt;
                head.status = 200;
                node->headArrived(head, clock_.now(), commands);
                carryOut(*node, commands);
            }
        }
    }

    void exchangeWork()
    {
        for (const std::unique_ptr<RelaySystem> &node : nodes_) {
            for (const OutgoingWorkReport &message : node->reportWork(clock_.now())) {
                const std::size_t target = std::stoul(message.address.substr(1));
                const std::optional<WorkTotals> totals =
                    nodes_[target]->workReportReceived(message.report, clock_.now());
                if (totals.has_value()) {
                    node->workTotalsReceived(*totals, clock_.now());
                }
            }
        }
    }

    /** Sends requests about 200 subjects with long shared parts for ten seconds. */
    void play(double requestsASecond, bool exchange)
    {
        RandomSource random(7);
        double due = 0.0;
        for (int millisecond = 0; millisecond < 10000; ++millisecond) {
            clock_.advance(milliseconds(1));
            RelayCommands commands;
            for (due += requestsASecond / 1000.0; due >= 1.0; due -= 1.0) {
                const std::size_t node = random.below(Nodes);
                RelayRequest request;
                request.request = RequestId(node + 1, ++lastRequest_);
                request.callerId = "r";
                request.host = "a.example";
                request.path = "/";
                request.prompt = { 8000, 400, { { 1000 + random.below(200), 5000 }, { lastRequest_, 3000 } } };
                arrivals_[request.request] = clock_.now();
                ++figures_.asked;
                nodes_[node]->arrived(request, clock_.now(), commands);
                carryOut(*nodes_[node], commands);
            }
            serveEngines();
            if (millisecond % 25 == 0) {
                for (const std::unique_ptr<RelaySystem> &node : nodes_) {
                    node->tick(clock_.now(), commands);
                    carryOut(*node, commands);
                }
            }
            if (exchange && millisecond % 200 == 0) {
                exchangeWork();
            }
        }
    }

    SteppedClock clock_;
    std::vector<std::unique_ptr<RelaySystem>> nodes_;
    std::map<UpstreamName, Engine> engines_;
    std::multimap<TimePoint, std::pair<UpstreamName, AttemptId>> endings_;
    std::map<AttemptId, std::pair<RelaySystem *, RequestId>> owners_;
    std::map<RequestId, TimePoint> arrivals_;
    std::uint64_t lastRequest_ = 0;
    Figures figures_;
};

TEST_F(FleetLoadTest, ARushFillsTheEnginesAndNoMore)
{
    play(Capacity * 2.5, true);
    EXPECT_GT(figures_.answered, Capacity * 10 * 0.85);
    EXPECT_GT(figures_.inTarget, figures_.answered * 9 / 10);
    EXPECT_GT(figures_.refused, 0);
    EXPECT_LE(figures_.longestToRefusal, Target / 4 + milliseconds(25));
    EXPECT_LE(figures_.longestQueue, 24U);
}

TEST_F(FleetLoadTest, WithRoomNothingIsRefused)
{
    play(Capacity * 0.6, true);
    EXPECT_EQ(figures_.refused, 0);
    EXPECT_GT(figures_.inTarget, figures_.asked * 95 / 100);
}

TEST_F(FleetLoadTest, WithoutReportsRequestsAreStillServed)
{
    play(Capacity * 0.6, false);
    EXPECT_EQ(figures_.refused, 0);
    EXPECT_GT(figures_.answered, figures_.asked * 8 / 10);
}

} // namespace
} // namespace GeraniumLever
