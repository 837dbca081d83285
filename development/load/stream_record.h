/** What has arrived of one streamed answer. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "development/load/latency_samples.h"

namespace GeraniumLever {

/** Follows one stream and judges whether it was whole: status 200, at least one token, then the end mark as the last
 *  event, then the end of the HTTP message. */
class StreamRecord
{
public:
    explicit StreamRecord(TimePoint begun) : begun_(begun) { }

    void take(const UpstreamHead &head);

    /** Adds the gap since the token before to gaps. */
    void take(const UpstreamData &data, TimePoint now, LatencySamples &gaps);

    /** The HTTP message ended as it should. */
    bool whole() const { return status_ == 200 && tokens_ != 0 && endMarkSeen_ && !afterEndMark_; }

    std::size_t tokens() const { return tokens_; }
    unsigned status() const { return status_; }

    /** From the request to the first token. */
    std::optional<Duration> firstToken() const { return firstToken_; }

private:
    TimePoint begun_;
    TimePoint lastToken_;
    std::optional<Duration> firstToken_;
    std::size_t tokens_ = 0;
    unsigned status_ = 0;
    bool endMarkSeen_ = false;
    bool afterEndMark_ = false;
};

} // namespace GeraniumLever
