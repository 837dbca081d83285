/** Tests with random losses that streams go on only at the version that began them. */
#include "tests/servers/relay/fleet_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A fleet in which nodes, links, the store's reach and versions change at random. */
class RandomLossTest : public FleetFixture, public testing::WithParamInterface<std::uint64_t>
{
protected:
    static constexpr int Nodes = 9;

    std::string randomNode() { return "node-" + std::to_string(random_.below(Nodes)); }
    bool occurs(std::uint64_t percent) { return random_.below(100) < percent; }

    /** Each node is in the set with the probability. */
    std::set<std::string> randomNodes(std::uint64_t percent)
    {
        std::set<std::string> chosen;
        for (int number = 0; number < Nodes; ++number) {
            if (occurs(percent)) {
                chosen.insert("node-" + std::to_string(number));
            }
        }
        return chosen;
    }

    void changeVersions()
    {
        if (occurs(50)) {
            const std::string version = std::to_string(++lastVersion_);
            serve(version + "-1", version);
            serve(version + "-2", version);
            served_.push_back(version);
        } else if (served_.size() > 1) {
            withdraw(served_.front());
            served_.erase(served_.begin());
        }
    }

    void loseNodes()
    {
        for (const std::string &address : randomNodes(occurs(30) ? 100 : 60)) {
            nodes_.erase(address);
        }
    }

    void beginStreams()
    {
        for (const auto &[address, node] : nodes_) {
            const std::string id = "s" + std::to_string(++lastStream_);
            if (begin(address, id)) {
                begun_[id] = versions_.at(id);
            }
        }
    }

    void takeUp()
    {
        for (const auto &[id, version] : begun_) {
            const std::string address = randomNode();
            if (!nodes_.contains(address)) {
                continue;
            }
            const std::string again = id + " again " + std::to_string(++lastStream_);
            send(address, again, "3", id);
            taken_[again] = id;
        }
        pass(seconds(1));
        for (const auto &[again, id] : taken_) {
            if (versions_.contains(again)) {
                EXPECT_EQ(versions_.at(again), begun_.at(id)) << again << ", seed " << GetParam();
                ++resumed_;
            }
        }
        taken_.clear();
    }

    RandomSource random_ { GetParam() };
    int lastVersion_ = 100;
    int lastStream_ = 0;
    int resumed_ = 0;
    std::vector<std::string> served_;
    std::map<std::string, std::string> begun_;
    std::map<std::string, std::string> taken_;
};

// Guards against joining two versions by what a node concludes while others are lost, silent or without the store.
TEST_P(RandomLossTest, NoStreamGoesOnAtAnotherVersion)
{
    reset();
    withdraw("v1");
    served_ = { "100" };
    serve("100-1", "100");
    startNodes(Nodes);
    pass(seconds(5));
    for (int step = 0; step < 12; ++step) {
        if (occurs(50)) {
            changeVersions();
        }
        pass(milliseconds(random_.below(4000)));
        storeless_ = occurs(30) ? randomNodes(30) : std::set<std::string>();
        silent_ = occurs(50) ? randomNodes(50) : std::set<std::string>();
        beginStreams();
        pass(milliseconds(random_.below(1500)));
        if (occurs(50)) {
            loseNodes();
        }
        takeUp();
        startNodes(Nodes);
    }
    EXPECT_GT(resumed_, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomLossTest, testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace GeraniumLever
