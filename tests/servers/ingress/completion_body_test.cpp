#include "servers/ingress/completion_body.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(CompletionBodyTest, RejectsInvalidBodies)
{
    EXPECT_FALSE(succeeded(CompletionBody::parse("[]", true)));
    EXPECT_FALSE(succeeded(CompletionBody::parse(R"({"messages":[]})", true)));
    EXPECT_FALSE(succeeded(CompletionBody::parse(R"({"model":"m","messages":[]})", true)));
    EXPECT_FALSE(succeeded(CompletionBody::parse(R"({"model":"m","prompt":"x","n":2})", false)));
    EXPECT_FALSE(succeeded(CompletionBody::parse(R"({"model":"m","prompt":"x","max_tokens":0})", false)));
}

TEST(CompletionBodyTest, ContinuationRequestsOnlyTheRemainingTokens)
{
    const Result<CompletionBody> parsed =
        CompletionBody::parse(R"({"model":"m","max_tokens":10,"messages":[{"role":"user","content":"hi"}]})", true);
    ASSERT_TRUE(succeeded(parsed));
    const std::string body = valueOf(parsed).engineBody(2, "one two ", 2);
    EXPECT_NE(body.find(R"("max_tokens":8)"), std::string::npos);
    EXPECT_NE(body.find(R"({"role":"assistant","content":"one two "})"), std::string::npos);
    EXPECT_NE(body.find(R"("continue_final_message":true)"), std::string::npos);
    EXPECT_NE(body.find(R"("priority":2)"), std::string::npos);
}

TEST(CompletionBodyTest, ContinuationOfAContinuationExtendsItsLastMessage)
{
    const std::string text = R"({"model":"m","continue_final_message":true,"messages":[)"
                             R"({"role":"user","content":"hi"},{"role":"assistant","content":"one "}]})";
    const Result<CompletionBody> parsed = CompletionBody::parse(text, true);
    ASSERT_TRUE(succeeded(parsed));
    const std::string body = valueOf(parsed).engineBody(0, "two ", 1);
    EXPECT_NE(body.find(R"({"role":"assistant","content":"one two "})"), std::string::npos);
}

} // namespace
} // namespace GeraniumLever
