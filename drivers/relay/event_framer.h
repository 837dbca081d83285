/** Cuts a stream of server-sent events into whole events. */
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace GeraniumLever {

/** Holds back the beginning of an event until its end has arrived. Bytes are passed on unchanged. */
class EventFramer
{
public:
    /** Adds bytes; returns the whole events that they complete. */
    std::string feed(std::string_view bytes);

    /** Identifier of the last whole event that had one. */
    const std::string &lastId() const { return lastId_; }

    /** Bytes of an event without its end. */
    std::size_t heldBytes() const { return held_.size(); }

private:
    void noteId(std::string_view event);

    std::string held_;
    std::string lastId_;
};

} // namespace GeraniumLever
