/**
 * Tests relay processes whose servers fall silent for a while and go on. GERANIUM_SILENCE_SEEDS sets the number of
 * seeds, GERANIUM_SILENCE_FIRST the first one.
 */
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "tests/system/relay_process_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int RelayCount = 6;
constexpr int Slots = 48;
/** The deadline that request() states. */
constexpr milliseconds Deadline(2500);
/** A request that has used so much of its deadline may end without an answer. */
constexpr double ExcusedShareOfDeadline = 0.7;

struct Call
{
    std::string id;
    std::string expected;
    std::shared_ptr<RawConnection> connection;
    SteadyTime sentAt;
};

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoull(text);
}

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
        calls_.push_back({ id, expected, connectTo(process.callerAddress), std::chrono::steady_clock::now() });
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

class RelaySilenceSoakTest : public RelaySilentServerTest, public testing::WithParamInterface<std::uint64_t>
{
protected:
    static constexpr int StreamEvents = 12;

    /** Streams and requests of all kinds of routes. */
    void startCall()
    {
        constexpr const char *Kinds[] = { "live", "live", "stream", "read", "once" };
        const std::string kind = Kinds[random_.below(std::size(Kinds))];
        const std::string id = "c" + std::to_string(++started_);
        const std::string path = "/" + kind + "/" + id;
        const bool isStream = kind == "live" || kind == "stream";
        const std::string method = kind == "read" ? "GET" : "POST";
        const std::string body = kind == "read" ? "" : "body-" + id;
        send(id,
             request(id, method, path, body, isStream ? "Stand-In: events=12 gap=30\r\n" : "Stand-In: gap=20\r\n"),
             isStream ? standInEvents(path, body, StreamEvents) : standInBody(method, path, body));
    }

    /** A share of the servers falls silent; sometimes the configuration or the settings change, too. */
    void startSilence()
    {
        const std::uint64_t share = 1 + random_.below(4);
        const milliseconds duration(300 + random_.below(1000));
        for (const std::unique_ptr<ServerStandIn> &server : servers_) {
            if (random_.below(4) < share) {
                server->fallSilent(duration);
            }
        }
        if (random_.below(2) == 0) {
            ++version_;
            writeConfiguration();
        }
        if (random_.below(3) == 0) {
            processes_[random_.below(RelayCount)].child->signal(SIGHUP);
        }
    }

    void checkCalls()
    {
        std::erase_if(calls_, [this](const Call &call) {
            std::string bytes = call.connection->received();
            const ReceivedResponse answer = takeResponse(bytes);
            if (!answer.bodyComplete && !call.connection->ended()) {
                return false;
            }
            const bool isWhole = answer.bodyComplete && answer.status == 200 && answer.body == call.expected;
            const bool isRefused = answer.bodyComplete && answer.status == 503;
            const auto age = std::chrono::steady_clock::now() - call.sentAt;
            const bool isExcused = age >= Deadline * ExcusedShareOfDeadline;
            EXPECT_TRUE(isWhole || isRefused || isExcused) << call.id << " ended with status " << answer.status;
            whole_ += isWhole ? 1 : 0;
            call.connection->close();
            return true;
        });
    }

    RandomSource random_ { GetParam() };
    int started_ = 0;
    int whole_ = 0;
};

TEST_P(RelaySilenceSoakTest, SilenceOfSoundServersCutsNoAnswer)
{
    const SteadyTime end = std::chrono::steady_clock::now() + milliseconds(6000);
    SteadyTime nextSilence = std::chrono::steady_clock::now() + milliseconds(500);
    while (std::chrono::steady_clock::now() < end) {
        startCall();
        if (std::chrono::steady_clock::now() >= nextSilence) {
            startSilence();
            nextSilence += milliseconds(1000 + random_.below(1500));
        }
        runFor(milliseconds(5 + random_.below(15)));
        checkCalls();
    }
    EXPECT_TRUE(runUntil([this]() {
        checkCalls();
        return calls_.empty();
    }));
    std::cout << "seed " << GetParam() << ": " << started_ << " calls, " << whole_ << " answered whole\n";
    EXPECT_GT(whole_, started_ / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RelaySilenceSoakTest,
                         testing::Range<std::uint64_t>(numberFrom("GERANIUM_SILENCE_FIRST", 1),
                                                       numberFrom("GERANIUM_SILENCE_FIRST", 1)
                                                           + numberFrom("GERANIUM_SILENCE_SEEDS", 3)));

TEST_F(RelaySilentServerTest, PauseOfARelayCutsAndMovesNoStream)
{
    constexpr int Streams = 300;
    constexpr int Events = 20;
    // All streams run at one relay, so that one poll of its sockets cannot report all of them.
    for (int number = 10; number < 46; ++number) {
        addServer("e" + std::to_string(number), "engines", Slots);
    }
    runFor(milliseconds(2000));
    RelayProcess &process = processes_.front();
    for (int number = 0; number < Streams; ++number) {
        const std::string id = "s" + std::to_string(number);
        const std::string path = "/live/" + id;
        calls_.push_back({ id,
                           standInEvents(path, "prompt", Events),
                           connectTo(process.callerAddress),
                           std::chrono::steady_clock::now() });
        calls_.back().connection->send(request(id, "POST", path, "prompt", "Stand-In: events=20 gap=40\r\n"));
    }
    ASSERT_TRUE(runUntil([&]() {
        return std::all_of(
            calls_.begin(), calls_.end(), [](const Call &call) { return call.connection->has("id: 3\n"); });
    }));
    process.child->signal(SIGSTOP);
    runFor(milliseconds(1200));
    process.child->signal(SIGCONT);
    expectWholeAnswers();
    long moved = 0;
    for (const Call &call : calls_) {
        moved += ledger_[call.id].size() > 1 ? 1 : 0;
    }
    EXPECT_EQ(moved, 0);
}

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
