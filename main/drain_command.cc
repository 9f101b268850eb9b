#include "main/drain_command.h"

#include <string>

#include "main/host_answers.h"
#include "main/text_table.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

constexpr auto kUndoOption = "undo";

void AddDrainOptions(po::options_description& options) {
  options.add_options()(kUndoOption, "end the drain");
}

// Sends a request to all hosts and prints the members `keys` of each response.
leaf::result<CtlExit> SendAndPrint(const CtlInvocation& invocation,
                                   AdminVerb verb,
                                   const std::string& path,
                                   const std::vector<std::string>& keys) {
  BOOST_LEAF_AUTO(clients, MakeClientsForHosts(invocation));
  const HostAnswers answers = QueryAllHosts(clients, verb, path);
  if (invocation.json) {
    invocation.out << ToJson(answers).dump(2) << "\n";
  }
  for (const HostAnswer& it : answers.answers) {
    if (invocation.json) {
      break;
    }
    invocation.out << ToString(it.address);
    for (const std::string& key : keys) {
      invocation.out << " " << key << "=" << CellOf(it.body, key);
    }
    invocation.out << "\n";
  }
  PrintErrors(answers, invocation.err);
  return answers.exit();
}

leaf::result<CtlExit> RunDrain(const CtlInvocation& invocation) {
  const bool undo = invocation.options.count(kUndoOption) > 0;
  const AdminVerb verb = undo ? AdminVerb::kDelete : AdminVerb::kPost;
  return SendAndPrint(invocation, verb, "/v1/drain",
                      {"host", "ready", "drained", "calls_in_flight"});
}

leaf::result<CtlExit> RunGone(const CtlInvocation& invocation) {
  const std::string path =
      "/v1/hosts/" + invocation.arguments.front() + "/gone";
  return SendAndPrint(invocation, AdminVerb::kPost, path, {"gone"});
}

}  // namespace

constinit const CtlCommand kDrainCommand{
    .words = "drain",
    .arguments = "",
    .summary = "drain a host, or end the drain",
    .description =
        "The host reports \"not ready\" to the platform's balancer "
        "and continues to serve calls that still arrive. The drain "
        "is not persisted; a host that is restarted is not drained.",
    .min_arguments = 0,
    .max_arguments = 0,
    .hosts = CtlHosts::kByOption,
    .add_options = AddDrainOptions,
    .run = RunDrain};

constinit const CtlCommand kGoneCommand{
    .words = "gone",
    .arguments = "HOST-ID",
    .summary = "tell hosts that another host's process has ended for good",
    .description =
        "Hosts keep reserving the part of every limit that belongs "
        "to an unreachable host, since it may still be serving "
        "behind a partition. Use this command only if the machine "
        "is known to be off; otherwise a customer's limit can be "
        "exceeded. Specify every running host with --host.",
    .min_arguments = 1,
    .max_arguments = 1,
    .hosts = CtlHosts::kByOption,
    .add_options = nullptr,
    .run = RunGone};

}  // namespace damasktack
