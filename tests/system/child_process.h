/** A child process of a test. Signals go to its process id only. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace GeraniumLever {

class ChildProcess
{
public:
    /** Starts the program with its output appended to a file. Throws std::runtime_error if it cannot be started. */
    ChildProcess(const std::vector<std::string> &command, const std::string &outputPath);

    /** Kills the process if it is still running. */
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Does nothing if the process has ended. */
    void signal(int number);

    /** Kills the process and waits for its end. */
    void kill();

    /** The exit code of the process; -1 if a signal ended it; nothing if it is still running. */
    std::optional<int> exitCode();

private:
    pid_t pid_ = -1;
    std::optional<int> exitCode_;
};

} // namespace GeraniumLever
