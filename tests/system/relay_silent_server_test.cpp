/** Tests relay processes whose servers fall silent for a while and go on. */
#include <algorithm>

#include "tests/system/relay_process_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

constexpr int RelayCount = 6;
constexpr int Slots = 48;

struct Call
{
    std::string id;
    std::string expected;
    std::shared_ptr<RawConnection> connection;
};

class RelaySilentServerTest : public RelayProcessFixture
{
protected:
    RelaySilentServerTest()
    {
        retrySlack_ = 54;
        for (int number = 3; number <= 9; ++number) {
            addServer("e" + std::to_string(number), "engines", Slots);
        }
        for (int count = 0; count < RelayCount; ++count) {
            addProcess();
        }
    }

    void send(const std::string &id, const std::string &text, const std::string &expected)
    {
        const RelayProcess &process = processes_[calls_.size() % RelayCount];
        calls_.push_back({ id, expected, connectTo(process.callerAddress) });
        calls_.back().connection->send(text);
    }

    /** All servers of a kind fall silent at once; a change of the configuration comes shortly before. */
    void silence(const std::string &kind, milliseconds duration)
    {
        ++version_;
        writeConfiguration();
        runFor(milliseconds(100));
        for (const std::unique_ptr<ServerStandIn> &server : servers_) {
            if (server->registration().find("\"" + kind + "\"") != std::string::npos) {
                server->fallSilent(duration);
            }
        }
    }

    void expectWholeAnswers()
    {
        for (const Call &call : calls_) {
            ReceivedResponse answer;
            EXPECT_TRUE(runUntil([&]() {
                std::string bytes = call.connection->received();
                answer = takeResponse(bytes);
                return answer.bodyComplete || call.connection->ended();
            }));
            EXPECT_EQ(answer.status, 200U) << call.id;
            EXPECT_TRUE(answer.bodyComplete) << call.id;
            EXPECT_EQ(answer.body, call.expected) << call.id;
        }
    }

    std::vector<Call> calls_;
};

TEST_F(RelaySilentServerTest, StreamsAreNotCutWhenAllTheirServersAreSilentForASecond)
{
    constexpr int Events = 25;
    for (int number = 0; number < 90; ++number) {
        const std::string id = "s" + std::to_string(number);
        send(id,
             request(id, "POST", "/live/" + id, "prompt", "Stand-In: events=25 gap=40\r\n"),
             standInEvents("/live/" + id, "prompt", Events));
    }
    ASSERT_TRUE(runUntil([&]() {
        return std::all_of(
            calls_.begin(), calls_.end(), [](const Call &call) { return call.connection->has("id: 3\n"); });
    }));
    silence("engines", milliseconds(1200));
    expectWholeAnswers();
}

TEST_F(RelaySilentServerTest, RequestsGetAnswersAfterAllTheirServersWereSilentForASecond)
{
    silence("plain", milliseconds(1200));
    for (int number = 0; number < 48; ++number) {
        const std::string id = "r" + std::to_string(number);
        send(id, request(id, "GET", "/read/" + id), standInBody("GET", "/read/" + id, ""));
    }
    expectWholeAnswers();
}

} // namespace
} // namespace GeraniumLever
