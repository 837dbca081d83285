/** A blocking HTTP client of the review's cases. */
#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace Review {

/** What a client has received. */
struct Answer
{
    /** 0 if no head arrived. */
    unsigned status = 0;
    std::string head;
    /** Without the framing of chunks. */
    std::string body;
    /** True if the end of the body has arrived. */
    bool complete = false;
    /** True if the peer has closed the connection. */
    bool isClosed = false;

    /** Value of a field of the head; empty if there is none. */
    std::string field(const std::string &name) const;
};

/** Sends one request on a new connection and reads its answer until it is complete, broken off or late. */
Answer exchange(const std::string &address, const std::string &request, std::chrono::milliseconds timeout);

} // namespace Review
