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

// Servers of one service: slots, a short queue, work that varies from call to
// call, slows down on a full server and, on a part of the servers at any time,
// because of neighbours on the same machine.
struct EmulatedService {
  int endpoints = 11;
  int slots = 3;
  // Calls beyond the slots that wait at a server; it sheds what is more.
  int queue = 6;
  int zones = 4;
  Duration work = std::chrono::milliseconds(60);
  // Standard deviation of the logarithm of a call's work.
  double work_spread = 0.3;
  // With a larger part of its slots in use a server takes this much longer.
  double knee = 0.8;
  double knee_factor = 1.7;
  // The part of the servers that is slow at a time, how slow, and for how long.
  double slow_part = 0.25;
  double slow_factor = 4;
  Duration slow_for = std::chrono::milliseconds(300);
  // The part of the calls that every server sheds, however free it is.
  double shed_part = 0;
  // The part of the servers that is cold for `cold_for`, either from the start
  // of the play on, or from when it is given back after a drain; how much
  // longer work takes there, and the calls a second that one is said to
  // tolerate; 0 where nothing is said.
  double cold_part = 0;
  Duration cold_from{};
  Duration cold_for = std::chrono::seconds(3);
  double cold_factor = 2;
  double cold_rate = 0;
  // One way within a zone and between two.
  Duration near_way = std::chrono::microseconds(200);
  Duration far_way = std::chrono::microseconds(1400);
};

// Calls that arrive at random, at one rate, and in the middle third at another.
struct EmulatedLoad {
  int hosts = 18;
  // How many of them each host believes that there are; 0 where it knows.
  int believed_hosts = 0;
  // Whether each host has a seat; hosts that believe in fewer share
  // number_count.
  bool have_host_numbers = true;
  double calls_per_second = 180;
  double middle_factor = 1;
  Duration objective = std::chrono::milliseconds(200);
  Duration deadline = std::chrono::milliseconds(500);
  // Times that a caller whose call did not run comes back, at another host.
  int caller_retries = 1;
  Duration caller_way = std::chrono::milliseconds(1);
  // The part of the callers that leaves, and how long after asking; their call
  // is withdrawn, or dropped where it is.
  double leaving_part = 0;
  Duration leave_after = std::chrono::milliseconds(80);
  // By up to so much, drawn each time, a host reads the answer to a probe later
  // than it came, and a call sets out later than it was placed.
  Duration most_lateness{};
  Duration length = std::chrono::seconds(12);
};

struct EmulatedFigures {
  std::uint64_t calls = 0;
  std::uint64_t on_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  // Callers who left before they heard.
  std::uint64_t left = 0;
  std::uint64_t sends = 0;
  std::uint64_t sheds = 0;
  std::uint64_t probes = 0;
  std::uint64_t other_zone_sends = 0;
  // Calls that reached cold servers, and the most at one within a second.
  std::uint64_t cold_sends = 0;
  std::uint64_t max_cold_sends_per_second = 0;

  // A late answer is worth a tenth of one that is on time.
  double WeightedOnTimeShare() const;
  double Served() const;
};

// Makes one host's balancer; null for the oracle, which sees every queue and
// how long each call would take at each server at this moment, takes the server
// where it ends first and refuses what cannot be on time. It does not know the
// calls to come, and does not send a shed call again.
using BalancerFactory =
    std::function<std::unique_ptr<Balancer>(int host, std::uint64_t seed)>;

// Plays one load against one policy on all hosts, in one queue of events.
// Arrivals, work and slow servers follow from the seed alone, so that policies
// are compared on the same trace.
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
    std::uint64_t order = 0;
    std::function<void()> act;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Call {
    CallOffer offer;
    TimePoint first_arrival;
    TimePoint last_deadline;
    int host = 0;
    int retries_left = 0;
    // Its work relative to what is usual.
    double work = 1;
    std::optional<TimePoint> leaves_at;
    bool is_running = false;
    // Its caller has left, and the server where it was knows.
    bool is_dropped = false;
    int sends = 0;
    // What ends a send that is not the current one is late and passed over.
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
    // On the way here; only the oracle knows.
    int coming = 0;
    std::deque<Send> waiting;
    // While it is cold; those of the last second.
    std::deque<TimePoint> arrivals;
  };
  struct Host {
    int zone = 0;
    std::unique_ptr<Balancer> balancer;
    bool has_tick = false;
  };

  void At(TimePoint at, std::function<void()> act);
  void DrawArrivals();
  void Arrive(const std::shared_ptr<Call>& call);
  void Place(const std::shared_ptr<Call>& call, std::size_t server);
  void PlaceByOracle(const std::shared_ptr<Call>& call);
  Duration OracleFinish(const Call& call, std::size_t server) const;
  void Reach(const Send& send);
  void Start(const Send& send);
  // A slot is free, for the next call that waits.
  void FreeSlot(std::size_t server);
  void Answer(const Send& send, SendResult result);
  void Leave(const std::shared_ptr<Call>& call);
  // The server learns that the caller of what was sent there has left.
  void Drop(const Send& send);
  void End(const std::shared_ptr<Call>& call,
           SendResult result,
           std::optional<EndpointReport> report);
  void Refuse(const std::shared_ptr<Call>& call, Duration retry_after);
  void CountAnswer(const Call& call);
  // Carries out what a balancer has decided, and its probes.
  void CarryOut(std::size_t host, Decisions& decisions);
  void Probe(std::size_t host, EndpointIndex endpoint);
  void KeepTicking(std::size_t host);

  double SlowFactor(std::size_t server) const;
  TimePoint ColdFrom() const;
  TimePoint ColdUntil() const { return ColdFrom() + service_.cold_for; }
  bool IsCold(std::size_t server) const;
  void CountCold(std::size_t server);
  EndpointReport ReportOf(std::size_t server) const;
  Duration Way(const Host& host, const Server& server) const;
  Duration DrawLateness();
  ServiceSpec MakeSpec(bool is_drained) const;
  HostNumber SeatOf(std::size_t host) const;
  bool IsOfColdPart(std::size_t server) const;
  void GiveBack();

  const EmulatedService service_;
  const EmulatedLoad load_;
  const std::uint64_t seed_;
  const int believed_hosts_;
  Random random_;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::unordered_map<CallToken, std::shared_ptr<Call>> calls_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  CallToken next_token_ = 0;
  TimePoint now_;
  EmulatedFigures figures_;
};

}  // namespace damasktack

#endif  // STANDIN_LOAD_EMULATOR_H_
