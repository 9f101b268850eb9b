#ifndef MAIN_CONTRACT_COMMAND_H_
#define MAIN_CONTRACT_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Commands that check and compare documents before they are published.
extern const CtlCommand kContractCheckCommand;
extern const CtlCommand kContractDiffCommand;

}  // namespace damasktack

#endif  // MAIN_CONTRACT_COMMAND_H_
