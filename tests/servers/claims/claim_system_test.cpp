#include <map>

#include <gtest/gtest.h>

#include "servers/claims/claim_row.h"
#include "servers/claims/claims.h"

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

/** One node whose store requests are answered immediately by a fake store. */
class ClaimSystemTest : public testing::Test
{
public:
    static ClaimRequest request(std::uint64_t number, const std::string &key, std::uint64_t digest = 42)
    {
        return { RequestId(1, number), TeamName("team"), key, digest, TimePoint(seconds(30)) };
    }

    void lookUp(const ClaimRequest &call) { claims.lookUp(call, now, commands); }

    void claim(std::uint64_t number) { claims.claim(RequestId(1, number), AttemptId(9, number), now, commands); }

    /** Executes all commands and the commands that they result in, for two batches. */
    void settle()
    {
        for (int batch = 0; batch < 2; ++batch) {
            now += std::chrono::milliseconds(5);
            claims.tick(now, commands);
            while (!commands.empty()) {
                const Commands current = std::exchange(commands, {});
                for (const Command &command : current) {
                    execute(command);
                }
            }
        }
    }

    void execute(const Command &command)
    {
        if (const TableTransaction *transaction = std::get_if<TableTransaction>(&command)) {
            batchSizes.push_back(transaction->writes.size());
            const bool done = reachable && apply(*transaction);
            const StoreStatus refused = reachable ? StoreStatus::ConditionFailed : StoreStatus::Unavailable;
            const StoreStatus status = done ? StoreStatus::Done : refused;
            claims.storeResultReceived({ transaction->operation, status, {}, {} }, now, commands);
        } else if (const TableGet *get = std::get_if<TableGet>(&command)) {
            StoreResult result { get->operation, reachable ? StoreStatus::Done : StoreStatus::Unavailable, {}, {} };
            for (const std::string &key : get->keys) {
                if (rows.count(key) > 0) {
                    result.rows.push_back(rows[key]);
                }
            }
            claims.storeResultReceived(result, now, commands);
        } else if (const ObjectPut *put = std::get_if<ObjectPut>(&command)) {
            objects[put->name] = put->content;
            claims.storeResultReceived({ put->operation, StoreStatus::Done, {}, {} }, now, commands);
        } else if (const ObjectGet *object = std::get_if<ObjectGet>(&command)) {
            claims.storeResultReceived(
                { object->operation, StoreStatus::Done, {}, objects[object->name] }, now, commands);
        } else if (const PeerSend *send = std::get_if<PeerSend>(&command)) {
            sent.push_back(*send);
        }
    }

    bool apply(const TableTransaction &transaction)
    {
        for (const TableWrite &write : transaction.writes) {
            const std::uint64_t version = rows.count(write.key) > 0 ? rows[write.key].version : 0;
            if (version != write.condition.version) {
                return false;
            }
        }
        for (const TableWrite &write : transaction.writes) {
            rows[write.key] = { write.key, write.value, rows[write.key].version + 1 };
        }
        return true;
    }

    /** Runs a call from its look-up to its recorded answer. */
    void runCall(std::uint64_t number, const std::string &key, const RecordedAnswer &answer)
    {
        lookUp(request(number, key));
        settle();
        claim(number);
        settle();
        ASSERT_TRUE(claims.startDispatch(RequestId(1, number), now, commands));
        claims.recordAnswer(RequestId(1, number), answer, now, commands);
        settle();
        claims.takeNotices();
    }

    template<typename Notice>
    Notice onlyNotice()
    {
        const std::vector<ClaimNotice> notices = claims.takeNotices();
        EXPECT_EQ(notices.size(), 1U);
        const Notice *notice = notices.empty() ? nullptr : std::get_if<Notice>(&notices.front());
        EXPECT_NE(notice, nullptr);
        return notice == nullptr ? Notice() : *notice;
    }

    TimePoint now { seconds(1) };
    OperationCounter operations;
    ClaimSystem claims { NodeName("node-1"), Incarnation(1), operations };
    Commands commands;
    std::map<std::string, TableRow> rows;
    std::map<std::string, std::string> objects;
    std::vector<std::size_t> batchSizes;
    std::vector<PeerSend> sent;
    bool reachable = true;
};

TEST_F(ClaimSystemTest, RefusesAKeyReusedWithAnotherBody)
{
    runCall(1, "key", { 200, "text/plain", "paid" });
    lookUp(request(2, "key", 43));
    settle();
    const ClaimRefused refused = onlyNotice<ClaimRefused>();
    EXPECT_EQ(refused.error.code, ResultCode::KeyReusedWithOtherBody);
    EXPECT_EQ(refused.outcome, Outcome::NotRun);
}

TEST_F(ClaimSystemTest, ReplaysALargeAnswerFromTheObjectStore)
{
    const RecordedAnswer answer { 200, "text/plain", std::string(MaxInlineBodyBytes + 1, 'x') };
    runCall(1, "key", answer);
    EXPECT_EQ(objects.size(), 1U);
    EXPECT_EQ(claims.unfinished(), 0U);
    lookUp(request(2, "key"));
    settle();
    EXPECT_EQ(onlyNotice<ClaimReplay>().answer, answer);
}

TEST_F(ClaimSystemTest, FailedConditionDoesNotFailOtherClaimsOfTheBatch)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        lookUp(request(number, "key-" + std::to_string(number)));
    }
    settle();
    claims.takeNotices();
    const std::string taken = claimRowKey(TeamName("team"), "key-2");
    const ClaimRow other { ClaimState::Unknown, 42, AttemptId(8, 1), RequestId(8, 1), NodeName("node-2"), {}, {}, {} };
    rows[taken] = { taken, formatClaimRow(other), 2 };
    for (std::uint64_t number = 1; number <= 3; ++number) {
        claim(number);
    }
    settle();
    const std::vector<ClaimNotice> notices = claims.takeNotices();
    ASSERT_EQ(notices.size(), 3U);
    EXPECT_EQ(std::get<ClaimRefused>(notices[0]).error.code, ResultCode::OutcomeUnknown);
    EXPECT_EQ(std::get<ClaimHeld>(notices[1]).request, RequestId(1, 1));
    EXPECT_EQ(std::get<ClaimHeld>(notices[2]).request, RequestId(1, 3));
    EXPECT_EQ(batchSizes, (std::vector<std::size_t> { 1, 1, 1, 3, 2 }));
}

TEST_F(ClaimSystemTest, AfterAProcessPauseAnExpiredClaimIsAbandonedNotDispatched)
{
    lookUp(request(1, "key"));
    settle();
    claim(1);
    settle();
    now += seconds(60);
    EXPECT_FALSE(claims.startDispatch(RequestId(1, 1), now, commands));
    claims.claimQueryReceived(NodeName("node-2"), { claimRowKey(TeamName("team"), "key"), AttemptId(9, 1) }, commands);
    settle();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(std::get<ClaimReply>(sent.front().message).standing, ClaimStanding::Abandoned);
    EXPECT_EQ(parseClaimRow(rows.begin()->second.value)->state, ClaimState::Released);
}

TEST_F(ClaimSystemTest, LaterRegistrationExcludesAnEarlierWaitingRequest)
{
    lookUp(request(1, "key"));
    settle();
    lookUp(request(2, "key"));
    settle();
    claims.abandon(RequestId(1, 2), now, commands);
    claims.takeNotices();
    claim(1);
    settle();
    EXPECT_EQ(onlyNotice<ClaimRefused>().error.code, ResultCode::ClaimRunning);
}

TEST_F(ClaimSystemTest, AbsentNoticeCarriesTheStartOfTheLookUp)
{
    const TimePoint asked = now;
    lookUp(request(1, "key"));
    now += seconds(20);
    settle();
    EXPECT_EQ(onlyNotice<ClaimAbsent>().asOf, asked);
}

TEST_F(ClaimSystemTest, UnreadableRowIsNotReportedAsNotRun)
{
    reachable = false;
    lookUp(request(1, "key"));
    settle();
    const ClaimRefused refused = onlyNotice<ClaimRefused>();
    EXPECT_EQ(refused.error.code, ResultCode::ClaimStoreUnavailable);
    EXPECT_EQ(refused.outcome, Outcome::Unknown);
    EXPECT_TRUE(refused.error.retryAfter.has_value());
}

TEST_F(ClaimSystemTest, ReportsTheStatusOfAKey)
{
    const RecordedAnswer answer { 200, "text/plain", "paid" };
    runCall(1, "key", answer);
    claims.requestStatus(RequestId(1, 2), TeamName("team"), "key", now, commands);
    claims.requestStatus(RequestId(1, 3), TeamName("team"), "other", now, commands);
    settle();
    const std::vector<ClaimStatus> statuses = claims.takeStatuses();
    ASSERT_EQ(statuses.size(), 2U);
    EXPECT_EQ(statuses[0], (ClaimStatus { RequestId(1, 2), Outcome::Answered, false, answer, {} }));
    EXPECT_EQ(statuses[1], (ClaimStatus { RequestId(1, 3), {}, false, {}, {} }));
}

TEST(ClaimRowTest, KeysOfDifferentCallsDiffer)
{
    EXPECT_EQ(claimRowKey(TeamName("a/b"), "c"), "claim/a%2Fb/c");
    EXPECT_NE(claimRowKey(TeamName("a/b"), "c"), claimRowKey(TeamName("a"), "b/c"));
    EXPECT_EQ(claimRowKey(TeamName("a"), "%\xff"), "claim/a/%25%FF");
}

TEST(ClaimRowTest, RoundTripsAndRejectsOtherText)
{
    const ClaimRow row { ClaimState::Answered,   UINT64_MAX,
                         AttemptId(1, 2),        RequestId(3, 4),
                         NodeName("n"),          Incarnation(UINT64_MAX),
                         { 200, "text/a", "b" }, {} };
    EXPECT_EQ(parseClaimRow(formatClaimRow(row)), row);
    EXPECT_FALSE(parseClaimRow(R"({"state":"claimed"})").has_value());
    EXPECT_FALSE(parseClaimRow("claimed").has_value());
}

TEST(ClaimRowTest, RecordedAnswerWithAnInvalidStatusIsNeverReplayed)
{
    ClaimRow row { ClaimState::Answered, 1, AttemptId(1, 2), RequestId(3, 4), NodeName("n"), Incarnation(1), {}, {} };
    for (const unsigned status : { 0U, 99U, 103U, 600U, 999U }) {
        row.answer = { status, "text/a", "b" };
        EXPECT_FALSE(parseClaimRow(formatClaimRow(row)).has_value()) << status;
    }
    row.answer.status = 200;
    std::string text = formatClaimRow(row);
    // 2^32 + 200
    text.replace(text.find(":200"), 4, ":4294967496");
    EXPECT_FALSE(parseClaimRow(text).has_value()) << text;
}

} // namespace
} // namespace GeraniumLever
