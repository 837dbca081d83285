#include <gtest/gtest.h>

#include "drivers/relay/relay.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/relay/pass_through_header_codec.h"

namespace GeraniumLever {
namespace {

/** Takes only responses that name the request for its own. */
class NamedRequestCodec : public PassThroughHeaderCodec
{
public:
    bool matchesRequest(const RelayCall &,
                        const RelayResponseHead &,
                        const boost::beast::http::fields &fields) const override
    {
        return fields["X-For"].empty();
    }
};

/** An upstream sends bytes until the connection is closed. */
class EndlessResponseTest : public testing::Test, public RelayExchangeObserver
{
protected:
    /** Far more than any response may have that is not passed on. */
    static constexpr std::size_t MaxBytes = 8 * 1024 * 1024;

    EndlessResponseTest() : listener_(loop_.context()), client_(loop_.context(), codec_, *this) { }

    void exchangeNotice(const UpstreamNotice &) override { }
    void exchangeHeldBack(const AttemptId &) override { ++heldBack_; }
    void exchangeHead(const RelayResponseHead &, const RelayResponse &) override { }
    void exchangeData(const AttemptId &, std::string_view, const std::string &) override { }
    void exchangeEnded(const AttemptId &) override { ++ended_; }
    void exchangeFailed(const RelayFailure &failure) override { failures_.push_back(failure.kind); }

    void dispatch(bool streamed = false, bool resumable = false)
    {
        RelayDispatch dispatch;
        dispatch.attempt = AttemptId(1, ++lastAttempt_);
        dispatch.address = listener_.address();
        dispatch.streamed = streamed;
        dispatch.resumable = resumable;
        const std::shared_ptr<RelayCall> call = std::make_shared<RelayCall>();
        call->method = "GET";
        call->target = "/x";
        client_.dispatch(dispatch, call, "");
    }

    /** Sends the start once and then the rest again and again; returns how many bytes were sent until the exchange
     * failed.
     */
    std::size_t sendEndlessly(const std::string &start, const std::string &rest)
    {
        const std::size_t requests = lastAttempt_;
        EXPECT_TRUE(
            loop_.runUntil([&]() { return !listener_.connections().empty() && countOf("GET /x") >= requests; }));
        const std::shared_ptr<RawConnection> connection = listener_.connections().back();
        std::string piece = rest;
        while (piece.size() < 16 * 1024) {
            piece += rest;
        }
        connection->send(start);
        std::size_t sent = start.size();
        while (failures_.empty() && !connection->ended() && sent < MaxBytes) {
            connection->send(piece);
            sent += piece.size();
            loop_.context().restart();
            while (loop_.context().poll() != 0) { }
        }
        loop_.runUntil([&]() { return !failures_.empty() || sent >= MaxBytes; });
        return sent;
    }

    std::size_t countOf(const std::string &text) const
    {
        std::size_t count = 0;
        for (const std::shared_ptr<RawConnection> &connection : listener_.connections()) {
            const std::string &received = connection->received();
            for (std::size_t at = received.find(text); at != std::string::npos; at = received.find(text, at + 1)) {
                ++count;
            }
        }
        return count;
    }

    void expectGivenUp(const std::string &start, const std::string &rest)
    {
        EXPECT_LT(sendEndlessly(start, rest), MaxBytes);
        EXPECT_EQ(failures_, std::vector<RelayFailure::Kind> { RelayFailure::Kind::InvalidResponse });
        EXPECT_EQ(ended_, 0);
        EXPECT_TRUE(loop_.runUntil([&]() { return listener_.connections().back()->ended(); }));
    }

    EventLoop loop_;
    RawListener listener_;
    NamedRequestCodec codec_;
    RelayClient client_;
    int heldBack_ = 0;
    int ended_ = 0;
    std::vector<RelayFailure::Kind> failures_;
    std::uint64_t lastAttempt_ = 0;
};

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string eventHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

TEST_F(EndlessResponseTest, StatusLineWithoutEnd)
{
    dispatch();
    expectGivenUp("HTTP/1.1 200 ", "O");
}

TEST_F(EndlessResponseTest, HeadWithoutEnd)
{
    dispatch();
    expectGivenUp("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
}

TEST_F(EndlessResponseTest, InformationalResponsesWithoutEnd)
{
    dispatch();
    expectGivenUp("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_F(EndlessResponseTest, ResponseToAnotherRequestWithoutEnd)
{
    dispatch();
    ASSERT_TRUE(loop_.runUntil([&]() { return countOf("GET /x") == 1; }));
    listener_.connections()[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(loop_.runUntil([&]() { return ended_ == 1; }));
    ended_ = 0;
    dispatch();
    expectGivenUp("HTTP/1.1 200 OK\r\nX-For: another\r\nTransfer-Encoding: chunked\r\n\r\n",
                  "400\r\n" + std::string(0x400, 'x') + "\r\n");
    EXPECT_EQ(heldBack_, 0) << "what is skipped is no part of the response";
    EXPECT_EQ(listener_.connections().size(), 1U) << "the second request used the first one's connection";
}

TEST_F(EndlessResponseTest, ChunkExtensionWithoutEnd)
{
    dispatch();
    expectGivenUp(chunkedHead + "5;name=", "v");
}

TEST_F(EndlessResponseTest, TrailerWithoutEnd)
{
    dispatch();
    expectGivenUp(chunkedHead + "5\r\nhello\r\n0\r\n", "X-Field: value\r\n");
}

TEST_F(EndlessResponseTest, EventWithoutEnd)
{
    dispatch(true, false);
    expectGivenUp(eventHead + "data: ", "x");
}

TEST_F(EndlessResponseTest, EventWithoutEndOnAResumableRoute)
{
    dispatch(true, true);
    expectGivenUp(eventHead + "data: ", "x");
}

TEST_F(EndlessResponseTest, EmptyLinesWithoutEnd)
{
    dispatch(true, false);
    expectGivenUp(eventHead, "\n");
}

TEST_F(EndlessResponseTest, EmptyLinesWithoutEndOnAResumableRoute)
{
    dispatch(true, true);
    expectGivenUp(eventHead, "\r\n");
}

} // namespace
} // namespace GeraniumLever
