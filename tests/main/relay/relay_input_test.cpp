/** Input of every bad kind gets a numbered error, and nothing else is lost. */
#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

struct BadInput
{
    std::string what;
    std::string text;
    unsigned status;
    std::string name;
};

class RelayInputTest : public RelayNodeFixture
{
protected:
    RelayInputTest()
    {
        writeConfiguration();
        addServer("p1", "plain");
        startNode();
    }

    static std::vector<BadInput> inputs()
    {
        const std::string fields = "Host: a.example\r\nRequest-Id: r1\r\nAuthorization: Bearer key-one\r\n";
        const std::string post = "POST /once/1 HTTP/1.1\r\n";
        return {
            { "no host", post + "Request-Id: r1\r\nContent-Length: 0\r\n\r\n", 400, "malformed_request" },
            { "two hosts", post + fields + "Host: b\r\nContent-Length: 0\r\n\r\n", 400, "malformed_request" },
            { "no identifier", post + "Host: a.example\r\nContent-Length: 0\r\n\r\n", 400, "malformed_request" },
            { "two identifiers",
              post + fields + "Request-Id: r2\r\nContent-Length: 0\r\n\r\n",
              400,
              "malformed_request" },
            { "two keys",
              post + fields + "Authorization: Bearer x\r\nContent-Length: 0\r\n\r\n",
              400,
              "malformed_request" },
            { "odd deadline",
              post + fields + "Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
              400,
              "malformed_request" },
            { "odd encoding", post + fields + "Transfer-Encoding: xchunked\r\n\r\n", 400, "malformed_request" },
            { "smuggled",
              post + fields
                  + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /read/1 HTTP/1.1\r\n\r\n",
              400,
              "malformed_request" },
            { "smuggled by two lengths",
              post + fields
                  + "Content-Length: 0\r\nContent-Length: 44\r\n\r\nGET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n",
              400,
              "malformed_request" },
            { "bad chunk", post + fields + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "malformed_request" },
            { "old version", "GET /read/1 HTTP/1.0\r\n" + fields + "\r\n", 400, "malformed_request" },
            { "no http", "hello\r\n\r\n", 400, "malformed_request" },
            { "long header",
              post + fields + "X: " + std::string(5000, 'x') + "\r\nContent-Length: 0\r\n\r\n",
              431,
              "headers_too_large" },
            { "long body", post + fields + "Content-Length: 2000001\r\n\r\n", 413, "body_too_large" },
            { "slow header", "POST /once/1 HTTP/1.1\r\nHost:", 408, "request_timeout" },
            { "unknown key",
              post + "Host: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
              401,
              "unauthorized" },
            { "unknown path", "GET /none/1 HTTP/1.1\r\n" + fields + "\r\n", 404, "unknown_path" },
            { "unknown host",
              "GET /read/1 HTTP/1.1\r\nHost: b.example\r\nRequest-Id: r1\r\n\r\n",
              404,
              "unknown_path" },
        };
    }
};

TEST_F(RelayInputTest, EachKindGetsItsErrorAndNothingRuns)
{
    for (const BadInput &input : inputs()) {
        const ReceivedResponse answer = sendRequest(input.text);
        EXPECT_EQ(answer.status, input.status) << input.what;
        EXPECT_NE(answer.body.find("\"name\":\"" + input.name + "\""), std::string::npos) << input.what << answer.body;
        EXPECT_TRUE(answer.bodyComplete) << input.what;
        EXPECT_TRUE(ledger_.empty()) << input.what;
    }
}

TEST_F(RelayInputTest, OtherConnectionsGoOn)
{
    const std::shared_ptr<RawConnection> good = connect();
    int number = 0;
    for (const BadInput &input : inputs()) {
        const std::shared_ptr<RawConnection> bad = connect();
        bad->send(input.text);
        const std::string id = "good-" + std::to_string(++number);
        EXPECT_EQ(sendRequestOn(good, request(id, "GET", "/read/1")).status, 200U) << input.what;
        bad->reset();
    }
}

} // namespace
} // namespace GeraniumLever
