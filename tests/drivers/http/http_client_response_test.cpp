#include <gtest/gtest.h>

#include "drivers/http/http.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/http/raw_responses.h"

namespace GeraniumLever {
namespace {

constexpr std::size_t UploadBytes = 16 * 1024 * 1024;

/** A server responds with raw bytes to the client for short requests. */
class HttpClientResponseTest : public testing::Test
{
protected:
    void send(const std::string &body = "", const std::string &method = "POST")
    {
        HttpRequest request;
        request.address = listener_.address();
        request.method = method;
        request.target = "/" + std::to_string(++sent_);
        request.body = body;
        request.timeout = std::chrono::seconds(20);
        client_.send(request, [this](HttpResult result) { results_.push_back(std::move(result)); });
    }

    RawConnection &peer() { return *listener_.connections().back(); }

    bool awaitRequest()
    {
        const std::string target = "/" + std::to_string(sent_) + " ";
        return loop_.runUntil([&]() { return !listener_.connections().empty() && peer().has(target); });
    }

    bool awaitResult()
    {
        return loop_.runUntil([this]() { return results_.size() == sent_; });
    }

    EventLoop loop_;
    RawListener listener_ { loop_.context() };
    HttpClient client_ { loop_.context() };
    std::size_t sent_ = 0;
    std::vector<HttpResult> results_;
};

class InvalidHttpClientResponseTest : public HttpClientResponseTest, public testing::WithParamInterface<RawResponse>
{
};

TEST_P(InvalidHttpClientResponseTest, IsNoAnswerAndItsConnectionIsNotUsedAgain)
{
    send();
    ASSERT_TRUE(awaitRequest());
    peer().send(GetParam().bytes);
    ASSERT_TRUE(awaitResult());
    ASSERT_EQ(results_.back(), HttpResult(HttpFailure::NoAnswer));
    EXPECT_TRUE(loop_.runUntil([this]() { return peer().ended(); }));
    send();
    ASSERT_TRUE(awaitRequest());
    EXPECT_EQ(listener_.connections().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         InvalidHttpClientResponseTest,
                         testing::ValuesIn(invalidResponses()),
                         [](const auto &info) { return info.param.name; });

class UnusualHttpClientResponseTest : public HttpClientResponseTest, public testing::WithParamInterface<RawResponse>
{
};

TEST_P(UnusualHttpClientResponseTest, IsDelivered)
{
    send();
    ASSERT_TRUE(awaitRequest());
    peer().send(GetParam().bytes);
    ASSERT_TRUE(awaitResult());
    const HttpResponse *response = std::get_if<HttpResponse>(&results_.back());
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->status, GetParam().status);
    EXPECT_EQ(response->body, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         UnusualHttpClientResponseTest,
                         testing::ValuesIn(unusualResponses()),
                         [](const auto &info) { return info.param.name; });

TEST_F(HttpClientResponseTest, FieldsOfATrailerAreNotFieldsOfTheResponse)
{
    send();
    ASSERT_TRUE(awaitRequest());
    peer().send(chunkedHelloWith("Transfer-Encoding: chunked\r\n", "X-Note: x\r\n"));
    ASSERT_TRUE(awaitResult());
    const HttpResponse *response = std::get_if<HttpResponse>(&results_.back());
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->headers, (std::vector<HeaderField> { { "transfer-encoding", "chunked" } }));
}

TEST_F(HttpClientResponseTest, BodyThatEndsWithTheConnectionIsDelivered)
{
    send();
    ASSERT_TRUE(awaitRequest());
    peer().send("HTTP/1.1 200 OK\r\n\r\nhello");
    peer().close();
    ASSERT_TRUE(awaitResult());
    const HttpResponse *response = std::get_if<HttpResponse>(&results_.back());
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->body, "hello");
}

TEST_F(HttpClientResponseTest, BodyThatEndsWithAResetIsNoAnswer)
{
    send();
    ASSERT_TRUE(awaitRequest());
    peer().send("HTTP/1.1 200 OK\r\n\r\nhello");
    peer().reset();
    ASSERT_TRUE(awaitResult());
    EXPECT_EQ(results_.back(), HttpResult(HttpFailure::NoAnswer));
}

TEST_F(HttpClientResponseTest, BodyThatEndsWithAResetDuringTheUploadIsNoAnswer)
{
    send(std::string(UploadBytes, 'u'));
    ASSERT_TRUE(awaitRequest());
    peer().pauseReading();
    peer().send("HTTP/1.1 200 OK\r\n\r\nhello");
    peer().reset();
    ASSERT_TRUE(awaitResult());
    EXPECT_EQ(results_.back(), HttpResult(HttpFailure::NoAnswer));
}

TEST_F(HttpClientResponseTest, BodyThatIsLargerThanTheLimitIsNoAnswer)
{
    send();
    ASSERT_TRUE(awaitRequest());
    peer().send("HTTP/1.1 200 OK\r\nContent-Length: 67108865\r\n\r\n");
    ASSERT_TRUE(awaitResult());
    EXPECT_EQ(results_.back(), HttpResult(HttpFailure::NoAnswer));
}

} // namespace
} // namespace GeraniumLever
