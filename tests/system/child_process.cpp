#include "tests/system/child_process.h"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace GeraniumLever {

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &outputPath)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int failure = posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + command[0]);
    }
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number)
{
    if (!exitCode()) {
        ::kill(pid_, number);
    }
}

void ChildProcess::kill()
{
    if (exitCode()) {
        return;
    }
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    exitCode_ = -1;
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (!exitCode_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return exitCode_;
}

} // namespace GeraniumLever
