#include "main/manual_page.h"

#include <string>

#include "main/ctl_commands.h"
#include "main/daemon_options.h"
#include "main/help_command.h"
#include "main/settings.h"
#include "main/version.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

// Escapes text for troff, which may break a hyphen or replace it by a dash and
// interprets a line that starts with a dot as a request.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char it : text) {
    if (it == '\\') {
      escaped += "\\e";
    } else if (it == '-') {
      escaped += "\\-";
    } else {
      escaped += it;
    }
  }
  return escaped.starts_with('.') ? "\\&" + escaped : escaped;
}

void PrintHead(std::ostream& out,
               std::string_view name,
               int section,
               std::string_view summary) {
  out << ".TH " << name << " " << section << " \"\" \"damasktack " << kVersion
      << "\"\n.SH NAME\n"
      << name << " \\- " << Escape(summary) << "\n";
}

void PrintOptions(const po::options_description& options, std::ostream& out) {
  for (const auto& it : options.options()) {
    out << ".TP\n.B " << Escape("--" + it->long_name());
    const std::string value = it->format_parameter();
    if (!value.empty()) {
      out << " " << value;
    }
    out << "\n" << Escape(it->description()) << "\n";
  }
}

void PrintCommand(const CtlCommand& command, std::ostream& out) {
  out << ".SS \"" << Escape(UsageLine(command)) << "\"\n"
      << Escape(command.description) << "\n";
  PrintOptions(OptionsOf(command), out);
}

void PrintExit(std::ostream& out, int code, std::string_view meaning) {
  out << ".TP\n.B " << code << "\n" << Escape(meaning) << "\n";
}

}  // namespace

void PrintToolManual(std::ostream& out) {
  PrintHead(out, "damasktackctl", 1, "check, inspect and drain damasktack");
  out << ".SH SYNOPSIS\n.B damasktackctl\nCOMMAND [OPTION...] "
         "[ARGUMENT...]\n.SH COMMANDS\n";
  for (const CtlCommand& it : CtlCommands()) {
    PrintCommand(it, out);
  }
  out << ".SH ENVIRONMENT\n.TP\n.B DAMASKTACK_TOKEN\n"
      << Escape("administration token, used if --token-file is not given")
      << "\n.SH \"EXIT STATUS\"\n";
  PrintExit(out, static_cast<int>(CtlExit::kDone), "success, or valid");
  PrintExit(out, static_cast<int>(CtlExit::kFault),
            "a file is invalid, or hosts differ");
  PrintExit(out, static_cast<int>(CtlExit::kUsage), "wrong usage");
  PrintExit(out, static_cast<int>(CtlExit::kHost),
            "a host could not be reached, or it rejected the request");
  out << ".SH \"SEE ALSO\"\n.BR damasktack (8)\n";
}

void PrintDaemonManual(std::ostream& out) {
  PrintHead(out, "damasktack", 8, "load balancer daemon of one host");
  out << ".SH SYNOPSIS\n.B damasktack\n"
      << Escape("--settings") << " FILE\n.SH DESCRIPTION\n"
      << Escape(
             "Serves callers under their contracts until SIGTERM or "
             "SIGINT, which start a graceful stop: the daemon reports "
             "that it is not ready, continues to serve for stop.lag, "
             "finishes every call in flight and exits.")
      << "\n.SH OPTIONS\n";
  PrintOptions(DaemonOptions(), out);
  out << ".SH SETTINGS\n";
  for (const SettingDescription& it : DescribeSettings()) {
    out << ".TP\n.B " << Escape(it.key) << "\n"
        << Escape(it.meaning) << "; " << Escape(it.unit) << ", default "
        << Escape(it.default_value) << ", range " << Escape(it.range) << "\n";
  }
  out << ".SH \"EXIT STATUS\"\n";
  PrintExit(out, static_cast<int>(DaemonExit::kDone), "stopped gracefully");
  PrintExit(out, static_cast<int>(DaemonExit::kFailed), "could not start");
  PrintExit(out, static_cast<int>(DaemonExit::kBadSettings),
            "the command line or the settings are invalid");
  out << ".SH \"SEE ALSO\"\n.BR damasktackctl (1)\n";
}

}  // namespace damasktack
