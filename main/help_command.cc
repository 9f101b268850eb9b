#include "main/help_command.h"

#include <string>

#include "main/ctl_commands.h"
#include "main/manual_page.h"
#include "main/text_table.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

constexpr auto kManOption = "man";
constexpr auto kManDaemonOption = "man-daemon";
constexpr auto kBash = "bash";

void AddHelpOptions(po::options_description& options) {
  options.add_options()(kManOption, "print damasktackctl(1) for man")(
      kManDaemonOption, "print damasktack(8) for man");
}

leaf::result<CtlExit> RunHelp(const CtlInvocation& invocation) {
  if (invocation.options.count(kManOption) > 0) {
    PrintToolManual(invocation.out);
    return CtlExit::kDone;
  }
  if (invocation.options.count(kManDaemonOption) > 0) {
    PrintDaemonManual(invocation.out);
    return CtlExit::kDone;
  }
  if (invocation.arguments.empty()) {
    PrintOverview(invocation.out);
    return CtlExit::kDone;
  }
  const CtlCommand* command = FindCtlCommand(invocation.arguments);
  if (command == nullptr) {
    return Fail(ErrorKind::kUsage, "help", invocation.arguments.front(),
                "use a command that damasktackctl help lists");
  }
  PrintUsage(*command, invocation.out);
  return CtlExit::kDone;
}

// Prints completion rules with the names and options of all commands. They do
// not check which options can be combined; the commands report that.
leaf::result<CtlExit> RunCompletion(const CtlInvocation& invocation) {
  if (invocation.arguments.front() != kBash) {
    return Fail(ErrorKind::kUsage, "completion", invocation.arguments.front(),
                "write: damasktackctl completion bash");
  }
  std::ostream& out = invocation.out;
  out << "# Use: source <(damasktackctl completion bash)\n"
      << "_damasktackctl() {\n"
      << "  local line=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\"\n"
      << "  local words=\"\"\n"
      << "  case \"$line\" in\n";
  std::string first_words;
  for (const CtlCommand& command : CtlCommands()) {
    std::string words;
    for (const auto& option : OptionsOf(command).options()) {
      words += "--" + option->long_name() + " ";
    }
    out << "    \"" << command.words << "\"*) words=\"" << words << "\" ;;\n";
    const std::string first(command.words.substr(0, command.words.find(' ')));
    if ((" " + first_words).find(" " + first + " ") == std::string::npos) {
      first_words += first + " ";
    }
  }
  for (const std::string_view group : {"contract", "settings"}) {
    out << "    \"" << group << "\") words=\"";
    for (const CtlCommand& command : CtlCommands()) {
      if (command.words.starts_with(std::string(group) + " ")) {
        out << command.words.substr(group.size() + 1) << " ";
      }
    }
    out << "\" ;;\n";
  }
  out << "    \"\") words=\"" << first_words << "\" ;;\n"
      << "  esac\n"
      << "  COMPREPLY=($(compgen -o default -W \"$words\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
      << "}\n"
      << "complete -F _damasktackctl damasktackctl\n";
  return CtlExit::kDone;
}

}  // namespace

std::string UsageLine(const CtlCommand& command) {
  std::string line = "damasktackctl " + std::string(command.words);
  if (command.hosts == CtlHosts::kByOption) {
    line += " --host IP:PORT";
  }
  if (!command.arguments.empty()) {
    line += " " + std::string(command.arguments);
  }
  return line;
}

void PrintUsage(const CtlCommand& command, std::ostream& out) {
  out << "usage: " << UsageLine(command) << "\n\n"
      << command.description << "\n\n"
      << OptionsOf(command);
}

void PrintOverview(std::ostream& out) {
  out << "usage: damasktackctl COMMAND [OPTION...] [ARGUMENT...]\n\n";
  TextTable table({"COMMAND", ""});
  for (const CtlCommand& it : CtlCommands()) {
    table.AddRow({std::string(it.words), std::string(it.summary)});
  }
  table.Print(out);
  out << "\ndamasktackctl help COMMAND shows a command's options.\n";
}

constinit const CtlCommand kHelpCommand{
    .words = "help",
    .arguments = "[COMMAND]",
    .summary = "list the commands, or show the options of one command",
    .description = "With --man or --man-daemon: prints a manual page.",
    .min_arguments = 0,
    .max_arguments = 2,
    .hosts = CtlHosts::kNone,
    .add_options = AddHelpOptions,
    .run = RunHelp};

constinit const CtlCommand kCompletionCommand{
    .words = "completion",
    .arguments = "bash",
    .summary = "print rules for shell completion",
    .description = "To use them: source <(damasktackctl completion bash)",
    .min_arguments = 1,
    .max_arguments = 1,
    .hosts = CtlHosts::kNone,
    .add_options = nullptr,
    .run = RunCompletion};

}  // namespace damasktack
