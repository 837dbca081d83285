/** Non-blocking log output to a file descriptor. */
#pragma once

#include <cstdint>
#include <string>

#include <glog/logging.h>

namespace GeraniumLever {

/** Log sink for glog. Output that the descriptor does not accept at once is held in a bounded buffer. When the buffer
 *  is full, lines are dropped; their number is logged as soon as there is room again. */
class NonBlockingLogSink : public google::LogSink
{
public:
    /** Makes the descriptor non-blocking. */
    explicit NonBlockingLogSink(int descriptor);
    ~NonBlockingLogSink() override;

    NonBlockingLogSink(const NonBlockingLogSink &) = delete;
    NonBlockingLogSink &operator=(const NonBlockingLogSink &) = delete;

    void send(google::LogSeverity severity,
              const char *fullFilename,
              const char *baseFilename,
              int line,
              const google::LogMessageTime &time,
              const char *message,
              std::size_t length) override;

    /** Writes buffered lines, as far as the descriptor accepts them. */
    void flush();

    std::uint64_t droppedLines() const { return droppedLines_; }

private:
    int descriptor_;
    std::string bufferedLines_;
    std::uint64_t droppedLines_ = 0;
    std::uint64_t unreportedDrops_ = 0;
};

/** Turns off all other destinations of glog's output. */
void disableOtherLogDestinations(NonBlockingLogSink &log);

} // namespace GeraniumLever
