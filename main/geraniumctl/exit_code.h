/** What the program tells its caller. */
#pragma once

namespace GeraniumLever {

enum class ExitCode : int {
    /** Done as asked; with --wait, also in force in every data centre. */
    Done = 0,
    /** The system answered that it refuses, or that it does not know what was asked for. Nothing was changed. */
    Refused = 1,
    /** The command line is wrong. */
    Usage = 2,
    /** No node could be reached, or none could reach the table service. Nothing was changed. */
    Unreachable = 3,
    /** A ticket was sent and it is not known whether it was accepted; sending the same ticket again settles it. */
    Unknown = 4,
    /** The file has faults, or cannot be read. Nothing was sent. */
    Faults = 5,
    /** The ticket is accepted, but not in force in every data centre yet. */
    NotInForce = 6,
};

} // namespace GeraniumLever
