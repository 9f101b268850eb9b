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

// One invocation of a command: its arguments, its options and its output
// streams.
struct CtlInvocation {
  // Positional arguments after the command's name.
  std::vector<std::string> arguments;
  boost::program_options::variables_map options;
  // Whether to print JSON for programs instead of text for people.
  bool json = false;
  std::ostream& out;
  std::ostream& err;
};

// How a command is given the hosts to query.
enum class CtlHosts : std::uint8_t {
  // It queries no hosts.
  kNone,
  // By the option --host.
  kByOption,
  // By its arguments.
  kByArgument,
};

inline constexpr std::size_t kUnlimitedArguments = static_cast<std::size_t>(-1);

// One subcommand. Usage, help, shell completion and the manual page are
// generated from its members.
struct CtlCommand {
  // Name of one or two words, as in "contract check".
  std::string_view words;
  // Placeholders of the arguments, as in "FILE...".
  std::string_view arguments;
  std::string_view summary;
  // Text for the manual: what the command does, prints and returns.
  std::string_view description;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  CtlHosts hosts = CtlHosts::kNone;
  // Adds the command's own options; null if it has none.
  void (*add_options)(boost::program_options::options_description& options) =
      nullptr;
  // Runs the command and prints its result; the caller prints an error.
  leaf::result<CtlExit> (*run)(const CtlInvocation& invocation) = nullptr;
};

}  // namespace damasktack

#endif  // MAIN_CTL_COMMAND_H_
