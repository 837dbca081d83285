#include <gtest/gtest.h>

#include "development/standins/standins.h"
#include "drivers/http/http.h"
#include "drivers/store/store.h"

namespace GeraniumLever {
namespace {

using Action = TableWrite::Action;
using Kind = TableCondition::Kind;

/** A store client and a simulated platform on one event loop. */
class StoreClientTest : public testing::Test
{
public:
    StoreSettings settings(Duration timeout) const
    {
        StoreSettings settings;
        settings.tableAddress = platform.address();
        settings.objectAddress = platform.address();
        settings.vmListAddress = platform.address();
        settings.timeout = timeout;
        return settings;
    }

    void runUntil(const std::function<bool()> &done)
    {
        context.restart();
        while (!done() && context.run_one_for(std::chrono::seconds(30)) > 0) { }
    }

    template<typename Command>
    StoreResult run(StoreClient &storeClient, const Command &command)
    {
        events.clear();
        storeClient.run(command);
        runUntil([this] { return !events.empty(); });
        return events.empty() ? StoreResult() : std::get<StoreResult>(events.front());
    }

    template<typename Command>
    StoreResult run(const Command &command)
    {
        return run(client, command);
    }

    static TableTransaction putTransaction(const std::string &key,
                                           const std::string &value,
                                           const TableCondition &condition)
    {
        return { OperationId(1), { { Action::Put, key, value, condition } } };
    }

    StoreStatus put(const std::string &key, const std::string &value, const TableCondition &condition)
    {
        return run(putTransaction(key, value, condition)).status;
    }

    void setFault(const std::string &fault)
    {
        HttpClient control(context);
        bool answered = false;
        control.send({ platform.address(), "POST", "/fault", {}, fault, std::chrono::seconds(5) },
                     [&answered](const HttpResult & /*result*/) { answered = true; });
        runUntil([&answered] { return answered; });
    }

    boost::asio::io_context context;
    PlatformStandIn platform { "127.0.0.1:0", context };
    std::vector<Event> events;
    StoreClient::Sink sink = [this](Event event) { events.push_back(std::move(event)); };
    StoreClient client { settings(std::chrono::seconds(20)), context, sink };
};

TEST_F(StoreClientTest, AppliesConditionalWritesAndReadsRowsBack)
{
    EXPECT_EQ(put("ticket/1", "a", { Kind::Absent, 0 }), StoreStatus::Done);
    EXPECT_EQ(put("ticket/1", "b", { Kind::Absent, 0 }), StoreStatus::ConditionFailed);
    EXPECT_EQ(put("ticket/1", "b", { Kind::VersionIs, 1 }), StoreStatus::Done);
    EXPECT_EQ(put("head", "c", {}), StoreStatus::Done);
    const StoreResult result = run(TableGet { OperationId(2), { "ticket/1", "head", "none" } });
    const std::vector<TableRow> expected = { { "head", "c", 1 }, { "ticket/1", "b", 2 } };
    EXPECT_EQ(result, (StoreResult { OperationId(2), StoreStatus::Done, expected, {} }));
}

TEST_F(StoreClientTest, ScansAfterAKeyInOrder)
{
    for (const char *key : { "t/3", "t/1", "t/2", "u/1" }) {
        put(key, "x", {});
    }
    const StoreResult result = run(TableScan { OperationId(3), "t/", "t/1", 10 });
    EXPECT_EQ(result.rows, (std::vector<TableRow> { { "t/2", "x", 1 }, { "t/3", "x", 1 } }));
    EXPECT_EQ(run(TableScan { OperationId(4), "t/", "", 1 }).rows.front().key, "t/1");
}

TEST_F(StoreClientTest, StoresObjects)
{
    EXPECT_EQ(run(ObjectPut { OperationId(1), "answer-1", "\xff\n" }).status, StoreStatus::Done);
    EXPECT_EQ(run(ObjectGet { OperationId(2), "answer-1" }).content, "\xff\n");
    const StoreResult absent = run(ObjectGet { OperationId(3), "answer-2" });
    EXPECT_EQ(absent, (StoreResult { OperationId(3), StoreStatus::Done, {}, {} }));
}

TEST_F(StoreClientTest, AWriteWithALostResponseIsAmbiguousAndApplied)
{
    setFault(R"({"kind":"lose_answers","value":1})");
    EXPECT_EQ(put("t/1", "x", { Kind::Absent, 0 }), StoreStatus::Ambiguous);
    EXPECT_EQ(run(TableGet { OperationId(2), { "t/1" } }).rows.size(), 1U);
}

TEST_F(StoreClientTest, AnOverloadedServiceIsUnavailableAndAFrozenOneAmbiguous)
{
    setFault(R"({"kind":"overload","value":0})");
    EXPECT_EQ(put("t/1", "x", {}), StoreStatus::Unavailable);
    setFault(R"({"kind":"freeze","value":0})");
    StoreClient shortTimeoutClient(settings(std::chrono::milliseconds(200)), context, sink);
    EXPECT_EQ(run(shortTimeoutClient, putTransaction("t/1", "x", {})).status, StoreStatus::Ambiguous);
    EXPECT_EQ(run(shortTimeoutClient, TableGet { OperationId(2), { "t/1" } }).status, StoreStatus::Unavailable);
}

TEST_F(StoreClientTest, AServiceThatRefusesConnectionsIsUnavailable)
{
    StoreSettings unreachable = settings(std::chrono::seconds(20));
    unreachable.tableAddress = "127.0.0.1:1";
    StoreClient other(unreachable, context, sink);
    EXPECT_EQ(run(other, putTransaction("t/1", "x", {})).status, StoreStatus::Unavailable);
}

TEST_F(StoreClientTest, ReadsTheVmList)
{
    client.start();
    runUntil([this] { return !events.empty(); });
    EXPECT_EQ(std::get<VmList>(events.front()), VmList());
}

} // namespace
} // namespace GeraniumLever
