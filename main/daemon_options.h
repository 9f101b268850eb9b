#ifndef MAIN_DAEMON_OPTIONS_H_
#define MAIN_DAEMON_OPTIONS_H_

#include <boost/program_options.hpp>

namespace damasktack {

// Exit codes of the daemon.
enum class DaemonExit : int { kDone = 0, kFailed = 1, kBadSettings = 2 };

// Returns the daemon's command line options; the manual page is generated from
// them too.
boost::program_options::options_description DaemonOptions();

}  // namespace damasktack

#endif  // MAIN_DAEMON_OPTIONS_H_
