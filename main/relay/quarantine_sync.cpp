#include "main/relay/quarantine_sync.h"

#include <glog/logging.h>

namespace GeraniumLever {

namespace {

constexpr std::chrono::milliseconds CheckPeriod(250);
/** Period of the reads while the store's list and this node's own are the same. */
constexpr Duration AgreedReadPeriod = std::chrono::seconds(20);
/** Period of the reads while they differ, or while the store does not answer. */
constexpr Duration DifferingReadPeriod = std::chrono::seconds(1);

} // namespace

QuarantineSync::QuarantineSync(boost::asio::io_context &context,
                               PlatformStore &store,
                               const Clock &clock,
                               RelaySystem &system)
    : store_(store), clock_(clock), system_(system), timer_(context)
{
}

void QuarantineSync::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void QuarantineSync::read()
{
    readAt_ = clock_.now();
    const std::uint64_t revision = system_.quarantine().revision();
    store_.readQuarantine([this, revision](const Result<StoredQuarantine> &result) {
        agrees_ = false;
        if (succeeded(result)) {
            syncedRevision_ = revision;
            update(valueOf(result));
        }
        scheduleCheck();
    });
}

void QuarantineSync::update(const StoredQuarantine &stored)
{
    const QuarantineUpdate update = system_.reconcileQuarantine(stored, clock_.now());
    agrees_ = system_.quarantine().agreesWith(stored);
    if (update.empty()) {
        return;
    }
    store_.updateQuarantine(update, [](const Result<StoreState> &result) {
        LOG_IF(WARNING, !succeeded(result))
            << "event=quarantine_not_stored message=\"" << errorOf(result).message << '"';
    });
}

void QuarantineSync::scheduleCheck()
{
    if (stopped_) {
        return;
    }
    timer_.expires_after(CheckPeriod);
    timer_.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !stopped_) {
            check();
        }
    });
}

void QuarantineSync::check()
{
    const bool hasChanged = system_.quarantine().revision() != syncedRevision_;
    const Duration period = agrees_ ? AgreedReadPeriod : DifferingReadPeriod;
    if (hasChanged || clock_.now() - readAt_ >= period) {
        read();
        return;
    }
    scheduleCheck();
}

} // namespace GeraniumLever
