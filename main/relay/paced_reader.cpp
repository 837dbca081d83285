#include "main/relay/paced_reader.h"

#include <utility>

namespace GeraniumLever {

PacedReader::PacedReader(boost::asio::io_context &context, std::chrono::milliseconds period, std::function<void()> read)
    : period_(period), read_(std::move(read)), timer_(context)
{
}

void PacedReader::request()
{
    requested_ = true;
    startWhenDue();
}

void PacedReader::finished()
{
    reading_ = false;
    startWhenDue();
}

void PacedReader::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void PacedReader::startWhenDue()
{
    if (stopped_ || !requested_ || reading_ || waiting_) {
        return;
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (now >= nextStart_) {
        requested_ = false;
        reading_ = true;
        nextStart_ = now + period_;
        read_();
        return;
    }
    waiting_ = true;
    timer_.expires_at(nextStart_);
    timer_.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            waiting_ = false;
            startWhenDue();
        }
    });
}

} // namespace GeraniumLever
