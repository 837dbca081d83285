/** Tests what callers of relay processes get if a server sends raw bytes that are no sound response. */
#include <functional>

#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/http/raw_responses.h"
#include "tests/system/relay_process_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t UploadBytes = 8 * 1024 * 1024;
/** Resets race with the bytes before them, so that one upload does not show every order. */
constexpr int Uploads = 12;
const std::string fiveEvents =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n";

class RelayResponseProcessTest : public RelayProcessFixture
{
protected:
    /** Responds on a connection to a request with the identifier, of which at least the head has arrived. */
    using Responder = std::function<void(RawConnection &, const std::string &id)>;

    RelayResponseProcessTest()
    {
        std::string text = *store_.find("op", "config");
        const std::string limit = "\"max_body_bytes\":2000000";
        text.replace(text.find(limit), limit.size(), "\"max_body_bytes\":16000000");
        store_.put("op", "config", text);
        for (const char *id : { "p1", "p2", "e1", "e2" }) {
            store_.remove("servers", id);
        }
        for (const char *service : { "plain", "plain", "engines", "engines" }) {
            listeners_.push_back(std::make_unique<RawListener>(loop_.context()));
            store_.put("servers",
                       "raw-" + std::to_string(listeners_.size()),
                       std::string("{\"service\":\"") + service + "\",\"address\":\"" + listeners_.back()->address()
                           + "\",\"zone\":\"dc\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
                             "\"born\":1,\"seq\":1}");
        }
        addProcess();
        addProcess();
    }

    /** Adds the fields that name the request and seal the response to each head. */
    static std::string named(std::string bytes, const std::string &id)
    {
        const std::string fields = "Request-Id: " + id + "\r\nServer-Seal: seal." + id + "\r\n";
        for (std::size_t at = bytes.find("HTTP/"); at != std::string::npos; at = bytes.find("HTTP/", at + 1)) {
            const std::size_t lineEnd = bytes.find("\r\n", at);
            if (lineEnd != std::string::npos) {
                bytes.insert(lineEnd + 2, fields);
            }
        }
        return bytes;
    }

    void serve(const Responder &responder)
    {
        for (const std::unique_ptr<RawListener> &listener : listeners_) {
            for (const std::shared_ptr<RawConnection> &connection : listener->connections()) {
                if (!connection->has("\r\n\r\n") || connection->ended()) {
                    continue;
                }
                const std::string &request = connection->received();
                const std::string name = "\r\nRequest-Id: ";
                const std::size_t begin = request.find(name);
                if (begin == std::string::npos) {
                    continue;
                }
                const std::size_t id = begin + name.size();
                const std::string requestId = request.substr(id, request.find("\r\n", id) - id);
                connection->forget();
                ++requests_[requestId];
                responder(*connection, requestId);
            }
        }
    }

    /** Sends a request to one of the relays and waits for the end of the response. */
    ReceivedResponse call(const std::string &route, const std::string &body, const Responder &responder)
    {
        id_ = "r" + std::to_string(++calls_);
        const RelayProcess &process = processes_[static_cast<std::size_t>(calls_) % processes_.size()];
        const std::shared_ptr<RawConnection> caller = connectTo(process.callerAddress);
        caller->send(request(id_, "POST", "/" + route + "/" + id_, body));
        ReceivedResponse answer;
        EXPECT_TRUE(runUntil([&]() {
            serve(responder);
            std::string bytes = caller->received();
            answer = takeResponse(bytes);
            answer.bodyComplete = answer.bodyComplete || answer.status == 204 || answer.status == 304;
            return answer.bodyComplete || caller->ended();
        }));
        caller->close();
        return answer;
    }

    /** The first server that gets the request sends the bytes; any other sends a whole response. */
    ReceivedResponse callWithBrokenFirstResponse(const std::string &route, const std::string &bytes)
    {
        return call(route, "", [&](RawConnection &connection, const std::string &id) {
            connection.send(named(requests_[id] == 1 ? bytes : helloWith("200 OK"), id));
        });
    }

    void uploadWithReset(const std::string &route, const std::string &bytes)
    {
        for (int number = 0; number < Uploads; ++number) {
            const ReceivedResponse answer =
                call(route, std::string(UploadBytes, 'u'), [&](RawConnection &connection, const std::string &id) {
                    connection.pauseReading();
                    connection.send(named(bytes, id));
                    connection.reset();
                });
            EXPECT_FALSE(answer.status == 200 && answer.bodyComplete) << route << ": " << answer.body;
            EXPECT_TRUE(answer.status == 502 || !answer.bodyComplete) << route << ": " << answer.status;
        }
    }

    /** The server answers at once, and reads the upload after that. */
    void expectEarlyAnswer(const std::string &route, const std::string &bytes, bool ends, const std::string &body)
    {
        const ReceivedResponse answer =
            call(route, std::string(UploadBytes, 'u'), [&](RawConnection &connection, const std::string &id) {
                connection.send(named(bytes, id));
                if (ends) {
                    connection.shutDownSend();
                }
            });
        EXPECT_EQ(answer.status, 200U) << route;
        EXPECT_TRUE(answer.bodyComplete) << route;
        EXPECT_EQ(answer.body, body) << route;
        EXPECT_NE(answer.head.find("Server-Seal: seal." + id_ + "\r\n"), std::string::npos) << answer.head;
    }

    std::vector<std::unique_ptr<RawListener>> listeners_;
    std::map<std::string, int> requests_;
    std::string id_;
    int calls_ = 0;
};

TEST_F(RelayResponseProcessTest, InvalidResponseIsReplacedByThatOfAnotherServer)
{
    for (const RawResponse &response : invalidResponses()) {
        const ReceivedResponse answer = callWithBrokenFirstResponse("read", response.bytes);
        EXPECT_EQ(answer.status, 200U) << response;
        EXPECT_EQ(answer.body, "hello") << response;
        EXPECT_EQ(requests_[id_], 2) << response;
        EXPECT_NE(answer.head.find("Server-Seal: seal." + id_ + "\r\n"), std::string::npos) << response << answer.head;
    }
}

TEST_F(RelayResponseProcessTest, InvalidResponseToARequestThatMayRunOnceIsReplacedByAFailure)
{
    for (const RawResponse &response : invalidResponses()) {
        const ReceivedResponse answer = callWithBrokenFirstResponse("once", response.bytes);
        EXPECT_EQ(answer.status, 502U) << response;
        EXPECT_EQ(requests_[id_], 1) << response;
        EXPECT_EQ(answer.head.find("Server-Seal"), std::string::npos) << response;
    }
}

TEST_F(RelayResponseProcessTest, InvalidResponseToAStreamIsReplacedByAFailure)
{
    for (const RawResponse &response : invalidResponses()) {
        const ReceivedResponse answer = callWithBrokenFirstResponse("stream", response.bytes);
        EXPECT_EQ(answer.status, 502U) << response;
        EXPECT_EQ(answer.head.find("Server-Seal"), std::string::npos) << response;
    }
}

TEST_F(RelayResponseProcessTest, UnusualResponseIsForwarded)
{
    for (const RawResponse &response : unusualResponses()) {
        const ReceivedResponse answer = callWithBrokenFirstResponse("once", response.bytes);
        EXPECT_EQ(answer.status, response.status) << response;
        EXPECT_EQ(answer.body, response.body) << response;
        EXPECT_NE(answer.head.find("Server-Seal: seal." + id_ + "\r\n"), std::string::npos) << response << answer.head;
    }
}

TEST_F(RelayResponseProcessTest, RejectedResponseIsLoggedWithItsReason)
{
    callWithBrokenFirstResponse("once", helloWith("000 X"));
    const std::string line = "event=response_rejected";
    ASSERT_TRUE(runUntil([&]() {
        return readFile(processes_[0].outputPath).find(line) != std::string::npos
            || readFile(processes_[1].outputPath).find(line) != std::string::npos;
    }));
    const std::string output = readFile(processes_[0].outputPath) + readFile(processes_[1].outputPath);
    const std::string logged =
        output.substr(output.find(line), output.find('\n', output.find(line)) - output.find(line));
    EXPECT_NE(logged.find("request=" + id_), std::string::npos) << logged;
    EXPECT_NE(logged.find("reason=\"the status is not"), std::string::npos) << logged;
}

TEST_F(RelayResponseProcessTest, BodyWithoutALengthIsNeverCompleteIfTheUploadIsReset)
{
    for (const char *route : { "read", "once" }) {
        uploadWithReset(route, "HTTP/1.1 200 OK\r\n\r\nhel");
    }
}

TEST_F(RelayResponseProcessTest, StreamWithoutALengthIsNeverCompleteIfTheUploadIsReset)
{
    for (const char *route : { "stream", "live" }) {
        uploadWithReset(route, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + fiveEvents.substr(0, 30));
    }
}

TEST_F(RelayResponseProcessTest, EarlyAnswerThatIsWholeIsForwarded)
{
    const std::string chunked = chunkedHelloWith("Transfer-Encoding: chunked\r\n");
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhello";
    for (const char *route : { "read", "once" }) {
        expectEarlyAnswer(route, helloWith("200 OK"), false, "hello");
        expectEarlyAnswer(route, helloWith("200 OK"), true, "hello");
        expectEarlyAnswer(route, chunked, false, "hello");
        expectEarlyAnswer(route, chunked, true, "hello");
        expectEarlyAnswer(route, unframed, true, "hello");
    }
}

TEST_F(RelayResponseProcessTest, EarlyStreamThatIsWholeIsForwarded)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    const std::string length = "Content-Length: " + std::to_string(fiveEvents.size()) + "\r\n\r\n";
    for (const char *route : { "stream", "live" }) {
        expectEarlyAnswer(route, head + length + fiveEvents, false, fiveEvents);
        expectEarlyAnswer(route, head + length + fiveEvents, true, fiveEvents);
        expectEarlyAnswer(
            route, head + "Transfer-Encoding: chunked\r\n\r\n4b\r\n" + fiveEvents + "\r\n0\r\n\r\n", true, fiveEvents);
        expectEarlyAnswer(route, head + "\r\n" + fiveEvents, true, fiveEvents);
    }
}

} // namespace
} // namespace GeraniumLever
