/** Parser of text/event-stream. */
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace GeraniumLever {

/** Parses a stream of server-sent events from pieces of any size and passes the data of each event to the handler.
 *  Comments and fields other than "data" are ignored. */
class EventStreamParser
{
public:
    using DataHandler = std::function<void(std::string)>;

    /** maxEventBytes: maximum size of one event's data. */
    explicit EventStreamParser(std::size_t maxEventBytes);

    /** False if an event is too long; the stream cannot be parsed any further then. */
    bool feed(std::string_view bytes, const DataHandler &handler);

    /** To be called at the regular end of the stream; also passes on a last event whose blank line is missing. */
    void finish(const DataHandler &handler);

private:
    void processLine(std::string_view line, const DataHandler &handler);
    void processField(std::string_view line);
    void emit(const DataHandler &handler);

    std::size_t maxEventBytes_;
    /** Start of a line whose end has not arrived. */
    std::string partialLine_;
    std::string data_;
    bool hasData_ = false;
    /** True if the last byte was a carriage return, whose line feed may follow in the next piece. */
    bool afterCarriageReturn_ = false;
};

} // namespace GeraniumLever
