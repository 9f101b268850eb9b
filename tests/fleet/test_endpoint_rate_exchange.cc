#include "fleet/endpoint_rate_exchange.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "fleet/peer_codec.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EndpointProcess kEndpoint{EndpointId("e"), EndpointStart(seconds(7))};

// Simulates a fleet in which hosts are connected to one of three seeds, or all
// to each other. Delivers messages at once.
class RateFleet {
 public:
  RateFleet(FleetTopology topology, int hosts) : topology_(topology) {
    for (int n = 0; n < hosts; ++n) {
      Start(n);
    }
  }

  void Start(int n) {
    hosts_[Name(n)] = std::make_unique<Host>(topology_);
    for (auto& [name, it] : hosts_) {
      it->exchange.OnPeerGone(Name(n));
    }
    for (int other = 0; other < static_cast<int>(hosts_.size()); ++other) {
      if (other != n && IsLinked(n, other)) {
        AddPeer(Name(n), Name(other));
        AddPeer(Name(other), Name(n));
      }
    }
    Deliver();
  }
  // The endpoint states a limit, or none, to one host.
  void State(int n, std::optional<double> rate_limit) {
    now_ += milliseconds(10);
    Host& host = *hosts_.at(Name(n));
    host.has_updates = false;
    host.rates.OnStated({kEndpoint, rate_limit, now_});
    if (host.has_updates) {
      Outbox out;
      host.exchange.Share(now_, out);
      Send(Name(n), out);
      Deliver();
    }
  }
  void AdvanceTime(Duration time) { now_ += time; }

  int CountHostsWithLimit(double rate_limit) const {
    int count = 0;
    for (const auto& [name, it] : hosts_) {
      const auto rates = it->rates.InForce();
      count += rates.size() == 1 && rates[0].rate_limit == rate_limit ? 1 : 0;
    }
    return count;
  }
  int frames() const { return frames_; }
  std::size_t bytes() const { return bytes_; }

 private:
  static constexpr int kSeeds = 3;

  struct Host {
    explicit Host(FleetTopology topology) : exchange(rates, topology) {
      rates.SetOnUpdates([this] { has_updates = true; });
    }
    EndpointRates rates;
    EndpointRateExchange exchange;
    bool has_updates = false;
  };
  struct Frame {
    HostId from;
    HostId to;
    EndpointRateReport report;
  };

  static HostId Name(int n) { return HostId("h" + std::to_string(n)); }
  bool IsLinked(int a, int b) const {
    const int low = std::min(a, b);
    const int high = std::max(a, b);
    return topology_ == FleetTopology::kMesh || high < kSeeds ||
           low == high % kSeeds;
  }
  void AddPeer(const HostId& host, const HostId& peer) {
    Outbox out;
    hosts_.at(host)->exchange.OnPeer(peer, now_, out);
    Send(host, out);
  }
  void Send(const HostId& from, Outbox& out) {
    for (Outbox::Item& it : out.Take()) {
      const std::string frame = EncodePeerMessage(it.message);
      ++frames_;
      bytes_ += frame.size();
      queue_.push_back({from, it.to, std::get<EndpointRateReport>(it.message)});
    }
  }
  void Deliver() {
    while (!queue_.empty()) {
      const Frame frame = std::move(queue_.front());
      queue_.pop_front();
      Outbox out;
      hosts_.at(frame.to)->exchange.OnReport(frame.from, frame.report, now_,
                                             out);
      Send(frame.to, out);
    }
  }

  const FleetTopology topology_;
  TimePoint now_ = TimePoint() + std::chrono::hours(10);
  std::map<HostId, std::unique_ptr<Host>> hosts_;
  std::deque<Frame> queue_;
  int frames_ = 0;
  std::size_t bytes_ = 0;
};

constexpr int kHosts = 40;

// Guards against an overloaded endpoint that has to state its limit to each
// host of a large fleet itself, which takes one request per host.
TEST_CASE("all hosts receive a limit that an endpoint has stated to one") {
  for (const FleetTopology topology :
       {FleetTopology::kMesh, FleetTopology::kStar}) {
    RateFleet fleet(topology, kHosts);
    fleet.State(kHosts - 1, 1.5);
    CHECK(fleet.CountHostsWithLimit(1.5) == kHosts);
    fleet.State(5, 2);
    CHECK(fleet.CountHostsWithLimit(2) == kHosts);
    fleet.State(7, std::nullopt);
    CHECK(fleet.CountHostsWithLimit(2) == 0);
  }
}

TEST_CASE("a starting host receives the limits in force") {
  for (const FleetTopology topology :
       {FleetTopology::kMesh, FleetTopology::kStar}) {
    RateFleet fleet(topology, kHosts);
    fleet.State(4, 1.5);
    fleet.Start(17);
    fleet.Start(0);
    CHECK(fleet.CountHostsWithLimit(1.5) == kHosts);
  }
}

// Guards against a withdrawn limit that is brought back by a late report.
TEST_CASE("an older statement does not replace a newer one") {
  EndpointRates rates;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  rates.OnStated({kEndpoint, 1.5, now});
  rates.OnStated({kEndpoint, std::nullopt, now + seconds(2)});
  const EndpointRateReport late{{{kEndpoint, 1.5, seconds(2)}}};
  CHECK(rates.Take(late, now + seconds(3)).empty());
  CHECK(rates.InForce().empty());
}

TEST_CASE("a change costs few frames per host in a star") {
  RateFleet fleet(FleetTopology::kStar, 500);
  const int before = fleet.frames();
  const std::size_t bytes_before = fleet.bytes();
  fleet.State(333, 1.5);
  constexpr int kMaxFramesPerHost = 2;
  constexpr std::size_t kMaxBytesPerHost = 256;
  CHECK(fleet.frames() - before <= kMaxFramesPerHost * 500);
  CHECK(fleet.bytes() - bytes_before <= kMaxBytesPerHost * 500);
}

// Guards against an unbounded number of messages if an endpoint alternately
// states and withdraws a limit.
TEST_CASE("an endpoint that changes its limit continually costs few messages") {
  RateFleet fleet(FleetTopology::kStar, kHosts);
  const int before = fleet.frames();
  constexpr int kChanges = 1000;
  for (int n = 0; n < kChanges; ++n) {
    fleet.State(9, n % 2 == 0 ? std::optional<double>(1) : std::nullopt);
  }
  // The changes take ten seconds; the rate limit is 5 updates per second and
  // the burst is 20.
  constexpr int kMaxUpdates = 10 * 5 + 20;
  CHECK(fleet.frames() - before <= kMaxUpdates * 2 * kHosts);
}

TEST_CASE("the statement of an unlisted process is removed after a minute") {
  EndpointRates rates;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  rates.OnStated({kEndpoint, 1.5, now});
  const auto unlisted = [](const EndpointProcess&) { return false; };
  rates.ForgetUnlisted(unlisted, now + seconds(59));
  CHECK(rates.InForce().size() == 1);
  rates.ForgetUnlisted([](const EndpointProcess&) { return true; },
                       now + seconds(60));
  CHECK(rates.InForce().size() == 1);
  rates.ForgetUnlisted(unlisted, now + seconds(60));
  CHECK(rates.InForce().empty());
}

TEST_CASE("the number of stored endpoints is bounded") {
  EndpointRates rates;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  for (std::size_t n = 0; n < EndpointRates::kMaxEndpoints + 50; ++n) {
    now += seconds(1);
    rates.OnStated({{EndpointId("e" + std::to_string(n)), {}}, 1, now});
  }
  CHECK(rates.InForce().size() == EndpointRates::kMaxEndpoints);
}

// Guards against a report that peers refuse entirely because of one excessive
// limit.
TEST_CASE("a limit above the maximum is reported as the maximum") {
  const std::string frame = EncodePeerMessage(
      EndpointRateReport{{{kEndpoint, 1e300, milliseconds(1)}}});
  const bool is_accepted = Try(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(frame));
        const auto& report = std::get<EndpointRateReport>(*message);
        return report.statements.at(0).rate_limit == 1e9;
      },
      [](const Error&) { return false; });
  CHECK(is_accepted);
}

TEST_CASE("endpoint rate reports are decoded as they were encoded") {
  const bool ok = rc::check([] {
    EndpointRateReport report;
    const int size = *rc::gen::inRange(0, 20);
    for (int n = 0; n < size; ++n) {
      const int tenths = *rc::gen::inRange(-10, 1000);
      report.statements.push_back(
          {{EndpointId("e" + std::to_string(n)),
            EndpointStart(milliseconds(*rc::gen::inRange(0, 1 << 30)))},
           tenths < 0 ? std::nullopt : std::optional<double>(tenths / 10.0),
           milliseconds(*rc::gen::inRange(0, 1 << 20))});
    }
    const std::string frame = EncodePeerMessage(report);
    const bool is_same = Try(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_AUTO(message, DecodePeerMessage(frame));
          return message && *message == PeerMessage(report);
        },
        [](const Error&) { return false; });
    RC_ASSERT(is_same);
  });
  CHECK(ok);
}

}  // namespace
}  // namespace damasktack
