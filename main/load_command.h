#ifndef MAIN_LOAD_COMMAND_H_
#define MAIN_LOAD_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Sends the calls of a load plan and prints the results of each class.
extern const CtlCommand kLoadCommand;

}  // namespace damasktack

#endif  // MAIN_LOAD_COMMAND_H_
