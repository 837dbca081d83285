#include <gtest/gtest.h>

#include "drivers/relay/relay.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/http/raw_responses.h"
#include "tests/drivers/relay/pass_through_header_codec.h"

namespace GeraniumLever {
namespace {

constexpr std::size_t UploadBytes = 16 * 1024 * 1024;

/** An upstream responds with raw bytes. */
class RelayResponseTest : public testing::Test, public RelayExchangeObserver
{
protected:
    RelayResponseTest() : listener_(loop_.context()), client_(loop_.context(), codec_, *this) { }

    void exchangeNotice(const UpstreamNotice &) override { }
    void exchangeHeldBack(const AttemptId &) override { }
    void exchangeHead(const RelayResponseHead &head, const RelayResponse &response) override
    {
        statuses_.push_back(head.status);
        response_ = response;
    }
    void exchangeData(const AttemptId &, std::string_view bytes, const std::string &) override { body_ += bytes; }
    void exchangeEnded(const AttemptId &) override { ++ended_; }
    void exchangeFailed(const RelayFailure &failure) override { failures_.push_back(failure.kind); }

    void dispatch(bool streamed = false, const std::string &body = "", const std::string &method = "POST")
    {
        RelayDispatch dispatch;
        dispatch.attempt = AttemptId(1, ++lastAttempt_);
        dispatch.address = listener_.address();
        dispatch.streamed = streamed;
        dispatch.timeLeft = std::chrono::minutes(1);
        const std::shared_ptr<RelayCall> call = std::make_shared<RelayCall>();
        call->method = method;
        call->target = "/" + std::to_string(lastAttempt_);
        call->body = body;
        client_.dispatch(dispatch, call, "");
    }

    RawConnection &peer() { return *listener_.connections().back(); }

    /** Waits until the last request has arrived, at least its first bytes, and sends the bytes. */
    void respond(const std::string &bytes)
    {
        const std::string target = "/" + std::to_string(lastAttempt_) + " ";
        ASSERT_TRUE(loop_.runUntil([&]() { return !listener_.connections().empty() && peer().has(target); }));
        peer().send(bytes);
    }

    bool awaitEnd()
    {
        return loop_.runUntil([this]() { return ended_ != 0 || !failures_.empty(); });
    }

    bool awaitClose()
    {
        return loop_.runUntil([this]() { return peer().ended(); });
    }

    /** The upstream answers an upload before it reads it; it reads on only after that. */
    void respondToUpload(bool streamed, const std::string &bytes)
    {
        dispatch(streamed, std::string(UploadBytes, 'u'));
        ASSERT_TRUE(loop_.runUntil([&]() { return !listener_.connections().empty() && peer().has("/1 "); }));
        peer().pauseReading();
        peer().send(bytes);
    }

    void expectWholeAnswer(const std::string &body)
    {
        EXPECT_TRUE(awaitEnd());
        EXPECT_EQ(ended_, 1);
        EXPECT_TRUE(failures_.empty());
        EXPECT_EQ(statuses_, std::vector<unsigned> { 200 });
        EXPECT_EQ(body_, body);
    }

    EventLoop loop_;
    RawListener listener_;
    PassThroughHeaderCodec codec_;
    RelayClient client_;
    std::vector<unsigned> statuses_;
    RelayResponse response_;
    std::string body_;
    int ended_ = 0;
    std::vector<RelayFailure::Kind> failures_;
    std::uint64_t lastAttempt_ = 0;
};

class InvalidRelayResponseTest : public RelayResponseTest, public testing::WithParamInterface<RawResponse>
{
protected:
    void expectRejected()
    {
        ASSERT_TRUE(awaitEnd());
        ASSERT_EQ(failures_, std::vector<RelayFailure::Kind> { RelayFailure::Kind::InvalidResponse });
        EXPECT_EQ(statuses_, std::vector<unsigned>());
        EXPECT_EQ(ended_, 0);
        EXPECT_TRUE(awaitClose());
    }
};

TEST_P(InvalidRelayResponseTest, FailsTheAttempt)
{
    dispatch();
    respond(GetParam().bytes);
    expectRejected();
}

TEST_P(InvalidRelayResponseTest, FailsTheAttemptOfAStream)
{
    dispatch(true);
    respond(GetParam().bytes);
    expectRejected();
}

TEST_P(InvalidRelayResponseTest, FailsTheAttemptOnAConnectionThatIsUsedAgain)
{
    dispatch();
    respond(helloWith("200 OK"));
    ASSERT_TRUE(awaitEnd());
    ended_ = 0;
    statuses_.clear();
    dispatch();
    respond(GetParam().bytes);
    expectRejected();
    EXPECT_EQ(listener_.connections().size(), 1U);
}

TEST_P(InvalidRelayResponseTest, FailsTheAttemptIfItArrivesByteByByte)
{
    dispatch();
    respond("");
    for (const char byte : GetParam().bytes) {
        peer().send(std::string(1, byte));
        loop_.context().restart();
        while (loop_.context().poll() != 0) { }
    }
    expectRejected();
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         InvalidRelayResponseTest,
                         testing::ValuesIn(invalidResponses()),
                         [](const auto &info) { return info.param.name; });

class UnusualRelayResponseTest : public RelayResponseTest, public testing::WithParamInterface<RawResponse>
{
};

TEST_P(UnusualRelayResponseTest, IsForwarded)
{
    dispatch();
    respond(GetParam().bytes);
    EXPECT_TRUE(awaitEnd());
    EXPECT_EQ(failures_, std::vector<RelayFailure::Kind>());
    EXPECT_EQ(statuses_, std::vector<unsigned> { GetParam().status });
    EXPECT_EQ(body_, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         UnusualRelayResponseTest,
                         testing::ValuesIn(unusualResponses()),
                         [](const auto &info) { return info.param.name; });

TEST_F(RelayResponseTest, BodyWithoutALengthIsNotCompleteAfterAResetDuringTheUpload)
{
    respondToUpload(false, "HTTP/1.1 200 OK\r\n\r\nhello");
    peer().reset();
    EXPECT_TRUE(awaitEnd());
    EXPECT_EQ(ended_, 0);
    EXPECT_EQ(failures_, std::vector<RelayFailure::Kind> { RelayFailure::Kind::Broken });
    EXPECT_EQ(statuses_, std::vector<unsigned>());
}

// Guards against a part of a body passing as whole because the connection's end is handled before the failed write.
TEST_F(RelayResponseTest, BodyWithoutALengthIsNotCompleteWheneverTheUploadIsReset)
{
    constexpr int Moments = 60;
    for (int moment = 0; moment < Moments; ++moment) {
        for (const bool streamed : { false, true }) {
            SCOPED_TRACE("moment " + std::to_string(moment));
            ended_ = 0;
            failures_.clear();
            dispatch(streamed, std::string(UploadBytes, 'u'));
            respond("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n");
            for (int step = 0; step < moment; ++step) {
                loop_.context().restart();
                loop_.context().poll_one();
            }
            peer().reset();
            EXPECT_TRUE(awaitEnd());
            EXPECT_EQ(ended_, 0);
            EXPECT_EQ(failures_, std::vector<RelayFailure::Kind> { RelayFailure::Kind::Broken });
        }
    }
}

TEST_F(RelayResponseTest, StreamWithoutALengthIsNotCompleteAfterAResetDuringTheUpload)
{
    respondToUpload(true, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n");
    peer().reset();
    EXPECT_TRUE(awaitEnd());
    EXPECT_EQ(ended_, 0);
    EXPECT_EQ(failures_, std::vector<RelayFailure::Kind> { RelayFailure::Kind::Broken });
}

TEST_F(RelayResponseTest, BodyWithoutALengthIsNotCompleteIfReadingWasPausedDuringTheReset)
{
    dispatch(true, std::string(UploadBytes, 'u'));
    respond("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello");
    ASSERT_TRUE(loop_.runUntil([this]() { return body_ == "hello"; }));
    client_.setReading(AttemptId(1, lastAttempt_), false);
    peer().pauseReading();
    peer().send(" world");
    peer().reset();
    for (int turn = 0; turn < 10; ++turn) {
        loop_.context().restart();
        loop_.context().run_one_for(std::chrono::milliseconds(5));
    }
    client_.setReading(AttemptId(1, lastAttempt_), true);
    EXPECT_TRUE(awaitEnd());
    EXPECT_EQ(ended_, 0);
    EXPECT_EQ(failures_, std::vector<RelayFailure::Kind> { RelayFailure::Kind::Broken });
}

TEST_F(RelayResponseTest, EarlyAnswerWithALengthIsForwardedAlthoughTheUploadIsReset)
{
    respondToUpload(false, helloWith("200 OK"));
    peer().reset();
    expectWholeAnswer("hello");
}

TEST_F(RelayResponseTest, EarlyAnswerInChunksIsForwardedAlthoughTheUploadIsReset)
{
    respondToUpload(false, chunkedHelloWith("Transfer-Encoding: chunked\r\n"));
    peer().reset();
    expectWholeAnswer("hello");
}

TEST_F(RelayResponseTest, EarlyAnswerWithALengthIsForwardedWhileTheUploadGoesOn)
{
    respondToUpload(false, helloWith("200 OK"));
    peer().shutDownSend();
    expectWholeAnswer("hello");
}

TEST_F(RelayResponseTest, EarlyAnswerInChunksIsForwardedWhileTheUploadGoesOn)
{
    respondToUpload(true, chunkedHelloWith("Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n"));
    peer().shutDownSend();
    expectWholeAnswer("hello");
}

TEST_F(RelayResponseTest, EarlyAnswerWithoutALengthIsCompleteIfTheConnectionIsClosedGracefully)
{
    respondToUpload(false, "HTTP/1.1 200 OK\r\n\r\nhello");
    peer().shutDownSend();
    peer().startReading();
    expectWholeAnswer("hello");
}

TEST_F(RelayResponseTest, ConnectionOfAnEarlyAnswerIsNotUsedAgain)
{
    respondToUpload(false, helloWith("200 OK"));
    expectWholeAnswer("hello");
    peer().startReading();
    EXPECT_TRUE(awaitClose());
}

TEST_F(RelayResponseTest, FieldsOfATrailerAreNotFieldsOfTheResponse)
{
    dispatch();
    respond(chunkedHelloWith("X-Seal: right\r\nTransfer-Encoding: chunked\r\n", "X-Seal: wrong\r\nX-Note: x\r\n"));
    ASSERT_TRUE(awaitEnd());
    EXPECT_EQ(response_.fields.count("X-Seal"), 1U);
    EXPECT_EQ(response_.fields.count("X-Note"), 0U);
}

TEST_F(RelayResponseTest, StreamWithASuccessThatHasNoNameIsForwardedAtOnce)
{
    dispatch(true);
    respond("HTTP/1.1 299 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            "f\r\nid: 1\ndata: x\n\n\r\n");
    EXPECT_TRUE(loop_.runUntil([this]() { return body_ == "id: 1\ndata: x\n\n"; }));
    EXPECT_EQ(ended_, 0);
}

TEST_F(RelayResponseTest, BodyOfAResponseToAHeadRequestIsNotAwaited)
{
    dispatch(false, "", "HEAD");
    respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    expectWholeAnswer("");
}

} // namespace
} // namespace GeraniumLever
