/** Log lines on standard output, written without ever blocking. */
#pragma once

#include <cstdint>
#include <string>

#include <glog/logging.h>

namespace GeraniumLever {

/** Takes the lines of glog. What the reader does not take at once waits in a bounded buffer; lines beyond it are
 *  dropped, and their number is written as soon as there is room again. */
class LineLog : public google::LogSink
{
public:
    /** descriptor: is made non-blocking. */
    explicit LineLog(int descriptor);
    ~LineLog() override;

    LineLog(const LineLog &) = delete;
    LineLog &operator=(const LineLog &) = delete;

    void send(google::LogSeverity severity,
              const char *fullFilename,
              const char *baseFilename,
              int line,
              const google::LogMessageTime &time,
              const char *message,
              std::size_t length) override;

    /** Writes what waits, as far as the reader takes it. */
    void flush();

    std::uint64_t droppedLines() const { return droppedLines_; }

private:
    int descriptor_;
    std::string waiting_;
    std::uint64_t droppedLines_ = 0;
    std::uint64_t unreportedDrops_ = 0;
};

/** Makes the log the only destination of glog's lines. */
void logOnlyTo(LineLog &log);

} // namespace GeraniumLever
