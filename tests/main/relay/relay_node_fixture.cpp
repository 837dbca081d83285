#include "tests/main/relay/relay_node_fixture.h"

#include <charconv>

#include <fcntl.h>

#include "tests/drivers/http/raw_listener.h"

namespace GeraniumLever {

namespace {

std::string routeText(const std::string &name,
                      const std::string &kind,
                      const std::string &service,
                      const std::string &more)
{
    return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind
        + "\",\"service\":\"" + service + "\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":1" + more
        + "}";
}

/** Decodes a chunked body at the beginning of a text; returns the bytes used, or nullopt if it is incomplete. */
std::optional<std::size_t> decodeChunks(const std::string &text, std::string &body)
{
    std::size_t position = 0;
    while (true) {
        const std::size_t line = text.find("\r\n", position);
        if (line == std::string::npos) {
            return std::nullopt;
        }
        std::size_t size = 0;
        std::from_chars(text.data() + position, text.data() + line, size, 16);
        const std::size_t begin = line + 2;
        body += text.substr(begin, size);
        if (text.size() < begin + size + 2) {
            return std::nullopt;
        }
        position = begin + size + 2;
        if (size == 0) {
            return position;
        }
    }
}

} // namespace

ReceivedResponse takeResponse(std::string &bytes)
{
    ReceivedResponse response;
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return response;
    }
    response.head = bytes.substr(0, headEnd + 2);
    std::from_chars(response.head.data() + 9, response.head.data() + 12, response.status);
    const std::string rest = bytes.substr(headEnd + 4);
    if (response.head.find("Transfer-Encoding: chunked") != std::string::npos) {
        const std::optional<std::size_t> used = decodeChunks(rest, response.body);
        response.bodyComplete = used.has_value();
        if (response.bodyComplete) {
            bytes = rest.substr(*used);
        }
        return response;
    }
    constexpr std::string_view LengthField = "Content-Length: ";
    const std::size_t field = response.head.find(LengthField);
    std::size_t length = 0;
    if (field != std::string::npos) {
        std::from_chars(
            response.head.data() + field + LengthField.size(), response.head.data() + response.head.size(), length);
    }
    response.body = rest.substr(0, length);
    response.bodyComplete = field != std::string::npos && rest.size() >= length;
    if (response.bodyComplete) {
        bytes = rest.substr(length);
    }
    return response;
}

RelayNodeFixture::RelayNodeFixture()
    : store_(loop_.context(), "127.0.0.1:0"), log_(open("/dev/null", O_WRONLY | O_CLOEXEC))
{
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging("relay_node_test");
    }
    disableOtherLogDestinations(log_);
    settings_.node = NodeName("node");
    settings_.dataCenter = DataCenterName("dc");
    settings_.callerAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    settings_.statusAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    settings_.storeAddress = store_.address();
    settings_.applyTime = std::chrono::milliseconds(100);
    settings_.keyLifetime = std::chrono::milliseconds(1500);
    settings_.repeatSlack = 2000;
    settings_.stopLimit = std::chrono::seconds(5);
}

RelayNodeFixture::~RelayNodeFixture() = default;

void RelayNodeFixture::writeConfiguration()
{
    const std::string text = "{\"version\":" + std::to_string(version_) + ",\"unknown\":{},\"routes\":["
        + routeText("read", "idempotent", "plain", ",\"max_attempts\":2") + ","
        + routeText("once", "non_idempotent", "plain", ",\"max_attempts\":1") + ","
        + routeText("live", "stream", "engines", ",\"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":200") + ","
        + routeText("stream", "stream", "engines", ",\"max_attempts\":1,\"gap_aim_ms\":200") + extraRoutes_
        + "],\"services\":[{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_conns\":100},"
          "{\"name\":\"engines\",\"max_conns\":100,\"engine\":{\"slots\":8,\"kv_capacity\":100000}}],"
          "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":2000000,\"header_timeout_ms\":400,"
          "\"idle_timeout_ms\":2000},\"tenants\":[{\"name\":\"team-one\",\"api_keys\":["
        + keys_ + "]}]}";
    store_.put("op", "config", text);
}

ServerStandIn &RelayNodeFixture::addServer(const std::string &id,
                                           const std::string &service,
                                           std::uint32_t slots,
                                           const std::string &version)
{
    servers_.push_back(std::make_unique<ServerStandIn>(
        ServerSettings { "127.0.0.1:0", id, service, "dc", slots, version }, loop_.context(), ledger_));
    registerServer(*servers_.back(), id);
    return *servers_.back();
}

void RelayNodeFixture::registerServer(const ServerStandIn &server, const std::string &id, const std::string &state)
{
    store_.put("servers", id, server.registration(state));
}

void RelayNodeFixture::startNode()
{
    node_ = std::make_unique<RelayNode>(settings_, loop_.context(), log_, [this]() { stopped_ = true; });
    ASSERT_TRUE(succeeded(node_->start()));
    const std::uint64_t calls = store_.calls();
    ASSERT_TRUE(runUntil([&]() { return store_.calls() >= calls + 4; }));
}

std::shared_ptr<RawConnection> RelayNodeFixture::connect()
{
    const std::string &address = settings_.callerAddress;
    return RawConnection::open(loop_.context(),
                               static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
}

std::string RelayNodeFixture::request(const std::string &id,
                                      const std::string &method,
                                      const std::string &path,
                                      const std::string &body,
                                      const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
        + "\r\nAuthorization: Bearer key-one\r\nDeadline-Ms: 2500\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ReceivedResponse RelayNodeFixture::sendRequest(const std::string &text)
{
    return sendRequestOn(connect(), text);
}

ReceivedResponse RelayNodeFixture::sendRequestOn(const std::shared_ptr<RawConnection> &connection,
                                                 const std::string &text)
{
    connection->forget();
    connection->send(text);
    ReceivedResponse response;
    EXPECT_TRUE(runUntil([&]() {
        std::string bytes = connection->received();
        response = takeResponse(bytes);
        return response.bodyComplete || connection->ended();
    }));
    return response;
}

void RelayNodeFixture::runFor(std::chrono::milliseconds time)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
    runUntil([end]() { return std::chrono::steady_clock::now() >= end; });
}

} // namespace GeraniumLever
