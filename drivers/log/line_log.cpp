#include "drivers/log/line_log.h"

#include <array>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace GeraniumLever {

namespace {

/** Lines that may wait for a slow reader. */
constexpr std::size_t MaxWaitingBytes = 256 * 1024;
/** Above the highest severity of glog. */
constexpr int NoSeverity = google::NUM_SEVERITIES;

} // namespace

LineLog::LineLog(int descriptor) : descriptor_(descriptor)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
    google::AddLogSink(this);
}

LineLog::~LineLog()
{
    google::RemoveLogSink(this);
    flush();
}

void LineLog::send(google::LogSeverity severity,
                   const char *,
                   const char *,
                   int,
                   const google::LogMessageTime &time,
                   const char *message,
                   std::size_t length)
{
    if (waiting_.size() + length > MaxWaitingBytes) {
        flush();
    }
    if (waiting_.size() + length > MaxWaitingBytes) {
        ++droppedLines_;
        ++unreportedDrops_;
        return;
    }
    if (unreportedDrops_ != 0) {
        waiting_.append("event=log_lines_dropped lines=").append(std::to_string(unreportedDrops_)).append("\n");
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
    waiting_.append(stamp.data(), static_cast<std::size_t>(stampLength)).append(message, length).append("\n");
}

void LineLog::flush()
{
    while (!waiting_.empty()) {
        const ssize_t written = write(descriptor_, waiting_.data(), waiting_.size());
        if (written <= 0) {
            return;
        }
        waiting_.erase(0, static_cast<std::size_t>(written));
    }
}

void logOnlyTo(LineLog &)
{
    FLAGS_stderrthreshold = NoSeverity;
    FLAGS_logtostderr = false;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, "");
    }
}

} // namespace GeraniumLever
