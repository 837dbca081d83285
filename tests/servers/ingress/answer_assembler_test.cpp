#include "servers/ingress/answer_assembler.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

std::string chunk(const std::string &id, const std::string &text)
{
    return R"({"id":")" + id + R"(","choices":[{"index":0,"delta":{"content":")" + text
        + R"("},"finish_reason":null}]})";
}

const std::string lastChunk = R"({"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})";

TEST(AnswerAssemblerTest, EndMarkWithoutFinishReasonIsNotWhole)
{
    AnswerAssembler answer;
    EXPECT_EQ(answer.take(chunk("a", "one ")), AnswerAssembler::Effect::Forward);
    EXPECT_EQ(answer.take("[DONE]"), AnswerAssembler::Effect::Faulty);
}

TEST(AnswerAssemblerTest, WholeAnswerHasTextAndTokens)
{
    AnswerAssembler answer;
    answer.take(chunk("a", "one "));
    answer.take(chunk("a", "two"));
    answer.take(lastChunk);
    EXPECT_EQ(answer.take("[DONE]"), AnswerAssembler::Effect::Whole);
    EXPECT_EQ(answer.text(), "one two");
    EXPECT_EQ(answer.tokens(), 2u);
    EXPECT_NE(answer.wholeBody("m", 3).find(R"("content":"one two")"), std::string::npos);
}

TEST(AnswerAssemblerTest, ContinuationCarriesTheFirstIdentifier)
{
    AnswerAssembler answer;
    answer.take(chunk("a", "one "));
    answer.beginContinuation();
    EXPECT_EQ(answer.take(chunk("b", "two")), AnswerAssembler::Effect::Forward);
    EXPECT_NE(answer.event().find(R"("id":"a")"), std::string::npos);
    EXPECT_EQ(answer.text(), "one two");
}

TEST(AnswerAssemblerTest, OtherDataIsFaulty)
{
    AnswerAssembler answer;
    EXPECT_EQ(answer.take("{"), AnswerAssembler::Effect::Faulty);
    EXPECT_EQ(answer.take(R"({"error":{"code":200}})"), AnswerAssembler::Effect::Faulty);
}

} // namespace
} // namespace GeraniumLever
