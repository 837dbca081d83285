#include <gtest/gtest.h>

#include "drivers/http/http.h"
#include "tests/drivers/http/event_log.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/http/raw_responses.h"

namespace GeraniumLever {
namespace {

constexpr std::size_t UploadBytes = 16 * 1024 * 1024;

/** An upstream responds with raw bytes to a node of the product. */
class UpstreamResponseTest : public testing::Test
{
protected:
    void dispatch(bool streamed = false, const std::string &body = "")
    {
        UpstreamDispatch dispatch;
        dispatch.attempt = AttemptId(1, ++sent_);
        dispatch.target = "engine-1";
        dispatch.address = listener_.address();
        dispatch.method = "POST";
        dispatch.path = "/" + std::to_string(sent_);
        dispatch.body = body;
        dispatch.streamed = streamed;
        dispatch.silenceLimit = std::chrono::seconds(20);
        client_.dispatch(dispatch);
    }

    RawConnection &peer() { return *listener_.connections().back(); }

    bool awaitRequest()
    {
        const std::string target = "/" + std::to_string(sent_) + " ";
        return loop_.runUntil([&]() { return !listener_.connections().empty() && peer().has(target); });
    }

    bool awaitEnd()
    {
        return loop_.runUntil([this]() { return log_.count<UpstreamEnd>() + log_.count<UpstreamFailure>() == sent_; });
    }

    void expectWholeAnswer(unsigned status, const std::string &body)
    {
        ASSERT_TRUE(awaitEnd());
        EXPECT_EQ(log_.count<UpstreamFailure>(), 0U);
        ASSERT_EQ(log_.count<UpstreamHead>(), 1U);
        EXPECT_EQ(log_.all<UpstreamHead>()[0].status, status);
        std::string received;
        for (const UpstreamData &data : log_.all<UpstreamData>()) {
            received += data.data;
        }
        EXPECT_EQ(received, body);
    }

    EventLoop loop_;
    RawListener listener_ { loop_.context() };
    EventLog log_;
    UpstreamClient client_ { UpstreamClientSettings(), loop_.context(), log_.sink() };
    std::size_t sent_ = 0;
};

class InvalidUpstreamResponseTest : public UpstreamResponseTest, public testing::WithParamInterface<RawResponse>
{
protected:
    void expectRejected(bool streamed)
    {
        dispatch(streamed);
        ASSERT_TRUE(awaitRequest());
        peer().send(GetParam().bytes);
        ASSERT_TRUE(awaitEnd());
        ASSERT_TRUE(log_.contains(UpstreamFailure { AttemptId(1, 1), UpstreamFailure::Kind::Broken }));
        EXPECT_EQ(log_.count<UpstreamHead>(), 0U);
        EXPECT_TRUE(loop_.runUntil([this]() { return peer().ended(); }));
    }
};

TEST_P(InvalidUpstreamResponseTest, BreaksTheAttempt)
{
    expectRejected(false);
}

TEST_P(InvalidUpstreamResponseTest, BreaksTheAttemptOfAStream)
{
    expectRejected(true);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         InvalidUpstreamResponseTest,
                         testing::ValuesIn(invalidResponses()),
                         [](const auto &info) { return info.param.name; });

class UnusualUpstreamResponseTest : public UpstreamResponseTest, public testing::WithParamInterface<RawResponse>
{
};

TEST_P(UnusualUpstreamResponseTest, IsReported)
{
    dispatch();
    ASSERT_TRUE(awaitRequest());
    peer().send(GetParam().bytes);
    expectWholeAnswer(GetParam().status, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         UnusualUpstreamResponseTest,
                         testing::ValuesIn(unusualResponses()),
                         [](const auto &info) { return info.param.name; });

TEST_F(UpstreamResponseTest, BodyWithoutALengthBreaksTheAttemptAfterAResetDuringTheUpload)
{
    dispatch(false, std::string(UploadBytes, 'u'));
    ASSERT_TRUE(awaitRequest());
    peer().pauseReading();
    peer().send("HTTP/1.1 200 OK\r\n\r\nhello");
    peer().reset();
    ASSERT_TRUE(awaitEnd());
    EXPECT_TRUE(log_.contains(UpstreamFailure { AttemptId(1, 1), UpstreamFailure::Kind::Broken }));
    EXPECT_EQ(log_.count<UpstreamHead>(), 0U);
}

TEST_F(UpstreamResponseTest, EarlyAnswerWithALengthIsReportedOnceTheUploadIsRead)
{
    dispatch(false, std::string(UploadBytes, 'u'));
    ASSERT_TRUE(awaitRequest());
    peer().send(helloWith("200 OK"));
    peer().shutDownSend();
    expectWholeAnswer(200, "hello");
}

TEST_F(UpstreamResponseTest, EarlyAnswerInChunksIsReportedOnceTheUploadIsRead)
{
    dispatch(false, std::string(UploadBytes, 'u'));
    ASSERT_TRUE(awaitRequest());
    peer().send(chunkedHelloWith("Transfer-Encoding: chunked\r\n"));
    peer().shutDownSend();
    expectWholeAnswer(200, "hello");
}

} // namespace
} // namespace GeraniumLever
