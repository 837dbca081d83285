#include "main/relay/tick_timer.h"

#include <utility>

namespace GeraniumLever {

namespace {

/** Delay that processor load alone does not explain. */
constexpr Duration MaxDelay = std::chrono::milliseconds(200);
/** Time to read the sockets after a pause; one poll does not report all of them. */
constexpr std::chrono::milliseconds Deferral(25);

} // namespace

TickTimer::TickTimer(boost::asio::io_context &context, const Clock &clock, std::function<void()> tick)
    : clock_(clock), tick_(std::move(tick)), timer_(context)
{
}

void TickTimer::start(std::chrono::milliseconds period)
{
    if (running_) {
        return;
    }
    running_ = true;
    deferred_ = false;
    arm(period);
}

void TickTimer::arm(std::chrono::milliseconds period)
{
    dueAt_ = clock_.now() + period;
    timer_.expires_after(period);
    timer_.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            expired();
        }
    });
}

void TickTimer::expired()
{
    // A check that is late again is not deferred again, so that a slow machine still makes it.
    if (!deferred_ && clock_.now() - dueAt_ > MaxDelay) {
        deferred_ = true;
        arm(Deferral);
        return;
    }
    running_ = false;
    tick_();
}

} // namespace GeraniumLever
