#ifndef MAIN_SETTINGS_COMMAND_H_
#define MAIN_SETTINGS_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

extern const CtlCommand kSettingsCheckCommand;
// Prints the table of docs/SETTINGS.md.
extern const CtlCommand kSettingsDescribeCommand;

}  // namespace damasktack

#endif  // MAIN_SETTINGS_COMMAND_H_
