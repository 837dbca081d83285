#include "drivers/http/event_stream_parser.h"

#include <utility>

namespace GeraniumLever {

EventStreamParser::EventStreamParser(std::size_t maxEventBytes) : maxEventBytes_(maxEventBytes) { }

bool EventStreamParser::feed(std::string_view bytes, const DataHandler &handler)
{
    if (afterCarriageReturn_ && !bytes.empty()) {
        afterCarriageReturn_ = false;
        if (bytes.front() == '\n') {
            bytes.remove_prefix(1);
        }
    }
    while (!bytes.empty()) {
        const std::size_t end = bytes.find_first_of("\r\n");
        if (end == std::string_view::npos) {
            partialLine_.append(bytes);
            break;
        }
        processLine(bytes.substr(0, end), handler);
        const bool carriageReturn = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        if (!carriageReturn) {
            continue;
        }
        afterCarriageReturn_ = bytes.empty();
        if (!bytes.empty() && bytes.front() == '\n') {
            bytes.remove_prefix(1);
        }
    }
    return partialLine_.size() + data_.size() <= maxEventBytes_;
}

void EventStreamParser::finish(const DataHandler &handler)
{
    if (!partialLine_.empty()) {
        processLine({}, handler);
    }
    emit(handler);
}

void EventStreamParser::processLine(std::string_view line, const DataHandler &handler)
{
    if (!partialLine_.empty()) {
        partialLine_.append(line);
        processField(partialLine_);
        partialLine_.clear();
        return;
    }
    if (line.empty()) {
        emit(handler);
        return;
    }
    processField(line);
}

void EventStreamParser::processField(std::string_view line)
{
    constexpr std::string_view DataField = "data";
    const std::size_t colon = line.find(':');
    if (line.substr(0, colon) != DataField) {
        return;
    }
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (hasData_) {
        data_.push_back('\n');
    }
    data_.append(value);
    hasData_ = true;
}

void EventStreamParser::emit(const DataHandler &handler)
{
    if (!hasData_) {
        return;
    }
    hasData_ = false;
    std::string data = std::move(data_);
    data_.clear();
    handler(std::move(data));
}

} // namespace GeraniumLever
