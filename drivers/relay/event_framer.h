/** Splits a stream of server-sent events into complete events. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace GeraniumLever {

/** Finds the ends of events without changing the bytes. Lines may end with LF, CR or CRLF. */
class EventFramer
{
public:
    /** Appends received bytes; returns the events that are now complete and buffers the rest. */
    std::string feed(std::string_view bytes);

    /** Like feed(), for bytes that are forwarded as they arrive; buffers nothing and records no identifiers. */
    void track(std::string_view bytes);

    /** Identifier of the last complete event that had one. */
    const std::string &lastId() const { return lastId_; }

    /** Size of the buffered incomplete event in bytes. */
    std::size_t pendingBytes() const { return pending_.size(); }

    /** Number of bytes since the end of the last complete event. */
    std::size_t bytesSinceEvent() const { return bytesSinceEvent_; }

    /** True if the stream would be cut off in the middle of an event if it ended here. */
    bool isInsideEvent() const { return insideEvent_; }

    /** True once an event is complete. */
    bool hasCompleteEvent() const { return hasCompleteEvent_; }

private:
    /** Returns the number of bytes up to the end of the last event that ends in them; 0 if none does. */
    std::size_t scan(std::string_view bytes);
    void recordIds(std::string_view events);

    std::string pending_;
    std::string lastId_;
    std::size_t bytesSinceEvent_ = 0;
    bool insideEvent_ = false;
    bool hasCompleteEvent_ = false;
    bool lineEmpty_ = true;
    /** True if the last byte was a CR, so that a following LF belongs to the same line end. */
    bool afterCarriageReturn_ = false;
};

} // namespace GeraniumLever
