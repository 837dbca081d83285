#include <thread>

#include <gtest/gtest.h>

#include "drivers/http/http.h"
#include "tests/drivers/http/event_log.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"

namespace GeraniumLever {
namespace {

/** SHA-256 of "secret". */
const std::string secretHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
const std::string meshKey = "between-nodes";
constexpr std::uint64_t Origin = 42;

CallerServerSettings smallLimits()
{
    CallerServerSettings settings;
    settings.maxHeaderBytes = 1024;
    settings.maxBodyBytes = 2048;
    settings.maxConnections = 4;
    settings.maxPartialBytes = 4096;
    settings.requestTimeout = std::chrono::seconds(60);
    settings.idleTimeout = std::chrono::seconds(60);
    settings.meshKey = meshKey;
    return settings;
}

class CallerServerTest : public testing::Test
{
protected:
    explicit CallerServerTest(CallerServerSettings settings = smallLimits())
        : port_(unusedPort(loop_.context()))
        , server_(withPort(std::move(settings), port_), Origin, loop_.context(), log_.sink())
    {
    }

    void SetUp() override { ASSERT_TRUE(succeeded(server_.start())); }

    static CallerServerSettings withPort(CallerServerSettings settings, std::uint16_t port)
    {
        settings.listenAddress = "127.0.0.1:" + std::to_string(port);
        return settings;
    }

    std::shared_ptr<RawConnection> connect() { return RawConnection::open(loop_.context(), port_); }

    bool await(const std::function<bool()> &condition) { return loop_.runUntil(condition); }

    bool awaitText(const std::shared_ptr<RawConnection> &caller, const std::string &text)
    {
        return await([&caller, &text] { return caller->has(text); });
    }

    bool awaitEnd(const std::shared_ptr<RawConnection> &caller)
    {
        return await([&caller] { return caller->ended(); });
    }

    bool awaitRequests(std::size_t count)
    {
        return await([this, count] { return log_.count<CallerRequest>() >= count; });
    }

    /** Sends a request and waits until it has been reported. */
    RequestId openRequest(const std::shared_ptr<RawConnection> &caller, const std::string &fields = "")
    {
        const std::size_t before = log_.count<CallerRequest>();
        caller->send("GET /v1/x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
        EXPECT_TRUE(awaitRequests(before + 1));
        return log_.all<CallerRequest>().back().request;
    }

    void answerWhole(const RequestId &request, const std::string &body)
    {
        server_.reply(ReplyHead { request, 200, "application/json", false, Outcome::Answered, false, {} });
        server_.reply(ReplyData { request, body });
        server_.reply(ReplyEnd { request });
    }

    void beginStream(const RequestId &request)
    {
        server_.reply(ReplyHead { request, 200, "text/event-stream", true, {}, false, {} });
    }

    /** Checks that another caller is served. */
    void expectOthersServed()
    {
        const std::shared_ptr<RawConnection> other = connect();
        answerWhole(openRequest(other), "fine");
        EXPECT_TRUE(awaitText(other, "\r\n\r\nfine"));
    }

    EventLoop loop_;
    EventLog log_;
    std::uint16_t port_;
    CallerServer server_;
};

TEST_F(CallerServerTest, ReportsACompleteRequest)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const std::string request = "POST /services/dues/pay?x=1 HTTP/1.1\r\nHost: a\r\nAuthorization: bearer secret\r\n"
                                "Geranium-Class: live\r\nIdempotency-Key: k1\r\nGeranium-Deadline-Ms: 1500\r\n"
                                "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    for (const char byte : request) {
        EXPECT_EQ(log_.count<CallerRequest>(), 0U);
        caller->send(std::string(1, byte));
        loop_.context().poll();
    }
    ASSERT_TRUE(awaitRequests(1));
    const CallerRequest expected { RequestId(Origin, 1),
                                   "POST",
                                   "/services/dues/pay?x=1",
                                   secretHash,
                                   ClassName("live"),
                                   "k1",
                                   std::chrono::milliseconds(1500),
                                   "application/json",
                                   "{}",
                                   false,
                                   TeamName() };
    EXPECT_EQ(log_.all<CallerRequest>()[0], expected);
    EXPECT_EQ(server_.openRequests(), 1U);
}

TEST_F(CallerServerTest, ReadsChunkedBodies)
{
    const std::shared_ptr<RawConnection> caller = connect();
    caller->send("POST /v1/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(log_.all<CallerRequest>()[0].body, "abc");
    EXPECT_EQ(log_.all<CallerRequest>()[0].keyHash, "");
}

TEST_F(CallerServerTest, TrustsForwardingFieldsOnlyWithTheMeshKey)
{
    openRequest(connect(), "Geranium-Forwarded-Team: sai\r\n");
    openRequest(connect(), "Geranium-Mesh-Key: guess\r\nGeranium-Forwarded-Team: sai\r\n");
    openRequest(connect(), "Geranium-Mesh-Key: " + meshKey + "\r\nGeranium-Forwarded-Team: sai\r\n");
    const std::vector<CallerRequest> requests = log_.all<CallerRequest>();
    EXPECT_FALSE(requests[0].forwarded);
    EXPECT_EQ(requests[0].forwardedTeam, TeamName());
    EXPECT_FALSE(requests[1].forwarded);
    EXPECT_EQ(requests[1].forwardedTeam, TeamName());
    EXPECT_TRUE(requests[2].forwarded);
    EXPECT_EQ(requests[2].forwardedTeam, TeamName("sai"));
}

TEST_F(CallerServerTest, AnswersCompletelyAndKeepsTheConnection)
{
    const std::shared_ptr<RawConnection> caller = connect();
    for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
        caller->forget();
        answerWhole(openRequest(caller), "{\"ok\":1}");
        ASSERT_TRUE(awaitText(caller, "{\"ok\":1}"));
        EXPECT_EQ(caller->received(),
                  "HTTP/1.1 200 OK\r\nGeranium-Request-Id: " + RequestId(Origin, sequence).text()
                      + "\r\nContent-Type: application/json\r\nGeranium-Outcome: answered\r\n"
                        "Content-Length: 8\r\n\r\n{\"ok\":1}");
    }
    EXPECT_EQ(server_.openRequests(), 0U);
}

TEST_F(CallerServerTest, SendsRetryAfterAndReplayed)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    server_.reply(
        ReplyHead { request, 200, "text/plain", false, Outcome::Answered, true, std::chrono::milliseconds(2001) });
    server_.reply(ReplyEnd { request });
    ASSERT_TRUE(awaitText(caller, "\r\n\r\n"));
    EXPECT_TRUE(caller->has("Geranium-Replayed: true\r\n"));
    EXPECT_TRUE(caller->has("Retry-After: 3\r\n"));
}

TEST_F(CallerServerTest, AnswersAnErrorWithItsCode)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    server_.reply(ReplyError {
        request, Error { ResultCode::Shed, "No \"room\".", std::chrono::milliseconds(250) }, Outcome::NotRun });
    const std::string body = R"({"error":{"code":200,"name":"shed","message":"No \"room\".","outcome":"not_run",)"
                             R"("retry_after_ms":250}})";
    ASSERT_TRUE(awaitText(caller, body));
    EXPECT_EQ(caller->received().find("HTTP/1.1 503 Service Unavailable\r\n"), 0U);
    EXPECT_TRUE(caller->has("Geranium-Outcome: not_run\r\n"));
    EXPECT_TRUE(caller->has("Retry-After: 1\r\n"));
    answerWhole(openRequest(caller), "next");
    EXPECT_TRUE(awaitText(caller, "\r\n\r\nnext"));
}

TEST_F(CallerServerTest, AnErrorReplacesAnAnswerOfWhichNothingWasSent)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    server_.reply(ReplyHead { request, 200, "application/json", false, Outcome::Answered, false, {} });
    server_.reply(ReplyData { request, "{\"part\":" });
    server_.reply(ReplyError { request, Error { ResultCode::AnswerIncomplete, "Lost.", {} }, Outcome::Failed });
    ASSERT_TRUE(awaitText(caller, "answer_incomplete"));
    EXPECT_EQ(caller->received().find("HTTP/1.1 502 Bad Gateway\r\n"), 0U);
    EXPECT_FALSE(caller->has("part"));
}

TEST_F(CallerServerTest, ALargeAnswerThatBreaksNeverLooksComplete)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    server_.reply(ReplyHead { request, 200, "text/plain", false, Outcome::Answered, false, {} });
    server_.reply(ReplyData { request, std::string(100'000, 'x') });
    ASSERT_TRUE(awaitText(caller, "Transfer-Encoding: chunked\r\n"));
    server_.reply(ReplyError { request, Error { ResultCode::AnswerIncomplete, "Lost.", {} }, Outcome::Failed });
    ASSERT_TRUE(awaitEnd(caller));
    EXPECT_FALSE(caller->has("\r\n0\r\n"));
}

TEST_F(CallerServerTest, StreamsEventsAsChunks)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    beginStream(request);
    ASSERT_TRUE(awaitText(caller, "\r\n\r\n"));
    EXPECT_TRUE(caller->has("Content-Type: text/event-stream\r\n"));
    EXPECT_TRUE(caller->has("Transfer-Encoding: chunked\r\n"));
    caller->forget();
    server_.reply(ReplyData { request, "one" });
    server_.reply(ReplyData { request, "two\nlines" });
    server_.reply(ReplyData { request, "[DONE]" });
    server_.reply(ReplyEnd { request });
    ASSERT_TRUE(awaitText(caller, "\r\n0\r\n\r\n"));
    EXPECT_EQ(caller->received(),
              "b\r\ndata: one\n\n\r\n17\r\ndata: two\ndata: lines\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
    answerWhole(openRequest(caller), "next");
    EXPECT_TRUE(awaitText(caller, "\r\n\r\nnext"));
}

TEST_F(CallerServerTest, AnErrorAfterTheHeadEndsTheStreamWithoutTheLastChunk)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    beginStream(request);
    server_.reply(ReplyData { request, "one" });
    server_.reply(ReplyError { request, Error { ResultCode::UpstreamLost, "Gone.", {} }, Outcome::Failed });
    server_.reply(ReplyData { request, "late" });
    ASSERT_TRUE(awaitEnd(caller));
    EXPECT_TRUE(caller->has("data: {\"error\":{\"code\":300,\"name\":\"upstream_lost\",\"message\":\"Gone.\","
                            "\"outcome\":\"failed\"}}\n\n"));
    EXPECT_FALSE(caller->has("\r\n0\r\n"));
    EXPECT_FALSE(caller->has("[DONE]"));
    EXPECT_FALSE(caller->has("late"));
    EXPECT_EQ(server_.openRequests(), 0U);
    EXPECT_EQ(log_.count<CallerGone>(), 0U);
}

TEST_F(CallerServerTest, ReportsACallerThatLeavesWhileItWaits)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    caller->close();
    ASSERT_TRUE(await([this] { return log_.count<CallerGone>() == 1; }));
    EXPECT_TRUE(log_.contains(CallerGone { request }));
    EXPECT_EQ(server_.openRequests(), 0U);
    answerWhole(request, "too late");
    expectOthersServed();
}

TEST_F(CallerServerTest, ReportsACallerThatLeavesDuringItsStream)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    beginStream(request);
    server_.reply(ReplyData { request, "one" });
    ASSERT_TRUE(awaitText(caller, "data: one"));
    caller->reset();
    ASSERT_TRUE(await([this] { return log_.count<CallerGone>() == 1; }));
    server_.reply(ReplyData { request, "two" });
    server_.reply(ReplyEnd { request });
    expectOthersServed();
}

TEST_F(CallerServerTest, HandlesPipelinedRequestsOneAtATime)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const std::string one = "GET /v1/1 HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string two = "POST /v1/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    caller->send(one + two.substr(0, 30));
    ASSERT_TRUE(awaitRequests(1));
    caller->send(two.substr(30) + one);
    loop_.context().poll();
    EXPECT_EQ(log_.count<CallerRequest>(), 1U);
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        ASSERT_TRUE(awaitRequests(sequence));
        EXPECT_EQ(server_.openRequests(), 1U);
        answerWhole(RequestId(Origin, sequence), "answer-" + std::to_string(sequence));
        ASSERT_TRUE(awaitText(caller, "answer-" + std::to_string(sequence)));
    }
    EXPECT_EQ(log_.all<CallerRequest>()[1].body, "abc");
    EXPECT_EQ(log_.count<CallerRequest>(), 3U);
}

TEST_F(CallerServerTest, ReportsBacklogAndCatchUpOnce)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    beginStream(request);
    ASSERT_TRUE(awaitText(caller, "\r\n\r\n"));
    caller->pauseReading();
    const std::string event(1000, 'x');
    constexpr std::size_t EventsPerTurn = 16;
    std::size_t sent = 0;
    ASSERT_TRUE(await([&] {
        for (std::size_t index = 0; index < EventsPerTurn; ++index) {
            server_.reply(ReplyData { request, event });
            ++sent;
        }
        return log_.count<CallerBacklog>() == 1;
    }));
    EXPECT_TRUE(log_.contains(CallerBacklog { request, true }));
    // Neither this process nor the operating system may buffer megabytes for one caller.
    constexpr std::size_t MaxBufferedBytes = 512 * 1024;
    EXPECT_LT(sent * event.size(), MaxBufferedBytes);
    caller->startReading();
    ASSERT_TRUE(await([this] { return log_.count<CallerBacklog>() == 2; }));
    EXPECT_EQ(log_.all<CallerBacklog>()[1], (CallerBacklog { request, false }));
    server_.reply(ReplyEnd { request });
    ASSERT_TRUE(awaitText(caller, "\r\n0\r\n\r\n"));
    const std::string &received = caller->received();
    std::size_t events = 0;
    for (std::size_t at = received.find("data: "); at != std::string::npos; at = received.find("data: ", at + 1)) {
        ++events;
    }
    EXPECT_EQ(events, sent);
}

TEST_F(CallerServerTest, ClosesAStreamWhoseUnsentBytesExceedTheHardLimit)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    beginStream(request);
    caller->pauseReading();
    const std::string event(1'000'000, 'x');
    ASSERT_TRUE(await([&] {
        server_.reply(ReplyData { request, event });
        return log_.count<CallerGone>() == 1;
    }));
    EXPECT_EQ(server_.openRequests(), 0U);
    expectOthersServed();
}

struct BadInput
{
    std::string request;
    std::string status;
    std::string name;
};

class BadInputTest : public CallerServerTest, public testing::WithParamInterface<BadInput>
{
};

TEST_P(BadInputTest, IsAnsweredWithItsErrorAndAffectsNoOtherCaller)
{
    const std::shared_ptr<RawConnection> waiting = connect();
    const RequestId request = openRequest(waiting);
    const std::shared_ptr<RawConnection> caller = connect();
    caller->send(GetParam().request);
    ASSERT_TRUE(awaitEnd(caller));
    EXPECT_EQ(caller->received().find("HTTP/1.1 " + GetParam().status), 0U);
    EXPECT_TRUE(caller->has("\"name\":\"" + GetParam().name + "\""));
    EXPECT_TRUE(caller->has("\"outcome\":\"not_run\""));
    EXPECT_TRUE(caller->has("Geranium-Outcome: not_run\r\n"));
    EXPECT_TRUE(caller->has("Connection: close\r\n"));
    EXPECT_EQ(log_.count<CallerRequest>(), 1U);
    answerWhole(request, "still here");
    EXPECT_TRUE(awaitText(waiting, "still here"));
    expectOthersServed();
}

INSTANTIATE_TEST_SUITE_P(
    Inputs,
    BadInputTest,
    testing::Values(
        BadInput { "\x16\x03\x01\x02\x01 no HTTP\r\n\r\n", "400", "malformed_request" },
        BadInput { "GET /v1/x HTTP/9.9\r\n\r\n", "400", "malformed_request" },
        BadInput { "GET /v1/x HTTP/1.0\r\n\r\n", "400", "malformed_request" },
        BadInput { "GET /v1/x HTTP/1.1\r\nbad field\r\n\r\n", "400", "malformed_request" },
        BadInput { "GET /v1/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400", "malformed_request" },
        BadInput {
            "POST /v1/x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400", "malformed_request" },
        BadInput { "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                   "400",
                   "malformed_request" },
        BadInput { "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "malformed_request" },
        BadInput { "GET /v1/x HTTP/1.1\r\nGeranium-Deadline-Ms: soon\r\n\r\n", "400", "malformed_request" },
        BadInput {
            "GET /v1/x HTTP/1.1\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", "400", "malformed_request" },
        BadInput { "GET /v1/x HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "431", "headers_too_large" },
        BadInput { "GET /" + std::string(20'000, 'x'), "431", "headers_too_large" },
        BadInput { "POST /v1/x HTTP/1.1\r\nContent-Length: 2049\r\n\r\n", "413", "body_too_large" },
        BadInput { "POST /v1/x HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'x'),
                   "413",
                   "body_too_large" },
        BadInput { "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n900\r\n" + std::string(0x900, 'x'),
                   "413",
                   "body_too_large" }));

TEST_F(CallerServerTest, RefusesConnectionsAboveTheLimitWithAnError)
{
    std::vector<std::shared_ptr<RawConnection>> open;
    for (std::size_t index = 0; index < 4; ++index) {
        open.push_back(connect());
        openRequest(open.back());
    }
    const std::shared_ptr<RawConnection> refused = connect();
    ASSERT_TRUE(awaitEnd(refused));
    EXPECT_EQ(refused->received().find("HTTP/1.1 503"), 0U);
    EXPECT_TRUE(refused->has("too_many_connections"));
    EXPECT_TRUE(refused->has("Retry-After: 1\r\n"));
    refused->close();
    open[0]->close();
    ASSERT_TRUE(await([this] { return log_.count<CallerGone>() == 1; }));
    ASSERT_TRUE(await([this] {
        const std::shared_ptr<RawConnection> again = connect();
        again->send("GET /v1/x HTTP/1.1\r\nHost: a\r\n\r\n");
        return !await([this, &again] { return again->ended() || log_.count<CallerRequest>() == 5; })
            || log_.count<CallerRequest>() == 5;
    }));
}

TEST_F(CallerServerTest, LimitsTheBytesOfAllIncompleteRequests)
{
    const std::string head = "POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n";
    std::vector<std::shared_ptr<RawConnection>> callers;
    for (std::size_t index = 0; index < 3; ++index) {
        callers.push_back(connect());
        callers.back()->send(head + std::string(1900, 'x'));
    }
    ASSERT_TRUE(await([&callers] {
        return std::any_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->ended(); });
    }));
    std::size_t refused = 0;
    for (const std::shared_ptr<RawConnection> &caller : callers) {
        refused += caller->has("\"name\":\"queue_full\"") ? 1U : 0U;
        caller->send(std::string(100, 'x'));
    }
    EXPECT_EQ(refused, 1U);
    ASSERT_TRUE(awaitRequests(2));
    EXPECT_EQ(log_.count<CallerRequest>(), 2U);
    expectOthersServed();
}

TEST_F(CallerServerTest, SendsContinueToACallerThatExpectsIt)
{
    const std::shared_ptr<RawConnection> caller = connect();
    caller->send("POST /v1/x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    ASSERT_TRUE(awaitText(caller, "HTTP/1.1 100 Continue\r\n\r\n"));
    caller->send("abc");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(log_.all<CallerRequest>()[0].body, "abc");
}

TEST_F(CallerServerTest, DrainingAnswersOpenRequestsAndAcceptsNoNewConnections)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    const std::shared_ptr<RawConnection> queued = connect();
    server_.drain();
    EXPECT_THROW(connect(), boost::system::system_error);
    answerWhole(request, "last");
    ASSERT_TRUE(awaitEnd(caller));
    EXPECT_TRUE(caller->has("Connection: close\r\n"));
    EXPECT_TRUE(caller->has("\r\n\r\nlast"));
    answerWhole(openRequest(queued), "served");
    ASSERT_TRUE(awaitText(queued, "\r\n\r\nserved"));
}

class ShortTimeoutsTest : public CallerServerTest
{
protected:
    static CallerServerSettings shortTimeouts()
    {
        CallerServerSettings settings = smallLimits();
        settings.requestTimeout = std::chrono::milliseconds(20);
        settings.idleTimeout = std::chrono::milliseconds(100);
        return settings;
    }

    ShortTimeoutsTest() : CallerServerTest(shortTimeouts()) { }
};

TEST_F(ShortTimeoutsTest, ASlowRequestIsAnsweredWithItsError)
{
    const std::shared_ptr<RawConnection> caller = connect();
    caller->send("POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(awaitEnd(caller));
    EXPECT_EQ(caller->received().find("HTTP/1.1 408"), 0U);
    EXPECT_TRUE(caller->has("request_timeout"));
    EXPECT_EQ(log_.count<CallerRequest>(), 0U);
}

TEST_F(ShortTimeoutsTest, AnIdleConnectionIsClosedWithoutAnAnswer)
{
    const std::shared_ptr<RawConnection> caller = connect();
    ASSERT_TRUE(awaitEnd(caller));
    EXPECT_EQ(caller->received(), "");
}

TEST_F(ShortTimeoutsTest, ACallerThatReadsNothingIsDisconnected)
{
    const std::shared_ptr<RawConnection> caller = connect();
    const RequestId request = openRequest(caller);
    beginStream(request);
    caller->pauseReading();
    const std::string event(10'000, 'x');
    ASSERT_TRUE(await([&] {
        const std::vector<CallerBacklog> backlogs = log_.all<CallerBacklog>();
        if (backlogs.empty() || !backlogs.back().backlogged) {
            server_.reply(ReplyData { request, event });
        }
        return log_.count<CallerGone>() == 1;
    }));
    EXPECT_TRUE(log_.contains(CallerGone { request }));
    EXPECT_EQ(server_.openRequests(), 0U);
}

/** The process is paused for longer than the time limits, while a caller goes on. */
class PausedProcessTest : public CallerServerTest
{
protected:
    static constexpr std::chrono::milliseconds TimeLimit { 300 };

    static CallerServerSettings timeLimits()
    {
        CallerServerSettings settings = smallLimits();
        settings.requestTimeout = TimeLimit;
        settings.idleTimeout = TimeLimit;
        return settings;
    }

    PausedProcessTest() : CallerServerTest(timeLimits()) { }

    /** Opens more connections than one poll reports. */
    void SetUp() override
    {
        CallerServerTest::SetUp();
        for (std::size_t number = 0; number < 300; ++number) {
            others_.push_back(RawConnection::open(loop_.context(), listener_.port()));
            ASSERT_TRUE(await([&] { return listener_.connections().size() == number + 1; }));
        }
    }

    /** The other connections become readable before the caller's. */
    void sendAfterPause(const std::shared_ptr<RawConnection> &caller, const std::string &bytes)
    {
        std::this_thread::sleep_for(TimeLimit * 2);
        for (const std::shared_ptr<RawConnection> &other : listener_.connections()) {
            other->send("x");
        }
        caller->send(bytes);
    }

    RawListener listener_ { loop_.context() };
    std::vector<std::shared_ptr<RawConnection>> others_;
};

TEST_F(PausedProcessTest, UnreadRequestOnAnIdleConnectionIsNotLost)
{
    const std::shared_ptr<RawConnection> caller = connect();
    answerWhole(openRequest(caller), "first");
    ASSERT_TRUE(awaitText(caller, "first"));
    sendAfterPause(caller, "GET /v1/x HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(await([&] { return caller->ended() || log_.count<CallerRequest>() == 2; }));
    EXPECT_EQ(log_.count<CallerRequest>(), 2U);
}

TEST_F(PausedProcessTest, UnreadRestOfARequestIsNotTimedOut)
{
    const std::shared_ptr<RawConnection> caller = connect();
    caller->send("POST /v1/x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    ASSERT_TRUE(awaitText(caller, "100 Continue"));
    sendAfterPause(caller, "abc");
    ASSERT_TRUE(await([&] { return caller->ended() || log_.count<CallerRequest>() == 1; }));
    EXPECT_EQ(log_.count<CallerRequest>(), 1U);
    EXPECT_FALSE(caller->has("408"));
}

} // namespace
} // namespace GeraniumLever
