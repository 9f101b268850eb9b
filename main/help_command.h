#ifndef MAIN_HELP_COMMAND_H_
#define MAIN_HELP_COMMAND_H_

#include <ostream>
#include <string>

#include "main/ctl_command.h"

namespace damasktack {

extern const CtlCommand kHelpCommand;
extern const CtlCommand kCompletionCommand;

// Returns the usage, as in "damasktackctl contract check FILE...".
std::string UsageLine(const CtlCommand& command);
// Prints usage and options of one command.
void PrintUsage(const CtlCommand& command, std::ostream& out);
// Prints one line for each command.
void PrintOverview(std::ostream& out);

}  // namespace damasktack

#endif  // MAIN_HELP_COMMAND_H_
