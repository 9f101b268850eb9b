#ifndef MAIN_INSPECT_COMMAND_H_
#define MAIN_INSPECT_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Commands that show the state of hosts as a table or as JSON.
extern const CtlCommand kStatusCommand;
extern const CtlCommand kContractsCommand;
extern const CtlCommand kEndpointsCommand;
extern const CtlCommand kCustomersCommand;
extern const CtlCommand kPeersCommand;
extern const CtlCommand kProbesCommand;

}  // namespace damasktack

#endif  // MAIN_INSPECT_COMMAND_H_
