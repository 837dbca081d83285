/** Simulates a burst at many nodes that place requests on the same engines, and checks the callers' results. Guards
 *  against overfilled engines and late rejections when each node knows only part of the load. */
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
constexpr milliseconds ServiceTime(800);
constexpr milliseconds Target(1000);
/** Requests that the engines can serve per second. */
constexpr double Capacity = Engines * Seats * 1000.0 / 800.0;

class FleetLoadTest : public testing::Test
{
protected:
    struct Engine
    {
        std::uint32_t running = 0;
        std::deque<AttemptId> waiting;
    };

    struct Results
    {
        int sent = 0;
        int answered = 0;
        int inTarget = 0;
        int rejected = 0;
        std::size_t longestQueue = 0;
        Duration longestTimeToRejection { 0 };
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
            node->updateNodes({ peers, {} }, clock_.now(), clock_.now(), ignored);
            const SiteConfigurationPtr shared = std::make_shared<const SiteConfiguration>(configuration);
            node->applyConfiguration({ shared, 0, {} }, clock_.now(), clock_.now(), ignored);
            node->updateUpstreams({ upstreams, {} }, clock_.now(), clock_.now(), ignored);
        }
    }

    void execute(RelaySystem &node, RelayCommands &commands)
    {
        for (const RelayCommand &command : std::exchange(commands, {})) {
            if (const RelayDispatch *dispatch = std::get_if<RelayDispatch>(&command)) {
                owners_[dispatch->attempt] = { &node, dispatch->request };
                Engine &engine = engines_[dispatch->upstream];
                engine.waiting.push_back(dispatch->attempt);
                results_.longestQueue = std::max(results_.longestQueue, engine.waiting.size());
            }
            if (const RelayRefusal *refusal = std::get_if<RelayRefusal>(&command)) {
                ++results_.rejected;
                const Duration waited = clock_.now() - arrivals_.at(refusal->request);
                results_.longestTimeToRejection = std::max(results_.longestTimeToRejection, waited);
                EXPECT_TRUE(refusal->error.retryAfter.has_value());
            }
        }
    }

    void serveEngines()
    {
        RelayCommands commands;
        while (!completions_.empty() && completions_.begin()->first <= clock_.now()) {
            const auto [upstream, attempt] = completions_.begin()->second;
            completions_.erase(completions_.begin());
            --engines_[upstream].running;
            RelaySystem &node = *owners_.at(attempt).first;
            node.ended({ attempt }, clock_.now(), commands);
            execute(node, commands);
        }
        for (auto &[upstream, engine] : engines_) {
            while (engine.running < Seats && !engine.waiting.empty()) {
                const AttemptId attempt = engine.waiting.front();
                engine.waiting.pop_front();
                ++engine.running;
                completions_.emplace(clock_.now() + ServiceTime, std::make_pair(upstream, attempt));
                const auto &[node, request] = owners_.at(attempt);
                ++results_.answered;
                results_.inTarget += clock_.now() - arrivals_.at(request) <= Target ? 1 : 0;
                RelayResponseHead head;
                head.attempt = attempt;
                head.status = 200;
                node->headArrived(head, clock_.now(), commands);
                execute(*node, commands);
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

    /** Sends requests about 200 topics with long shared prefixes for ten seconds. */
    void simulate(double requestsPerSecond, bool exchange)
    {
        RandomSource random(7);
        double pending = 0.0;
        for (int millisecond = 0; millisecond < 10000; ++millisecond) {
            clock_.advance(milliseconds(1));
            RelayCommands commands;
            for (pending += requestsPerSecond / 1000.0; pending >= 1.0; pending -= 1.0) {
                const std::size_t node = random.below(Nodes);
                RelayRequest request;
                request.request = RequestId(node + 1, ++lastRequest_);
                request.callerId = "r";
                request.host = "a.example";
                request.path = "/";
                request.prompt = { 8000, 400, { { 1000 + random.below(200), 5000 }, { lastRequest_, 3000 } } };
                arrivals_[request.request] = clock_.now();
                ++results_.sent;
                nodes_[node]->arrived(request, clock_.now(), commands);
                execute(*nodes_[node], commands);
            }
            serveEngines();
            if (millisecond % 25 == 0) {
                for (const std::unique_ptr<RelaySystem> &node : nodes_) {
                    node->tick(clock_.now(), commands);
                    execute(*node, commands);
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
    std::multimap<TimePoint, std::pair<UpstreamName, AttemptId>> completions_;
    std::map<AttemptId, std::pair<RelaySystem *, RequestId>> owners_;
    std::map<RequestId, TimePoint> arrivals_;
    std::uint64_t lastRequest_ = 0;
    Results results_;
};

TEST_F(FleetLoadTest, BurstFillsEnginesWithoutOverfillingThem)
{
    simulate(Capacity * 2.5, true);
    EXPECT_GT(results_.answered, Capacity * 10 * 0.85);
    EXPECT_GT(results_.inTarget, results_.answered * 9 / 10);
    EXPECT_GT(results_.rejected, 0);
    EXPECT_LE(results_.longestTimeToRejection, Target / 4 + milliseconds(25));
    EXPECT_LE(results_.longestQueue, 24U);
}

TEST_F(FleetLoadTest, NothingIsRejectedBelowCapacity)
{
    simulate(Capacity * 0.6, true);
    EXPECT_EQ(results_.rejected, 0);
    EXPECT_GT(results_.inTarget, results_.sent * 95 / 100);
}

TEST_F(FleetLoadTest, RequestsAreServedWithoutWorkReports)
{
    simulate(Capacity * 0.6, false);
    EXPECT_EQ(results_.rejected, 0);
    EXPECT_GT(results_.answered, results_.sent * 8 / 10);
}

} // namespace
} // namespace GeraniumLever
