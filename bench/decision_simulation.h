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

// Fault of the first endpoint. It lasts from 40% to 60% of the run, except that
// kSlow lasts 2 s from the 40% mark.
enum class SimulatedFault { kNone, kSlow, kFastErrors, kDrain, kFrozenReport };

struct SimulationOptions {
  int endpoints = 15;
  int slots = 6;
  int zones = 3;
  Duration zone_distance = std::chrono::milliseconds(1);
  int hosts = 15;
  // Offered load as a fraction of all slots.
  double load = 0.85;
  std::string_view picker = "sampling";
  // Interval at which an endpoint updates its report; zero means with each
  // response.
  Duration report_period{};
  SimulatedFault fault = SimulatedFault::kNone;
  double probes_per_second = 0;
  // Number of probes sent additionally with each call, outside the budget.
  int probes_per_call = 0;
  // Largest load per slot up to which an endpoint is picked, by class.
  std::array<double, kUrgencyCount> max_load = {1.5, 1.34, 1.0};
  Duration length = std::chrono::seconds(20);
  std::uint64_t seed = 1;
};

struct ClassFigures {
  std::uint64_t calls = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::vector<Duration> latencies;

  // Returns a latency quantile of the answered calls.
  Duration Quantile(double quantile);
};

struct SimulationFigures {
  std::array<ClassFigures, kUrgencyCount> classes;
  std::uint64_t probes = 0;
  std::uint64_t sends = 0;
  // Fraction of the requests during the fault that went to the faulty endpoint;
  // an even spread gives 1 / endpoints.
  double to_faulty = 0;
  // Requests sent to the faulty endpoint later than 500 ms into the fault.
  std::uint64_t late_to_faulty = 0;
};

// Discrete-event simulation of hosts (15 by default), each with its own
// endpoint table, and of endpoints with slots that serve calls in order of
// arrival. A host queues calls by urgency while its table returns no endpoint.
class DecisionSimulation {
 public:
  explicit DecisionSimulation(const SimulationOptions& options);
  SimulationFigures Run();

 private:
  enum class Kind {
    kArrival,
    kRequestArrived,
    kServiceDone,
    kAnswer,
    kTick,
    kProbe,
    kReportArrived
  };
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
  void OnRequestArrived(const Event& event);
  void OnServiceDone(const Event& event);
  void OnAnswer(const Event& event);
  void OnTick(const Event& event);
  void StartService(std::uint32_t server, std::uint32_t call);
  void SendResponse(std::uint32_t call, SendResult result, Duration after);
  void DispatchWaiting(std::uint32_t host);
  void Send(std::uint32_t host, std::uint32_t call, EndpointIndex endpoint);
  void SendProbe(std::uint32_t host, std::uint32_t endpoint);
  EndpointReport ReportOf(std::uint32_t server);
  Duration Distance(std::uint32_t host, std::uint32_t server) const;
  bool IsFaultActive() const;
  bool IsFaultActive(SimulatedFault fault, std::uint32_t server) const;
  bool IsMeasured(const Call& call) const;

  const SimulationOptions options_;
  Random random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_event_order_ = 0;
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
