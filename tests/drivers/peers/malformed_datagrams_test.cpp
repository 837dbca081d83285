/** Tests that damaged datagrams of other relays never do more than being ignored. */
#include <gtest/gtest.h>

#include "drivers/peers/peer_codec.h"
#include "tests/development/mutation.h"

namespace GeraniumLever {
namespace {

constexpr int Rounds = 20000;

class MalformedDatagramsTest : public testing::Test
{
protected:
    MalformedDatagramsTest() : system_(settingsOf())
    {
        const std::vector<PeerNode> nodes { { NodeName("n1"), DataCenterName("dc"), "127.0.0.1:1" },
                                            { NodeName("n2"), DataCenterName("dc"), "127.0.0.1:2" } };
        RelayCommands commands;
        system_.updateNodes({ nodes, {} }, clock_.now(), clock_.now(), commands);
        UpstreamEntry entry;
        entry.name = UpstreamName("e1");
        entry.pool = PoolName("engines");
        entry.seats = 4;
        system_.updateUpstreams({ { entry }, {} }, clock_.now(), clock_.now(), commands);
    }

    static RelaySystemSettings settingsOf()
    {
        RelaySystemSettings settings;
        settings.node = NodeName("n1");
        settings.dataCenter = DataCenterName("dc");
        settings.origin = 1;
        return settings;
    }

    void handle(const PeerReport &report)
    {
        RelayCommands commands;
        system_.peerReportReceived(report, clock_.now(), commands);
        system_.reportFor(NodeName("n2"), clock_.now());
    }
    void handle(const WorkReport &report) { system_.workReportReceived(report, clock_.now()); }
    void handle(const WorkTotals &totals) { system_.workTotalsReceived(totals, clock_.now()); }
    void handle(const OriginReport &report) { system_.originReportReceived(report, clock_.now()); }
    void handle(const StreamRecord &record) { system_.streamRecordReceived(record, clock_.now()); }
    void handle(const StreamQuery &query) { system_.answerStreamQuery(query, clock_.now()); }
    void handle(const StreamReply &reply)
    {
        RelayCommands commands;
        system_.streamReplyReceived(reply, clock_.now(), commands);
    }
    void handle(const CrashReport &report) { system_.crashReportReceived(report, clock_.now()); }
    void handle(const LimitReport &report)
    {
        RelayCommands commands;
        system_.limitReportReceived(report, clock_.now(), commands);
    }

    RandomSource random_ { 1 };
    SteppedClock clock_;
    RelaySystem system_;
};

/** Flips bytes, mostly to the extremes of a number. */
std::string damaged(std::string bytes, RandomSource &random)
{
    constexpr char Extremes[] = { '\x00', '\xff', '\x7f', '\x80' };
    const std::uint64_t changes = 1 + random.below(12);
    std::size_t position = random.below(bytes.size());
    for (std::uint64_t change = 0; change < changes; ++change) {
        bytes[position] = random.below(4) == 0 ? static_cast<char>(random.below(256)) : Extremes[random.below(4)];
        position = random.below(3) == 0 ? random.below(bytes.size()) : (position + 1) % bytes.size();
    }
    return random.below(8) == 0 ? bytes.substr(0, random.below(bytes.size())) : bytes;
}

TEST_F(MalformedDatagramsTest, AllKinds)
{
    const NodeName sender("n2");
    const StreamOrigin origin { PoolName("engines"), "v1" };
    PeerReport report;
    report.node = sender;
    report.incarnation = 3;
    report.sequence = 4;
    report.configuration = { ConfigurationVersion(9), 5 };
    report.configurationAge = std::chrono::seconds(1);
    report.storeEra = { 1, std::chrono::seconds(2), 77 };
    report.sentAt = clock_.now();
    report.sentAfter = clock_.now();
    const std::vector<PeerDatagram> messages {
        report,
        WorkReport { sender, 5, 6, true, { { { 1, 2, 3, 4 } }, { { 200, 77 } } } },
        WorkTotals { sender, 9, { { { 1, 20, 30, 40 } }, { { 200, 5 } } } },
        StreamRecord { sender, "r1", origin, std::chrono::seconds(20) },
        StreamQuery { sender, "r1" },
        StreamReply { sender, "r1", origin },
        CrashReport { sender,
                      { { 0xfedcba9876543210,
                          2,
                          true,
                          { { 7, std::chrono::milliseconds(3), std::chrono::milliseconds(9) } },
                          std::chrono::milliseconds(5),
                          {} } } },
        OriginReport { sender, 5, 6, std::chrono::seconds(20), { { origin, { 1, 2 } } } },
        LimitReport { sender, { { UpstreamName("e1"), 2.9, FleetTime(std::chrono::seconds(7)), FleetTime() } } },
    };
    int decoded = 0;
    for (int round = 0; round < Rounds; ++round) {
        const std::string bytes = encodePeerDatagram(messages[random_.below(messages.size())]);
        const std::optional<PeerDatagram> message = decodePeerDatagram(damaged(bytes, random_));
        if (message.has_value()) {
            ++decoded;
            std::visit([this](const auto &value) { handle(value); }, *message);
        }
        if (round % 100 == 0) {
            clock_.advance(std::chrono::milliseconds(50));
            RelayCommands commands;
            system_.tick(clock_.now(), commands);
            system_.crashReport(clock_.now());
            system_.limitReport(clock_.now());
        }
    }
    EXPECT_GT(decoded, Rounds / 10) << "much of the damage can still be read";
}

} // namespace
} // namespace GeraniumLever
