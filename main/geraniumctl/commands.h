/** The program's verbs. */
#pragma once

#include <functional>
#include <iosfwd>

#include "main/geraniumctl/command_line.h"
#include "main/geraniumctl/exit_code.h"
#include "main/geraniumctl/operator_session.h"

namespace GeraniumLever {

/** What a verb works with. */
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

/** Runs the verb that the command line names. */
ExitCode runCommand(CommandContext &context);

ExitCode submitTicket(CommandContext &context);
ExitCode showTicketStatus(CommandContext &context);
ExitCode showTicketDifferences(CommandContext &context);
ExitCode showState(CommandContext &context);
ExitCode showNodes(CommandContext &context);
ExitCode showDecisions(CommandContext &context);
ExitCode showRequest(CommandContext &context);
ExitCode checkFile(CommandContext &context);

/** The file's content; nothing, with a message, if it cannot be read. */
std::optional<std::string> readFile(const std::string &path, std::ostream &err);

/** Asks for a target. Nothing, with a message and the code to exit with, if there is no answer to go on with. */
std::optional<std::string> fetch(CommandContext &context, const std::string &target, ExitCode &failure);

/** Says that a node's answer cannot be understood. */
ExitCode refuseAnswer(CommandContext &context);

/** Prints faults in the wanted form. */
ExitCode printFaults(CommandContext &context, const std::vector<Fault> &faults);

} // namespace GeraniumLever
