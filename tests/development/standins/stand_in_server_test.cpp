#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "development/standins/standins.h"

namespace GeraniumLever {
namespace {

namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Response = Http::response<Http::string_body>;

/** A connection that sends one request after the other and waits for each answer. */
class BlockingClient
{
public:
    explicit BlockingClient(const std::string &address) : socket_(context_)
    {
        socket_.connect(standInEndpoint(address));
    }

    void send(Http::verb method, const std::string &target, const std::string &body)
    {
        Http::request<Http::string_body> request(method, target, 11);
        request.set("X-Request-Id", "id-1");
        request.set("Idempotency-Key", "key-1");
        request.body() = body;
        request.prepare_payload();
        Http::write(socket_, request);
    }

    /** Nothing if the connection ended without a whole answer. */
    std::optional<Response> receive()
    {
        Response response;
        boost::system::error_code error;
        Http::read(socket_, buffer_, response, error);
        return error ? std::nullopt : std::optional<Response>(std::move(response));
    }

    std::optional<Response> exchange(Http::verb method, const std::string &target, const std::string &body = "")
    {
        send(method, target, body);
        return receive();
    }

    std::size_t available() { return socket_.available(); }

private:
    boost::asio::io_context context_;
    Tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

/** Runs a stand-in's context on a thread of its own. */
class StandInServerTest : public testing::Test
{
protected:
    ~StandInServerTest() override
    {
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    void run()
    {
        thread_ = std::thread([this]() { context_.run(); });
    }

    std::optional<Response> setFault(const std::string &address, const std::string &fault)
    {
        return BlockingClient(address).exchange(Http::verb::post, "/fault", fault);
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ { context_.get_executor() };
    std::thread thread_;
};

class EngineStandInTest : public StandInServerTest
{
protected:
    EngineStandInTest() { run(); }
    ~EngineStandInTest() override
    {
        context_.stop();
        thread_.join();
    }

    static EngineSettings settings()
    {
        EngineSettings settings;
        settings.listenAddress = "127.0.0.1:0";
        settings.tokenGap = Duration(100);
        settings.checksFence = true;
        return settings;
    }

    static std::string body(bool streamed, const std::string &delivered, const std::string &extra = "")
    {
        boost::json::object body { { "model", "m" }, { "stream", streamed } };
        body["messages"] = boost::json::array { boost::json::object { { "role", "user" }, { "content", "hello" } } };
        if (!delivered.empty()) {
            body["continue_final_message"] = true;
            body["messages"].get_array().push_back(
                boost::json::object { { "role", "assistant" }, { "content", delivered } });
        }
        std::string text = boost::json::serialize(body);
        text.pop_back();
        return text + extra + "}";
    }

    /** Text of all events of a stream; "!" is appended if it does not end as it should. */
    static std::string textOfEvents(const std::string &events)
    {
        constexpr std::string_view Mark = "data: ";
        std::string text;
        bool done = false;
        for (std::size_t at = events.find(Mark); at != std::string::npos; at = events.find(Mark, at + 1)) {
            std::string data = events.substr(at + Mark.size(), events.find('\n', at) - at - Mark.size());
            done = data == "[DONE]";
            if (done) {
                continue;
            }
            boost::json::value delta = boost::json::parse(data).at("choices").at(0).at("delta");
            if (delta.get_object().contains("content")) {
                text += delta.at("content").get_string();
            }
        }
        return done ? text : text + "!";
    }

    EngineStandIn engine_ { settings(), context_, []() {} };
    std::uint64_t hash_ = promptHash("hello\n");
    std::string whole_ = standInText(hash_, standInTokenCount(hash_, 64));
};

TEST_F(EngineStandInTest, AnswersWithTheTextOfThePrompt)
{
    BlockingClient client(engine_.address());
    std::optional<Response> plain = client.exchange(Http::verb::post, "/v1/chat/completions", body(false, ""));
    ASSERT_TRUE(plain);
    EXPECT_EQ(boost::json::parse(plain->body()).at("choices").at(0).at("message").at("content").get_string(), whole_);
    EXPECT_EQ((*plain)["X-Request-Id"], "id-1");
    std::optional<Response> streamed = client.exchange(Http::verb::post, "/v1/chat/completions", body(true, ""));
    ASSERT_TRUE(streamed);
    EXPECT_EQ(textOfEvents(streamed->body()), whole_);
    std::optional<Response> limited =
        client.exchange(Http::verb::post, "/v1/chat/completions", body(true, "", ",\"max_tokens\":3"));
    EXPECT_EQ(textOfEvents(limited->body()), standInText(hash_, 3));
}

TEST_F(EngineStandInTest, GoesOnAfterTheDeliveredText)
{
    BlockingClient client(engine_.address());
    std::string delivered = standInText(hash_, 5);
    std::optional<Response> rest = client.exchange(Http::verb::post, "/v1/chat/completions", body(true, delivered));
    ASSERT_TRUE(rest);
    EXPECT_EQ(delivered + textOfEvents(rest->body()), whole_);
    std::optional<Response> wrong = client.exchange(Http::verb::post, "/v1/chat/completions", body(true, "other"));
    EXPECT_EQ(wrong->result_int(), 400U);
}

TEST_F(EngineStandInTest, RefusesOrdersWithAnOldFence)
{
    BlockingClient client(engine_.address());
    EXPECT_EQ(client.exchange(Http::verb::post, "/orders", R"({"fence":5,"model_version":"v2"})")->result_int(), 200U);
    EXPECT_EQ(client.exchange(Http::verb::post, "/orders", R"({"fence":4,"model_version":"v1"})")->result_int(), 409U);
    boost::json::value load = boost::json::parse(client.exchange(Http::verb::get, "/load")->body());
    EXPECT_EQ(load.at("model_version"), "v2");
    EXPECT_EQ(load.at("fence"), 5);
}

TEST_F(EngineStandInTest, PublishesThePromptsBlocks)
{
    BlockingClient client(engine_.address());
    std::string prompt(600, 'p');
    client.exchange(Http::verb::post, "/v1/completions", R"({"model":"m","prompt":")" + prompt + "\"}");
    boost::json::value events = boost::json::parse(client.exchange(Http::verb::get, "/cache_events?after=1")->body());
    ASSERT_EQ(events.at("events").get_array().size(), 1U);
    EXPECT_EQ(events.at("events").at(0).at("block").to_number<std::uint64_t>(), prefixBlockHashes(prompt)[1]);
}

TEST_F(EngineStandInTest, ACrashBreaksTheStreamOnce)
{
    setFault(engine_.address(), R"({"kind":"crash_after_tokens","value":3})");
    BlockingClient broken(engine_.address());
    EXPECT_FALSE(broken.exchange(Http::verb::post, "/v1/chat/completions", body(true, "")));
    BlockingClient whole(engine_.address());
    EXPECT_TRUE(whole.exchange(Http::verb::post, "/v1/chat/completions", body(true, "")));
}

TEST_F(EngineStandInTest, CrossedAndLeavingShowInTheHeader)
{
    setFault(engine_.address(), R"({"kind":"crossed"})");
    std::optional<Response> crossed = BlockingClient(engine_.address()).exchange(Http::verb::get, "/load");
    EXPECT_NE((*crossed)["X-Request-Id"], "id-1");
    setFault(engine_.address(), R"({"kind":"leaving"})");
    std::optional<Response> leaving = BlockingClient(engine_.address()).exchange(Http::verb::get, "/load");
    EXPECT_EQ((*leaving)["Geranium-Leaving"], "true");
    EXPECT_EQ(boost::json::parse(leaving->body()).at("leaving"), true);
}

TEST_F(EngineStandInTest, ASilentConnectionStaysSilentWhileNewOnesWork)
{
    BlockingClient old(engine_.address());
    EXPECT_TRUE(old.exchange(Http::verb::get, "/load"));
    setFault(engine_.address(), R"({"kind":"silent"})");
    BlockingClient fresh(engine_.address());
    old.send(Http::verb::get, "/load", "");
    EXPECT_TRUE(fresh.exchange(Http::verb::get, "/load"));
    EXPECT_TRUE(fresh.exchange(Http::verb::get, "/load"));
    EXPECT_EQ(old.available(), 0U);
}

TEST_F(StandInServerTest, AServiceCountsExecutionsAlsoWhenTheAnswerIsLost)
{
    ServiceStandIn service({ "127.0.0.1:0", Duration(0) }, context_);
    run();
    BlockingClient first(service.address());
    EXPECT_EQ(first.exchange(Http::verb::post, "/pay", "x")->body(), serviceAnswer("key-1", "x"));
    setFault(service.address(), R"({"kind":"lose_answers","value":1})");
    EXPECT_FALSE(first.exchange(Http::verb::post, "/pay", "x"));
    EXPECT_EQ(BlockingClient(service.address()).exchange(Http::verb::get, "/counts")->body(),
              R"({"counts":{"key-1":2}})");
    setFault(service.address(), R"({"kind":"down"})");
    EXPECT_FALSE(BlockingClient(service.address()).exchange(Http::verb::post, "/pay", "x"));
    setFault(service.address(), R"({"kind":"none"})");
    EXPECT_EQ(BlockingClient(service.address()).exchange(Http::verb::get, "/counts")->body(),
              R"({"counts":{"key-1":2}})");
    context_.stop();
    thread_.join();
}

TEST_F(StandInServerTest, ThePlatformKeepsObjectsAndTheVmList)
{
    PlatformStandIn platform("127.0.0.1:0", context_);
    run();
    BlockingClient client(platform.address());
    EXPECT_EQ(client.exchange(Http::verb::get, "/geranium/a/b")->result_int(), 404U);
    EXPECT_EQ(client.exchange(Http::verb::put, "/geranium/a/b", "content")->result_int(), 200U);
    EXPECT_EQ(client.exchange(Http::verb::get, "/geranium/a/b")->body(), "content");
    EXPECT_EQ(client.exchange(Http::verb::get, "/vms")->body(), R"({"vms":[]})");
    client.exchange(Http::verb::put, "/vms", R"({"vms":[{}]})");
    EXPECT_EQ(client.exchange(Http::verb::get, "/vms")->body(), R"({"vms":[{}]})");
    setFault(platform.address(), R"({"kind":"freeze"})");
    BlockingClient frozen(platform.address());
    frozen.send(Http::verb::get, "/vms", "");
    setFault(platform.address(), R"({"kind":"none"})");
    EXPECT_EQ(frozen.receive()->body(), R"({"vms":[{}]})");
    context_.stop();
    thread_.join();
}

} // namespace
} // namespace GeraniumLever
