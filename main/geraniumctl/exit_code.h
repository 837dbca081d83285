/** Exit codes of geraniumctl. */
#pragma once

namespace GeraniumLever {

enum class ExitCode : int {
    /** The command succeeded; with --wait, the ticket is also in force in every data centre. */
    Done = 0,
    /** The node refused the request or did not find what it names. Nothing was changed. */
    Refused = 1,
    /** The command line is wrong. */
    Usage = 2,
    /** No node could be reached, or none could reach the table service. Nothing was changed. */
    Unreachable = 3,
    /** A ticket was sent, but it is not known whether it was accepted. Sending the same ticket again tells. */
    Unknown = 4,
    /** The file has faults, or cannot be read. Nothing was sent. */
    Faults = 5,
    /** The ticket is accepted, but not in force in every data centre yet. */
    NotInForce = 6,
};

} // namespace GeraniumLever
