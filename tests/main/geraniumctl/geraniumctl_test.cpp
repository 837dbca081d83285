#include "main/geraniumctl/geraniumctl.h"

#include <cstdio>
#include <deque>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <unistd.h>

namespace GeraniumLever {
namespace {

constexpr const char *TicketText =
    "number: 7\nauthor: ada\nbased_on: 6\nchanges: [{kind: model, name: m, version: v2}]\n";

HttpResponse answer(unsigned status, const std::string &body)
{
    return HttpResponse { status, {}, body };
}

std::string errorBody(ResultCode code, const std::string &message)
{
    return R"({"error":{"code":)" + std::to_string(static_cast<int>(code)) + R"(,"name":")"
        + std::string(resultCodeName(code)) + R"(","message":")" + message + R"(","outcome":"not_run"}})";
}

class FakeChannel : public OperatorChannel
{
public:
    HttpResult exchange(const HttpRequest &request) override
    {
        requests.push_back(request);
        if (results.empty()) {
            return HttpFailure::NotSent;
        }
        const HttpResult result = results.front();
        results.pop_front();
        return result;
    }

    std::deque<HttpResult> results;
    std::vector<HttpRequest> requests;
};

class GeraniumctlTest : public testing::Test
{
protected:
    GeraniumctlTest()
    {
        line_.nodes = { "127.0.0.1:1", "127.0.0.2:1" };
        path_ = testing::TempDir() + "geraniumctl_test." + std::to_string(getpid()) + ".yaml";
        write(TicketText);
    }

    ~GeraniumctlTest() override { std::remove(path_.c_str()); }

    void write(const std::string &text) { std::ofstream(path_) << text; }

    ExitCode run(std::vector<std::string> words)
    {
        line_.words = std::move(words);
        OperatorSession session(channel_, line_.nodes, "secret");
        CommandContext context { line_, session, out_, err_, [this](Duration duration) { waited_ += duration; } };
        return runCommand(context);
    }

    ExitCode submit() { return run({ "ticket", "submit", path_ }); }

    CommandLine line_;
    FakeChannel channel_;
    std::string path_;
    std::ostringstream out_;
    std::ostringstream err_;
    Duration waited_ {};
};

TEST_F(GeraniumctlTest, SubmitsToTheNextNodeIfOneDoesNotAnswer)
{
    channel_.results = { HttpFailure::NotSent, answer(200, R"({"number":7})") };
    EXPECT_EQ(submit(), ExitCode::Done);
    EXPECT_EQ(out_.str(), "ticket 7 accepted\n");
    ASSERT_EQ(channel_.requests.size(), 2U);
    EXPECT_EQ(channel_.requests[1].address, "127.0.0.2:1");
    EXPECT_EQ(channel_.requests[1].body, TicketText);
    EXPECT_EQ(channel_.requests[1].headers.back(), (HeaderField { "authorization", "Bearer secret" }));
}

TEST_F(GeraniumctlTest, DistinguishesRefusedUnreachableAndUnknown)
{
    channel_.results = { answer(409, errorBody(ResultCode::TicketConflict, "model m was changed by ticket 6")) };
    EXPECT_EQ(submit(), ExitCode::Refused);
    EXPECT_NE(err_.str().find("ticket_conflict: model m was changed by ticket 6"), std::string::npos);
    channel_.results = { answer(503, errorBody(ResultCode::TicketStoreUnavailable, "down")), HttpFailure::NotSent };
    EXPECT_EQ(submit(), ExitCode::Unreachable);
    channel_.results = { HttpFailure::NoAnswer, answer(503, errorBody(ResultCode::TicketStoreUnavailable, "down")) };
    EXPECT_EQ(submit(), ExitCode::Unknown);
    channel_.results = { answer(503, errorBody(ResultCode::TableAmbiguous, "open")), HttpFailure::NotSent };
    EXPECT_EQ(submit(), ExitCode::Unknown);
    channel_.results = { answer(200, "not json") };
    EXPECT_EQ(submit(), ExitCode::Unknown);
}

TEST_F(GeraniumctlTest, SendsNothingIfTheTicketHasFaults)
{
    write("number: 0\nchanges: []\n");
    EXPECT_EQ(submit(), ExitCode::Faults);
    EXPECT_TRUE(channel_.requests.empty());
    EXPECT_NE(out_.str().find("author is missing"), std::string::npos);
}

std::string ticketBody(const std::string &secondDataCenter)
{
    return R"({"number":7,"previous":6,"text":"","nodes":[
        {"node":"a0","data_center":"a","head":7,"in_force":true},
        {"node":"a9","data_center":"a","head":0,"alive":false,"in_force":false},)"
        + secondDataCenter + "]}";
}

TEST_F(GeraniumctlTest, WaitsUntilTheTicketIsInForceInEveryDataCenter)
{
    line_.wait = true;
    channel_.results = {
        answer(200, R"({"number":7})"),
        answer(404, errorBody(ResultCode::TicketNotFound, "none")),
        answer(200, ticketBody(R"({"node":"b0","data_center":"b","head":6,"alive":true,"in_force":false})")),
        answer(200, ticketBody(R"({"node":"b0","data_center":"b","head":7,"alive":true,"in_force":true})")),
    };
    EXPECT_EQ(submit(), ExitCode::Done);
    EXPECT_NE(err_.str().find("in force: a 1/1, b 0/1\nin force: a 1/1, b 1/1\n"), std::string::npos) << err_.str();
    EXPECT_EQ(waited_, std::chrono::seconds(1));
}

TEST_F(GeraniumctlTest, GivesUpWaitingForADataCenterThatIsNotReached)
{
    line_.wait = true;
    line_.waitLimit = std::chrono::seconds(2);
    channel_.results = { answer(200, R"({"number":7})") };
    for (int poll = 0; poll < 5; ++poll) {
        channel_.results.push_back(
            answer(200, ticketBody(R"({"node":"b0","data_center":"b","head":7,"alive":false,"in_force":false})")));
    }
    EXPECT_EQ(submit(), ExitCode::NotInForce);
    EXPECT_NE(err_.str().find("b 0/0 (not reached)"), std::string::npos);
}

TEST_F(GeraniumctlTest, ShowsStatusAsTableOrJson)
{
    const std::string body = ticketBody(R"({"node":"b0","data_center":"b","head":6,"in_force":false})");
    channel_.results = { answer(200, body) };
    EXPECT_EQ(run({ "ticket", "status", "7" }), ExitCode::NotInForce);
    EXPECT_NE(out_.str().find("NODE  DATA CENTER  ALIVE  HEAD  IN FORCE\na0    a            yes    7     yes\n"),
              std::string::npos)
        << out_.str();
    line_.json = true;
    out_.str("");
    channel_.results = { answer(200, body) };
    EXPECT_EQ(run({ "ticket", "status", "7" }), ExitCode::NotInForce);
    EXPECT_EQ(out_.str(), body + "\n");
    EXPECT_EQ(run({ "ticket", "status", "x" }), ExitCode::Usage);
    EXPECT_EQ(run({ "ticket", "status" }), ExitCode::Usage);
}

TEST_F(GeraniumctlTest, ComparesATicketWithTheCatalogInForce)
{
    const std::string state = R"({"node":"a0","data_center":"a","state":"ready","head":6,"digest":"1","epoch":"2",
        "caught_up":true,"in_flight":3,"upstreams":[],
        "catalog":"number: 6\nauthor: \"snapshot\"\nchanges:\n  - kind: model\n    name: \"m\"\n    version: \"v1\"\n"})";
    channel_.results = { answer(200, state) };
    EXPECT_EQ(run({ "ticket", "diff", path_ }), ExitCode::Done);
    EXPECT_EQ(out_.str(), "against ticket 6:\n~ model m version: \"v1\" -> \"v2\"\n");
    out_.str("");
    write("number: 7\nauthor: a\nchanges: [{kind: model, name: gone, absent: true}]\n");
    channel_.results = { answer(200, state) };
    EXPECT_EQ(run({ "check", path_ }), ExitCode::Faults);
    EXPECT_EQ(out_.str(), "model gone: cannot be removed, since there is none of this name\n");
    out_.str("");
    channel_.results = { answer(200, state) };
    EXPECT_EQ(run({ "state" }), ExitCode::Done);
    EXPECT_NE(out_.str().find("node a0 in a is ready\nhead 6, digest 1, epoch 2\nin flight 3\n"), std::string::npos);
}

TEST_F(GeraniumctlTest, ChecksSettingsFilesAndPrintsFaultsAsJson)
{
    line_.nodes.clear();
    line_.json = true;
    write("node: a\ncolour: red\n");
    EXPECT_EQ(run({ "check", path_ }), ExitCode::Faults);
    EXPECT_NE(out_.str().find(R"({"line":2,"message":"settings: unknown field colour"})"), std::string::npos);
    write(TicketText);
    out_.str("");
    EXPECT_EQ(run({ "check", path_ }), ExitCode::Done);
    EXPECT_EQ(out_.str(), "{\"faults\":[]}\n");
}

TEST_F(GeraniumctlTest, ShowsTheOutcomeOfACall)
{
    EXPECT_EQ(run({ "requests", "key" }), ExitCode::Usage);
    line_.team = "branch/1";
    channel_.results = { answer(200, R"({"running":false,"outcome":"answered"})") };
    EXPECT_EQ(run({ "requests", "key 1" }), ExitCode::Done);
    EXPECT_EQ(channel_.requests.back().target, "/admin/requests?team=branch%2F1&key=key%201");
    EXPECT_EQ(out_.str(), "answered\n");
    channel_.results = { answer(401, errorBody(ResultCode::Unauthorized, "no such key")) };
    EXPECT_EQ(run({ "nodes" }), ExitCode::Refused);
    channel_.results = { answer(200, "[]") };
    EXPECT_EQ(run({ "nodes" }), ExitCode::Refused);
    channel_.results.clear();
    EXPECT_EQ(run({ "nodes" }), ExitCode::Unreachable);
}

TEST(CommandLineTest, ParsesOptionsAndRejectsInvalidOnes)
{
    const char *const good[] = { "geraniumctl", "ticket",      "submit", "f",      "--node",     "127.0.0.1:1",
                                 "--node",      "127.0.0.2:1", "--wait", "--json", "--key-file", "k" };
    const std::variant<CommandLine, CommandLineHelp> parsed = parseCommandLine(std::size(good), good);
    ASSERT_TRUE(std::holds_alternative<CommandLine>(parsed));
    const CommandLine line = std::get<CommandLine>(parsed);
    EXPECT_EQ(line.words, (std::vector<std::string> { "ticket", "submit", "f" }));
    EXPECT_EQ(line.nodes.size(), 2U);
    EXPECT_TRUE(line.wait && line.json);
    const char *const unknown[] = { "geraniumctl", "state", "--colour" };
    EXPECT_TRUE(std::get<CommandLineHelp>(parseCommandLine(std::size(unknown), unknown)).isUsageError);
    const char *const badNode[] = { "geraniumctl", "state", "--node", "here" };
    EXPECT_TRUE(std::get<CommandLineHelp>(parseCommandLine(std::size(badNode), badNode)).isUsageError);
    const char *const help[] = { "geraniumctl", "--help" };
    const CommandLineHelp text = std::get<CommandLineHelp>(parseCommandLine(std::size(help), help));
    EXPECT_FALSE(text.isUsageError);
    EXPECT_NE(text.text.find("Exit codes"), std::string::npos);
}

} // namespace
} // namespace GeraniumLever
