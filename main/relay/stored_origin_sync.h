/** Keeps this node's unfinished streams in the store while they may have begun at different versions. */
#pragma once

#include <functional>

#include "main/relay/paced_reader.h"
#include "platform/platform.h"

namespace GeraniumLever {

/** Writes this node's row when the relay logic asks for it, and reads the rows of all nodes. */
class StoredOriginSync
{
public:
    /** Called with what a read returned; asOf: time just before the read was sent. */
    using ReadHandler = std::function<void(const StoredOrigins &origins, TimePoint asOf)>;

    /** key: unique per incarnation of the node. The arguments must outlive the object. */
    StoredOriginSync(boost::asio::io_context &context,
                     PlatformStore &store,
                     const Clock &clock,
                     RelaySystem &system,
                     std::string key,
                     ReadHandler handler);

    /** Reads the rows soon. */
    void read() { reader_.request(); }

    /** Writes the node's row if it must be written. To be called every few tens of milliseconds. */
    void check();

    void stop() { reader_.stop(); }

private:
    void startRead();
    void removeOutdated(const StoredOrigins &stored);
    void write(const StoredOriginRow &row, int attempt);
    void fail(const std::string &reason);

    PlatformStore &store_;
    const Clock &clock_;
    RelaySystem &system_;
    std::string key_;
    ReadHandler handler_;
    PacedReader reader_;
    /** Version of the node's row as far as it is known; 0 if there is none. Each write names it, so that a call without
     * an answer that is carried out late cannot take the place of a later one. */
    std::uint64_t rowVersion_ = 0;
    bool writing_ = false;
};

} // namespace GeraniumLever
