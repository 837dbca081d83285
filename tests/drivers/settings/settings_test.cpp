#include "drivers/settings/settings.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

constexpr const char *RequiredFields = R"(node: entry-1
data_center: north
caller_address: 127.0.0.1:8080
operator_address: 127.0.0.1:8081
mesh_address: 127.0.0.1:8082
mesh_key: secret
table_address: 127.0.1.1:9000
object_address: 127.0.1.1:9001
vm_list_address: 127.0.1.1:9002
)";

TEST(SettingsTest, ReadsEveryField)
{
    const SettingsResult result = parseSettings(std::string(RequiredFields) + R"(operator_key_hashes:
  - 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
peers:
  - { node: entry-2, data_center: south, mesh_address: "127.0.0.2:8082", caller_address: "127.0.0.2:8080" }
max_header_bytes: 100
max_body_bytes: 200
max_connections: 300
request_timeout_ms: 400
store_timeout_ms: 500
stop_limit_s: 600
log_folder: /var/log/geraniumlever
seed: 7
)");
    ASSERT_TRUE(std::holds_alternative<Settings>(result));
    const Settings settings = std::get<Settings>(result);
    EXPECT_EQ(settings.node, NodeName("entry-1"));
    EXPECT_EQ(settings.vmListAddress, "127.0.1.1:9002");
    EXPECT_EQ(settings.operatorKeyHashes.size(), 1U);
    const PeerSettings peer { NodeName("entry-2"), DataCenterName("south"), "127.0.0.2:8082", "127.0.0.2:8080" };
    EXPECT_EQ(settings.peers, std::vector<PeerSettings> { peer });
    EXPECT_EQ(settings.maxHeaderBytes, 100U);
    EXPECT_EQ(settings.maxConnections, 300U);
    EXPECT_EQ(settings.requestTimeout, std::chrono::milliseconds(400));
    EXPECT_EQ(settings.storeTimeout, std::chrono::milliseconds(500));
    EXPECT_EQ(settings.stopLimit, std::chrono::seconds(600));
    EXPECT_EQ(settings.seed, 7U);
}

TEST(SettingsTest, ListsEveryFaultInLineOrder)
{
    const SettingsResult result = parseSettings("node: \"a b\"\n"
                                                "data_center: north\n"
                                                "caller_address: 127.0.0.1\n"
                                                "operator_address: 127.0.0.300:1\n"
                                                "mesh_address: 127.0.0.1:0\n"
                                                "max_body_bytes: -1\n"
                                                "colour: red\n"
                                                "peers: [{node: x}]\n");
    ASSERT_TRUE(std::holds_alternative<std::vector<Fault>>(result));
    const std::string text = formatFaults(std::get<std::vector<Fault>>(result));
    for (const char *expected : { "line 1: settings: node must be",
                                  "line 3: settings: caller_address must have the form",
                                  "line 4: settings: operator_address must have the form",
                                  "line 5: settings: mesh_address must have the form",
                                  "line 6: settings: max_body_bytes must be a whole number",
                                  "line 7: settings: unknown field colour",
                                  "line 8: peer 1: mesh_address is missing",
                                  "settings: mesh_key is missing",
                                  "settings: table_address is missing" }) {
        EXPECT_NE(text.find(expected), std::string::npos) << expected << " in\n" << text;
    }
}

TEST(SettingsTest, RejectsTextThatIsNotAMapping)
{
    EXPECT_TRUE(std::holds_alternative<std::vector<Fault>>(parseSettings("")));
    EXPECT_TRUE(std::holds_alternative<std::vector<Fault>>(parseSettings("- a\n")));
    EXPECT_TRUE(std::holds_alternative<std::vector<Fault>>(parseSettings("a: [")));
    EXPECT_TRUE(
        std::holds_alternative<std::vector<Fault>>(parseSettings(std::string(RequiredFields) + "seed: 1\nseed: 2\n")));
    EXPECT_TRUE(std::holds_alternative<std::vector<Fault>>(readSettings("/nonexistent/settings.yaml")));
}

} // namespace
} // namespace GeraniumLever
