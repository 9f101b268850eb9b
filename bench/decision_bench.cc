// Runs the endpoint table with each picker against simulated endpoints and
// prints one CSV line per run and class. The arguments name suites of kSuites;
// without arguments all suites run.
#include <array>
#include <atomic>
#include <cstdio>
#include <functional>
#include <string_view>
#include <thread>
#include <vector>

#include "bench/decision_simulation.h"

namespace damasktack {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

struct Deployment {
  std::string_view name;
  int endpoints;
  int slots;
  int zones;
  Duration zone_distance;
};

constexpr std::array<Deployment, 6> kDeployments = {{
    {"alentejo-dashboard", 15, 6, 3, milliseconds(1)},
    {"alentejo-dispatch", 6, 6, 3, milliseconds(1)},
    {"alentejo-history", 13, 6, 3, milliseconds(1)},
    {"cuyo-status", 8, 3, 4, microseconds(1500)},
    {"cuyo-renewals", 8, 3, 4, microseconds(1500)},
    {"cuyo-limits", 10, 3, 4, microseconds(1500)},
}};
constexpr std::array<double, 5> kLoads = {0.5, 0.7, 0.85, 0.95, 1.1};
constexpr double kProbesPerSecond = 20;

struct Run {
  Deployment deployment;
  std::string scenario;
  SimulationOptions options;
  SimulationFigures figures;
};

SimulationOptions OptionsFor(const Deployment& deployment,
                             std::string_view picker,
                             double load) {
  SimulationOptions options;
  options.endpoints = deployment.endpoints;
  options.slots = deployment.slots;
  options.zones = deployment.zones;
  options.zone_distance = deployment.zone_distance;
  options.picker = picker;
  options.load = load;
  options.probes_per_second = kProbesPerSecond;
  return options;
}

void AddLoads(std::vector<Run>& runs) {
  for (const Deployment& deployment : kDeployments) {
    for (const std::string_view picker : PickerNames()) {
      for (const double load : kLoads) {
        runs.push_back(
            {deployment, "steady", OptionsFor(deployment, picker, load), {}});
      }
    }
  }
}

// Adds runs for the two deployments that differ most, at 85% load.
void AddForTwoDeployments(
    std::vector<Run>& runs,
    const std::string& scenario,
    const std::function<void(SimulationOptions&)>& change) {
  for (const Deployment& deployment : {kDeployments[0], kDeployments[3]}) {
    for (const std::string_view picker : PickerNames()) {
      Run run{deployment, scenario, OptionsFor(deployment, picker, 0.85), {}};
      change(run.options);
      runs.push_back(run);
    }
  }
}

void AddReportAges(std::vector<Run>& runs) {
  for (const int age : {5, 50, 500}) {
    AddForTwoDeployments(
        runs, "report-" + std::to_string(age) + "ms",
        [=](SimulationOptions& it) { it.report_period = milliseconds(age); });
  }
}

void AddFaults(std::vector<Run>& runs) {
  const std::array<std::pair<const char*, SimulatedFault>, 4> faults = {{
      {"slow-10x", SimulatedFault::kSlow},
      {"fast-errors", SimulatedFault::kFastErrors},
      {"drain", SimulatedFault::kDrain},
      {"frozen-report", SimulatedFault::kFrozenReport},
  }};
  for (const auto& [name, fault] : faults) {
    AddForTwoDeployments(runs, name,
                         [=](SimulationOptions& it) { it.fault = fault; });
  }
}

void AddProbes(std::vector<Run>& runs) {
  for (const Deployment& deployment : kDeployments) {
    for (const int per_call : {0, 1, 3}) {
      for (const double budget : {0.0, 20.0}) {
        if (per_call > 0 && budget > 0) {
          continue;
        }
        Run run{deployment,
                "probes-" + std::to_string(per_call) + "-by-call-" +
                    std::to_string(static_cast<int>(budget)) + "-a-second",
                OptionsFor(deployment, ChosenPicker::kName, 0.85),
                {}};
        run.options.probes_per_call = per_call;
        run.options.probes_per_second = budget;
        runs.push_back(run);
      }
    }
  }
}

struct Suite {
  std::string_view name;
  void (*add)(std::vector<Run>&);
};
constexpr std::array<Suite, 4> kSuites = {{
    {"loads", AddLoads},
    {"report-ages", AddReportAges},
    {"faults", AddFaults},
    {"probes", AddProbes},
}};

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void Print(Run& run) {
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    ClassFigures& it = run.figures.classes[n];
    std::printf(
        "%s,%s,%s,%.0f,%s,%llu,%llu,%llu,%.2f,%.2f,%.2f,%.4f,%llu,%.1f\n",
        std::string(run.deployment.name).c_str(), run.scenario.c_str(),
        std::string(run.options.picker).c_str(), run.options.load * 100,
        std::string(ToString(static_cast<Urgency>(n))).c_str(),
        static_cast<unsigned long long>(it.calls),
        static_cast<unsigned long long>(it.refused),
        static_cast<unsigned long long>(it.failed),
        Milliseconds(it.Quantile(0.5)), Milliseconds(it.Quantile(0.99)),
        Milliseconds(it.Quantile(0.999)), run.figures.to_faulty,
        static_cast<unsigned long long>(run.figures.late_to_faulty),
        1000.0 * static_cast<double>(run.figures.probes) /
            static_cast<double>(std::max<std::uint64_t>(run.figures.sends, 1)));
  }
}

// Executes the runs, which are independent of each other, on several threads.
void RunAll(std::vector<Run>& runs) {
  constexpr int kThreads = 4;
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  for (int n = 0; n < kThreads; ++n) {
    threads.emplace_back([&] {
      for (std::size_t it = next++; it < runs.size(); it = next++) {
        runs[it].figures = DecisionSimulation(runs[it].options).Run();
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
}

bool IsSelected(std::string_view suite, int argc, char** argv) {
  for (int n = 1; n < argc; ++n) {
    if (suite == argv[n]) {
      return true;
    }
  }
  return argc == 1;
}

}  // namespace
}  // namespace damasktack

int main(int argc, char** argv) {
  std::vector<damasktack::Run> runs;
  for (const damasktack::Suite& it : damasktack::kSuites) {
    if (damasktack::IsSelected(it.name, argc, argv)) {
      it.add(runs);
    }
  }
  damasktack::RunAll(runs);
  std::puts(
      "service,scenario,picker,load_percent,class,calls,refused,failed,p50_ms,"
      "p99_ms,p999_ms,to_faulty,late_to_faulty,probes_per_1000");
  for (damasktack::Run& it : runs) {
    damasktack::Print(it);
  }
}
