#include "main/load_command.h"

#include <boost/program_options.hpp>

#include "main/file_text.h"
#include "main/load_generator.h"
#include "main/load_report.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

constexpr auto kPlanOption = "plan";
constexpr auto kDurationOption = "duration";

leaf::result<LoadPlan> ReadPlan(const CtlInvocation& invocation) {
  if (invocation.options.count(kPlanOption) == 0) {
    return Fail(ErrorKind::kUsage, "--plan", "nothing",
                "specify a plan with --plan FILE");
  }
  const auto path = invocation.options[kPlanOption].as<std::string>();
  BOOST_LEAF_AUTO(
      text, ReadWholeFile(path, "specify an existing plan with --plan FILE"));
  BOOST_LEAF_AUTO(plan, ParseLoadPlan(text, path));
  if (invocation.options.count(kDurationOption) > 0) {
    BOOST_LEAF_ASSIGN(
        plan.duration,
        ParseDuration(invocation.options[kDurationOption].as<std::string>(),
                      "--duration"));
  }
  return plan;
}

void AddLoadOptions(po::options_description& options) {
  options.add_options()(kPlanOption,
                        po::value<std::string>()->value_name("FILE"),
                        "file with classes and entries as JSON with comments")(
      kDurationOption, po::value<std::string>()->value_name("TIME"),
      "duration that replaces that of the plan, as in 10s");
}

leaf::result<CtlExit> RunLoad(const CtlInvocation& invocation) {
  BOOST_LEAF_AUTO(plan, ReadPlan(invocation));
  const LoadRecords records = LoadGenerator(plan).Run();
  const auto reports = ReportLoad(plan, records);
  if (invocation.json) {
    invocation.out << ToJson(reports).dump() << "\n";
  } else {
    PrintLoad(reports, invocation.out);
  }
  return CtlExit::kDone;
}

}  // namespace

constinit const CtlCommand kLoadCommand{
    .words = "load",
    .arguments = "",
    .summary =
        "send the calls of a load plan and print the results of "
        "each class",
    .description =
        "A load generator for demos and experiments. Calls start "
        "at their planned times whether or not earlier ones have "
        "been answered, and latency is measured from the planned "
        "time.",
    .min_arguments = 0,
    .max_arguments = 0,
    .hosts = CtlHosts::kNone,
    .add_options = AddLoadOptions,
    .run = RunLoad};

}  // namespace damasktack
