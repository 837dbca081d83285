#include "drivers/relay/event_framer.h"

namespace GeraniumLever {

namespace {

constexpr std::string_view IdField = "id:";

/** Position after the blank line that terminates an event; npos if it has not arrived. */
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (std::size_t line = text.find('\n', from); line != std::string_view::npos; line = text.find('\n', line + 1)) {
        if (text.substr(line + 1, 1) == "\n") {
            return line + 2;
        }
        if (text.substr(line + 1, 2) == "\r\n") {
            return line + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string EventFramer::feed(std::string_view bytes)
{
    pending_.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = endOfEvent(pending_, 0); end != std::string::npos; end = endOfEvent(pending_, begin)) {
        recordId(std::string_view(pending_).substr(begin, end - begin));
        begin = end;
    }
    std::string completeEvents = pending_.substr(0, begin);
    pending_.erase(0, begin);
    return completeEvents;
}

void EventFramer::recordId(std::string_view event)
{
    for (std::size_t begin = 0; begin < event.size();) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        lastId_ = std::string(line);
    }
}

} // namespace GeraniumLever
