#include "main/daemon_options.h"

#include <string>

namespace damasktack {

namespace po = boost::program_options;

po::options_description DaemonOptions() {
  po::options_description options(
      "damasktack: load balancer daemon of one host");
  options.add_options()("help,h", "show this text")("version",
                                                    "show the version")(
      "settings", po::value<std::string>()->value_name("FILE"),
      "the settings file, JSON with comments")(
      "check-settings", "validate the settings and exit without starting");
  return options;
}

}  // namespace damasktack
