#include "main/relay/version_note_sync.h"

#include <utility>

#include <glog/logging.h>

namespace GeraniumLever {

namespace {

/** Least time between two reads, so that callers who come back together share one. */
constexpr std::chrono::milliseconds ReadPeriod(100);
/** Least time between two checks that read, so that the answer to a write can arrive. */
constexpr Duration CheckPeriod = std::chrono::milliseconds(500);
/** The same after a read or a write that failed. */
constexpr Duration FailureCheckPeriod = std::chrono::seconds(1);

} // namespace

VersionNoteSync::VersionNoteSync(boost::asio::io_context &context,
                                 PlatformStore &store,
                                 const Clock &clock,
                                 const RelaySystem &system,
                                 ReadHandler handler)
    : store_(store)
    , clock_(clock)
    , system_(system)
    , handler_(std::move(handler))
    , reader_(context, ReadPeriod, [this]() { startRead(); })
{
}

void VersionNoteSync::check()
{
    const TimePoint now = clock_.now();
    if (now >= nextCheck_ && system_.fleet().needsVersionNotes(now)) {
        nextCheck_ = now + CheckPeriod;
        read();
    }
}

void VersionNoteSync::startRead()
{
    const TimePoint asOf = clock_.now();
    store_.readVersionNotes([this, asOf](const Result<StoredVersionNotes> &result) { notesRead(result, asOf); });
}

void VersionNoteSync::notesRead(const Result<StoredVersionNotes> &result, TimePoint asOf)
{
    if (succeeded(result)) {
        handler_(valueOf(result), asOf);
        for (const VersionNoteUpdate &update : system_.fleet().versionNoteUpdates(clock_.now())) {
            write(update);
        }
    } else {
        nextCheck_ = clock_.now() + FailureCheckPeriod;
    }
    reader_.finished();
}

void VersionNoteSync::write(const VersionNoteUpdate &update)
{
    LOG(INFO) << "event=versions_noted pool=" << update.pool.text() << " versions=" << update.note.versions.size();
    store_.writeVersionNote(update, [this, update](const Result<StoreState> &result) {
        if (succeeded(result)) {
            read();
            return;
        }
        // Another node may have written first, or the write may still be carried out: the next read tells.
        nextCheck_ = clock_.now() + FailureCheckPeriod;
        LOG(WARNING) << "event=versions_not_noted pool=" << update.pool.text() << " message=\""
                     << errorOf(result).message << '"';
    });
}

} // namespace GeraniumLever
