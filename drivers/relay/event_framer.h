/** Splits a stream of server-sent events into complete events. */
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace GeraniumLever {

/** Buffers an incomplete event until its end has arrived. Does not change the bytes. */
class EventFramer
{
public:
    /** Appends received bytes; returns the events that are now complete. */
    std::string feed(std::string_view bytes);

    /** Identifier of the last complete event that had one. */
    const std::string &lastId() const { return lastId_; }

    /** Size of the buffered incomplete event in bytes. */
    std::size_t pendingBytes() const { return pending_.size(); }

private:
    void recordId(std::string_view event);

    std::string pending_;
    std::string lastId_;
};

} // namespace GeraniumLever
