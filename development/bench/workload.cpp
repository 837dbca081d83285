#include "development/bench/workload.h"

#include <algorithm>
#include <cmath>

namespace GeraniumLever {

namespace {

constexpr std::size_t TeamCount = 10;
constexpr std::uint32_t MinTokens = 4;
constexpr std::uint32_t MaxPromptTokens = 32000;
constexpr std::uint32_t MaxOutputTokens = 4000;
constexpr std::uint32_t TokensPerBlock = 64;

/** Origin of the bench's request identifiers. */
constexpr std::uint64_t RequestOrigin = 7;

std::uint32_t lognormal(RandomSource &random, double median, double sigma, std::uint32_t largest)
{
    std::lognormal_distribution<double> distribution(std::log(median), sigma);
    const double value = distribution(random.engine());
    return static_cast<std::uint32_t>(std::clamp(value, double { MinTokens }, double { static_cast<double>(largest) }));
}

/** Three teams make three quarters of the traffic. */
std::size_t pickTeam(RandomSource &random)
{
    return random.fraction() < 0.75 ? random.below(3) : 3 + random.below(TeamCount - 3);
}

std::vector<std::uint64_t> hashesOf(const BenchRequest &request, const TrafficSource &source, std::size_t team)
{
    std::vector<std::uint64_t> hashes;
    const std::size_t blocks = request.promptTokens / TokensPerBlock;
    for (std::size_t block = 0; block < blocks; ++block) {
        const bool shared = block < source.sharedBlocks;
        const std::uint64_t owner = shared ? (request.source * 100 + team + 1) : (1000000 + request.request.sequence());
        hashes.push_back(owner * 0x9e3779b97f4a7c15ULL + block * 0xc2b2ae3d27d4eb4fULL);
    }
    return hashes;
}

double rateAt(const BenchShape &shape, const TrafficSource &source, double shareOfRun)
{
    const bool burst = shareOfRun >= shape.burstFrom && shareOfRun < shape.burstTo;
    return source.rate * (burst ? source.burstFactor : 1.0);
}

void generateSource(const BenchShape &shape,
                    std::size_t index,
                    Duration length,
                    Duration background,
                    RandomSource &random,
                    std::vector<BenchRequest> &requests)
{
    const TrafficSource &source = shape.sources[index];
    const double measured = std::chrono::duration<double>(length).count();
    const double total = std::chrono::duration<double>(length + background).count();
    double seconds = 0.0;
    while (true) {
        seconds += -std::log(1.0 - random.fraction()) / rateAt(shape, source, seconds / measured);
        if (seconds >= total) {
            return;
        }
        const std::size_t team = pickTeam(random);
        BenchRequest request;
        request.source = index;
        request.team = benchTeams()[team].name;
        request.arrival = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        request.promptTokens = lognormal(random, source.promptMedian, source.promptSigma, MaxPromptTokens);
        request.outputTokens = lognormal(random, source.outputMedian, source.outputSigma, MaxOutputTokens);
        request.request = RequestId(RequestOrigin, requests.size() + 1);
        request.blockHashes = hashesOf(request, source, team);
        requests.push_back(std::move(request));
    }
}

} // namespace

std::vector<Team> benchTeams()
{
    std::vector<Team> teams(TeamCount);
    for (std::size_t index = 0; index < TeamCount; ++index) {
        teams[index].name = TeamName(std::string("team").append(std::to_string(index)));
        teams[index].weight = index < 3 ? 3 : 1;
    }
    return teams;
}

std::vector<BenchRequest> generateRequests(const BenchShape &shape,
                                           Duration length,
                                           Duration background,
                                           std::uint64_t seed)
{
    RandomSource random(seed);
    std::vector<BenchRequest> requests;
    for (std::size_t index = 0; index < shape.sources.size(); ++index) {
        generateSource(shape, index, length, background, random, requests);
    }
    std::stable_sort(requests.begin(), requests.end(), [](const BenchRequest &first, const BenchRequest &second) {
        return first.arrival < second.arrival;
    });
    return requests;
}

} // namespace GeraniumLever
