#include "drivers/log/non_blocking_log_sink.h"

#include <array>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace GeraniumLever {

namespace {

/** Limit for lines that are buffered for a slow reader. */
constexpr std::size_t MaxBufferedBytes = 256 * 1024;
/** Higher than every glog severity, which turns off output to standard error. */
constexpr int NoSeverity = google::NUM_SEVERITIES;

} // namespace

NonBlockingLogSink::NonBlockingLogSink(int descriptor) : descriptor_(descriptor)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
    google::AddLogSink(this);
}

NonBlockingLogSink::~NonBlockingLogSink()
{
    google::RemoveLogSink(this);
    flush();
}

void NonBlockingLogSink::send(google::LogSeverity severity,
                              const char *,
                              const char *,
                              int,
                              const google::LogMessageTime &time,
                              const char *message,
                              std::size_t length)
{
    if (bufferedLines_.size() + length > MaxBufferedBytes) {
        flush();
    }
    if (bufferedLines_.size() + length > MaxBufferedBytes) {
        ++droppedLines_;
        ++unreportedDrops_;
        return;
    }
    if (unreportedDrops_ != 0) {
        bufferedLines_.append("event=log_lines_dropped lines=").append(std::to_string(unreportedDrops_)).append("\n");
        unreportedDrops_ = 0;
    }
    std::array<char, 48> stamp;
    const int stampLength = std::snprintf(stamp.data(),
                                          stamp.size(),
                                          "%c %02d:%02d:%02d.%06d ",
                                          google::GetLogSeverityName(severity)[0],
                                          time.hour(),
                                          time.min(),
                                          time.sec(),
                                          time.usec());
    bufferedLines_.append(stamp.data(), static_cast<std::size_t>(stampLength)).append(message, length).append("\n");
}

void NonBlockingLogSink::flush()
{
    while (!bufferedLines_.empty()) {
        const ssize_t written = write(descriptor_, bufferedLines_.data(), bufferedLines_.size());
        if (written <= 0) {
            return;
        }
        bufferedLines_.erase(0, static_cast<std::size_t>(written));
    }
}

void disableOtherLogDestinations(NonBlockingLogSink &)
{
    FLAGS_stderrthreshold = NoSeverity;
    FLAGS_logtostderr = false;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, "");
    }
}

} // namespace GeraniumLever
