/** Bytes on their way to a peer. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "drivers/http/client_connection.h"

namespace GeraniumLever {

/** Writes to a socket one piece at a time; what is added meanwhile goes out together with the next write. */
class OutputQueue
{
public:
    /** Called after each write that did not end within flush(), with false if the connection has failed. */
    using Progress = std::function<void(bool)>;

    /** The socket must not block, and must live for as long as the owner given to flush(). */
    OutputQueue(Socket &socket, Progress progress);

    /** The buffer to which new bytes are appended; flush() sends them. */
    std::string &pending() { return pending_; }

    /** Writes what is pending, unless a write is under way. owner: kept alive until the write ends. */
    void flush(const std::shared_ptr<void> &owner);

    /** Bytes that the operating system has not yet taken. */
    std::size_t unsent() const { return pending_.size() + inFlight_.size() - written_; }

private:
    void write(const std::shared_ptr<void> &owner);
    void wrote(const boost::system::error_code &error, std::size_t bytes, const std::shared_ptr<void> &owner);

    Socket &socket_;
    Progress progress_;
    std::string pending_;
    std::string inFlight_;
    std::size_t written_ = 0;
    bool writing_ = false;
};

} // namespace GeraniumLever
