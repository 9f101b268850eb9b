#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <string>

#include "tests/fleet/overload_fleet.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Result = OverloadFleet::Result;

constexpr Duration kWarmUp = seconds(4);
constexpr Duration kRun = seconds(10);
// Accepted loss of the most urgent calls, of the total, and the floor.
constexpr double kMaxUrgentLoss = 0.02;
constexpr double kMinTotal = 0.97;
constexpr double kFloor = 0.25;

Result RunWarm(OverloadFleet& fleet) {
  fleet.Run(kWarmUp);
  return fleet.Run(kRun);
}

Result RunWith(OverloadFleet::Options options) {
  OverloadFleet fleet(std::move(options));
  return RunWarm(fleet);
}

// Compares with the same load without the part, and the most urgent calls with
// a load of 0.7, where all are served.
void CheckServed(const OverloadFleet::Options& options) {
  OverloadFleet::Options without = options;
  without.is_enabled = false;
  const Result before = RunWith(without);
  const Result after = RunWith(options);
  const double bulk = after.Served(Urgency::kBulk);
  INFO("urgent " << before.Served(Urgency::kUrgent) << " -> "
                 << after.Served(Urgency::kUrgent) << ", bulk "
                 << before.Served(Urgency::kBulk) << " -> " << bulk
                 << ", total " << before.Total() << " -> " << after.Total());
  CHECK(after.Served(Urgency::kUrgent) >= 1 - kMaxUrgentLoss);
  CHECK(after.Total() >= kMinTotal * before.Total());
  CHECK(bulk >= kFloor * after.Total() / after.Offered());
}

TEST_CASE("urgent calls are served above the capacity, without loss in total") {
  for (const FleetTopology topology :
       {FleetTopology::kStar, FleetTopology::kMesh}) {
    for (const int hosts : {5, 48}) {
      for (const int objective_ms : {250, 400}) {
        CAPTURE(hosts);
        CAPTURE(objective_ms);
        OverloadFleet::Options options;
        options.topology = topology;
        options.hosts = hosts;
        options.objective = milliseconds(objective_ms);
        CheckServed(options);
      }
    }
  }
}

// Guards against hosts that limit less urgent calls without a shortage.
TEST_CASE("nothing is refused or sent while capacity is sufficient") {
  OverloadFleet::Options options;
  options.load = 0.7;
  OverloadFleet fleet(options);
  const Result result = RunWarm(fleet);
  CHECK(result.Total() == result.Offered());
  CHECK(fleet.messages() == 0);
}

// Guards against limits that outlast the shortage.
TEST_CASE("limits end within three seconds after the load falls") {
  OverloadFleet fleet(OverloadFleet::Options{});
  RunWarm(fleet);
  CHECK(fleet.IsShort(0));
  fleet.SetLoad(0.7);
  fleet.Run(seconds(3));
  const Result result = fleet.Run(kRun);
  CHECK(result.Total() == result.Offered());
  CHECK_FALSE(fleet.IsShort(0));
}

// Guards against decisions that depend on every message.
TEST_CASE("lost and delayed messages cost no calls") {
  Random random(11);
  OverloadFleet::Options options;
  SUBCASE("half of the messages are lost") {
    options.network = [&](int, int, TimePoint) -> Duration {
      return milliseconds(UniformBelow(random, 2) == 0 ? -1 : 1);
    };
  }
  SUBCASE("messages take up to 800 ms") {
    options.network = [&](int, int, TimePoint) -> Duration {
      return milliseconds(UniformBelow(random, 800));
    };
  }
  SUBCASE("no message arrives") {
    options.network = [](int, int, TimePoint) -> Duration {
      return milliseconds(-1);
    };
  }
  CheckServed(options);
}

// Guards against a link failure that leaves hosts with what they heard last.
TEST_CASE("each half of a partitioned fleet goes on alone") {
  OverloadFleet::Options options;
  for (const FleetTopology topology :
       {FleetTopology::kStar, FleetTopology::kMesh}) {
    options.topology = topology;
    options.network = [](int from, int to, TimePoint) -> Duration {
      return milliseconds((from < 24) == (to < 24) ? 1 : -1);
    };
    CheckServed(options);
  }
}

// Guards against paused hosts whose old statements count, and against what
// they do with old messages when they resume.
TEST_CASE("hosts that pause for two seconds do not disturb the others") {
  OverloadFleet::Options options;
  options.is_paused = [](int host, TimePoint now) {
    return host % 4 == 1 && now.time_since_epoch() % seconds(4) < seconds(2);
  };
  CheckServed(options);
}

// Guards against one host that sends invalid values and steers the others.
TEST_CASE("a host with invalid values changes nothing") {
  OverloadFleet::Options options;
  options.topology = FleetTopology::kMesh;
  double served = 0;
  double missed = 0;
  double offered = 0;
  SUBCASE("a million times the others, all missed") {
    offered = 2e7;
    missed = 2e7;
  }
  SUBCASE("a million times the others, all served") {
    offered = 2e7;
    served = 2e7;
  }
  SUBCASE("negative") {
    offered = -5;
  }
  SUBCASE("infinite") {
    missed = std::numeric_limits<double>::infinity();
    offered = missed;
  }
  options.change = [=](int from, PeerMessage& message) {
    auto* report = std::get_if<ServiceLoadReport>(&message);
    if (from == 9 && report != nullptr) {
      report->items[0].load.offered.fill(offered);
      report->items[0].load.served.fill(served);
      report->items[0].load.missed.fill(missed);
    }
  };
  CheckServed(options);
}

// By hand, because the figures depend on the machine; see
// docs/design/urgency-admission.md.
TEST_CASE("cost of a shortage by host" * doctest::skip()) {
  for (const FleetTopology topology :
       {FleetTopology::kStar, FleetTopology::kMesh}) {
    for (const int hosts : {30, 100, 300}) {
      OverloadFleet::Options options;
      options.topology = topology;
      options.hosts = hosts;
      options.slots = 2 * hosts;
      OverloadFleet fleet(options);
      fleet.Run(kWarmUp);
      const int messages = fleet.messages();
      const std::vector<OverloadFleet::Cost> before = fleet.costs();
      fleet.Run(kRun);
      OverloadFleet::Cost sum;
      OverloadFleet::Cost max;
      for (int n = 0; n < hosts; ++n) {
        const OverloadFleet::Cost it = fleet.costs()[n] - before[n];
        sum = sum + it;
        max = {std::max(max.bytes, it.bytes), std::max(max.time, it.time)};
      }
      const double seconds = std::chrono::duration<double>(kRun).count();
      MESSAGE(std::string(topology == FleetTopology::kStar ? "star" : "mesh")
              << " hosts " << hosts << ": messages/s "
              << (fleet.messages() - messages) / seconds << ", bytes/s mean "
              << sum.bytes / hosts / seconds << " max " << max.bytes / seconds
              << ", ms of processor/s mean " << sum.Ms() / hosts / seconds
              << " max " << max.Ms() / seconds);
    }
  }
}

TEST_CASE("a statement loses its weight within one second") {
  OverloadView view;
  ServiceLoadReport report;
  report.sent_us = 1;
  report.items.push_back(
      {OverloadFleet::Service(), {{10, 0, 30}, {9, 0, 5}, {1, 0, 25}}, true});
  const TimePoint now{seconds(50)};
  view.OnReport(HostId("a"), report, now);
  CHECK(view.PeersOf(OverloadFleet::Service(), now).hosts == 1);
  const double half =
      view.PeersOf(OverloadFleet::Service(), now + milliseconds(700)).hosts;
  CHECK(half > 0.4);
  CHECK(half < 0.6);
  CHECK(view.PeersOf(OverloadFleet::Service(), now + seconds(1)).hosts == 0);
  // The same message again, as if the link had held it up.
  view.OnReport(HostId("a"), report, now + seconds(3));
  CHECK(view.PeersOf(OverloadFleet::Service(), now + seconds(3)).hosts == 0);
}

TEST_CASE("statements and sums survive encoding") {
  ServiceLoadReport report;
  report.sent_us = 12;
  report.items.push_back(
      {ServiceId("s"), {{10, 0, 30.25}, {9, 0, 5}, {1, 0, 25}}, true});
  ServiceLoadSum sum;
  sum.is_part = true;
  sum.items.push_back(
      {ServiceId("s"), {report.items[0].load, 7.5, true}, milliseconds(80)});
  for (const PeerMessage& it : {PeerMessage(report), PeerMessage(sum)}) {
    Try(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(decoded, DecodePeerMessage(EncodePeerMessage(it)));
          CHECK(*decoded == it);
          return {};
        },
        [](const Error& error) { FAIL(ToString(error)); });
  }
}

}  // namespace
}  // namespace damasktack
