#include "drivers/log/log.h"

#include <array>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace GeraniumLever {
namespace {

/** A pipe whose reading end the test controls. */
class Pipe
{
public:
    Pipe() { EXPECT_EQ(pipe2(ends_.data(), O_CLOEXEC), 0); }
    ~Pipe()
    {
        close(ends_[0]);
        close(ends_[1]);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writeEnd() const { return ends_[1]; }

    /** Reads everything that the pipe holds. */
    std::string read()
    {
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> chunk;
        for (ssize_t bytes = ::read(ends_[0], chunk.data(), chunk.size()); bytes > 0;
             bytes = ::read(ends_[0], chunk.data(), chunk.size())) {
            text.append(chunk.data(), static_cast<std::size_t>(bytes));
        }
        return text;
    }

private:
    std::array<int, 2> ends_ {};
};

TEST(LineLogTest, WritesOneLinePerMessage)
{
    Pipe pipe;
    NonBlockingLogSink log(pipe.writeEnd());
    disableOtherLogDestinations(log);
    LOG(INFO) << "event=one";
    LOG(WARNING) << "event=two";
    log.flush();
    const std::string text = pipe.read();
    EXPECT_EQ(text.front(), 'I');
    EXPECT_NE(text.find(" event=one\nW "), std::string::npos);
    EXPECT_TRUE(text.ends_with(" event=two\n"));
}

TEST(LineLogTest, AStalledReaderDoesNotBlockAndDroppedLinesAreCounted)
{
    Pipe pipe;
    NonBlockingLogSink log(pipe.writeEnd());
    disableOtherLogDestinations(log);
    const std::string line(1000, 'x');
    for (int count = 0; count < 2000; ++count) {
        LOG(INFO) << line;
    }
    EXPECT_GT(log.droppedLines(), 0U);
    const std::uint64_t dropped = log.droppedLines();
    pipe.read();
    log.flush();
    pipe.read();
    log.flush();
    LOG(INFO) << "event=after";
    std::string text;
    for (int count = 0; count < 10; ++count) {
        log.flush();
        text += pipe.read();
    }
    EXPECT_NE(text.find("event=log_lines_dropped lines=" + std::to_string(dropped)), std::string::npos);
    EXPECT_NE(text.find("event=after"), std::string::npos);
}

} // namespace
} // namespace GeraniumLever
