#ifndef MAIN_CTL_COMMAND_H_
#define MAIN_CTL_COMMAND_H_

#include <boost/program_options.hpp>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/json_reader.h"
#include "main/ctl.h"

namespace damasktack {

// One run of a command: what was given, and where its output goes.
struct CtlInvocation {
  // After the command's own words.
  std::vector<std::string> arguments;
  boost::program_options::variables_map options;
  // Output for programs instead of people.
  bool json = false;
  std::ostream& out;
  std::ostream& err;
};

// How a command learns which hosts to ask.
enum class CtlHosts : std::uint8_t {
  // It asks none.
  kNone,
  // By the option --host.
  kByOption,
  // By its arguments.
  kByArgument,
};

inline constexpr std::size_t kUnlimitedArguments = static_cast<std::size_t>(-1);

// One subcommand. Usage, help, completion and the manual page are made from
// these members.
struct CtlCommand {
  // One or two words, as in "contract check".
  std::string_view words;
  // As in "FILE...".
  std::string_view arguments;
  std::string_view summary;
  // For the manual: what it does, prints and returns.
  std::string_view description;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  CtlHosts hosts = CtlHosts::kNone;
  // Options of its own; null for none.
  void (*add_options)(boost::program_options::options_description& options) =
      nullptr;
  // Prints its result; an error is printed by the caller.
  leaf::result<CtlExit> (*run)(const CtlInvocation& invocation) = nullptr;
};

}  // namespace damasktack

#endif  // MAIN_CTL_COMMAND_H_
