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

TEST(AnswerAssemblerTest, EndMarkerWithoutFinishReasonIsInvalid)
{
    AnswerAssembler answer;
    EXPECT_EQ(answer.addEvent(chunk("a", "one ")), AnswerAssembler::Effect::Forward);
    EXPECT_EQ(answer.addEvent("[DONE]"), AnswerAssembler::Effect::Invalid);
}

TEST(AnswerAssemblerTest, CompleteAnswerHasTextAndTokens)
{
    AnswerAssembler answer;
    answer.addEvent(chunk("a", "one "));
    answer.addEvent(chunk("a", "two"));
    answer.addEvent(lastChunk);
    EXPECT_EQ(answer.addEvent("[DONE]"), AnswerAssembler::Effect::Complete);
    EXPECT_EQ(answer.text(), "one two");
    EXPECT_EQ(answer.tokens(), 2u);
    EXPECT_NE(answer.composeBody("m", 3).find(R"("content":"one two")"), std::string::npos);
}

TEST(AnswerAssemblerTest, ContinuationCarriesTheFirstIdentifier)
{
    AnswerAssembler answer;
    answer.addEvent(chunk("a", "one "));
    answer.beginContinuation();
    EXPECT_EQ(answer.addEvent(chunk("b", "two")), AnswerAssembler::Effect::Forward);
    EXPECT_NE(answer.event().find(R"("id":"a")"), std::string::npos);
    EXPECT_EQ(answer.text(), "one two");
}

TEST(AnswerAssemblerTest, OtherDataIsInvalid)
{
    AnswerAssembler answer;
    EXPECT_EQ(answer.addEvent("{"), AnswerAssembler::Effect::Invalid);
    EXPECT_EQ(answer.addEvent(R"({"error":{"code":200}})"), AnswerAssembler::Effect::Invalid);
}

} // namespace
} // namespace GeraniumLever
