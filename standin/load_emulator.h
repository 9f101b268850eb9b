#ifndef STANDIN_LOAD_EMULATOR_H_
#define STANDIN_LOAD_EMULATOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "policy/balancer.h"

namespace damasktack {

// The simulated servers of one service. Each has slots and a short queue. The
// time for a call varies, is longer on a nearly full server and, on a changing
// part of the servers, longer because of other load on the same machine.
struct EmulatedService {
  int endpoints = 11;
  int slots = 3;
  // Maximum number of queued calls per server; the server sheds further ones.
  int queue = 6;
  int zones = 4;
  Duration work = std::chrono::milliseconds(60);
  // Standard deviation of the logarithm of a call's work (log-normal).
  double work_spread = 0.3;
  // Once more than the fraction `knee` of its slots is in use, a server takes
  // `knee_factor` times as long.
  double knee = 0.8;
  double knee_factor = 1.7;
  // The fraction of servers that is slow at a time, the factor by which they
  // are slower, and the duration of a slow period.
  double slow_part = 0.25;
  double slow_factor = 4;
  Duration slow_for = std::chrono::milliseconds(300);
  // The fraction of calls that each server sheds regardless of its load.
  double shed_part = 0;
  // The fraction of servers that is cold for `cold_for`, beginning `cold_from`
  // after the start of the run. Where `cold_from` is not zero, these servers
  // are in a drained zone until then. Work takes `cold_factor` times as long on
  // a cold server. `cold_rate` is the published number of calls per second that
  // one cold server tolerates, or 0 if none is published.
  double cold_part = 0;
  Duration cold_from{};
  Duration cold_for = std::chrono::seconds(3);
  double cold_factor = 2;
  double cold_rate = 0;
  // One-way network delay within a zone and between zones.
  Duration same_zone_delay = std::chrono::microseconds(200);
  Duration cross_zone_delay = std::chrono::microseconds(1400);
};

// Calls that arrive at random (Poisson). In the middle third of the run, the
// rate is multiplied by `middle_factor`.
struct EmulatedLoad {
  int hosts = 18;
  // The number of hosts that each host assumes; 0 means the actual number.
  int believed_hosts = 0;
  // Whether hosts have host numbers. Where hosts assume fewer hosts than there
  // are, several share a number.
  bool have_host_numbers = true;
  double calls_per_second = 180;
  double middle_factor = 1;
  Duration objective = std::chrono::milliseconds(200);
  Duration deadline = std::chrono::milliseconds(500);
  // How often a caller retries a call that did not run, at a random host.
  int caller_retries = 1;
  Duration caller_delay = std::chrono::milliseconds(1);
  // The fraction of callers that disconnect, and the time after the first
  // arrival at which they do. Their call is withdrawn from the balancer, or
  // cancelled at the server.
  double leaving_part = 0;
  Duration leave_after = std::chrono::milliseconds(80);
  // Maximum random delay with which a host reads the response to a probe after
  // it arrived, and with which a call is sent after it was dispatched.
  Duration most_lateness{};
  Duration length = std::chrono::seconds(12);
};

struct EmulatedFigures {
  std::uint64_t calls = 0;
  std::uint64_t on_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  // Callers that disconnected before they got a response.
  std::uint64_t left = 0;
  std::uint64_t sends = 0;
  std::uint64_t sheds = 0;
  std::uint64_t probes = 0;
  std::uint64_t other_zone_sends = 0;
  // Calls that reached cold servers, and the maximum at one server within any
  // second.
  std::uint64_t cold_sends = 0;
  std::uint64_t max_cold_sends_per_second = 0;

  // Returns the fraction of calls that were answered on time, plus a tenth of
  // the fraction answered late.
  double WeightedOnTimeShare() const;
  // Returns the fraction of calls that were answered, on time or late.
  double Served() const;
};

// Creates the balancer of one host. If it returns null, the host uses an
// oracle, which knows every queue and how long each call would take at each
// server at this moment. The oracle selects the server with the earliest finish
// and refuses calls that cannot finish on time. It does not know future calls,
// and does not retry shed calls.
using BalancerFactory =
    std::function<std::unique_ptr<Balancer>(int host, std::uint64_t seed)>;

// Discrete-event simulation of one load under one balancing policy on all
// hosts. Arrivals, work and slow periods depend only on the seed, so that
// policies are compared on the same trace.
class LoadEmulator {
 public:
  LoadEmulator(const EmulatedService& service,
               const EmulatedLoad& load,
               const BalancerFactory& factory,
               std::uint64_t seed);
  EmulatedFigures Run();

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Call {
    CallOffer offer;
    TimePoint first_arrival;
    TimePoint last_deadline;
    int host = 0;
    int retries_left = 0;
    // Work relative to EmulatedService::work.
    double work = 1;
    std::optional<TimePoint> disconnects_at;
    bool is_running = false;
    // The caller has disconnected, and the server has been told.
    bool is_cancelled = false;
    int sends = 0;
    // Number of the current send. Events of earlier sends are ignored.
    std::uint64_t send = 0;
    EndpointIndex endpoint = 0;
    TimePoint sent_at;
  };
  // One send of a call to a server.
  struct Send {
    std::shared_ptr<Call> call;
    std::size_t server = 0;
    std::uint64_t number = 0;

    bool operator==(const Send&) const = default;
  };
  struct Server {
    int zone = 0;
    int running = 0;
    // Calls in transit to the server; only the oracle uses this.
    int in_transit = 0;
    std::deque<Send> waiting;
    // Arrivals within the last second, recorded while the server is cold.
    std::deque<TimePoint> cold_arrivals;
  };
  struct Host {
    int zone = 0;
    std::unique_ptr<Balancer> balancer;
    bool has_tick = false;
  };

  void Schedule(TimePoint at, std::function<void()> action);
  void ScheduleArrivals();
  void OnArrival(const std::shared_ptr<Call>& call);
  void SendCall(const std::shared_ptr<Call>& call, std::size_t server);
  void SendByOracle(const std::shared_ptr<Call>& call);
  Duration OracleFinish(const Call& call, std::size_t server) const;
  void OnServerArrival(const Send& send);
  void StartCall(const Send& send);
  // Frees a slot and starts the next queued call in it.
  void FreeSlot(std::size_t server);
  void SendResponse(const Send& send, SendResult result);
  void OnCallerDisconnected(const std::shared_ptr<Call>& call);
  // Cancels a send at its server after the caller has disconnected.
  void CancelAtServer(const Send& send);
  void FinishSend(const std::shared_ptr<Call>& call,
                  SendResult result,
                  std::optional<EndpointReport> report);
  void RetryOrRefuse(const std::shared_ptr<Call>& call, Duration retry_after);
  void CountAnswer(const Call& call);
  // Carries out a balancer's decisions and sends its probes.
  void ApplyDecisions(std::size_t host, Decisions& decisions);
  void SendProbe(std::size_t host, EndpointIndex endpoint);
  void ScheduleTick(std::size_t host);

  double SlowFactor(std::size_t server) const;
  TimePoint ColdFrom() const;
  TimePoint ColdUntil() const { return ColdFrom() + service_.cold_for; }
  bool IsCold(std::size_t server) const;
  void CountColdArrival(std::size_t server);
  EndpointReport ReportOf(std::size_t server) const;
  Duration OneWayDelay(const Host& host, const Server& server) const;
  Duration RandomLateness();
  ServiceSpec MakeSpec(bool is_drained) const;
  HostNumber HostNumberOf(std::size_t host) const;
  bool IsInColdGroup(std::size_t server) const;
  void ScheduleUndrain();

  const EmulatedService service_;
  const EmulatedLoad load_;
  const std::uint64_t seed_;
  const int believed_hosts_;
  Random random_;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::unordered_map<CallToken, std::shared_ptr<Call>> calls_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_sequence_ = 0;
  CallToken next_token_ = 0;
  TimePoint now_;
  EmulatedFigures figures_;
};

}  // namespace damasktack

#endif  // STANDIN_LOAD_EMULATOR_H_
