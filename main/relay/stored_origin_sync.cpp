#include "main/relay/stored_origin_sync.h"

#include <utility>

#include <glog/logging.h>

namespace GeraniumLever {

namespace {

/** Least time between two reads, so that callers who come back together share one. */
constexpr std::chrono::milliseconds ReadPeriod(100);
/** Attempts to write a row whose version is not known. */
constexpr int FirstAttempt = 1;
constexpr int MaxAttempts = 3;

} // namespace

StoredOriginSync::StoredOriginSync(boost::asio::io_context &context,
                                   PlatformStore &store,
                                   const Clock &clock,
                                   RelaySystem &system,
                                   std::string key,
                                   ReadHandler handler)
    : store_(store)
    , clock_(clock)
    , system_(system)
    , key_(std::move(key))
    , handler_(std::move(handler))
    , reader_(context, ReadPeriod, [this]() { startRead(); })
{
}

void StoredOriginSync::startRead()
{
    const TimePoint asOf = clock_.now();
    store_.readStoredOrigins([this, asOf](const Result<StoredOrigins> &result) {
        if (succeeded(result)) {
            handler_(valueOf(result), asOf);
            removeOutdated(valueOf(result));
        }
        reader_.finished();
    });
}

void StoredOriginSync::removeOutdated(const StoredOrigins &stored)
{
    const std::vector<std::string> keys = stored.outdatedRows();
    if (keys.empty()) {
        return;
    }
    store_.removeStoredOrigins(keys, [](const Result<StoreState> &result) {
        LOG_IF(WARNING, !succeeded(result))
            << "event=outdated_origins_kept message=\"" << errorOf(result).message << '"';
    });
}

void StoredOriginSync::check()
{
    if (writing_) {
        return;
    }
    const std::optional<StoredOriginRow> row = system_.takeOriginRow(clock_.now());
    if (row.has_value()) {
        write(*row, FirstAttempt);
    }
}

void StoredOriginSync::write(const StoredOriginRow &row, int attempt)
{
    writing_ = true;
    store_.writeStoredOrigins({ key_, row, rowVersion_ }, [this, row, attempt](const Result<RowChange> &result) {
        if (!succeeded(result)) {
            fail(errorOf(result).message);
            return;
        }
        const RowChange &change = valueOf(result);
        rowVersion_ = change.isDone && row.streams.empty() ? 0 : change.version;
        if (change.isDone) {
            writing_ = false;
            system_.originRowStored();
        } else if (attempt < MaxAttempts) {
            // An earlier write without an answer was carried out.
            write(row, attempt + 1);
        } else {
            fail("the row is written by others");
        }
    });
}

void StoredOriginSync::fail(const std::string &reason)
{
    writing_ = false;
    system_.originRowFailed();
    LOG(WARNING) << "event=origins_not_stored message=\"" << reason << '"';
}

} // namespace GeraniumLever
