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

// Hosts that are linked to three seeds in turn, or all to each other.
class RateFleet {
 public:
  RateFleet(FleetTopology shape, int hosts) : shape_(shape) {
    for (int n = 0; n < hosts; ++n) {
      Start(n);
    }
  }

  void Start(int n) {
    hosts_[Name(n)] = std::make_unique<Host>(shape_);
    for (auto& [name, it] : hosts_) {
      it->exchange.OnPeerGone(Name(n));
    }
    for (int other = 0; other < static_cast<int>(hosts_.size()); ++other) {
      if (other != n && IsLinked(n, other)) {
        Meet(Name(n), Name(other));
        Meet(Name(other), Name(n));
      }
    }
    Deliver();
  }
  // The endpoint tells one host.
  void State(int n, std::optional<double> rate_limit) {
    now_ += milliseconds(10);
    Host& host = *hosts_.at(Name(n));
    host.is_due = false;
    host.rates.OnStated({kEndpoint, rate_limit, now_});
    if (host.is_due) {
      Outbox out;
      host.exchange.Share(now_, out);
      Send(Name(n), out);
      Deliver();
    }
  }
  void Pass(Duration time) { now_ += time; }

  int CountThatKnow(double rate_limit) const {
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
    explicit Host(FleetTopology shape) : exchange(rates, shape) {
      rates.SetOnUpdates([this] { is_due = true; });
    }
    EndpointRates rates;
    EndpointRateExchange exchange;
    bool is_due = false;
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
    return shape_ == FleetTopology::kMesh || high < kSeeds ||
           low == high % kSeeds;
  }
  void Meet(const HostId& host, const HostId& peer) {
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

  const FleetTopology shape_;
  TimePoint now_ = TimePoint() + std::chrono::hours(10);
  std::map<HostId, std::unique_ptr<Host>> hosts_;
  std::deque<Frame> queue_;
  int frames_ = 0;
  std::size_t bytes_ = 0;
};

constexpr int kHosts = 40;

// Guards against an endpoint in need that has to tell each host of a large
// fleet by itself, one request each.
TEST_CASE("all hosts learn of a limit that an endpoint has told one") {
  for (const FleetTopology shape :
       {FleetTopology::kMesh, FleetTopology::kStar}) {
    RateFleet fleet(shape, kHosts);
    fleet.State(kHosts - 1, 1.5);
    CHECK(fleet.CountThatKnow(1.5) == kHosts);
    fleet.State(5, 2);
    CHECK(fleet.CountThatKnow(2) == kHosts);
    fleet.State(7, std::nullopt);
    CHECK(fleet.CountThatKnow(2) == 0);
  }
}

TEST_CASE("a host that starts hears which limits are in force") {
  for (const FleetTopology shape :
       {FleetTopology::kMesh, FleetTopology::kStar}) {
    RateFleet fleet(shape, kHosts);
    fleet.State(4, 1.5);
    fleet.Start(17);
    fleet.Start(0);
    CHECK(fleet.CountThatKnow(1.5) == kHosts);
  }
}

// Guards against a limit that a host which heard of its end late brings back.
TEST_CASE("an older statement does not replace a newer one") {
  EndpointRates rates;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  rates.OnStated({kEndpoint, 1.5, now});
  rates.OnStated({kEndpoint, std::nullopt, now + seconds(2)});
  const EndpointRateReport late{{{kEndpoint, 1.5, seconds(2)}}};
  CHECK(rates.Take(late, now + seconds(3)).empty());
  CHECK(rates.InForce().empty());
}

TEST_CASE("a change costs a star of hosts a few frames each") {
  RateFleet fleet(FleetTopology::kStar, 500);
  const int before = fleet.frames();
  const std::size_t bytes_before = fleet.bytes();
  fleet.State(333, 1.5);
  constexpr int kMostFrames = 2;
  constexpr std::size_t kMostBytes = 256;
  CHECK(fleet.frames() - before <= kMostFrames * 500);
  CHECK(fleet.bytes() - bytes_before <= kMostBytes * 500);
}

// Guards against messages without bound for an endpoint that states a limit and
// takes it back by turns.
TEST_CASE("an endpoint that changes its mind all the time costs few messages") {
  RateFleet fleet(FleetTopology::kStar, kHosts);
  const int before = fleet.frames();
  constexpr int kChanges = 1000;
  for (int n = 0; n < kChanges; ++n) {
    fleet.State(9, n % 2 == 0 ? std::optional<double>(1) : std::nullopt);
  }
  // Ten seconds of changes.
  constexpr int kMostNews = 10 * 5 + 20;
  CHECK(fleet.frames() - before <= kMostNews * 2 * kHosts);
}

TEST_CASE("a process that is not listed is forgotten after a while") {
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

TEST_CASE("as many endpoints are remembered as there is room for") {
  EndpointRates rates;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  for (std::size_t n = 0; n < EndpointRates::kMost + 50; ++n) {
    now += seconds(1);
    rates.OnStated({{EndpointId("e" + std::to_string(n)), {}}, 1, now});
  }
  CHECK(rates.InForce().size() == EndpointRates::kMost);
}

// Guards against a report that peers refuse whole for one limit in it.
TEST_CASE("a limit beyond all measure is told as the highest one") {
  const std::string frame = EncodePeerMessage(
      EndpointRateReport{{{kEndpoint, 1e300, milliseconds(1)}}});
  const bool is_taken = Try(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(frame));
        const auto& report = std::get<EndpointRateReport>(*message);
        return report.statements.at(0).rate_limit == 1e9;
      },
      [](const Error&) { return false; });
  CHECK(is_taken);
}

TEST_CASE("reports on rates come back from their bytes as they were") {
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
