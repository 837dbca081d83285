/** Sends a stand-in's answers at the rate of a slow link. */
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "development/platform_standins/raw_session.h"

namespace GeraniumLever {

/** All answers share the rate evenly. A session whose peer has closed gets no more, as on a real link. */
class SlowLink
{
public:
    explicit SlowLink(boost::asio::io_context &context) : timer_(context) { }

    /** 0 stands for no limit; at less than 200 bytes a second nothing is sent. */
    void setRate(std::uint64_t bytesPerSecond) { bytesPerSecond_ = bytesPerSecond; }

    /** Sends an answer and finishes it. */
    void send(const std::shared_ptr<RawSession> &session, std::string answer);

    /** Bytes that have been sent. */
    std::uint64_t bytesSent() const { return bytesSent_; }

private:
    struct Transfer
    {
        std::shared_ptr<RawSession> session;
        std::string rest;
    };

    void sendSlice();

    boost::asio::steady_timer timer_;
    std::deque<Transfer> transfers_;
    std::uint64_t bytesPerSecond_ = 0;
    std::uint64_t bytesSent_ = 0;
    bool sending_ = false;
};

} // namespace GeraniumLever
