#include "cli/Commands.h"

int main(int Argc, char **Argv) { return hickorylift::runCommand(Argc, Argv); }
