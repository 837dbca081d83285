/** Output buffer of a connection. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "drivers/http/client_connection.h"

namespace GeraniumLever {

/** Runs one write to a socket at a time; bytes that are added meanwhile are sent together by the next write. */
class OutputQueue
{
public:
    /** Called after each write that did not end within flush(), with false if the connection has failed. */
    using ProgressHandler = std::function<void(bool)>;

    /** The socket must be non-blocking and must live at least as long as the owner given to flush(). */
    OutputQueue(Socket &socket, ProgressHandler progress);

    /** The buffer to which new bytes are appended; flush() sends them. */
    std::string &pending() { return pending_; }

    /** Writes the pending bytes, unless a write is in progress. owner: kept alive until the write ends. */
    void flush(const std::shared_ptr<void> &owner);

    /** Number of bytes that the operating system has not yet accepted. */
    std::size_t unsent() const { return pending_.size() + inFlight_.size() - written_; }

private:
    void write(const std::shared_ptr<void> &owner);
    void wrote(const boost::system::error_code &error, std::size_t bytes, const std::shared_ptr<void> &owner);

    Socket &socket_;
    ProgressHandler progress_;
    std::string pending_;
    std::string inFlight_;
    std::size_t written_ = 0;
    bool writing_ = false;
};

} // namespace GeraniumLever
