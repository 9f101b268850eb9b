#ifndef BENCH_ADMISSION_SIMULATION_H_
#define BENCH_ADMISSION_SIMULATION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "policy/service_balancer.h"

namespace damasktack {

// Poisson stream of calls of one customer and urgency, spread over all hosts.
struct TrafficSource {
  std::string customer;
  std::int64_t share = 1;
  Urgency urgency = Urgency::kNormal;
  Duration mean_service_time = std::chrono::milliseconds(10);
  // Offered load as a fraction of all slots.
  double load = 0.1;
  Duration deadline = std::chrono::seconds(2);
};

struct AdmissionSetup {
  int endpoints = 6;
  int slots = 6;
  int zones = 3;
  int hosts = 15;
  Duration zone_distance = std::chrono::milliseconds(1);
  double probes_per_second = 100;
  BalancerOptions balancer;
  std::vector<TrafficSource> sources;
  Duration length = std::chrono::seconds(30);
  std::uint64_t seed = 1;
};

// Results of one source, for the calls that arrived after the warm-up.
struct SourceFigures {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  // Total service time of the answered calls.
  Duration slot_time{};
  std::vector<Duration> latencies;

  Duration Quantile(double quantile);
};

// Discrete-event simulation of hosts, each with its own balancer, and of
// endpoints that serve calls in order of arrival.
class AdmissionSimulation {
 public:
  explicit AdmissionSimulation(const AdmissionSetup& setup);
  // Returns the results in the order of the sources.
  std::vector<SourceFigures> Run();

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
    Duration at{};
    std::uint64_t order = 0;
    Kind kind = Kind::kArrival;
    std::size_t host = 0;
    std::size_t endpoint = 0;
    std::size_t call = 0;
    EndpointReport report;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Call {
    CallOffer offer;
    std::size_t source = 0;
    std::size_t host = 0;
    std::size_t endpoint = 0;
    Duration arrived{};
    Duration sent{};
    Duration service{};
    SendResult result = SendResult::kAnswered;
    int sends = 0;
  };
  struct Server {
    int busy = 0;
    std::deque<std::size_t> queue;
  };

  static TimePoint ToTime(Duration at) { return TimePoint(at); }
  void Push(Event event);
  void Handle(const Event& event);
  void OnArrival(std::size_t source);
  void OnRequestArrived(const Event& event);
  void OnServiceDone(const Event& event);
  void OnAnswer(const Event& event);
  void OnTick(std::size_t host);
  void StartService(std::size_t server, std::size_t call);
  void SendResponse(std::size_t server, std::size_t call, SendResult result);
  void ApplyDecisions(std::size_t host);
  EndpointReport ReportOf(std::size_t server) const;
  Duration Distance(std::size_t host, std::size_t server) const;
  SourceFigures* FiguresOf(const Call& call);

  const AdmissionSetup setup_;
  Random random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_event_order_ = 0;
  Duration now_{};
  std::vector<ServiceBalancer> hosts_;
  std::vector<Server> servers_;
  std::vector<Call> calls_;
  Decisions decisions_;
  std::vector<SourceFigures> figures_;
};

}  // namespace damasktack

#endif  // BENCH_ADMISSION_SIMULATION_H_
