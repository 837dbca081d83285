/** Keeps the notes on versions in the store, so that they outlast all nodes. */
#pragma once

#include <functional>

#include "main/relay/paced_reader.h"
#include "platform/platform.h"

namespace GeraniumLever {

/** Reads the notes when the relay logic asks for them, and writes the changes that it asks for. */
class VersionNoteSync
{
public:
    /** Called with what a read returned; asOf: time just before the read was sent. */
    using ReadHandler = std::function<void(const StoredVersionNotes &notes, TimePoint asOf)>;

    /** The arguments must outlive the object. */
    VersionNoteSync(boost::asio::io_context &context,
                    PlatformStore &store,
                    const Clock &clock,
                    const RelaySystem &system,
                    ReadHandler handler);

    /** Reads the notes soon. */
    void read() { reader_.request(); }

    /** Reads the notes if they are needed, and changes them if this node should. To be called a few times a second. */
    void check();

    void stop() { reader_.stop(); }

private:
    void startRead();
    void notesRead(const Result<StoredVersionNotes> &result, TimePoint asOf);
    void write(const VersionNoteUpdate &update);

    PlatformStore &store_;
    const Clock &clock_;
    const RelaySystem &system_;
    ReadHandler handler_;
    PacedReader reader_;
    /** When the next check may read; later after each failure. */
    TimePoint nextCheck_;
};

} // namespace GeraniumLever
