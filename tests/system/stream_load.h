/** Callers that make streamed calls one after the other and compare each answer with what it must be. */
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace GeraniumLever {

/** True if the call at the node was answered whole with the prompt's own text. */
bool callStream(const std::string &callerAddress, const std::string &prompt, std::string *fault = nullptr);

class StreamLoad
{
public:
    /** Gives the address for each call. */
    using Target = std::function<std::string()>;

    ~StreamLoad();

    /** One more caller, which makes the given number of calls. */
    void add(const std::string &name, int calls, Target target);

    /** Waits for all callers. */
    void join();

    int whole() const { return whole_; }

    /** What was wrong with each call that was not answered whole. */
    std::vector<std::string> faults();

private:
    std::vector<std::thread> threads_;
    std::atomic<int> whole_ = 0;
    std::mutex mutex_;
    std::vector<std::string> faults_;
};

} // namespace GeraniumLever
