#ifndef MAIN_CTL_COMMANDS_H_
#define MAIN_CTL_COMMANDS_H_

#include <span>
#include <string>
#include <vector>

#include "main/ctl_command.h"

namespace damasktack {

// Returns all subcommands in the order in which help lists them.
std::span<const CtlCommand> CtlCommands();

// Returns the command that the arguments start with, or null if there is none.
const CtlCommand* FindCtlCommand(const std::vector<std::string>& args);

// Returns the options of a command: those common to all commands and its own.
boost::program_options::options_description OptionsOf(
    const CtlCommand& command);

}  // namespace damasktack

#endif  // MAIN_CTL_COMMANDS_H_
