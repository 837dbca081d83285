#include "platform/platform_header_codec.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

namespace http = boost::beast::http;

RelayCall callOf(const std::vector<std::pair<std::string, std::string>> &fields)
{
    RelayCall call;
    call.method = "POST";
    call.target = "/a/b?x=1";
    call.fields.set(http::field::host, "h.example:80");
    call.fields.set("Request-Id", "r1");
    for (const auto &[name, value] : fields) {
        call.fields.insert(name, value);
    }
    return call;
}

TEST(PlatformHeaderCodecTest, DecodesRequestAttributes)
{
    RelayCall call = callOf({ { "Deadline-Ms", "1500" },
                              { "Authorization", "Bearer k" },
                              { "Token-Counts", "1460,80" },
                              { "Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,odd,e4402b7d:250" },
                              { "Last-Event-Id", "7" },
                              { "Resumes", "r0" } });
    const PlatformHeaderCodec codec;
    ASSERT_EQ(codec.decodeRequest(call), std::nullopt);
    EXPECT_EQ(call.attributes.callerId, "r1");
    EXPECT_EQ(call.attributes.lastEventId, "7");
    EXPECT_EQ(call.attributes.resumedRequest, "r0");
    EXPECT_EQ(call.attributes.path, "/a/b");
    EXPECT_EQ(call.attributes.key, "k");
    EXPECT_EQ(call.attributes.deadline, std::chrono::milliseconds(1500));
    EXPECT_EQ(call.attributes.prompt.promptTokens, 1460U);
    EXPECT_EQ(call.attributes.prompt.outputTokens, 80U);
    ASSERT_EQ(call.attributes.prompt.parts.size(), 3U);
    EXPECT_EQ(call.attributes.prompt.parts[1].tokens, 410U);
}

TEST(PlatformHeaderCodecTest, ReplacesReservedFieldsSentByTheCaller)
{
    RelayCall call = callOf({ { "Tenant", "forged" },
                              { "Expect-Instance", "forged" },
                              { "Request-Priority", "0" },
                              { "Authorization", "Bearer k" },
                              { "X-Other", "kept" },
                              { "Length-Hint", "9" } });
    const PlatformHeaderCodec codec;
    ASSERT_EQ(codec.decodeRequest(call), std::nullopt);
    RelayDispatch dispatch;
    dispatch.upstream = UpstreamName("i-1");
    dispatch.team = TeamName("one");
    dispatch.timeLeft = std::chrono::milliseconds(700);
    dispatch.tier = 12;
    dispatch.tierCount = 13;
    dispatch.engine = true;
    const http::fields fields = codec.upstreamFields(call, dispatch, "");
    EXPECT_EQ(fields["Tenant"], "one");
    EXPECT_EQ(fields["Expect-Instance"], "i-1");
    EXPECT_EQ(fields["Deadline-Ms"], "700");
    EXPECT_EQ(fields["Request-Priority"], "9");
    EXPECT_EQ(fields["X-Other"], "kept");
    EXPECT_EQ(fields["Length-Hint"], "9");
    EXPECT_EQ(fields.count(http::field::authorization), 0U);
    EXPECT_EQ(fields.count("Last-Event-Id"), 0U);
}

TEST(PlatformHeaderCodecTest, PrioritiesPreserveTheOrderOfTiers)
{
    const PlatformHeaderCodec codec;
    RelayDispatch dispatch;
    dispatch.engine = true;
    for (const std::uint32_t count : { 1U, 6U, 10U, 24U }) {
        dispatch.tierCount = count;
        int last = -1;
        for (dispatch.tier = 0; dispatch.tier < count; ++dispatch.tier) {
            const int priority =
                std::stoi(std::string(codec.upstreamFields(callOf({}), dispatch, "")["Request-Priority"]));
            EXPECT_GE(priority, last + (count <= 10 ? 1 : 0));
            EXPECT_LE(priority, 9);
            last = priority;
        }
    }
}

TEST(PlatformHeaderCodecTest, ResponseMustNameItsRequest)
{
    const RelayCall call = [] {
        RelayCall made = callOf({});
        EXPECT_EQ(PlatformHeaderCodec().decodeRequest(made), std::nullopt);
        return made;
    }();
    const PlatformHeaderCodec codec;
    http::fields fields;
    EXPECT_FALSE(codec.matchesRequest(call, codec.decodeHead(200, fields), fields));
    EXPECT_TRUE(codec.matchesRequest(call, codec.decodeHead(421, fields), fields));
    fields.set("Request-Id", "r2");
    EXPECT_FALSE(codec.matchesRequest(call, codec.decodeHead(421, fields), fields));
    fields.set("Request-Id", "r1");
    EXPECT_TRUE(codec.matchesRequest(call, codec.decodeHead(200, fields), fields));
}

TEST(PlatformHeaderCodecTest, OnlyTheServersStatementMeansNotRun)
{
    const PlatformHeaderCodec codec;
    http::fields fields;
    EXPECT_FALSE(codec.decodeHead(503, fields).notRun);
    EXPECT_TRUE(codec.decodeHead(421, fields).notRun);
    fields.set("Not-Executed", "1");
    EXPECT_TRUE(codec.decodeHead(503, fields).notRun);
}

TEST(PlatformHeaderCodecTest, DecodesStatedLoads)
{
    const PlatformHeaderCodec codec;
    http::fields fields;
    fields.set("Server-Load", "3,1,8");
    EXPECT_EQ(codec.decodeHead(200, fields).load, (ReportedLoad { 3, 1, 8 }));
    for (const std::string text : { "3,1", "3,1,x", "", "-1,0,8" }) {
        fields.set("Server-Load", text);
        EXPECT_EQ(codec.decodeHead(200, fields).load, std::nullopt) << text;
    }
}

TEST(PlatformHeaderCodecTest, RetryAfterMayBeFractional)
{
    http::fields fields;
    PlatformHeaderCodec().addErrorFields(fields, { ResultCode::Shed, "", std::chrono::milliseconds(350) });
    EXPECT_EQ(fields[http::field::retry_after], "0.350");
}

TEST(PlatformHeaderCodecTest, LeavingIsStatedByOneValueOnly)
{
    const PlatformHeaderCodec codec;
    const auto states = [&codec](unsigned status, const std::string &text) {
        http::fields fields;
        fields.set("Server-Leaving", text);
        return codec.decodeNotice(status, fields).leaving;
    };
    for (const unsigned status : { 200U, 429U, 500U, 503U }) {
        EXPECT_TRUE(states(status, "1")) << status;
    }
    // Another server answers there.
    EXPECT_FALSE(states(421, "1"));
    for (const std::string text : { "0", "", "true", "11" }) {
        EXPECT_FALSE(states(200, text)) << text;
    }
    EXPECT_TRUE(codec.decodeNotice(200, {}).empty());
}

TEST(PlatformHeaderCodecTest, LimitIsADecimalNumberOfRequests)
{
    const PlatformHeaderCodec codec;
    const auto limitOf = [&codec](const std::vector<std::string> &texts) {
        http::fields fields;
        for (const std::string &text : texts) {
            fields.insert("Server-Limit", text);
        }
        return codec.decodeHead(200, fields).requestLimit;
    };
    EXPECT_EQ(limitOf({}), std::nullopt);
    EXPECT_EQ(limitOf({ "3" }), 3.0);
    EXPECT_EQ(limitOf({ " 2.9 " }), 2.9);
    EXPECT_EQ(limitOf({ "0" }), 0.0);
    EXPECT_EQ(limitOf({ "4", "1.5", "x" }), 1.5);
    EXPECT_GT(limitOf({ std::string(400, '9') }), 1000.0);
    for (const std::string text : { "", "-1", "+1", "1e3", "1/s", "many", "1.2.3", ".", "nan", "inf" }) {
        EXPECT_EQ(limitOf({ text }), std::nullopt) << text;
    }
}

TEST(PlatformHeaderCodecTest, PauseIsReadFromUnavailableResponsesOnly)
{
    using std::chrono::milliseconds;
    const PlatformHeaderCodec codec;
    const auto pauseOf = [&codec](unsigned status, const std::vector<std::string> &texts) {
        http::fields fields;
        for (const std::string &text : texts) {
            fields.insert(http::field::retry_after, text);
        }
        return codec.decodeNotice(status, fields).pause;
    };
    EXPECT_EQ(pauseOf(503, { "2" }), milliseconds(2000));
    EXPECT_EQ(pauseOf(503, { " 0.25 " }), milliseconds(250));
    EXPECT_EQ(pauseOf(503, { ".5" }), milliseconds(500));
    EXPECT_EQ(pauseOf(503, { "1", "3", "x" }), milliseconds(3000));
    for (const std::string text :
         { "", "0", "0.000", "-1", "+1", "1e3", "1s", "soon", "1.2.3", ".", "nan", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        EXPECT_EQ(pauseOf(503, { text }), std::nullopt) << text;
    }
    EXPECT_GT(pauseOf(503, { std::string(400, '9') }), std::chrono::hours(24));
    EXPECT_GT(pauseOf(503, { "99999999999999999999" }), std::chrono::hours(24));
    for (const unsigned status : { 200U, 421U, 429U, 500U }) {
        EXPECT_EQ(pauseOf(status, { "2" }), std::nullopt) << status;
    }
}

} // namespace
} // namespace GeraniumLever
