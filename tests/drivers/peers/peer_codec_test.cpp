#include "drivers/peers/peer_codec.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PeerReport sampleReport()
{
    PeerReport report;
    report.node = NodeName("node-1");
    report.incarnation = 17;
    report.sequence = 3;
    report.configuration = { ConfigurationVersion(9), 0xfedcba9876543210 };
    report.configurationAge = std::chrono::milliseconds(250);
    report.sentAt = TimePoint(std::chrono::seconds(100));
    report.sentAfter = TimePoint(std::chrono::seconds(99));
    report.storeEra = { 4, std::chrono::seconds(2), 77 };
    return report;
}

TEST(PeerCodecTest, MessagesRoundTrip)
{
    const WorkReport work {
        NodeName("node-2"), 5, 6, true, { { { 1, 2, 3, 4 }, { 0xffffffff, 7, 8, 0 } }, { { 200, 77 } } }
    };
    const WorkTotals totals { NodeName("node-3"), 9, { { { 1, 20, 30, 40 } }, { { 200, 5 }, { 800, 6 } } }, 11 };
    const StreamOrigin origin { PoolName("engines"), "v1.1" };
    const StreamRecord record { NodeName("node-4"), "r1", origin, std::chrono::seconds(20) };
    const StreamQuery query { NodeName("node-5"), "r1" };
    const StreamReply known { NodeName("node-6"), "r1", origin };
    const StreamReply unknown { NodeName("node-7"), "r1", std::nullopt };
    const CrashReport crashes { NodeName("node-8"),
                                { { 0xfedcba9876543210,
                                    2,
                                    true,
                                    { { 7, milliseconds(3), milliseconds(9), 6 }, { 8, milliseconds(4) } },
                                    milliseconds(5),
                                    {} },
                                  { 9, 0, false, {}, std::nullopt, milliseconds(0) } } };
    const LimitReport limits {
        NodeName("node-9"),
        { { UpstreamName("i-1"), 2.9, FleetTime(seconds(7)), FleetTime(seconds(8)) },
          { UpstreamName("i-2"), std::nullopt, FleetTime(seconds(9)), FleetTime(seconds(9)) } }
    };
    const OriginReport origins {
        NodeName("node-10"), 3, 4, seconds(20), { { origin, { 1, 0xfedcba9876543210 } }, { {}, { 5 } } }
    };
    const PeerDatagram messages[] = { sampleReport(), PeerReport {},  work,    WorkReport {},  totals,  WorkTotals {},
                                      record,         query,          known,   unknown,        crashes, CrashReport {},
                                      limits,         LimitReport {}, origins, OriginReport {} };
    for (const PeerDatagram &message : messages) {
        EXPECT_EQ(decodePeerDatagram(encodePeerDatagram(message)), message) << message.index();
    }
}

TEST(PeerCodecTest, LimitReportFitsIntoADatagram)
{
    constexpr std::size_t MaxBytes = 1400;
    LimitReport report { NodeName("front-casnewydd-b-100"), {} };
    for (std::size_t number = 0; number < UpstreamLimits::MaxReportedStatements; ++number) {
        report.statements.push_back({ UpstreamName("i-0123456789abcdef"), 2.9, FleetTime(seconds(7)), FleetTime() });
    }
    EXPECT_LE(encodePeerDatagram(report).size(), MaxBytes);
    report.statements.resize(1);
    EXPECT_LE(encodePeerDatagram(report).size(), 200U);
}

// Guards against reports that the network drops since they are too large.
TEST(PeerCodecTest, OriginReportFitsIntoADatagram)
{
    constexpr std::size_t MaxBytes = 1400;
    OriginReport report { NodeName("front-casnewydd-b-100"), 1, 2, seconds(20), {} };
    for (const char *version : { "1.20.300", "1.20.301" }) {
        report.streams[{ PoolName("an-assistant-pool"), version }].resize(OriginKeeper::MaxReported / 2);
    }
    EXPECT_LE(encodePeerDatagram(report).size(), MaxBytes);
}

TEST(PeerCodecTest, InvalidBytesAreRejected)
{
    const std::string bytes = encodePeerDatagram(sampleReport());
    EXPECT_EQ(decodePeerDatagram(""), std::nullopt);
    EXPECT_EQ(decodePeerDatagram("junk"), std::nullopt);
    EXPECT_EQ(decodePeerDatagram(std::string(64, '\xff')), std::nullopt);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_NE(decodePeerDatagram(bytes.substr(0, size)), PeerDatagram(sampleReport())) << size;
    }
}

} // namespace
} // namespace GeraniumLever
