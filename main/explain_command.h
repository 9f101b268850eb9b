#ifndef MAIN_EXPLAIN_COMMAND_H_
#define MAIN_EXPLAIN_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Tells from hosts' logs what became of a call, and why.
extern const CtlCommand kExplainCommand;

}  // namespace damasktack

#endif  // MAIN_EXPLAIN_COMMAND_H_
