#include <gtest/gtest.h>

#include "drivers/http/http.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"

namespace GeraniumLever {
namespace {

/** SHA-256 of "secret". */
const std::string secretHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

class OperatorServerTest : public testing::Test
{
protected:
    OperatorServerTest()
        : port_(unusedPort(loop_.context()))
        , server_(settings(), loop_.context(), [this](const OperatorRequest &request, OperatorServer::Responder reply) {
            requests_.push_back(request);
            responders_.push_back(std::move(reply));
        })
    {
    }

    void SetUp() override { ASSERT_TRUE(succeeded(server_.start())); }

    OperatorServerSettings settings() const
    {
        OperatorServerSettings settings;
        settings.listenAddress = "127.0.0.1:" + std::to_string(port_);
        settings.keyHashes = { std::string(secretHash.size(), '0'), secretHash };
        settings.maxBodyBytes = 1000;
        return settings;
    }

    /** Sends a request on a new connection and waits for its answer. */
    std::shared_ptr<RawConnection> ask(const std::string &request)
    {
        const std::shared_ptr<RawConnection> connection = RawConnection::open(loop_.context(), port_);
        connection->send(request);
        const std::size_t handled = responders_.size();
        EXPECT_TRUE(loop_.runUntil([&] { return connection->has("\r\n\r\n") || responders_.size() > handled; }));
        return connection;
    }

    EventLoop loop_;
    std::uint16_t port_;
    std::vector<OperatorRequest> requests_;
    std::vector<OperatorServer::Responder> responders_;
    OperatorServer server_;
};

TEST_F(OperatorServerTest, PassesOnARequestWithAKnownKeyAndRepliesLater)
{
    const std::shared_ptr<RawConnection> connection =
        ask("POST /admin/tickets?dry=1 HTTP/1.1\r\nAuthorization: Bearer secret\r\nContent-Length: 5\r\n\r\na: 1\n");
    ASSERT_EQ(requests_, std::vector<OperatorRequest>({ { "POST", "/admin/tickets", "dry=1", "a: 1\n" } }));
    responders_[0](OperatorReply { 422, "application/json", "{}" });
    responders_[0](OperatorReply { 200, "application/json", "again" });
    ASSERT_TRUE(loop_.runUntil([&] { return connection->has("\r\n\r\n{}"); }));
    EXPECT_EQ(connection->received().find("HTTP/1.1 422"), 0U);
    EXPECT_FALSE(connection->has("again"));
}

TEST_F(OperatorServerTest, RefusesRequestsWithoutAKnownKey)
{
    for (const std::string field :
         { "", "Authorization: Bearer guess\r\n", "Authorization: Bearer \r\n", "Authorization: Basic secret\r\n" }) {
        const std::shared_ptr<RawConnection> connection = ask("GET /admin/state HTTP/1.1\r\n" + field + "\r\n");
        EXPECT_EQ(connection->received().find("HTTP/1.1 401"), 0U) << field;
        EXPECT_TRUE(connection->has("\"name\":\"unauthorized\"")) << field;
    }
    EXPECT_TRUE(requests_.empty());
}

TEST_F(OperatorServerTest, AnswersHealthAndMetricsWithoutAKey)
{
    for (const std::string path : { "/healthz", "/readyz", "/metrics" }) {
        const std::shared_ptr<RawConnection> connection = ask("GET " + path + " HTTP/1.0\r\n\r\n");
        ASSERT_FALSE(requests_.empty());
        EXPECT_EQ(requests_.back().path, path);
        responders_.back()(OperatorReply { 200, "text/plain", "fine" });
        ASSERT_TRUE(loop_.runUntil([&] { return connection->has("\r\n\r\nfine"); }));
    }
    EXPECT_EQ(ask("GET /metrics/x HTTP/1.1\r\n\r\n")->received().find("HTTP/1.1 401"), 0U);
}

TEST_F(OperatorServerTest, AnswersBadInputWithItsError)
{
    EXPECT_EQ(ask("nonsense\r\n\r\n")->received().find("HTTP/1.1 400"), 0U);
    EXPECT_EQ(ask("GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n\r\n")->received().find("HTTP/1.1 431"), 0U);
    EXPECT_EQ(ask("POST /admin/tickets HTTP/1.1\r\nContent-Length: 1001\r\n\r\n")->received().find("HTTP/1.1 413"), 0U);
    EXPECT_TRUE(requests_.empty());
}

TEST_F(OperatorServerTest, RefusesAnAddressThatIsInUse)
{
    OperatorServer second(
        settings(), loop_.context(), [](const OperatorRequest &, const OperatorServer::Responder &) {});
    const Result<Success> result = second.start();
    ASSERT_FALSE(succeeded(result));
    EXPECT_EQ(errorOf(result).code, ResultCode::SettingsInvalid);
}

} // namespace
} // namespace GeraniumLever
