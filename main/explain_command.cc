#include "main/explain_command.h"

#include <filesystem>
#include <fstream>
#include <utility>

#include "main/call_explainer.h"

namespace damasktack {

namespace {

leaf::result<std::vector<LogLine>> ReadLogs(
    const std::vector<std::string>& paths) {
  std::vector<LogLine> lines;
  for (const std::string& path : paths) {
    std::ifstream in(path);
    if (!in) {
      return Fail(ErrorKind::kFileUnreadable, path,
                  "a file that cannot be opened", "specify the log of a host");
    }
    for (LogLine& it :
         ReadLog(in, std::filesystem::path(path).stem().string())) {
      lines.push_back(std::move(it));
    }
  }
  return lines;
}

Json ToJson(const std::vector<LogLine>& lines) {
  Json list = Json::array();
  for (const LogLine& it : lines) {
    list.push_back({{"time", it.time}, {"host", it.host}, {"text", it.text}});
  }
  return list;
}

void Print(const std::vector<LogLine>& lines, std::ostream& out) {
  for (const LogLine& it : lines) {
    out << "  " << it.time << " " << it.host << " " << it.text << "\n";
  }
}

leaf::result<CtlExit> RunExplain(const CtlInvocation& invocation) {
  const std::string& call = invocation.arguments.front();
  BOOST_LEAF_AUTO(lines, ReadLogs({invocation.arguments.begin() + 1,
                                   invocation.arguments.end()}));
  const CallExplanation found = ExplainCall(call, std::move(lines));
  if (invocation.json) {
    invocation.out << Json{{"call", call},
                           {"meanings", found.explanations},
                           {"lines", ToJson(found.calls)},
                           {"beliefs", ToJson(found.prior_events)}}
                          .dump(2)
                   << "\n";
  } else if (found.calls.empty()) {
    invocation.out << "No log line for " << call
                   << ": it simply succeeded, it reached none of these hosts, "
                      "or its line was left out in a burst (left_out in later "
                      "lines).\n";
  } else {
    for (const std::string& it : found.explanations) {
      invocation.out << call << " " << it << "\n";
    }
    invocation.out << "\nIts lines:\n";
    Print(found.calls, invocation.out);
    invocation.out << "\nWhat its hosts had come to believe before:\n";
    Print(found.prior_events, invocation.out);
  }
  return found.calls.empty() ? CtlExit::kFault : CtlExit::kDone;
}

}  // namespace

constinit const CtlCommand kExplainCommand{
    .words = "explain",
    .arguments = "CALL FILE...",
    .summary = "explain the outcome of a call from the logs of hosts",
    .description =
        "Reads the logs of one or several hosts and prints in "
        "chronological order how the call with this ID ended on "
        "each of them, on which data the decision was based, and "
        "which state the host had logged before: routes in force, "
        "ejections of the call's endpoint, loss and recovery of "
        "the store, peers, starts and stops.",
    .min_arguments = 2,
    .max_arguments = kUnlimitedArguments,
    .hosts = CtlHosts::kNone,
    .add_options = nullptr,
    .run = RunExplain};

}  // namespace damasktack
