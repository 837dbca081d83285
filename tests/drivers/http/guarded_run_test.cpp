#include "drivers/http/http.h"

#include <stdexcept>

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(GuardedRunTest, HandlersThatThrowDoNotKeepTheOthersFromRunning)
{
    boost::asio::io_context context;
    int handled = 0;
    std::vector<std::string> reported;
    for (int number = 0; number < 3; ++number) {
        boost::asio::post(context, []() { throw std::out_of_range("no such row"); });
        boost::asio::post(context, [&handled]() { ++handled; });
    }
    runGuarded(context, [&reported](const std::exception &error) { reported.emplace_back(error.what()); });
    EXPECT_EQ(handled, 3);
    EXPECT_EQ(reported, std::vector<std::string>(3, "no such row"));
}

TEST(GuardedRunTest, EndsWhenTheContextIsStopped)
{
    boost::asio::io_context context;
    const auto work = boost::asio::make_work_guard(context);
    boost::asio::post(context, [&context]() {
        context.stop();
        throw std::runtime_error("while it stops");
    });
    int reported = 0;
    runGuarded(context, [&reported](const std::exception &) { ++reported; });
    EXPECT_EQ(reported, 1);
}

} // namespace
} // namespace GeraniumLever
