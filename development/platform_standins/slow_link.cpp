#include "development/platform_standins/slow_link.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr std::chrono::milliseconds SlicePeriod(5);
constexpr std::uint64_t SlicesPerSecond = 200;

} // namespace

void SlowLink::send(const std::shared_ptr<RawSession> &session, std::string answer)
{
    if (bytesPerSecond_ == 0) {
        bytesSent_ += answer.size();
        session->send(answer);
        session->finish();
        return;
    }
    transfers_.push_back({ session, std::move(answer) });
    if (!std::exchange(sending_, true)) {
        sendSlice();
    }
}

void SlowLink::sendSlice()
{
    std::erase_if(transfers_, [](const Transfer &transfer) { return transfer.session->ended(); });
    const std::size_t share =
        static_cast<std::size_t>(bytesPerSecond_ / SlicesPerSecond / std::max<std::size_t>(1, transfers_.size()));
    for (Transfer &transfer : transfers_) {
        const std::size_t size = std::min(share, transfer.rest.size());
        bytesSent_ += size;
        transfer.session->send(transfer.rest.substr(0, size));
        transfer.rest.erase(0, size);
        if (transfer.rest.empty()) {
            transfer.session->finish();
        }
    }
    std::erase_if(transfers_, [](const Transfer &transfer) { return transfer.rest.empty(); });
    if (transfers_.empty()) {
        sending_ = false;
        return;
    }
    timer_.expires_after(SlicePeriod);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendSlice();
        }
    });
}

} // namespace GeraniumLever
