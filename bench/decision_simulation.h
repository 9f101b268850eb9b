#ifndef BENCH_DECISION_SIMULATION_H_
#define BENCH_DECISION_SIMULATION_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "policy/endpoint_table.h"

namespace damasktack {

// What goes wrong at the first endpoint, from 40% to 60% of the run or, for
// the slowdown, for 2 s.
enum class SimulatedFault { kNone, kSlow, kFastErrors, kDrain, kFrozenReport };

struct SimulationOptions {
  int endpoints = 15;
  int slots = 6;
  int zones = 3;
  Duration zone_distance = std::chrono::milliseconds(1);
  int hosts = 15;
  // Share of all slots that the offered calls would take.
  double load = 0.85;
  std::string_view picker = "sampling";
  // How often an endpoint renews its report; zero is at each answer.
  Duration report_period{};
  SimulatedFault fault = SimulatedFault::kNone;
  double probes_per_second = 0;
  // Also sends this many probes with every call, outside any budget.
  int probes_per_call = 0;
  // By class: what a call lets an endpoint's load add up to.
  std::array<double, kUrgencyCount> max_load = {1.5, 1.34, 1.0};
  Duration length = std::chrono::seconds(20);
  std::uint64_t seed = 1;
};

struct ClassFigures {
  std::uint64_t calls = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::vector<Duration> latencies;

  // Of the calls that were answered.
  Duration Quantile(double share);
};

struct SimulationFigures {
  std::array<ClassFigures, kUrgencyCount> classes;
  std::uint64_t probes = 0;
  std::uint64_t sends = 0;
  // Share of the sends during the fault that went to the faulty endpoint, a
  // fair part being one by the number of endpoints.
  double to_faulty = 0;
  // Sends to it from 500 ms after the fault began.
  std::uint64_t late_to_faulty = 0;
};

// Fifteen hosts, each with its own endpoint table, and endpoints with slots
// that serve in order of arrival, in one queue of events. A host lets calls
// wait by urgency while its table gives no endpoint.
class DecisionSimulation {
 public:
  explicit DecisionSimulation(const SimulationOptions& options);
  SimulationFigures Run();

 private:
  enum class Kind { kArrival, kReach, kServed, kAnswer, kTick, kProbe, kLoad };
  struct Event {
    Duration at;
    std::uint64_t order;
    Kind kind;
    std::uint32_t host;
    std::uint32_t endpoint;
    std::uint32_t call;
    EndpointReport report;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Call {
    std::uint32_t host = 0;
    Urgency urgency = Urgency::kNormal;
    Duration arrived{};
    Duration sent{};
    Duration service{};
    std::uint32_t endpoint = 0;
    SendResult result = SendResult::kAnswered;
  };
  struct Server {
    int busy = 0;
    std::deque<std::uint32_t> queue;
    EndpointReport report;
    Duration reported_at{-1};
  };
  struct Host {
    EndpointTable table;
    std::array<std::deque<std::uint32_t>, kUrgencyCount> waiting;
  };

  static TimePoint ToTime(Duration at) { return TimePoint(at); }
  void Push(Event event);
  void Handle(const Event& event);
  void OnArrival();
  void OnReach(const Event& event);
  void OnServed(const Event& event);
  void OnAnswer(const Event& event);
  void OnTick(const Event& event);
  void StartService(std::uint32_t server, std::uint32_t call);
  void Answer(std::uint32_t call, SendResult result, Duration after);
  void Pump(std::uint32_t host);
  void Send(std::uint32_t host, std::uint32_t call, EndpointIndex endpoint);
  void SendProbe(std::uint32_t host, std::uint32_t endpoint);
  EndpointReport ReportOf(std::uint32_t server);
  Duration Distance(std::uint32_t host, std::uint32_t server) const;
  bool FaultNow() const;
  bool FaultNow(SimulatedFault fault, std::uint32_t server) const;
  bool IsMeasured(const Call& call) const;

  const SimulationOptions options_;
  Random random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t pushed_ = 0;
  Duration now_{};
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::vector<Call> calls_;
  std::vector<std::uint32_t> free_calls_;
  SimulationFigures figures_;
  std::uint64_t sends_in_fault_ = 0;
  std::uint64_t faulty_sends_in_fault_ = 0;
};

}  // namespace damasktack

#endif  // BENCH_DECISION_SIMULATION_H_
