#ifndef HICKORYLIFT_CLI_COMMANDS_H
#define HICKORYLIFT_CLI_COMMANDS_H

namespace hickorylift {

/// Runs the subcommand that the arguments name. Returns the exit code:
/// 0 done, 1 the answer is no, 2 wrong use, 3 the node could not be reached.
int runCommand(int Argc, char **Argv);

} // namespace hickorylift

#endif
