// Runs load scenarios with several balancing policies on the same arrivals and
// prints how far each policy is from an oracle.
//
//   load_experiment_bench --scenarios bench/scenarios/knee.json --seeds 5
//   load_experiment_bench --set on_time_margin=1.3 --csv before.csv

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "core/json_reader.h"
#include "policy/measured_balancer.h"
#include "standin/load_emulator.h"

namespace damasktack {
namespace {

namespace po = boost::program_options;
using std::chrono::hours;
using std::chrono::microseconds;

struct Scenario {
  std::string name;
  EmulatedService service;
  EmulatedLoad load;
};

void ReadInt(JsonReader& reader, std::string_view key, int& out) {
  std::int64_t value = out;
  reader.ReadOptional(key, value, 0, 1'000'000);
  out = static_cast<int>(value);
}

leaf::result<void> ReadService(const Json& json, EmulatedService& out) {
  JsonReader reader(json, "service");
  ReadInt(reader, "endpoints", out.endpoints);
  ReadInt(reader, "slots", out.slots);
  ReadInt(reader, "queue", out.queue);
  ReadInt(reader, "zones", out.zones);
  reader.ReadOptional("work", out.work, microseconds(1), hours(1));
  reader.ReadOptional("work_spread", out.work_spread, 0, 3);
  reader.ReadOptional("knee", out.knee, 0, 1);
  reader.ReadOptional("knee_factor", out.knee_factor, 1, 100);
  reader.ReadOptional("slow_part", out.slow_part, 0, 1);
  reader.ReadOptional("slow_factor", out.slow_factor, 1, 100);
  reader.ReadOptional("slow_for", out.slow_for, microseconds(1), hours(1));
  reader.ReadOptional("shed_part", out.shed_part, 0, 1);
  reader.ReadOptional("cold_part", out.cold_part, 0, 1);
  reader.ReadOptional("cold_from", out.cold_from, microseconds(0), hours(1));
  reader.ReadOptional("cold_for", out.cold_for, microseconds(1), hours(1));
  reader.ReadOptional("cold_factor", out.cold_factor, 1, 100);
  reader.ReadOptional("cold_rate", out.cold_rate, 0, 1e6);
  return reader.Finish();
}

leaf::result<void> ReadLoad(const Json& json, EmulatedLoad& out) {
  JsonReader reader(json, "load");
  ReadInt(reader, "hosts", out.hosts);
  ReadInt(reader, "believed_hosts", out.believed_hosts);
  ReadInt(reader, "caller_retries", out.caller_retries);
  reader.ReadOptional("calls_per_second", out.calls_per_second, 0.1, 1e6);
  reader.ReadOptional("middle_factor", out.middle_factor, 0, 100);
  reader.ReadOptional("objective", out.objective, microseconds(1), hours(1));
  reader.ReadOptional("deadline", out.deadline, microseconds(1), hours(1));
  reader.ReadOptional("length", out.length, microseconds(1), hours(1));
  reader.ReadOptional("leaving_part", out.leaving_part, 0, 1);
  reader.ReadOptional("leave_after", out.leave_after, microseconds(1),
                      hours(1));
  reader.ReadOptional("most_lateness", out.most_lateness, microseconds(0),
                      hours(1));
  return reader.Finish();
}

leaf::result<Scenario> ReadScenario(const Json& json) {
  Scenario scenario;
  JsonReader reader(json, "scenario");
  reader.Read("name", scenario.name);
  const Json* service = reader.OptionalObject("service");
  const Json* load = reader.OptionalObject("load");
  BOOST_LEAF_CHECK(reader.Finish());
  if (service != nullptr) {
    BOOST_LEAF_CHECK(ReadService(*service, scenario.service));
  }
  if (load != nullptr) {
    BOOST_LEAF_CHECK(ReadLoad(*load, scenario.load));
  }
  return scenario;
}

leaf::result<std::vector<Scenario>> ReadScenarios(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  BOOST_LEAF_AUTO(json, ParseJson(text.str(), path));
  if (!json.is_array()) {
    return Fail(ErrorKind::kWrongType, path, "not a list",
                "write a list of scenarios in brackets");
  }
  std::vector<Scenario> scenarios;
  for (const Json& it : json) {
    BOOST_LEAF_AUTO(scenario, ReadScenario(it));
    scenarios.push_back(std::move(scenario));
  }
  return scenarios;
}

struct Policy {
  std::string name;
  BalancerFactory make;
};

// Disables probes, so that the balancer only uses its own calls and the reports
// in responses.
MeasuredBalancerOptions WithoutProbes(MeasuredBalancerOptions options) {
  options.probe_limit = 0;
  options.probe_burst = 0;
  return options;
}

Policy MakeMeasured(std::string name,
                    MeasuredBalancerOptions options,
                    int zones) {
  return {std::move(name), [options, zones](int host, std::uint64_t seed) {
            MeasuredBalancerOptions own = options;
            own.host = HostId("h" + std::to_string(host));
            own.zone = ZoneId(std::to_string(host % zones));
            return std::make_unique<MeasuredBalancer>(own, seed);
          }};
}

std::vector<Policy> MakePolicies(const MeasuredBalancerOptions& options,
                                 int zones) {
  return {{"oracle", [](int, std::uint64_t) { return nullptr; }},
          MakeMeasured("measured", options, zones),
          MakeMeasured("own-calls", WithoutProbes(options), zones)};
}

leaf::result<void> SetOption(const std::string& text,
                             MeasuredBalancerOptions& options) {
  const std::size_t equals = text.find('=');
  const std::string name = text.substr(0, equals);
  const std::string value =
      equals == std::string::npos ? "" : text.substr(equals + 1);
  char* end = nullptr;
  const double number = std::strtod(value.c_str(), &end);
  const auto ms = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(number));
  const bool is_number = !value.empty() && *end == '\0';
  if (is_number && name == "on_time_margin") {
    options.on_time_margin = number;
  } else if (is_number && name == "good_pace") {
    options.good_pace = number;
  } else if (is_number && name == "other_zone") {
    options.preference.other_zone = number;
  } else if (is_number && name == "first_probes") {
    options.first_probes = static_cast<std::size_t>(number);
  } else if (is_number && name == "retry_percent") {
    options.retries.service_percent = static_cast<std::int64_t>(number);
  } else if (is_number && name == "retry_burst") {
    options.retries.service_cap = number;
  } else if (is_number && name == "retry_slack") {
    options.retries.fleet_slack = number;
  } else if (is_number && name == "most_refused") {
    options.retries.max_refused = number;
  } else if (is_number && name == "group") {
    options.preference.group = static_cast<std::size_t>(number);
  } else if (is_number && name == "cold_overshoot") {
    options.cold.overshoot = number;
  } else if (is_number && name == "cold_slack") {
    options.cold.slack = number;
  } else if (is_number && name == "fresh_ms") {
    options.fresh = ms;
  } else if (is_number && name == "memory_ms") {
    options.memory = ms;
  } else {
    return Fail(
        ErrorKind::kOutOfRange, "--set", text,
        "set one of on_time_margin, good_pace, other_zone, "
        "first_probes, retry_percent, retry_burst, retry_slack, most_refused, "
        "group, cold_overshoot, cold_slack, fresh_ms, memory_ms to a "
        "number");
  }
  return {};
}

struct Mean {
  std::vector<double> values;

  double value() const {
    double sum = 0;
    for (const double it : values) {
      sum += it;
    }
    return sum / static_cast<double>(values.size());
  }
  // Standard error of the mean.
  double error() const {
    if (values.size() < 2) {
      return 0;
    }
    double squares = 0;
    for (const double it : values) {
      squares += (it - value()) * (it - value());
    }
    const auto n = static_cast<double>(values.size());
    return std::sqrt(squares / (n - 1) / n);
  }
};

void RunScenario(const Scenario& scenario,
                 const MeasuredBalancerOptions& options,
                 std::uint64_t seeds,
                 std::ostream& csv) {
  std::vector<double> oracle_worth;
  for (const Policy& policy : MakePolicies(options, scenario.service.zones)) {
    Mean worth;
    Mean served;
    Mean regret;
    double probes = 0;
    double cross_zone_sends = 0;
    double cold = 0;
    std::uint64_t peak_cold_rate = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const EmulatedFigures figures =
          LoadEmulator(scenario.service, scenario.load, policy.make, seed)
              .Run();
      const auto calls = static_cast<double>(figures.calls);
      worth.values.push_back(figures.WeightedOnTimeShare());
      served.values.push_back(figures.Served());
      if (policy.name == "oracle") {
        oracle_worth.push_back(figures.WeightedOnTimeShare());
      }
      regret.values.push_back(oracle_worth[seed - 1] -
                              figures.WeightedOnTimeShare());
      probes += static_cast<double>(figures.probes) / calls / seeds;
      cross_zone_sends +=
          static_cast<double>(figures.other_zone_sends) / calls / seeds;
      cold += static_cast<double>(figures.cold_sends) / calls / seeds;
      peak_cold_rate =
          std::max(peak_cold_rate, figures.max_cold_sends_per_second);
      csv << scenario.name << ',' << policy.name << ',' << seed << ','
          << figures.WeightedOnTimeShare() << ',' << figures.Served() << ','
          << figures.calls << ',' << figures.on_time << ',' << figures.late
          << ',' << figures.refused << ',' << figures.failed << ','
          << figures.probes << ',' << figures.other_zone_sends << ','
          << figures.cold_sends << ',' << figures.max_cold_sends_per_second
          << '\n';
    }
    std::printf(
        "%-15s %-10s %7.4f %6.4f %7.4f %7.4f %6.4f %7.2f %9.2f %7.3f "
        "%10llu\n",
        scenario.name.c_str(), policy.name.c_str(), worth.value(),
        worth.error(), served.value(), regret.value(), regret.error(), probes,
        cross_zone_sends, cold,
        static_cast<unsigned long long>(peak_cold_rate));
  }
}

leaf::result<void> Run(const po::variables_map& arguments) {
  MeasuredBalancerOptions options;
  for (const std::string& it :
       arguments["set"].as<std::vector<std::string>>()) {
    BOOST_LEAF_CHECK(SetOption(it, options));
  }
  BOOST_LEAF_AUTO(scenarios,
                  ReadScenarios(arguments["scenarios"].as<std::string>()));
  std::ofstream csv(arguments["csv"].as<std::string>());
  csv << "scenario,policy,seed,worth,served,calls,on_time,late,refused,failed,"
         "probes,other_zone,cold,worst_cold_second\n";
  std::printf("%-15s %-10s %7s %6s %7s %7s %6s %7s %9s %7s %10s\n", "scenario",
              "policy", "worth", "+-", "served", "regret", "+-", "probes",
              "crossings", "cold", "worst cold");
  for (const Scenario& it : scenarios) {
    RunScenario(it, options, arguments["seeds"].as<std::uint64_t>(), csv);
  }
  return {};
}

int Main(int argc, char** argv) {
  po::options_description description("load_experiment_bench");
  description.add_options()("help", "print this help")(
      "scenarios",
      po::value<std::string>()->default_value("bench/scenarios/knee.json"),
      "file with the scenarios to run")(
      "seeds", po::value<std::uint64_t>()->default_value(3),
      "number of seeds, starting at 1, to run with each policy")(
      "csv", po::value<std::string>()->default_value("/dev/null"),
      "output file with one line per scenario, policy and seed")(
      "set", po::value<std::vector<std::string>>()->default_value({}, ""),
      "option of the measured policy as NAME=VALUE; may be repeated");
  po::variables_map arguments;
  try {
    po::store(po::parse_command_line(argc, argv, description), arguments);
  } catch (const po::error& problem) {
    std::cerr << problem.what() << "; see --help\n";
    return 2;
  }
  po::notify(arguments);
  if (arguments.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  const std::optional<Error> fault =
      CaptureError([&] { return Run(arguments); });
  if (fault) {
    std::cerr << ToString(*fault) << "\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace damasktack

int main(int argc, char** argv) {
  return damasktack::Main(argc, argv);
}
