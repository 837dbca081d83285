/** A process that the test has started, and that it ends by its id alone. */
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

    /** Kills the process if it still runs. */
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Does nothing if the process has ended. */
    void signal(int number);

    /** Kills the process and waits for its end. */
    void kill();

    /** The exit code if the process has ended by itself; -1 if a signal ended it; nothing if it still runs. */
    std::optional<int> exitCode();

private:
    pid_t pid_ = -1;
    std::optional<int> exitCode_;
};

} // namespace GeraniumLever
