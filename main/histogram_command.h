#ifndef MAIN_HISTOGRAM_COMMAND_H_
#define MAIN_HISTOGRAM_COMMAND_H_

#include "main/ctl_command.h"

namespace damasktack {

// Draws histograms of call durations by customer and class in the terminal.
extern const CtlCommand kHistogramCommand;

}  // namespace damasktack

#endif  // MAIN_HISTOGRAM_COMMAND_H_
