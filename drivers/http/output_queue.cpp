#include "drivers/http/output_queue.h"

#include <utility>

namespace GeraniumLever {

namespace {

/** Buffers with a larger capacity are freed once they are empty. */
constexpr std::size_t MaxKeptCapacity = 4 * 1024;

void clearBuffer(std::string &buffer)
{
    buffer.clear();
    if (buffer.capacity() > MaxKeptCapacity) {
        buffer.shrink_to_fit();
    }
}

} // namespace

OutputQueue::OutputQueue(Socket &socket, ProgressHandler progress) : socket_(socket), progress_(std::move(progress)) { }

void OutputQueue::flush(const std::shared_ptr<void> &owner)
{
    if (writing_ || pending_.empty()) {
        return;
    }
    inFlight_.swap(pending_);
    written_ = 0;
    // Most writes complete at once and need no handler. An error occurs again in write(), which reports it.
    boost::system::error_code error;
    const std::size_t bytes = socket_.write_some(boost::asio::buffer(inFlight_), error);
    written_ = error ? 0 : bytes;
    if (written_ < inFlight_.size()) {
        write(owner);
        return;
    }
    clearBuffer(inFlight_);
    written_ = 0;
}

void OutputQueue::write(const std::shared_ptr<void> &owner)
{
    writing_ = true;
    socket_.async_write_some(
        boost::asio::buffer(inFlight_) + written_,
        [this, owner](const boost::system::error_code &error, std::size_t bytes) { wrote(error, bytes, owner); });
}

void OutputQueue::wrote(const boost::system::error_code &error, std::size_t bytes, const std::shared_ptr<void> &owner)
{
    writing_ = false;
    if (error) {
        progress_(false);
        return;
    }
    written_ += bytes;
    if (written_ < inFlight_.size()) {
        write(owner);
        progress_(true);
        return;
    }
    clearBuffer(inFlight_);
    written_ = 0;
    flush(owner);
    progress_(true);
}

} // namespace GeraniumLever
