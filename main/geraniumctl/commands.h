/** Commands of geraniumctl. */
#pragma once

#include <functional>
#include <iosfwd>

#include "main/geraniumctl/command_line.h"
#include "main/geraniumctl/exit_code.h"
#include "main/geraniumctl/operator_session.h"

namespace GeraniumLever {

/** Inputs and outputs of a command. */
struct CommandContext
{
    const CommandLine &line;
    OperatorSession &session;
    /** Results. */
    std::ostream &out;
    /** Progress and errors. */
    std::ostream &err;
    /** Waits for the given time. */
    std::function<void(Duration)> pause;
};

/** Runs the command that the command line names. */
ExitCode runCommand(CommandContext &context);

ExitCode submitTicket(CommandContext &context);
ExitCode showTicketStatus(CommandContext &context);
ExitCode showTicketDifferences(CommandContext &context);
ExitCode showState(CommandContext &context);
ExitCode showNodes(CommandContext &context);
ExitCode showDecisions(CommandContext &context);
ExitCode showRequest(CommandContext &context);
ExitCode checkFile(CommandContext &context);

/** The file's content; nullopt, with an error message printed, if the file cannot be read. */
std::optional<std::string> readFile(const std::string &path, std::ostream &err);

/** Fetches a target from a node. Without a usable answer: prints an error, sets the exit code and returns nullopt. */
std::optional<std::string> fetch(CommandContext &context, const std::string &target, ExitCode &failure);

/** Prints that a node's reply cannot be parsed. */
ExitCode reportUnreadableReply(CommandContext &context);

/** Prints faults as text or JSON, as the command line asks. */
ExitCode printFaults(CommandContext &context, const std::vector<Fault> &faults);

} // namespace GeraniumLever
