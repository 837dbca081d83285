#include "drivers/relay/event_framer.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view LineEnds = "\r\n";

} // namespace

std::string EventFramer::feed(std::string_view bytes)
{
    const std::size_t end = scan(bytes);
    pending_.append(bytes.substr(0, end));
    if (end == 0) {
        pending_.append(bytes);
        return {};
    }
    std::string completeEvents(bytes.substr(end));
    completeEvents.swap(pending_);
    recordIds(completeEvents);
    return completeEvents;
}

void EventFramer::track(std::string_view bytes)
{
    scan(bytes);
}

std::size_t EventFramer::scan(std::string_view bytes)
{
    std::size_t end = 0;
    bytesSinceEvent_ += bytes.size();
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const char byte = bytes[index];
        const bool endsSameLine = byte == '\n' && afterCarriageReturn_;
        afterCarriageReturn_ = byte == '\r';
        if (byte != '\n' && byte != '\r') {
            lineEmpty_ = false;
            insideEvent_ = true;
            continue;
        }
        if (!endsSameLine && lineEmpty_) {
            if (insideEvent_) {
                hasCompleteEvent_ = true;
                bytesSinceEvent_ = bytes.size() - index - 1;
            }
            insideEvent_ = false;
        }
        lineEmpty_ = true;
        if (!insideEvent_) {
            end = index + 1;
        }
    }
    return end;
}

void EventFramer::recordIds(std::string_view events)
{
    for (std::size_t begin = 0; begin < events.size();) {
        const std::size_t end = std::min(events.find_first_of(LineEnds, begin), events.size());
        std::string_view line = events.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        lastId_ = std::string(line);
    }
}

} // namespace GeraniumLever
