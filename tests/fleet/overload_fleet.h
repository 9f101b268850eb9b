#ifndef TESTS_FLEET_OVERLOAD_FLEET_H_
#define TESTS_FLEET_OVERLOAD_FLEET_H_

#include <algorithm>
#include <array>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "fleet/overload/overload_exchange.h"
#include "fleet/peer_codec.h"
#include "policy/urgency_admission.h"

namespace damasktack {

// Hosts that admit calls of two urgencies to one service and exchange their
// loads over a network that may delay, lose or change messages. The service is
// a set of slots of which each host knows when the next one is free.
class OverloadFleet {
 public:
  struct Options {
    FleetTopology topology = FleetTopology::kStar;
    int hosts = 48;
    int slots = 96;
    Duration objective = std::chrono::milliseconds(400);
    // Offered load as a multiple of the capacity.
    double load = 1.5;
    bool is_enabled = true;
    // Returns the time that a message takes; negative if it is lost.
    std::function<Duration(int from, int to, TimePoint now)> network;
    // Returns whether the host is paused: it receives no calls and neither
    // sends nor processes messages.
    std::function<bool(int host, TimePoint now)> is_paused;
    // Changes what a host states.
    std::function<void(int from, PeerMessage& message)> change;
  };
  struct Result {
    std::array<double, kUrgencyCount> offered{};
    std::array<double, kUrgencyCount> served{};

    double Served(Urgency urgency) const {
      const auto n = static_cast<std::size_t>(urgency);
      return served[n] / std::max(offered[n], 1.0);
    }
    double Total() const { return served[0] + served[1] + served[2]; }
    double Offered() const { return offered[0] + offered[1] + offered[2]; }
  };

  // What a host sent and received, and its processor time for statements.
  struct Cost {
    double bytes = 0;
    Duration time{};

    double Ms() const {
      return std::chrono::duration<double, std::milli>(time).count();
    }
    Cost operator+(const Cost& it) const {
      return {bytes + it.bytes, time + it.time};
    }
    Cost operator-(const Cost& it) const {
      return {bytes - it.bytes, time - it.time};
    }
  };

  explicit OverloadFleet(Options options) : options_(std::move(options)) {
    costs_.resize(static_cast<std::size_t>(options_.hosts));
    free_at_.resize(static_cast<std::size_t>(options_.slots));
    for (int n = 0; n < options_.hosts; ++n) {
      hosts_.push_back(std::make_unique<Host>(options_.topology, n));
    }
    for (int a = 0; a < options_.hosts; ++a) {
      for (int b = 0; b < options_.hosts; ++b) {
        if (a != b && IsLinked(a, b)) {
          const bool is_seed =
              options_.topology == FleetTopology::kStar && b < kSeeds;
          hosts_[a]->exchange.OnPeer(
              Name(b),
              is_seed ? OverloadPeerRole::kSeed : OverloadPeerRole::kFollower);
        }
      }
    }
  }

  // Runs for the time and returns the calls of it.
  Result Run(Duration time) {
    const TimePoint end = now_ + time;
    const double calls_per_step = options_.load * options_.slots *
                                  std::chrono::duration<double>(kStep).count() /
                                  std::chrono::duration<double>(kCall).count();
    Result result;
    for (; now_ < end; now_ += kStep) {
      Deliver();
      EndCalls();
      for (due_ += calls_per_step; due_ >= 1; due_ -= 1) {
        Arrive(result);
      }
    }
    return result;
  }
  void SetLoad(double load) { options_.load = load; }
  int messages() const { return messages_; }
  const std::vector<Cost>& costs() const { return costs_; }
  bool IsShort(int host) const { return hosts_[host]->admission.is_short(); }
  OverloadView& view(int host) { return hosts_[host]->view; }
  TimePoint now() const { return now_; }

  static HostId Name(int n) { return HostId("h" + std::to_string(n)); }
  static ServiceId Service() { return ServiceId("s"); }

 private:
  static constexpr int kSeeds = 3;
  static constexpr Duration kStep = std::chrono::milliseconds(1);
  static constexpr Duration kCall = std::chrono::milliseconds(140);
  static constexpr double kOnTimeMargin = 1.5;

  struct Host {
    Host(FleetTopology topology, int n)
        : exchange(view, topology, static_cast<std::uint64_t>(n)) {}
    OverloadView view;
    OverloadExchange exchange;
    UrgencyAdmission admission{UrgencyAdmissionOptions{}};
  };
  struct Frame {
    int from = 0;
    int to = 0;
    std::string bytes;
  };
  struct End {
    int host = 0;
    Urgency urgency = Urgency::kUrgent;
  };

  bool IsLinked(int a, int b) const {
    const int low = std::min(a, b);
    const int high = std::max(a, b);
    return options_.topology == FleetTopology::kMesh || high < kSeeds ||
           low == high % kSeeds;
  }
  bool IsPaused(int host) const {
    return options_.is_paused && options_.is_paused(host, now_);
  }

  void Arrive(Result& result) {
    const int n = static_cast<int>(
        UniformBelow(random_, static_cast<std::uint32_t>(options_.hosts)));
    const Urgency urgency =
        UniformBelow(random_, 4) == 0 ? Urgency::kUrgent : Urgency::kBulk;
    if (IsPaused(n)) {
      return;
    }
    UrgencyAdmission& admission = hosts_[n]->admission;
    ++result.offered[static_cast<std::size_t>(urgency)];
    UrgencyAdmission::Verdict verdict;
    if (options_.is_enabled) {
      verdict = admission.Decide(urgency, now_);
    }
    if (verdict.is_admitted) {
      const auto slot = std::ranges::min_element(free_at_);
      const Duration expected = std::max(*slot, now_) + kCall - now_;
      // As in MeasuredBalancer, a call may take a free slot in any case.
      if (*slot <= now_ || expected * kOnTimeMargin <=
                               options_.objective * verdict.time_fraction) {
        *slot = now_ + expected;
        ends_.emplace(*slot, End{n, urgency});
        ++result.served[static_cast<std::size_t>(urgency)];
      } else {
        admission.OnMissed(urgency, now_);
      }
    }
    Update(n);
  }

  void EndCalls() {
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      const End end = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const auto busy = std::ranges::count_if(
          free_at_, [&](TimePoint it) { return it > now_; });
      EndpointReport report;
      report.slots = options_.slots;
      report.in_flight = static_cast<std::int32_t>(busy);
      hosts_[end.host]->admission.OnReport(report);
      hosts_[end.host]->admission.OnServed(end.urgency);
    }
  }

  // Adds the processor time of its scope to a host.
  class Meter {
   public:
    explicit Meter(Cost& cost) : cost_(cost), began_at_(Now()) {}
    ~Meter() { cost_.time += Now() - began_at_; }
    Meter(const Meter&) = delete;
    Meter& operator=(const Meter&) = delete;

   private:
    static Duration Now() {
      timespec time{};
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
      return std::chrono::seconds(time.tv_sec) +
             std::chrono::nanoseconds(time.tv_nsec);
    }

    Cost& cost_;
    const Duration began_at_;
  };

  void Update(int n) {
    Host& host = *hosts_[n];
    if (!options_.is_enabled || !host.admission.IsDue(now_)) {
      return;
    }
    const Meter meter(costs_[n]);
    host.admission.Update(host.view.PeersOf(Service(), now_), now_);
    if (host.view.SetOwn(Service(), host.admission.own(),
                         host.admission.IsShortHere(now_), now_)) {
      Outbox out;
      host.exchange.Share(now_, out);
      Send(n, out);
    }
  }

  void Send(int from, Outbox& out) {
    for (Outbox::Item& it : out.Take()) {
      if (options_.change) {
        options_.change(from, it.message);
      }
      const std::string frame = EncodePeerMessage(it.message);
      ++messages_;
      const int to = std::stoi(it.to.text().substr(1));
      costs_[from].bytes += static_cast<double>(frame.size());
      costs_[to].bytes += static_cast<double>(frame.size());
      const Duration delay =
          options_.network ? options_.network(from, to, now_) : kStep;
      if (delay >= Duration::zero()) {
        frames_.emplace(now_ + delay, Frame{from, to, frame});
      }
    }
  }

  void Deliver() {
    while (!frames_.empty() && frames_.begin()->first <= now_) {
      const Frame frame = frames_.begin()->second;
      frames_.erase(frames_.begin());
      if (IsPaused(frame.to)) {
        // Read after the pause.
        frames_.emplace(now_ + kStep, frame);
        continue;
      }
      const Meter meter(costs_[frame.to]);
      Outbox out;
      Try(
          [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, DecodePeerMessage(frame.bytes));
            OverloadExchange& exchange = hosts_[frame.to]->exchange;
            if (const auto* it = std::get_if<ServiceLoadReport>(&*message)) {
              exchange.OnReport(Name(frame.from), *it, now_, out);
            } else if (const auto* sum =
                           std::get_if<ServiceLoadSum>(&*message)) {
              exchange.OnSum(Name(frame.from), *sum, now_, out);
            }
            return {};
          },
          [](const Error&) {});
      Send(frame.to, out);
    }
  }

  Options options_;
  Random random_{7};
  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  double due_ = 0;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<TimePoint> free_at_;
  std::multimap<TimePoint, End> ends_;
  std::multimap<TimePoint, Frame> frames_;
  int messages_ = 0;
  std::vector<Cost> costs_;
};

}  // namespace damasktack

#endif  // TESTS_FLEET_OVERLOAD_FLEET_H_
