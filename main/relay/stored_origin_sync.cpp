#include "main/relay/stored_origin_sync.h"

#include <utility>

#include <glog/logging.h>

namespace GeraniumLever {

namespace {

/** Least time between two reads, so that callers who come back together share one. */
constexpr std::chrono::milliseconds ReadPeriod(100);

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
            outdatedRows_ = valueOf(result).outdatedRows();
        }
        reader_.finished();
    });
}

void StoredOriginSync::check()
{
    if (writing_) {
        return;
    }
    std::optional<StoredOriginRow> row = system_.takeOriginRow(clock_.now());
    if (row.has_value()) {
        write(std::move(*row));
    }
}

void StoredOriginSync::write(StoredOriginRow row)
{
    writing_ = true;
    store_.writeStoredOrigins(
        { key_, std::move(row), std::exchange(outdatedRows_, {}) }, [this](const Result<StoreState> &result) {
            writing_ = false;
            if (succeeded(result)) {
                system_.originRowStored();
                return;
            }
            system_.originRowFailed();
            LOG(WARNING) << "event=origins_not_stored message=\"" << errorOf(result).message << '"';
        });
}

} // namespace GeraniumLever
