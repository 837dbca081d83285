/** Command line of geraniumctl. */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

struct CommandLine
{
    /** The command and its arguments, for example { "ticket", "submit", "FILE" }. */
    std::vector<std::string> words;
    /** Addresses ("a.b.c.d:port") of operator listeners, in the order in which they are tried. */
    std::vector<std::string> nodes;
    std::string keyFile;
    std::string team;
    bool json = false;
    bool wait = false;
    /** Longest time that --wait waits. */
    Duration waitLimit = std::chrono::seconds(60);
    std::uint64_t last = 100;

    bool operator==(const CommandLine &) const = default;
};

/** Text to print instead of running a command: the help, or a usage error. */
struct CommandLineHelp
{
    bool isUsageError = false;
    std::string text;

    bool operator==(const CommandLineHelp &) const = default;
};

std::variant<CommandLine, CommandLineHelp> parseCommandLine(int argc, const char *const *argv);

} // namespace GeraniumLever
