/** Parser of text/event-stream. */
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace GeraniumLever {

/** Takes the bytes of a stream of server-sent events in pieces of any size and hands on the data of each event.
 *  Comments and fields other than "data" are dropped. */
class EventStreamParser
{
public:
    using DataHandler = std::function<void(std::string)>;

    /** maxEventBytes: longest data of one event. */
    explicit EventStreamParser(std::size_t maxEventBytes);

    /** False if an event is too long; the stream cannot be continued then. */
    bool feed(std::string_view bytes, const DataHandler &handler);

    /** The stream's bytes have ended as the protocol says; hands on an event whose blank line is missing. */
    void finish(const DataHandler &handler);

private:
    void takeLine(std::string_view line, const DataHandler &handler);
    void takeField(std::string_view line);
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
