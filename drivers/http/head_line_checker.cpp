#include "drivers/http/head_line_checker.h"

namespace GeraniumLever {

namespace {

constexpr std::string_view Protocol = "HTTP/";

} // namespace

std::optional<std::string> HeadLineChecker::check(std::string_view bytes)
{
    for (std::size_t index = 0; index < bytes.size() && !headEnded_; ++index) {
        const char byte = bytes[index];
        if (checkedBytes_ < Protocol.size() && byte != Protocol[checkedBytes_]) {
            return "the response does not begin with a status line";
        }
        if (afterCarriageReturn_ != (byte == '\n')) {
            return "a line of the head does not end with CR LF";
        }
        // Obsolete line folding: the parser would join the line to the value before it.
        if (lineEmpty_ && (byte == ' ' || byte == '\t')) {
            return "a line of the head begins with a blank";
        }
        headEnded_ = byte == '\n' && lineEmpty_;
        lineEmpty_ = byte == '\n' || (byte == '\r' && lineEmpty_);
        afterCarriageReturn_ = byte == '\r';
        ++checkedBytes_;
    }
    return std::nullopt;
}

} // namespace GeraniumLever
