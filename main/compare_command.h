#ifndef MAIN_COMPARE_COMMAND_H_
#define MAIN_COMPARE_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Shows the differences between hosts that should have the same state.
extern const CtlCommand kCompareCommand;

}  // namespace damasktack

#endif  // MAIN_COMPARE_COMMAND_H_
