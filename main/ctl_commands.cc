#include "main/ctl_commands.h"

#include <array>

#include "main/compare_command.h"
#include "main/contract_command.h"
#include "main/drain_command.h"
#include "main/explain_command.h"
#include "main/help_command.h"
#include "main/histogram_command.h"
#include "main/inspect_command.h"
#include "main/load_command.h"
#include "main/settings_command.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

// Usage texts are generated from this list.
const std::array kCommands = {
    kContractCheckCommand, kContractDiffCommand,
    kSettingsCheckCommand, kSettingsDescribeCommand,
    kStatusCommand,        kContractsCommand,
    kEndpointsCommand,     kCustomersCommand,
    kPeersCommand,         kProbesCommand,
    kHistogramCommand,     kCompareCommand,
    kDrainCommand,         kGoneCommand,
    kExplainCommand,       kLoadCommand,
    kCompletionCommand,    kHelpCommand,
};

std::size_t CountWords(std::string_view words) {
  return words.find(' ') == std::string_view::npos ? 1 : 2;
}

std::string JoinFirstWords(const std::vector<std::string>& args,
                           std::size_t count) {
  if (args.size() < count) {
    return "";
  }
  return count == 1 ? args[0] : args[0] + " " + args[1];
}

}  // namespace

std::span<const CtlCommand> CtlCommands() {
  return kCommands;
}

const CtlCommand* FindCtlCommand(const std::vector<std::string>& args) {
  for (const CtlCommand& it : kCommands) {
    if (JoinFirstWords(args, CountWords(it.words)) == it.words) {
      return &it;
    }
  }
  return nullptr;
}

po::options_description OptionsOf(const CtlCommand& command) {
  po::options_description options("options");
  options.add_options()("help,h", "show the command's usage")(
      "json", "print JSON for programs");
  if (command.hosts == CtlHosts::kByOption) {
    options.add_options()(
        "host", po::value<std::vector<std::string>>()->value_name("IP:PORT"),
        "administration address of a host; may be repeated");
  }
  if (command.hosts != CtlHosts::kNone) {
    options.add_options()(
        "token-file", po::value<std::string>()->value_name("FILE"),
        "file with the administration token; without it the environment "
        "variable DAMASKTACK_TOKEN is used")(
        "timeout", po::value<std::string>()->value_name("TIME"),
        "timeout for each host, as in 2s; the default is 5s");
  }
  if (command.add_options != nullptr) {
    command.add_options(options);
  }
  return options;
}

}  // namespace damasktack
