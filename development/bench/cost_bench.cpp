#include "development/bench/cost_bench.h"

#include <ctime>
#include <deque>
#include <iomanip>
#include <ostream>

#include "servers/scheduling/scheduling.h"

namespace GeraniumLever {

namespace {

constexpr std::uint32_t Seats = 8;
constexpr std::size_t TeamCount = 100;
constexpr std::size_t TickEvery = 20;

const ShardKey &costShard()
{
    static const ShardKey shard { DataCenterName("here"), PoolName("pool"), 0 };
    return shard;
}

CatalogPtr costCatalog()
{
    std::vector<EntityChange> changes { Pool { PoolName("pool"), ModelName("model"), "", 1, 1 } };
    for (std::uint32_t tier = 0; tier < 6; ++tier) {
        RequestClass requestClass;
        requestClass.name = ClassName(std::string("class").append(std::to_string(tier)));
        requestClass.tier = tier;
        requestClass.firstTokenTarget = std::chrono::hours(1);
        changes.push_back(requestClass);
    }
    for (std::size_t index = 0; index < MaxUpstreamsPerShard; ++index) {
        Upstream upstream;
        upstream.name = UpstreamName(std::string("engine").append(std::to_string(100 + index)));
        upstream.pool = PoolName("pool");
        upstream.dataCenter = DataCenterName("here");
        upstream.seats = Seats;
        changes.push_back(upstream);
    }
    return std::make_shared<const Catalog>(Catalog().withChanges(changes, TicketNumber(1)));
}

SlotRequest costRequest(std::uint64_t number)
{
    SlotRequest request;
    request.request = RequestId(3, number);
    request.shard = costShard();
    request.requestClass = ClassName(std::string("class").append(std::to_string(number % 6)));
    request.team = TeamName(std::string("team").append(std::to_string(number * 7919 % TeamCount)));
    request.timeLeft = std::chrono::hours(1);
    request.promptTokens = 1000;
    for (std::uint64_t block = 0; block < 16; ++block) {
        request.prefixHashes.push_back(number % TeamCount * 1000 + block);
    }
    return request;
}

/** Keeps every seat taken and the queue at its length: each round one request comes and one attempt ends. */
class CostRun
{
public:
    explicit CostRun(std::size_t queueLength)
    {
        system_.applyCatalog(costCatalog(), clock_.now());
        for (std::size_t index = 0; index < queueLength + Seats * MaxUpstreamsPerShard; ++index) {
            system_.slotRequested(ingress_, costRequest(++number_), clock_.now(), commands_);
            takeGrants();
        }
    }

    void round()
    {
        clock_.advance(std::chrono::microseconds(250));
        system_.slotRequested(ingress_, costRequest(++number_), clock_.now(), commands_);
        AttemptEnd end;
        end.attempt = running_.front().attempt;
        end.request = running_.front().request;
        end.shard = costShard();
        end.upstream = running_.front().upstream;
        end.ending = AttemptEnding::Completed;
        end.firstToken = std::chrono::milliseconds(100);
        end.tokens = 100;
        running_.pop_front();
        system_.attemptEnded(ingress_, end, clock_.now(), commands_);
        if (++rounds_ % TickEvery == 0) {
            system_.tick(clock_.now(), commands_);
        }
        takeGrants();
    }

private:
    void takeGrants()
    {
        for (const Command &command : commands_) {
            const PeerSend *send = std::get_if<PeerSend>(&command);
            if (send != nullptr && std::holds_alternative<SlotGrant>(send->message)) {
                running_.push_back(std::get<SlotGrant>(send->message));
            }
        }
        commands_.clear();
    }

    SteppedClock clock_;
    NodeName ingress_ { "entry" };
    SchedulingSystem system_ { NodeName("scheduler"), 5, 1 };
    Commands commands_;
    std::deque<SlotGrant> running_;
    std::uint64_t number_ = 0;
    std::size_t rounds_ = 0;
};

} // namespace

void printSchedulerCost(std::ostream &out, std::size_t requests)
{
    for (const std::size_t queueLength : { 10U, 100U, 1000U, 9900U }) {
        CostRun run(queueLength);
        const std::clock_t begin = std::clock();
        for (std::size_t index = 0; index < requests; ++index) {
            run.round();
        }
        const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        out << "queue " << std::setw(5) << queueLength << ": " << std::fixed << std::setprecision(0)
            << seconds * 1e9 / static_cast<double>(requests) << " ns/request\n";
    }
}

} // namespace GeraniumLever
