#include <csignal>
#include <iostream>

#include <gtest/gtest.h>

#include "development/standins/standins.h"
#include "tests/system/stream_load.h"
#include "tests/system/system_site.h"

namespace GeraniumLever {
namespace {

constexpr int CallsPerCaller = 5;
constexpr int CallersPerNode = 3;
/** Time until the load is in progress; the results do not depend on it. */
constexpr std::chrono::milliseconds LoadRampUp { 700 };
constexpr std::chrono::seconds ExitLimit { 60 };

class SystemTest : public testing::Test
{
protected:
    void SetUp() override { ASSERT_TRUE(site_.start()); }

    void TearDown() override
    {
        if (HasFailure()) {
            std::cerr << site_.logTails();
        }
    }

    /** Adds callers at each of the nodes. */
    void addCallers(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            for (int caller = 0; caller < CallersPerNode; ++caller) {
                std::string address = site_.node(name).callerAddress;
                load_.add(name + "-" + std::to_string(caller), CallsPerCaller, [address]() { return address; });
            }
            expected_ += CallersPerNode * CallsPerCaller;
        }
    }

    void expectAllComplete()
    {
        load_.join();
        EXPECT_EQ(load_.completedCalls(), expected_);
        for (const std::string &failure : load_.failures()) {
            ADD_FAILURE() << failure;
        }
    }

    std::optional<HttpReply> pay(const std::string &node, const std::string &key)
    {
        HttpCall call {
            "POST",
            "/services/desk/pay",
            { { "Authorization", "Bearer caller-key" }, { "Geranium-Class", "debit" }, { "Idempotency-Key", key } },
            "{\"amount\":5}"
        };
        return httpExchange(site_.node(node).callerAddress, call);
    }

    /** False if the condition does not hold in time. */
    template<typename Condition>
    bool waitUntil(Condition condition)
    {
        std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + ExitLimit;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    bool waitForExit(ChildProcess &process)
    {
        return waitUntil([&process]() { return process.exitCode().has_value(); });
    }

    /** Waits until the engine runs the version and is ready. */
    bool waitForVersion(const std::string &address, const std::string &version)
    {
        return waitUntil([&address, &version]() {
            std::optional<HttpReply> load = httpExchange(address, { "GET", "/load", {}, "" });
            return load && load->body.find("\"model_version\":\"" + version + "\"") != std::string::npos
                && load->body.find("\"ready\":true") != std::string::npos;
        });
    }

    static std::vector<std::string> without(std::vector<std::string> names, const std::string &name)
    {
        std::erase(names, name);
        return names;
    }

    /** Nodes of data centre a except its scheduler, whose name is returned in `scheduler`. */
    std::vector<std::string> nonSchedulerNodes(std::string &scheduler)
    {
        std::vector<std::string> names { "a1", "a2", "a3" };
        EXPECT_TRUE(callStream(site_.node("a1").callerAddress, "who schedules"));
        scheduler = site_.schedulerSeenBy(site_.node("a1"));
        EXPECT_TRUE(site_.nodes.contains(scheduler)) << scheduler;
        return without(names, scheduler);
    }

    SystemSite site_;
    StreamLoad load_;
    int expected_ = 0;
};

TEST_F(SystemTest, EveryNodeAnswersAndPaymentIsExecutedOnce)
{
    for (const auto &[name, node] : site_.nodes) {
        std::string failure;
        EXPECT_TRUE(callStream(node.callerAddress, "prompt at " + name, &failure)) << failure;
        std::optional<HttpReply> paid = pay(name, "key-1");
        ASSERT_TRUE(paid);
        EXPECT_EQ(paid->body, serviceAnswer("key-1", "{\"amount\":5}"));
        EXPECT_EQ(paid->outcome, "answered");
    }
    EXPECT_EQ(site_.executions()["key-1"], 1U);
}

TEST_F(SystemTest, TicketSubmittedWithGeraniumctlComesIntoForceOnAllNodes)
{
    std::string key = site_.writeFile("operator-key", "operator-key\n");
    std::string ticket = site_.writeFile(
        "ticket.yaml", "number: 2\nauthor: operator\nchanges:\n  - {kind: class, name: bulk, tier: 3}\n");
    std::string node = site_.node("c2").operatorAddress;
    ChildProcess submit({ GERANIUM_CTL, "--node", node, "--key-file", key, "--wait", "ticket", "submit", ticket },
                        site_.folder() + "/submit");
    ASSERT_TRUE(waitForExit(submit));
    EXPECT_EQ(submit.exitCode(), 0);
    EXPECT_TRUE(site_.waitForHead(2));
    ChildProcess status({ GERANIUM_CTL, "--node", node, "--key-file", key, "ticket", "status", "2" },
                        site_.folder() + "/status");
    ASSERT_TRUE(waitForExit(status));
    EXPECT_EQ(status.exitCode(), 0);
}

TEST_F(SystemTest, KilledProcessesDisconnectOnlyCallersOfKilledNodes)
{
    std::string scheduler;
    addCallers(nonSchedulerNodes(scheduler));
    addCallers({ "b2", "b3", "c1", "c2", "c3" });
    StreamLoad atKilledNode;
    std::string killedAddress = site_.node("b1").callerAddress;
    atKilledNode.add("b1", 1, [killedAddress]() { return killedAddress; });
    std::this_thread::sleep_for(LoadRampUp);
    site_.node(scheduler).process->kill();
    site_.node("b1").process->kill();
    site_.upstream("engine-c1").process->kill();
    expectAllComplete();
    atKilledNode.join();
}

TEST_F(SystemTest, PlannedStopsInterruptNoStream)
{
    addCallers({ "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3" });
    // These callers use the node only while it is ready, as a load balancer does.
    std::string stopping = site_.node("a1").operatorAddress;
    std::string address = site_.node("a1").callerAddress;
    std::string other = site_.node("b1").callerAddress;
    load_.add("a1", CallsPerCaller, [stopping, address, other]() {
        std::optional<HttpReply> ready = httpExchange(stopping, { "GET", "/readyz", {}, "" });
        return ready && ready->status == 200 ? address : other;
    });
    expected_ += CallsPerCaller;
    std::this_thread::sleep_for(LoadRampUp);
    site_.node("a1").process->signal(SIGTERM);
    site_.upstream("engine-b1").process->signal(SIGTERM);
    std::this_thread::sleep_for(LoadRampUp);
    site_.node("a1").process->signal(SIGTERM);
    expectAllComplete();
    ASSERT_TRUE(waitForExit(*site_.node("a1").process));
    EXPECT_EQ(site_.node("a1").process->exitCode(), 0);
    ASSERT_TRUE(waitForExit(*site_.upstream("engine-b1").process));
    EXPECT_EQ(site_.upstream("engine-b1").process->exitCode(), 0);
}

TEST_F(SystemTest, RollingUpgradeInterruptsNoStreamAndReachesEveryEngine)
{
    addCallers({ "a1", "a2", "b1", "b2", "c1", "c2" });
    std::this_thread::sleep_for(LoadRampUp);
    std::string ticket = "number: 2\nauthor: operator\nchanges:\n  - {kind: model, name: large, version: \"v2\"}\n";
    std::optional<HttpReply> accepted = site_.sendOperatorRequest(site_.node("a1"), "POST", "/admin/tickets", ticket);
    ASSERT_TRUE(accepted);
    ASSERT_EQ(accepted->status, 200U) << accepted->body;
    expectAllComplete();
    for (const auto &[name, upstream] : site_.upstreams) {
        if (name.starts_with("engine")) {
            EXPECT_TRUE(waitForVersion(upstream.address, "v2")) << name;
        }
    }
}

TEST_F(SystemTest, FrozenSchedulerDelaysButInterruptsNoStream)
{
    std::string scheduler;
    addCallers(nonSchedulerNodes(scheduler));
    addCallers({ "b1", "c1" });
    std::this_thread::sleep_for(LoadRampUp);
    site_.node(scheduler).process->signal(SIGSTOP);
    expectAllComplete();
    site_.node(scheduler).process->signal(SIGCONT);
    EXPECT_TRUE(site_.waitForHead(1));
    std::string failure;
    EXPECT_TRUE(callStream(site_.node(scheduler).callerAddress, "after the freeze", &failure)) << failure;
}

TEST_F(SystemTest, WithoutPlatformStreamsContinueAndPaymentsAreNotStarted)
{
    site_.setFault(site_.platformAddress, "down");
    addCallers({ "a1", "b1", "c1" });
    std::optional<HttpReply> refused = pay("a1", "key-2");
    ASSERT_TRUE(refused);
    EXPECT_NE(refused->status, 200U);
    EXPECT_NE(refused->outcome, "answered");
    EXPECT_EQ(site_.executions()["key-2"], 0U);
    expectAllComplete();
    site_.setFault(site_.platformAddress, "none");
    std::optional<HttpReply> paid = pay("b2", "key-2");
    ASSERT_TRUE(paid);
    EXPECT_EQ(paid->status, 200U) << paid->body;
    EXPECT_EQ(site_.executions()["key-2"], 1U);
}

} // namespace
} // namespace GeraniumLever
