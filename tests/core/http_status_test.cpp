#include "core/core.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(HttpStatusTest, OnlyTheFiveClassesAreStatuses)
{
    for (const std::uint64_t status : { 100U, 103U, 200U, 299U, 418U, 520U, 599U }) {
        EXPECT_TRUE(isHttpStatus(status)) << status;
    }
    for (const std::uint64_t status : { std::uint64_t(0),
                                        std::uint64_t(1),
                                        std::uint64_t(99),
                                        std::uint64_t(600),
                                        std::uint64_t(999),
                                        (std::uint64_t(1) << 32) + 200 }) {
        EXPECT_FALSE(isHttpStatus(status)) << status;
    }
}

TEST(HttpStatusTest, ClassOfAStatusIsItsFirstDigitEvenIfItIsNotRegistered)
{
    EXPECT_TRUE(isInformationalStatus(199));
    EXPECT_FALSE(isInformationalStatus(200));
    EXPECT_TRUE(isSuccessfulStatus(299));
    EXPECT_FALSE(isSuccessfulStatus(300));
    EXPECT_TRUE(isServerErrorStatus(520));
    EXPECT_FALSE(isServerErrorStatus(499));
}

} // namespace
} // namespace GeraniumLever
