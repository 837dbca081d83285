/** Tests what callers of a node process get if a service sends raw bytes that are no sound response. */
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <openssl/sha.h>

#include "development/standins/standins.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_listener.h"
#include "tests/drivers/http/raw_responses.h"
#include "tests/system/child_process.h"

namespace GeraniumLever {
namespace {

std::string hashOf(const std::string &key)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest);
    std::string text;
    for (const unsigned char byte : digest) {
        text += "0123456789abcdef"[byte / 16];
        text += "0123456789abcdef"[byte % 16];
    }
    return text;
}

/** One response for each reason to reject one; a scheduler avoids an upstream for a while after each. */
std::vector<RawResponse> oneResponsePerReason()
{
    const std::set<std::string> names { "Status000",
                                        "Status600",
                                        "NameWithABlank",
                                        "NameWithAControlByte",
                                        "NoHttp",
                                        "LineBeginsWithABlank",
                                        "OtherCodingBeforeChunks",
                                        "SwitchOfProtocols",
                                        "BodyOfStatus204" };
    std::vector<RawResponse> responses;
    for (const RawResponse &response : invalidResponses()) {
        if (names.contains(response.name)) {
            responses.push_back(response);
        }
    }
    return responses;
}

/** A node process, a stand-in of the platform, and services that send raw bytes: one for each invalid response, with
 * two upstreams, and one for the others. */
class NodeResponseTest : public testing::Test
{
protected:
    NodeResponseTest()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "geranium-node-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        std::ofstream(folder_ + "/settings")
            << "node: a1\ndata_center: a\ncaller_address: " << caller_ << "\noperator_address: " << operator_
            << "\nmesh_address: " << mesh_ << "\nmesh_key: mesh-secret\ntable_address: " << platform_.address()
            << "\nobject_address: " << platform_.address() << "\nvm_list_address: " << platform_.address()
            << "\noperator_key_hashes: [" << hashOf("operator-key") << "]\nseed: 1\n";
        process_ = std::make_unique<ChildProcess>(
            std::vector<std::string> { GERANIUM_LEVER, "--settings", folder_ + "/settings" }, folder_ + "/output");
    }

    ~NodeResponseTest() override
    {
        process_.reset();
        if (HasFailure()) {
            std::cout << "settings and output of the process: " << folder_ << '\n';
            return;
        }
        std::filesystem::remove_all(folder_);
    }

    void SetUp() override
    {
        std::string ticket = "number: 1\nauthor: test\nchanges:\n"
                             "  - {kind: class, name: live, tier: 0, default_deadline_ms: 3000}\n"
                             "  - {kind: class, name: debit, tier: 1, idempotent: false, "
                             "default_deadline_ms: 3000}\n"
                             "  - {kind: team, name: t, key_hashes: ["
            + hashOf("caller-key") + "]}\n" + serviceText("Unusual");
        for (const RawResponse &response : oneResponsePerReason()) {
            ticket += serviceText(response.name);
        }
        ASSERT_TRUE(waitFor([&]() {
            return exchange(operator_, "POST /admin/tickets", "Authorization: Bearer operator-key\r\n", ticket)
                       .find("HTTP/1.1 200 ")
                == 0;
        }));
        ASSERT_TRUE(waitFor([&]() { return exchange(operator_, "GET /readyz", "", "").find("HTTP/1.1 200 ") == 0; }));
    }

    /** Adds two upstreams of a service; returns the part of a ticket that names them. */
    std::string serviceText(const std::string &service)
    {
        std::string text = "  - {kind: pool, name: " + service + ", service: " + service + "}\n";
        for (const char *number : { "-1", "-2" }) {
            upstreams_.push_back(std::make_unique<RawListener>(loop_.context()));
            text += "  - {kind: upstream, name: " + service + number + ", pool: " + service
                + ", data_center: a, address: \"" + upstreams_.back()->address() + "\", seats: 16}\n";
        }
        return text;
    }

    /** Repeats an exchange until it succeeds. */
    bool waitFor(const std::function<bool()> &succeeds)
    {
        for (int attempt = 0; attempt < 200; ++attempt) {
            if (succeeds()) {
                return true;
            }
            const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
            loop_.runUntil([end]() { return std::chrono::steady_clock::now() >= end; });
        }
        return false;
    }

    /** Returns what the peer sends until it closes the connection; empty if nothing listens. */
    std::string exchange(const std::string &address,
                         const std::string &methodAndTarget,
                         const std::string &fields,
                         const std::string &body)
    {
        std::shared_ptr<RawConnection> connection;
        try {
            connection = RawConnection::open(
                loop_.context(), static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        } catch (const std::exception &) {
            return {};
        }
        connection->send(methodAndTarget + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + fields
                         + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        EXPECT_TRUE(loop_.runUntil([&]() {
            serve();
            return connection->ended();
        }));
        return connection->received();
    }

    /** The first request to a path gets the raw bytes, each further one a whole response. */
    void serve()
    {
        for (const std::unique_ptr<RawListener> &upstream : upstreams_) {
            for (const std::shared_ptr<RawConnection> &connection : upstream->connections()) {
                const std::string &request = connection->received();
                if (request.starts_with("POST ") && connection->has("\r\n\r\n")) {
                    const std::string path = request.substr(0, request.find(" HTTP/"));
                    connection->forget();
                    connection->send(++requests_[path] == 1 ? bytes_ : helloWith("200 OK"));
                }
            }
        }
    }

    std::string call(const std::string &requestClass, const std::string &service, const RawResponse &response)
    {
        bytes_ = response.bytes;
        path_ = "POST /" + response.name;
        return exchange(caller_,
                        "POST /services/" + service + "/" + response.name,
                        "Authorization: Bearer caller-key\r\nGeranium-Class: " + requestClass
                            + "\r\nIdempotency-Key: " + requestClass + response.name + "\r\n",
                        "{}");
    }

    EventLoop loop_;
    PlatformStandIn platform_ { "127.0.0.1:0", loop_.context() };
    std::vector<std::unique_ptr<RawListener>> upstreams_;
    std::string caller_ = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    std::string operator_ = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    std::string mesh_ = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    std::string folder_;
    std::unique_ptr<ChildProcess> process_;
    std::string bytes_;
    std::string path_;
    std::map<std::string, int> requests_;
};

TEST_F(NodeResponseTest, InvalidResponseToACallThatMayBeRepeatedIsReplacedByThatOfAnotherUpstream)
{
    for (const RawResponse &response : oneResponsePerReason()) {
        const std::string answer = call("live", response.name, response);
        EXPECT_EQ(answer.find("HTTP/1.1 200 "), 0U) << response << ": " << answer;
        EXPECT_TRUE(answer.ends_with("\r\n\r\nhello")) << response << ": " << answer;
        EXPECT_EQ(requests_[path_], 2) << response;
    }
}

TEST_F(NodeResponseTest, InvalidResponseLeavesTheOutcomeOfACallThatRunsOnceUnknown)
{
    for (const RawResponse &response : oneResponsePerReason()) {
        const std::string answer = call("debit", response.name, response);
        EXPECT_NE(answer.find("\r\nGeranium-Outcome: unknown\r\n"), std::string::npos) << response << ": " << answer;
        EXPECT_EQ(answer.find("hello"), std::string::npos) << response << ": " << answer;
        EXPECT_EQ(requests_[path_], 1) << response;
    }
}

TEST_F(NodeResponseTest, UnusualResponseIsTheAnswer)
{
    for (const RawResponse &response : unusualResponses()) {
        const std::string answer = call("debit", "Unusual", response);
        EXPECT_EQ(answer.find("HTTP/1.1 " + std::to_string(response.status) + " "), 0U) << response << ": " << answer;
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + response.body)) << response << ": " << answer;
    }
}

} // namespace
} // namespace GeraniumLever
