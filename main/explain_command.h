#ifndef MAIN_EXPLAIN_COMMAND_H_
#define MAIN_EXPLAIN_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Explains a call's outcome from the logs of hosts.
extern const CtlCommand kExplainCommand;

}  // namespace damasktack

#endif  // MAIN_EXPLAIN_COMMAND_H_
