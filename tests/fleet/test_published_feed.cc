#include "fleet/published_feed.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <spdlog/spdlog.h>

#include <string>

#include "feed_simulation.h"
#include "fleet/peer_codec.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time within which an undisturbed host must have applied a change.
constexpr Duration kPropagationBound = milliseconds(2000);
// Time without disruption after which a host counts as undisturbed.
constexpr Duration kUndisturbedTime = seconds(3);

TEST_CASE(
    "a change reaches all hosts with calls independent of the fleet size") {
  std::uint64_t calls_of_small_fleet = 0;
  for (const int hosts : {10, 100}) {
    FeedSimulation world(hosts, 3);
    world.AddEndpoint("e1");
    world.Run(seconds(5));
    const std::uint64_t before = world.store_calls();
    world.SetVersion(2);
    world.Run(milliseconds(700));
    for (const auto& [name, host] : world.hosts()) {
      CAPTURE(name);
      CHECK(world.VersionOf(host) == 2);
    }
    world.Run(seconds(20));
    const std::uint64_t calls = world.store_calls() - before;
    CHECK(calls < 45);
    calls_of_small_fleet =
        calls_of_small_fleet == 0 ? calls : calls_of_small_fleet;
    CHECK(calls <= calls_of_small_fleet + 5);
  }
}

FeedUpdate UpdateTo(Revision after, Revision current, bool after_outage) {
  FeedUpdate update;
  update.after = after;
  update.whole = after == 0;
  update.changes.current = current;
  update.after_outage = after_outage;
  return update;
}

// Guards against requests to an endpoint that left more than two seconds ago.
// The store rejects the first and the third seed; the third fails once and is
// then fed by the second. It still reported its own outage, so its followers
// kept removed endpoints for another 1.5 s, which is only right after an outage
// of the host that reads the store.
TEST_CASE("a fed seed forwards the outage state of its feeder") {
  const HostId feeder("h1");
  const HostId follower("h9");
  PublishedFeedOptions options;
  options.self = HostId("h2");
  options.address = {"10.0.0.2", 80};
  options.seeds = {{"10.0.0.0", 80}, {"10.0.0.1", 80}, options.address};
  PublishedFeed feed(options, 1);
  TimePoint now{std::chrono::hours(1)};
  Outbox out;
  feed.NextStep(now);
  now += seconds(1);
  feed.NextStep(now);
  feed.OnFailure(Error{ErrorKind::kRefused, "store", "503", "wait"}, now);
  feed.OnLinkUp(feeder, now, out);
  feed.OnMessage(feeder, FeedHello{1, {"10.0.0.1", 80}, 5, 0}, now, out);
  feed.OnMessage(feeder, UpdateTo(0, 5, false), now, out);
  feed.OnLinkUp(follower, now, out);
  feed.OnMessage(follower,
                 FeedHello{FeedHello::kNoSeed, {"10.0.0.9", 80}, 5, 0}, now,
                 out);
  for (const bool after_outage : {false, true, false}) {
    out.Take();
    now += milliseconds(100);
    const Revision known = feed.view().revision().number;
    feed.OnMessage(feeder, UpdateTo(known, known + 1, after_outage), now, out);
    feed.SendUpdates(now, out);
    const std::vector<Outbox::Item> sent = out.Take();
    const auto passed = std::ranges::find(sent, follower, &Outbox::Item::to);
    REQUIRE(passed != sent.end());
    CHECK(std::get<FeedUpdate>(passed->message).after_outage == after_outage);
  }
}

// Fleet budgets are divided by the number of hosts, which is not published. The
// number must follow when hosts are lost and return.
TEST_CASE("every host learns the number of hosts") {
  FeedSimulation world(30, 3);
  const auto check = [&](std::int64_t hosts) {
    for (const auto& [name, host] : world.hosts()) {
      CAPTURE(name);
      if (host.is_up) {
        CHECK(host.feed->KnownHosts() == hosts);
      }
    }
  };
  world.Run(seconds(4));
  check(30);
  for (int n = 20; n < 30; ++n) {
    world.Kill("h" + std::to_string(n));
  }
  world.Run(seconds(4));
  check(20);
  world.Kill("h0");
  world.Run(seconds(6));
  check(19);
}

// Guards against requests to an endpoint that left seconds ago. The first seed
// restarts while the endpoint is removed. The new process reads a store without
// the endpoint, so the changes that it sends cannot contain the removal.
TEST_CASE("a restarted feeder forwards removals that it has not seen") {
  FeedSimulation world(6, 3);
  world.AddEndpoint("e1");
  world.AddEndpoint("e2");
  world.Run(seconds(4));
  world.Kill("h0");
  world.RemoveEndpoint("e1");
  world.Run(milliseconds(300));
  world.Start("h0");
  world.Run(milliseconds(1900));
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    CHECK(world.RemovedEndpointsKept(host, kPropagationBound).empty());
    CHECK(host.feed->view().Endpoints().size() == 1);
  }
}

// The feeder is frozen, or loses the store without a connection reset. Its
// links stay open, so only the age of its last confirmation reveals the
// failure.
TEST_CASE("hosts read the store when their feeder stops confirming") {
  for (const bool frozen : {true, false}) {
    FeedSimulation world(8, 3);
    world.AddEndpoint("e1");
    world.Run(seconds(4));
    if (frozen) {
      world.Freeze("h0", true);
    } else {
      world.CutFromStore("h0", true);
    }
    world.Run(milliseconds(20));
    world.RemoveEndpoint("e1");
    world.Run(kPropagationBound);
    for (const auto& [name, host] : world.hosts()) {
      CAPTURE(name);
      if (name != "h0") {
        CHECK(host.feed->view().Endpoints().empty());
      }
    }
  }
}

// Guards against a change that reaches no host although some can read it. The
// store rejects the seeds and most other hosts and serves the rest; each seed
// has followers that are served, and learns the change from them.
TEST_CASE("hosts that the store serves read for seeds that it rejects") {
  FeedSimulation world(40, 3);
  world.AddEndpoint("e1");
  world.Run(seconds(4));
  for (int n = 0; n < 30; ++n) {
    world.CutFromStore("h" + std::to_string(n), true);
  }
  world.Run(seconds(4));
  world.RemoveEndpoint("e1");
  world.SetVersion(2);
  world.Run(kPropagationBound);
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    CHECK(world.VersionOf(host) == 2);
    CHECK(host.feed->view().Endpoints().empty());
  }
  const std::uint64_t before = world.store_calls();
  world.Run(seconds(10));
  // Calls of the seeds, of the hosts that read for them, and retries.
  CHECK(world.store_calls() - before < 300);
}

// The store is unreachable for all hosts. When each host called it every two
// seconds, 472 hosts made 5,900 calls in 8 s, all billed and none answered.
TEST_CASE("calls to an unreachable store do not grow with the fleet") {
  std::uint64_t calls_of_small_fleet = 0;
  for (const int hosts : {30, 300}) {
    FeedSimulation world(hosts, 3);
    world.Run(seconds(4));
    for (const auto& [name, host] : world.hosts()) {
      world.CutFromStore(name, true);
    }
    const std::uint64_t before = world.store_calls();
    world.Run(seconds(10));
    const std::uint64_t calls = world.store_calls() - before;
    CAPTURE(calls);
    calls_of_small_fleet =
        calls_of_small_fleet == 0 ? calls : calls_of_small_fleet;
    CHECK(calls < 200);
    CHECK(calls < 2 * calls_of_small_fleet);
    for (const auto& [name, host] : world.hosts()) {
      world.CutFromStore(name, false);
    }
    world.SetVersion(2);
    world.Run(kUndisturbedTime);
    for (const auto& [name, host] : world.hosts()) {
      CAPTURE(name);
      CHECK(world.VersionOf(host) == 2);
    }
  }
}

// Seeds are killed while the store is unreachable, after they told the other
// hosts to wait. Hosts that keep to the announced interval would wait for most
// of a minute after the store is back.
TEST_CASE("hosts retry by themselves after their seeds are lost") {
  FeedSimulation world(100, 3);
  world.Run(seconds(4));
  for (const auto& [name, host] : world.hosts()) {
    world.CutFromStore(name, true);
  }
  world.Run(seconds(5));
  for (const char* it : {"h0", "h1", "h2"}) {
    world.Kill(it);
  }
  world.Run(seconds(2));
  for (const auto& [name, host] : world.hosts()) {
    world.CutFromStore(name, false);
  }
  world.SetVersion(2);
  world.Run(milliseconds(4500));
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    if (host.is_up) {
      CHECK(world.VersionOf(host) == 2);
    }
  }
}

// The preferred seed of a host does not come back. The host connected to the
// next seed, dropped that link as soon as it was fed, and reconnected a second
// later, repeatedly; removals arrived up to a second late meanwhile.
TEST_CASE("a host stays with the seed that feeds it") {
  FeedSimulation world(12, 3);
  world.Run(seconds(4));
  world.Kill("h0");
  world.Run(seconds(3));
  for (int step = 0; step < 300; ++step) {
    world.Run(FeedSimulation::kStep);
    for (const auto& [name, host] : world.hosts()) {
      const bool is_follower = host.is_up && name != "h1" && name != "h2";
      if (!is_follower) {
        continue;
      }
      CAPTURE(name);
      const auto wanted = host.feed->WantedSeeds(world.now());
      const bool keeps_feeder = std::ranges::any_of(
          wanted, [](const SocketAddress& it) { return it.ip != "10.0.0.0"; });
      REQUIRE(keeps_feeder);
    }
  }
}

// All seeds are replaced and the settings name new ones, without any restart.
// Each host must switch to the new seeds, and these must recognize their role.
TEST_CASE("hosts follow the seeds named by changed settings") {
  FeedSimulation world(12, 3);
  world.Run(seconds(4));
  for (const char* it : {"h0", "h1", "h2"}) {
    world.Kill(it);
  }
  world.SetSeeds({"h5", "h6"});
  world.Run(seconds(4));
  const std::uint64_t before = world.store_calls();
  world.SetVersion(2);
  world.Run(milliseconds(700));
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    if (host.is_up) {
      CHECK(world.VersionOf(host) == 2);
      CHECK(host.feed->reads_store() == (name == "h5"));
    }
  }
  CHECK(world.store_calls() - before < 10);
}

// Guards against requests to a removed endpoint for seconds. The store rejects
// the first seed, the third reads for it, and the link between them is
// reestablished: the first then returns the confirmation of the third to it,
// slightly later than it was given. The third considered itself fed and stopped
// reading, so no host read the store.
TEST_CASE("the echo of its own read does not feed a host") {
  PublishedFeedOptions options;
  options.self = HostId("h2");
  options.address = {"10.0.0.2", 80};
  options.seeds = {{"10.0.0.0", 80}, {"10.0.0.1", 80}, options.address};
  PublishedFeed feed(options, 1);
  const HostId first("h0");
  TimePoint now{std::chrono::hours(1)};
  Outbox out;
  feed.NextStep(now);
  now += seconds(2);
  CHECK(feed.NextStep(now).kind == FeedStep::Kind::kReadAll);
  feed.OnReadAll({{}, 5}, now);
  feed.OnLinkUp(first, now, out);
  feed.OnMessage(first, FeedHello{0, {"10.0.0.0", 80}, 4, 3}, now, out);
  feed.OnMessage(first, FeedOutage{}, now, out);
  feed.SendUpdates(now, out);
  const std::vector<Outbox::Item> sent = out.Take();
  const auto passed = std::ranges::find_if(sent, [](const Outbox::Item& it) {
    return std::holds_alternative<FeedUpdate>(it.message);
  });
  REQUIRE(passed != sent.end());
  now += milliseconds(20);
  feed.OnMessage(first, passed->message, now, out);
  now += milliseconds(100);
  feed.NextStep(now);
  CHECK(feed.reads_store());
}

TEST_CASE("a host without any reachable seed reads the store") {
  FeedSimulation world(5, 3);
  world.Run(seconds(3));
  for (const char* it : {"h0", "h1", "h2"}) {
    world.Kill(it);
  }
  world.AddEndpoint("e1");
  world.Run(seconds(2));
  for (const char* it : {"h3", "h4"}) {
    CHECK(world.hosts().at(it).feed->view().Endpoints().size() == 1);
    CHECK(world.hosts().at(it).feed->reads_store());
  }
  world.Start("h0");
  world.Run(seconds(3));
  for (const char* it : {"h3", "h4"}) {
    CHECK(!world.hosts().at(it).feed->reads_store());
  }
}

// All hosts lose power, and the seeds are the last to return. Each other host
// has read from a replica. If each of them also read the store before a seed
// can feed it, a large fleet would make hundreds of calls for the data of two.
TEST_CASE("hosts that start with replica data wait for their seeds") {
  FeedSimulation world(10, 3, true);
  world.AddEndpoint("e1");
  world.Run(seconds(4));
  for (int n = 0; n < 10; ++n) {
    world.Kill("h" + std::to_string(n));
  }
  for (int n = 3; n < 10; ++n) {
    world.Start("h" + std::to_string(n));
  }
  world.Run(milliseconds(700));
  for (int n = 0; n < 3; ++n) {
    world.Start("h" + std::to_string(n));
  }
  world.Run(seconds(1));
  for (int n = 3; n < 10; ++n) {
    const PublishedFeed& feed = *world.hosts().at("h" + std::to_string(n)).feed;
    CHECK(feed.counters().reads == 1);
    CHECK(feed.counters().watches == 0);
    CHECK(feed.Age(world.now()).value_or(kUndisturbedTime) < kPropagationBound);
  }
}

// All hosts of a large fleet restart after a power loss, and the store needs a
// second to return all endpoints to each. Requests were rejected during that
// second although a few endpoints per service would have been enough.
TEST_CASE("a host serves with a part of the endpoints until it has all") {
  PublishedFeedOptions options;
  options.self = HostId("h9");
  options.address = {"10.0.0.9", 80};
  options.seeds = {{"10.0.0.1", 80}};
  options.early_read = true;
  RouteTable table;
  table.version = 2;
  table.services = {{ServiceId("s"), "/health", 250},
                    {ServiceId("t"), "/health", 250}};
  const auto endpoint = [](const std::string& id, const char* service) {
    PublishedEndpoint it;
    it.spec.id = EndpointId(id);
    it.service = ServiceId(service);
    return it;
  };
  for (const bool is_enough : {true, false}) {
    PublishedFeed feed(options, 1);
    const TimePoint now{std::chrono::hours(1)};
    CHECK(feed.NextStep(now).kind == FeedStep::Kind::kReadPart);
    PublishedItems part{{{20, table}}, 30};
    for (int n = 0; n < 8; ++n) {
      const bool is_of_s = is_enough ? n % 2 == 0 : n > 0;
      part.items.push_back(
          {25, endpoint("e" + std::to_string(n), is_of_s ? "s" : "t")});
    }
    feed.OnReadPart(part, now);
    CHECK((feed.view().routes() != nullptr) == is_enough);
    CHECK(feed.view().Endpoints().size() == (is_enough ? 8 : 0));
    CHECK(feed.view().revision() == 0);
    CHECK(feed.NextStep(now).kind == FeedStep::Kind::kReadEndpoints);
    // e0 has been removed when all endpoints are read.
    PublishedItems all{{}, 40};
    for (int n = 1; n < 12; ++n) {
      all.items.push_back({26, endpoint("e" + std::to_string(n), "s")});
    }
    feed.OnReadEndpoints(all, now + milliseconds(900));
    CHECK(feed.view().routes()->version == 2);
    CHECK(feed.view().Endpoints().size() == 11);
    // Route changes since the partial read may be missing.
    CHECK(feed.view().revision() == 30);
    CHECK(feed.NextStep(now + milliseconds(1500)).kind ==
          FeedStep::Kind::kWait);
    CHECK(feed.NextStep(now + milliseconds(2000)).kind ==
          FeedStep::Kind::kReadAll);
  }
}

// The seeds do not return, so the host must read the store before its replica
// data is too old.
TEST_CASE("replica data is confirmed in time after a start") {
  FeedSimulation world(5, 3, true);
  world.AddEndpoint("e1");
  world.Run(seconds(4));
  for (const char* it : {"h0", "h1", "h2", "h4"}) {
    world.Kill(it);
  }
  world.Start("h4");
  world.RemoveEndpoint("e1");
  world.Run(milliseconds(1500));
  CHECK(world.hosts().at("h4").feed->view().Endpoints().empty());
}

// Guards against delayed changes and traffic costs: a recently started endpoint
// reports its decreasing cold time with every heartbeat, and each of these
// entries was sent to every host of the fleet.
TEST_CASE("a heartbeat without a relevant change is not forwarded") {
  FeedSimulation world(10, 3);
  world.AddEndpoint("e1");
  world.Run(seconds(4));
  const std::uint64_t before = world.entries_sent();
  for (int n = 0; n < 3; ++n) {
    world.WarmEndpoint("e1");
    world.Run(milliseconds(1500));
  }
  CHECK(world.entries_sent() == before);
}

// After a power loss all hosts start with replica data, and the seeds do not
// know the removals before their start. Each seed sent all entries to each of
// its hosts, which already had them: on a 20 Mbit/s link this took longer than
// the hosts wait, and all of them read the store.
TEST_CASE("hosts with replica data receive no entries that they have") {
  FeedSimulation world(10, 3, true);
  for (int n = 0; n < 50; ++n) {
    world.AddEndpoint("e" + std::to_string(n));
  }
  world.Run(seconds(4));
  for (int n = 0; n < 10; ++n) {
    world.Kill("h" + std::to_string(n));
  }
  world.RemoveEndpoint("e7");
  const std::uint64_t before = world.entries_sent();
  for (int n = 0; n < 10; ++n) {
    world.Start("h" + std::to_string(n));
  }
  world.AddEndpoint("e50");
  world.Run(seconds(2));
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    CHECK(host.feed->view().Endpoints().size() == 50);
    CHECK(world.MissingEndpoints(host, kPropagationBound).empty());
  }
  CHECK(world.entries_sent() - before <= 10);
}

// One route of a large table changes. Sending the full table to each host would
// take longer than the hosts wait, and all of them would read the store.
TEST_CASE("a small change of a large route table is sent as a delta") {
  FeedSimulation world(10, 3);
  for (std::uint64_t version = 2; version < 12; ++version) {
    world.SetVersion(version);
    world.Run(milliseconds(300));
  }
  world.Run(seconds(2));
  const std::uint64_t before = world.tables_sent();
  world.SetVersion(12);
  world.Run(seconds(1));
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    CHECK(world.VersionOf(host) == 12);
    CHECK(world.HasPublishedRoutes(host));
  }
  CHECK(world.tables_sent() == before);
}

// A feeder that was frozen during two versions sends them as one change. Its
// follower already has the first version from another host: the change does not
// start from its table, and applying it would restore routes that the first
// version removed.
TEST_CASE("a delta with another base is rejected and the table requested") {
  PublishedFeedOptions options;
  options.self = HostId("h9");
  options.address = {"10.0.0.9", 80};
  options.seeds = {{"10.0.0.1", 80}};
  PublishedFeed feed(options, 1);
  const TimePoint now{std::chrono::hours(1)};
  feed.NextStep(now);
  RouteTable table;
  table.version = 2;
  feed.OnReadAll({{{20, table}}, 20}, now);
  FeedUpdate update;
  update.after = 20;
  RouteTableDelta change;
  change.base_version = 1;
  change.version = 3;
  update.changes = {{{30, change}}, 30};
  Outbox out;
  feed.OnMessage(HostId("h1"), update, now, out);
  CHECK(feed.view().routes()->version == 2);
  CHECK(feed.view().revision() == 20);
  const auto items = out.Take();
  REQUIRE(items.size() == 1);
  CHECK(std::get<FeedHello>(items[0].message).revision == 0);
}

enum class Disruption : std::uint8_t { kKill, kStart, kFreeze, kCut };

// Freezing a frozen host, or cutting a cut one, ends that state.
void Disrupt(FeedSimulation& world, const std::string& name, Disruption kind) {
  const FeedSimulation::Host& host = world.hosts().at(name);
  if (kind == Disruption::kStart) {
    if (!host.is_up) {
      world.Start(name);
    }
  } else if (!host.is_up) {
    return;
  } else if (kind == Disruption::kFreeze) {
    world.Freeze(name, !host.is_frozen);
  } else if (!host.is_frozen && kind == Disruption::kKill) {
    world.Kill(name);
  } else if (!host.is_frozen) {
    world.CutFromStore(name, host.reaches_store);
  }
}

bool IsUndisturbed(const FeedSimulation& world,
                   const FeedSimulation::Host& host) {
  return host.is_up && !host.is_frozen && host.reaches_store &&
         world.now() - host.undisturbed_since > kUndisturbedTime;
}

// Guards against requests to a drained zone, or none to a zone whose drain has
// ended. The drain starts or ends while hosts are killed, started, frozen or
// cut off from the store, and the feeders may have missed it: every host that
// was undisturbed for three seconds must know it within two seconds.
TEST_CASE("generated schedules: zone drains take effect in time") {
  spdlog::set_level(spdlog::level::off);
  for (const bool early_read : {false, true}) {
    CHECK(rc::check("drains", [&] {
      FeedSimulation world(7, 3, early_read);
      world.AddEndpoint("e0");
      world.Run(seconds(3));
      const int events = *rc::gen::inRange(5, 25);
      for (int n = 0; n < events; ++n) {
        const int kind = *rc::gen::inRange(0, 8);
        if (kind < 4) {
          world.ToggleDrain("z" + std::to_string(kind % 2));
        } else {
          Disrupt(world, "h" + std::to_string(*rc::gen::inRange(0, 7)),
                  static_cast<Disruption>(kind - 4));
        }
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
          world.Run(FeedSimulation::kStep);
          for (const auto& [name, host] : world.hosts()) {
            RC_ASSERT(!IsUndisturbed(world, host) ||
                      world.WrongDrains(host, kPropagationBound).empty());
          }
        }
      }
    }));
  }
}

// Under any sequence of disruptions of hosts, links and the store: a host that
// was undisturbed for three seconds knows every removal and every endpoint
// after two seconds, and no process ever returns to an older version.
TEST_CASE("generated schedules: changes arrive in time and never regress") {
  spdlog::set_level(spdlog::level::off);
  CHECK(rc::check("feeds", [] {
    // Parts of one entry, of a few entries, and full updates.
    const auto part_entries = *rc::gen::element<std::size_t>(1, 3, 1000);
    FeedSimulation world(7, 3, false, part_entries);
    for (int n = 0; n < 4; ++n) {
      world.AddEndpoint("e" + std::to_string(n));
    }
    world.Run(seconds(3));
    std::uint64_t version = 1;
    int endpoints = 4;
    const int events = *rc::gen::inRange(5, 25);
    for (int n = 0; n < events; ++n) {
      const std::string host = "h" + std::to_string(*rc::gen::inRange(0, 7));
      switch (*rc::gen::inRange(0, 10)) {
        case 8:
          // The lease has expired: the same endpoint is published again.
          world.AddEndpoint("e" +
                            std::to_string(*rc::gen::inRange(0, endpoints)));
          break;
        case 9:
          world.WarmEndpoint("e" +
                             std::to_string(*rc::gen::inRange(0, endpoints)));
          break;
        case 0:
          world.SetVersion(++version);
          break;
        case 1:
          world.AddEndpoint("e" + std::to_string(endpoints++));
          break;
        case 2:
        case 3:
          world.RemoveEndpoint("e" +
                               std::to_string(*rc::gen::inRange(0, endpoints)));
          break;
        case 4:
          Disrupt(world, host, Disruption::kKill);
          break;
        case 5:
          Disrupt(world, host, Disruption::kStart);
          break;
        case 6:
          Disrupt(world, host, Disruption::kFreeze);
          break;
        default:
          Disrupt(world, host, Disruption::kCut);
      }
      const int steps = *rc::gen::inRange(1, 80);
      for (int step = 0; step < steps; ++step) {
        world.Run(FeedSimulation::kStep);
        for (auto& [name, checked] : world.hosts()) {
          if (IsUndisturbed(world, checked)) {
            RC_ASSERT(
                world.RemovedEndpointsKept(checked, kPropagationBound).empty());
            RC_ASSERT(
                world.MissingEndpoints(checked, kPropagationBound).empty());
          }
          if (checked.is_up) {
            const std::uint64_t held = world.VersionOf(checked);
            RC_ASSERT(held >= checked.newest_version);
            RC_ASSERT(world.HasPublishedRoutes(checked));
            checked.newest_version = held;
          }
        }
      }
    }
  }));
}

TEST_CASE("an update is unchanged after encoding and decoding") {
  FeedUpdate update;
  update.after = 7;
  update.whole = true;
  update.after_outage = true;
  update.hosts = 17;
  update.age = milliseconds(40);
  update.reader = 99;
  RouteTable table;
  table.version = 3;
  Route route;
  route.host = "a.example";
  route.prefix = "/x/";
  route.idempotent = true;
  route.timeout = milliseconds(1200);
  route.latency_objective = milliseconds(400);
  route.targets = {{ServiceId("s"), 90}, {ServiceId("t"), 10}};
  route.contract.customer = CustomerId("r");
  route.urgency = Urgency::kBulk;
  table.routes = {route};
  table.services = {{ServiceId("s"), "/health", 260}};
  PublishedEndpoint endpoint;
  endpoint.service = ServiceId("s");
  endpoint.spec.id = EndpointId("e");
  endpoint.spec.address = {"10.0.0.1", 80};
  endpoint.spec.zone = ZoneId("z");
  endpoint.spec.state = ListedState::kLeaving;
  endpoint.cold_for = milliseconds(900);
  RouteTableDelta change;
  change.base_version = 3;
  change.version = 4;
  change.changed = table.routes;
  change.removed = {{"b.example", "/y/"}};
  change.services = table.services;
  update.changes = {{{9, table},
                     {10, endpoint},
                     {11, RemovedEndpoint{EndpointId("g")}},
                     {12, change},
                     {13, ZoneDrain{ZoneId("z"), true}},
                     {14, ZoneDrain{ZoneId("y"), false}}},
                    14};
  update.present = {EndpointId("p"), EndpointId("q")};
  Try(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(EncodePeerMessage(update)));
        const auto& read = std::get<FeedUpdate>(*message);
        CHECK(read.after == 7);
        CHECK(read.whole);
        CHECK(read.after_outage);
        CHECK(read.hosts == 17);
        CHECK(read.age == update.age);
        CHECK(read.reader == 99);
        CHECK(read.changes.current == 14);
        CHECK(read.present == update.present);
        REQUIRE(read.changes.items.size() == 6);
        CHECK(read.changes.items[4] == update.changes.items[4]);
        CHECK(read.changes.items[5] == update.changes.items[5]);
        CHECK(std::get<RouteTableDelta>(read.changes.items[3].value) == change);
        CHECK(std::get<RouteTable>(read.changes.items[0].value) == table);
        CHECK(std::get<PublishedEndpoint>(read.changes.items[1].value) ==
              endpoint);
        CHECK(std::get<RemovedEndpoint>(read.changes.items[2].value).id ==
              EndpointId("g"));
        return {};
      },
      [](const Error& error) { FAIL(ToString(error)); });
}

// Returns an update whose member `member` contains `value`.
Json UpdateWith(const char* member, const Json& value) {
  Json list = Json::array({value});
  if (std::string(member) == "endpoints") {
    list = Json{{"rows", std::move(list)}};
  }
  return Json{
      {"after", 1}, {"current", 2}, {"age_us", 5}, {member, std::move(list)}};
}

// A seed on a 20 Mbit/s link sends each change to hundreds of hosts.
TEST_CASE("an endpoint takes at most 60 bytes of an update, a removal 20") {
  FeedUpdate update;
  const std::size_t empty = EncodePeerMessage(update).size();
  constexpr int kEndpoints = 100;
  for (int n = 0; n < kEndpoints; ++n) {
    PublishedEndpoint endpoint;
    endpoint.service = ServiceId("dashboard-of-the-parks");
    endpoint.spec.id = EndpointId("i-7f3a91" + std::to_string(10 + n));
    endpoint.spec.address = {"10.101.102.103", 12345};
    endpoint.spec.zone = ZoneId("portalegre-hall-c");
    endpoint.spec.started_at = EndpointStart(milliseconds(1'764'000'000'123));
    endpoint.cold_for = milliseconds(2500);
    update.changes.items.push_back({1'000'000, endpoint});
  }
  const std::size_t entries = EncodePeerMessage(update).size() - empty;
  CHECK(entries / kEndpoints <= 60);
  update.changes.items.clear();
  for (int n = 0; n < kEndpoints; ++n) {
    const EndpointId id("i-7f3a91" + std::to_string(10 + n));
    update.changes.items.push_back({1'000'000, RemovedEndpoint{id}});
  }
  const std::size_t removals = EncodePeerMessage(update).size() - empty;
  CHECK(removals / kEndpoints <= 20);
}

TEST_CASE("malformed updates are rejected with a remedy") {
  for (const Json& body : {Json{{"after", 1}},
                           Json{{"after", "x"},
                                {"current", 1},
                                {"age_us", 1},
                                {"items", Json::array()}},
                           Json{{"after", 1},
                                {"current", 2},
                                {"age_us", -5},
                                {"items", Json::array()}},
                           UpdateWith("books", Json{{"revision", 3}}),
                           UpdateWith("removed", Json::array({"e", 3})),
                           UpdateWith("endpoints", Json::array({1, 2})),
                           UpdateWith("endpoints", 7)}) {
    const auto fault = CaptureError([&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(FeedUpdate::Parse(body, "feed-update"));
      return {};
    });
    REQUIRE(fault);
    CHECK(!fault->remedy.empty());
  }
}

}  // namespace
}  // namespace damasktack
