#include <optional>
#include <thread>

#include <gtest/gtest.h>

#include "drivers/http/http.h"
#include "drivers/http/http_exchange.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"

namespace GeraniumLever {
namespace {

class HttpClientTest : public testing::Test
{
protected:
    HttpRequest get(const std::string &target)
    {
        HttpRequest request;
        request.address = listener_.address();
        request.target = target;
        request.timeout = std::chrono::seconds(20);
        return request;
    }

    void send(const HttpRequest &request)
    {
        client_.send(request, [this](HttpResult result) { results_.push_back(std::move(result)); });
    }

    bool awaitRequest(std::size_t connection, const std::string &text)
    {
        return loop_.runUntil([this, connection, &text] {
            return listener_.connections().size() > connection && listener_.connections()[connection]->has(text);
        });
    }

    bool awaitResults(std::size_t count)
    {
        return loop_.runUntil([this, count] { return results_.size() >= count; });
    }

    EventLoop loop_;
    RawListener listener_ { loop_.context() };
    HttpClient client_ { loop_.context() };
    std::vector<HttpResult> results_;
};

const std::string emptyOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

TEST_F(HttpClientTest, DeliversTheCompleteResponse)
{
    HttpRequest request = get("/rows/1");
    request.method = "POST";
    request.body = "{\"a\":1}";
    request.headers = { { "x-version", "7" } };
    send(request);
    ASSERT_TRUE(awaitRequest(0, "{\"a\":1}"));
    EXPECT_EQ(listener_.connections()[0]->received().find("POST /rows/1 HTTP/1.1\r\n"), 0U);
    EXPECT_TRUE(listener_.connections()[0]->has("x-version: 7\r\n"));
    listener_.connections()[0]->send("HTTP/1.1 409 Conflict\r\nX-Row: b\r\nContent-Length: 5\r\n\r\nhel");
    listener_.connections()[0]->send("lo");
    ASSERT_TRUE(awaitResults(1));
    const HttpResponse expected { 409, { { "x-row", "b" }, { "content-length", "5" } }, "hello" };
    EXPECT_EQ(results_[0], HttpResult(expected));
}

// Guards against taking a pause of the process for a stalled call: its timer expires together with the arrival of data.
TEST_F(HttpClientTest, ResponseThatArrivedDuringAPauseOfTheProcessIsDelivered)
{
    HttpRequest request = get("/rows");
    request.stallTimeout = std::chrono::milliseconds(100);
    send(request);
    ASSERT_TRUE(awaitRequest(0, "GET /rows"));
    listener_.connections()[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    loop_.context().restart();
    loop_.context().run_for(std::chrono::milliseconds(20));
    listener_.connections()[0]->send("lo");
    ASSERT_TRUE(awaitResults(1));
    const HttpResponse expected { 200, { { "content-length", "5" } }, "hello" };
    EXPECT_EQ(results_[0], HttpResult(expected));
}

TEST_F(HttpClientTest, NeverCallsTheHandlerFromWithinSend)
{
    HttpRequest request = get("/");
    request.address = "not an address";
    send(request);
    EXPECT_TRUE(results_.empty());
    ASSERT_TRUE(awaitResults(1));
    EXPECT_EQ(results_[0], HttpResult(HttpFailure::NotSent));
}

TEST_F(HttpClientTest, RefusedConnectionMeansNotSent)
{
    HttpRequest request = get("/");
    request.address = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    send(request);
    ASSERT_TRUE(awaitResults(1));
    EXPECT_EQ(results_[0], HttpResult(HttpFailure::NotSent));
}

TEST_F(HttpClientTest, CloseBeforeTheAnswerMeansNoAnswer)
{
    send(get("/"));
    ASSERT_TRUE(awaitRequest(0, "\r\n\r\n"));
    listener_.connections()[0]->close();
    ASSERT_TRUE(awaitResults(1));
    EXPECT_EQ(results_[0], HttpResult(HttpFailure::NoAnswer));
    EXPECT_EQ(listener_.connections().size(), 1U);
}

TEST_F(HttpClientTest, TruncatedBodyMeansNoAnswer)
{
    send(get("/"));
    ASSERT_TRUE(awaitRequest(0, "\r\n\r\n"));
    listener_.connections()[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    listener_.connections()[0]->close();
    ASSERT_TRUE(awaitResults(1));
    EXPECT_EQ(results_[0], HttpResult(HttpFailure::NoAnswer));
}

TEST_F(HttpClientTest, SilentPeerMeansNoAnswer)
{
    send(get("/1"));
    ASSERT_TRUE(awaitRequest(0, "GET /1"));
    listener_.connections()[0]->send(emptyOk);
    ASSERT_TRUE(awaitResults(1));
    HttpRequest request = get("/2");
    request.timeout = std::chrono::milliseconds(50);
    send(request);
    ASSERT_TRUE(awaitResults(2));
    EXPECT_EQ(results_[1], HttpResult(HttpFailure::NoAnswer));
    EXPECT_TRUE(awaitRequest(0, "GET /2"));
}

TEST_F(HttpClientTest, ReusesAConnection)
{
    send(get("/1"));
    ASSERT_TRUE(awaitRequest(0, "GET /1"));
    listener_.connections()[0]->send(emptyOk);
    ASSERT_TRUE(awaitResults(1));
    send(get("/2"));
    ASSERT_TRUE(awaitRequest(0, "GET /2"));
    listener_.connections()[0]->send(emptyOk);
    ASSERT_TRUE(awaitResults(2));
    EXPECT_EQ(listener_.connections().size(), 1U);
}

TEST_F(HttpClientTest, FreshRequestsUseNoPooledConnection)
{
    for (std::size_t index = 0; index < 2; ++index) {
        HttpRequest request = get("/");
        request.freshConnection = true;
        send(request);
        ASSERT_TRUE(awaitRequest(index, "\r\n\r\n"));
        listener_.connections()[index]->send(emptyOk);
        ASSERT_TRUE(awaitResults(index + 1));
    }
    EXPECT_EQ(listener_.connections().size(), 2U);
}

TEST_F(HttpClientTest, ReplacesAPooledConnectionThatThePeerHasClosed)
{
    send(get("/1"));
    ASSERT_TRUE(awaitRequest(0, "GET /1"));
    listener_.connections()[0]->send(emptyOk);
    ASSERT_TRUE(awaitResults(1));
    listener_.connections()[0]->close();
    send(get("/2"));
    ASSERT_TRUE(awaitRequest(1, "GET /2"));
    listener_.connections()[1]->send(emptyOk);
    ASSERT_TRUE(awaitResults(2));
    EXPECT_TRUE(std::holds_alternative<HttpResponse>(results_[1]));
}

TEST_F(HttpClientTest, DoesNotResendOnAPooledConnectionThatBreaksAfterTheRequest)
{
    send(get("/1"));
    ASSERT_TRUE(awaitRequest(0, "GET /1"));
    listener_.connections()[0]->send(emptyOk);
    ASSERT_TRUE(awaitResults(1));
    send(get("/2"));
    ASSERT_TRUE(awaitRequest(0, "GET /2"));
    listener_.connections()[0]->reset();
    ASSERT_TRUE(awaitResults(2));
    EXPECT_EQ(results_[1], HttpResult(HttpFailure::NoAnswer));
    EXPECT_EQ(listener_.connections().size(), 1U);
}

TEST_F(HttpClientTest, DropsAConnectionWithUnsolicitedBytes)
{
    send(get("/1"));
    ASSERT_TRUE(awaitRequest(0, "GET /1"));
    listener_.connections()[0]->send(emptyOk + emptyOk);
    ASSERT_TRUE(awaitResults(1));
    send(get("/2"));
    ASSERT_TRUE(awaitRequest(1, "GET /2"));
    EXPECT_FALSE(listener_.connections()[0]->has("GET /2"));
}

TEST_F(HttpClientTest, CallsNoHandlerAfterItsDestruction)
{
    std::optional<HttpClient> client(std::in_place, loop_.context());
    bool called = false;
    client->send(get("/"), [&called](const HttpResult &) { called = true; });
    ASSERT_TRUE(awaitRequest(0, "\r\n\r\n"));
    client.reset();
    ASSERT_TRUE(loop_.runUntil([this] { return listener_.connections()[0]->ended(); }));
    EXPECT_FALSE(called);
}

TEST(HttpExchangeTest, ExchangeThatIsAbandonedWhileSendingIsReleased)
{
    std::weak_ptr<HttpExchange> abandoned;
    {
        EventLoop loop;
        RawListener listener(loop.context());
        HttpRequest request;
        request.address = listener.address();
        request.timeout = std::chrono::seconds(20);
        const std::shared_ptr<HttpExchange> exchange =
            std::make_shared<HttpExchange>(loop.context(), std::make_shared<ConnectionPool>(1), request);
        abandoned = exchange;
        exchange->start([](const HttpResult &) { ADD_FAILURE(); });
        exchange->abandon();
    }
    EXPECT_TRUE(abandoned.expired());
}

} // namespace
} // namespace GeraniumLever
