#include "main/ctl.h"

#include <algorithm>
#include <boost/program_options.hpp>

#include "admin/admin_json.h"
#include "main/ctl_commands.h"
#include "main/help_command.h"
#include "main/version.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

constexpr auto kArgument = "argument";

CtlExit ExitCodeFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kUsage:
      return CtlExit::kUsage;
    case ErrorKind::kUnreachable:
    case ErrorKind::kTimeout:
    case ErrorKind::kUnauthorized:
    case ErrorKind::kProtocol:
    case ErrorKind::kRefused:
      return CtlExit::kHost;
    default:
      return CtlExit::kFault;
  }
}

bool HasJsonOption(const std::vector<std::string>& args) {
  return std::ranges::find(args, "--json") != args.end();
}

std::size_t CountWords(std::string_view words) {
  return 1 + static_cast<std::size_t>(std::ranges::count(words, ' '));
}

leaf::result<po::variables_map> ParseOptions(
    const CtlCommand& command,
    const std::vector<std::string>& args) {
  po::options_description options = OptionsOf(command);
  options.add_options()(kArgument, po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add(kArgument, -1);
  po::variables_map given;
  std::string message;
  try {
    po::store(po::command_line_parser(args)
                  .options(options)
                  .positional(positional)
                  .run(),
              given);
    po::notify(given);
    return given;
  } catch (const po::error& exception) {
    message = exception.what();
  }
  return Fail(ErrorKind::kUsage, std::string(command.words), message,
              "see damasktackctl help " + std::string(command.words));
}

leaf::result<CtlExit> RunCommand(const CtlCommand& command,
                                 const std::vector<std::string>& args,
                                 std::ostream& out,
                                 std::ostream& err) {
  BOOST_LEAF_AUTO(given, ParseOptions(command, args));
  if (given.count("help") > 0) {
    PrintUsage(command, out);
    return CtlExit::kDone;
  }
  std::vector<std::string> arguments;
  if (given.count(kArgument) > 0) {
    arguments = given[kArgument].as<std::vector<std::string>>();
  }
  if (arguments.size() < command.min_arguments ||
      arguments.size() > command.max_arguments) {
    return Fail(ErrorKind::kUsage, std::string(command.words),
                std::to_string(arguments.size()) + " arguments",
                "write: " + UsageLine(command));
  }
  const bool json = given.count("json") > 0;
  return command.run(
      CtlInvocation{std::move(arguments), std::move(given), json, out, err});
}

CtlExit Report(const Error& error,
               bool json,
               std::ostream& out,
               std::ostream& err) {
  if (json) {
    out << Json{{"error", RenderError(error)}}.dump(2) << "\n";
  }
  err << "damasktackctl: " << error << "\n";
  return ExitCodeFor(error.kind);
}

}  // namespace

int RunCtl(const std::vector<std::string>& args,
           std::ostream& out,
           std::ostream& err) {
  if (args.empty() || args[0] == "--help" || args[0] == "-h") {
    PrintOverview(args.empty() ? err : out);
    return static_cast<int>(args.empty() ? CtlExit::kUsage : CtlExit::kDone);
  }
  if (args[0] == "--version") {
    out << "damasktackctl " << kVersion << "\n";
    return static_cast<int>(CtlExit::kDone);
  }
  const CtlExit code = Try(
      [&]() -> leaf::result<CtlExit> {
        const CtlCommand* command = FindCtlCommand(args);
        if (command == nullptr) {
          return Fail(ErrorKind::kUsage, "command line", args[0],
                      "use a command that damasktackctl help lists");
        }
        const auto words =
            static_cast<std::ptrdiff_t>(CountWords(command->words));
        return RunCommand(*command, {args.begin() + words, args.end()}, out,
                          err);
      },
      [&](const Error& error) {
        return Report(error, HasJsonOption(args), out, err);
      });
  return static_cast<int>(code);
}

}  // namespace damasktack
