#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "development/standins/standins.h"

namespace GeraniumLever {
namespace {

TEST(StandInTextTest, CountsTheTokensOfADeliveredBeginning)
{
    std::uint64_t hash = promptHash("a prompt");
    EXPECT_EQ(countDeliveredTokens(hash, ""), 0U);
    EXPECT_EQ(countDeliveredTokens(hash, standInText(hash, 17)), 17U);
    EXPECT_EQ(countDeliveredTokens(hash, standInText(hash, 17) + "w"), std::nullopt);
    EXPECT_EQ(countDeliveredTokens(promptHash("another"), standInText(hash, 17)), std::nullopt);
}

TEST(StandInTextTest, AnswerLengthStaysInItsBounds)
{
    for (std::uint32_t number = 0; number < 1000; ++number) {
        std::uint32_t count = standInTokenCount(promptHash(std::to_string(number)), 20);
        EXPECT_GE(count, 8U);
        EXPECT_LE(count, 20U);
    }
}

TEST(StandInTextTest, AResumedRequestHasThePromptOfTheFirst)
{
    boost::json::object first = boost::json::parse(R"({"model":"m","stream":true,"priority":3,"max_tokens":9,
        "messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}]})")
                                    .get_object();
    boost::json::object second = first;
    second["messages"].get_array().push_back({ { "role", "assistant" }, { "content", "w1 w2 " } });
    std::optional<CompletionRequest> fresh = parseCompletionRequest(second, true);
    second["continue_final_message"] = true;
    std::optional<CompletionRequest> resumed = parseCompletionRequest(second, true);
    ASSERT_TRUE(resumed && fresh);
    EXPECT_EQ(resumed->prompt, parseCompletionRequest(first, true)->prompt);
    EXPECT_NE(resumed->prompt, fresh->prompt);
    EXPECT_EQ(resumed->delivered, "w1 w2 ");
    EXPECT_EQ(resumed->maxTokens, 9U);
    EXPECT_EQ(resumed->priority, 3U);
    EXPECT_TRUE(resumed->streamed);
}

} // namespace
} // namespace GeraniumLever
