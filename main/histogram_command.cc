#include "main/histogram_command.h"

#include <compare>
#include <map>
#include <string>

#include "main/host_answers.h"
#include "main/text_table.h"
#include "main/time_histogram.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

constexpr auto kAddedOption = "added";
constexpr auto kCustomerOption = "customer";

struct SeriesName {
  std::string customer;
  std::string urgency;

  auto operator<=>(const SeriesName&) const = default;
};

using HistogramsByName = std::map<SeriesName, TimeHistogram>;

void AddHistogramOptions(po::options_description& options) {
  options.add_options()(
      kAddedOption,
      "show the time added by damasktack instead of the total "
      "time")(kCustomerOption, po::value<std::string>()->value_name("NAME"),
              "only this customer");
}

HistogramsByName Sum(const HostAnswers& answers,
                     const std::string& measure,
                     const std::string& customer) {
  HistogramsByName sums;
  for (const HostAnswer& host : answers.answers) {
    for (const Json& it : host.body.value("histograms", Json::array())) {
      const SeriesName name{CellOf(it, "customer"), CellOf(it, "class")};
      if (customer.empty() || name.customer == customer) {
        sums[name].Add(it.value(measure, Json::array()));
      }
    }
  }
  return sums;
}

void Print(const HistogramsByName& sums, std::ostream& out) {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  constexpr double kFarTail = 0.999;
  if (sums.empty()) {
    out << "no calls yet\n";
  }
  for (const auto& [name, histogram] : sums) {
    out << name.customer << " " << name.urgency << ": " << histogram.count()
        << " calls, p50 " << ShortTime(histogram.Quantile(kMedian)) << ", p99 "
        << ShortTime(histogram.Quantile(kTail)) << ", p99.9 "
        << ShortTime(histogram.Quantile(kFarTail)) << "\n";
    histogram.Draw(out);
  }
}

leaf::result<CtlExit> RunHistogram(const CtlInvocation& invocation) {
  BOOST_LEAF_AUTO(clients, MakeClientsForHosts(invocation));
  const HostAnswers answers =
      QueryAllHosts(clients, AdminVerb::kGet, "/v1/histograms");
  const bool added = invocation.options.count(kAddedOption) > 0;
  const std::string customer =
      invocation.options.count(kCustomerOption) > 0
          ? invocation.options[kCustomerOption].as<std::string>()
          : "";
  if (invocation.json) {
    invocation.out << ToJson(answers).dump(2) << "\n";
  } else if (!answers.answers.empty()) {
    Print(Sum(answers, added ? "added" : "total", customer), invocation.out);
  }
  PrintErrors(answers, invocation.err);
  return answers.exit();
}

}  // namespace

constinit const CtlCommand kHistogramCommand{
    .words = "histogram",
    .arguments = "",
    .summary = "draw histograms of call durations by customer and class",
    .description =
        "Sums the hosts' histograms since their starts and draws "
        "one for each customer and class with five lines per "
        "decade, each with the lower end of its range and its "
        "count. Quantiles are the upper ends of their bins, at "
        "most 12 percent too high.",
    .min_arguments = 0,
    .max_arguments = 0,
    .hosts = CtlHosts::kByOption,
    .add_options = AddHistogramOptions,
    .run = RunHistogram};

}  // namespace damasktack
