/** Concurrent callers that make streamed calls one after the other and compare each response with the expected one. */
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace GeraniumLever {

/** True if the node's response is complete and has the expected text of the prompt. */
bool callStream(const std::string &callerAddress, const std::string &prompt, std::string *failure = nullptr);

class StreamLoad
{
public:
    /** Returns the address for the next call. */
    using AddressProvider = std::function<std::string()>;

    ~StreamLoad();

    /** Adds a caller that makes the given number of calls. */
    void add(const std::string &name, int calls, AddressProvider nextAddress);

    /** Waits until all callers have finished. */
    void join();

    int completedCalls() const { return completedCalls_; }

    /** Description of each call without the expected response. */
    std::vector<std::string> failures();

private:
    std::vector<std::thread> threads_;
    std::atomic<int> completedCalls_ = 0;
    std::mutex mutex_;
    std::vector<std::string> failures_;
};

} // namespace GeraniumLever
