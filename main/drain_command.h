#ifndef MAIN_DRAIN_COMMAND_H_
#define MAIN_DRAIN_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Commands that change the state of hosts.
extern const CtlCommand kDrainCommand;
extern const CtlCommand kGoneCommand;

}  // namespace damasktack

#endif  // MAIN_DRAIN_COMMAND_H_
