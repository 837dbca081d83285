#include "development/load/stream_record.h"

#include <string_view>

namespace GeraniumLever {

namespace {

constexpr std::string_view EndMark = "[DONE]";

} // namespace

void StreamRecord::take(const UpstreamHead &head)
{
    status_ = head.status;
}

void StreamRecord::take(const UpstreamData &data, TimePoint now, LatencySamples &gaps)
{
    afterEndMark_ = afterEndMark_ || endMarkSeen_;
    if (data.data == EndMark) {
        endMarkSeen_ = true;
        return;
    }
    ++tokens_;
    if (!firstToken_.has_value()) {
        firstToken_ = now - begun_;
    } else {
        gaps.record(now - lastToken_);
    }
    lastToken_ = now;
}

} // namespace GeraniumLever
