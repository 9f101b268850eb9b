#include "fleet/published_feed.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <spdlog/spdlog.h>

#include <string>

#include "feed_world.h"
#include "fleet/peer_codec.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// In which a change has to be known on a host that nothing is wrong with.
constexpr Duration kInForce = milliseconds(2000);
// Since when nothing has been wrong with it.
constexpr Duration kWellFor = seconds(3);

TEST_CASE("all hosts learn a change, and calls do not grow with the fleet") {
  std::uint64_t calls_of_small = 0;
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
    calls_of_small = calls_of_small == 0 ? calls : calls_of_small;
    CHECK(calls <= calls_of_small + 5);
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

// A caller's request reaches an endpoint that left more than two seconds ago.
// The store turns the first and the third seed away; the third tries it once,
// fails, and is fed by the second from then on. It took itself for one that has
// no store, and had its hosts keep whatever was removed for another second and
// a half, as is right only after an outage of the host that reads.
TEST_CASE("a fed seed says of outages what its feeder says") {
  const HostId feeder("h1");
  const HostId follower("h9");
  PublishedFeedOptions options;
  options.self = HostId("h2");
  options.address = {"10.0.0.2", 80};
  options.seeds = {{"10.0.0.0", 80}, {"10.0.0.1", 80}, options.address};
  PublishedFeed feed(options, 1);
  TimePoint now{std::chrono::hours(1)};
  Outbox out;
  feed.Next(now);
  now += seconds(1);
  feed.Next(now);
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
    const Revision known = feed.view().revision();
    feed.OnMessage(feeder, UpdateTo(known, known + 1, after_outage), now, out);
    feed.Feed(now, out);
    const std::vector<Outbox::Item> sent = out.Take();
    const auto passed = std::ranges::find(sent, follower, &Outbox::Item::to);
    REQUIRE(passed != sent.end());
    CHECK(std::get<FeedUpdate>(passed->message).after_outage == after_outage);
  }
}

// Budgets of the fleet are shared by its size, which nobody publishes. Hosts
// are lost and come back; the belief follows.
TEST_CASE("every host learns how many hosts there are") {
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

// A caller's request goes to an endpoint that left seconds ago. The first seed
// is replaced while the endpoint is removed without a word; the new process
// reads a store in which the endpoint is not, and what it sends its followers
// as changes cannot name it.
TEST_CASE("a feeder that has just started tells of removals it never saw") {
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
    CHECK(world.Overdue(host, kInForce).empty());
    CHECK(host.feed->view().Endpoints().size() == 1);
  }
}

// The host that feeds the others is frozen, or loses the store without a
// reset. Its links stay open, so only the age of what it last said tells.
TEST_CASE("hosts ask the store where their feeder falls silent") {
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
    world.Run(kInForce);
    for (const auto& [name, host] : world.hosts()) {
      CAPTURE(name);
      if (name != "h0") {
        CHECK(host.feed->view().Endpoints().empty());
      }
    }
  }
}

// Nobody is told a change that a part of the fleet can read. The store turns
// the seeds and most other hosts away and serves the rest; each seed has hosts
// that follow it and that get through, so it hears of the change from them.
TEST_CASE("hosts that the store serves read for seeds that it turns away") {
  FeedSimulation world(40, 3);
  world.AddEndpoint("e1");
  world.Run(seconds(4));
  for (int n = 0; n < 30; ++n) {
    world.CutFromStore("h" + std::to_string(n), true);
  }
  world.Run(seconds(4));
  world.RemoveEndpoint("e1");
  world.SetVersion(2);
  world.Run(kInForce);
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    CHECK(world.VersionOf(host) == 2);
    CHECK(host.feed->view().Endpoints().empty());
  }
  const std::uint64_t before = world.store_calls();
  world.Run(seconds(10));
  // Of the seeds, of the hosts that read for them and of those that try.
  CHECK(world.store_calls() - before < 300);
}

// The store is away for everybody. Each host asked it every other second, and
// 472 hosts asked 5,900 times in 8 s, each call paid for and none answered.
TEST_CASE("calls to a store that is away do not grow with the fleet") {
  std::uint64_t calls_of_small = 0;
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
    calls_of_small = calls_of_small == 0 ? calls : calls_of_small;
    CHECK(calls < 200);
    CHECK(calls < 2 * calls_of_small);
    for (const auto& [name, host] : world.hosts()) {
      world.CutFromStore(name, false);
    }
    world.SetVersion(2);
    world.Run(kWellFor);
    for (const auto& [name, host] : world.hosts()) {
      CAPTURE(name);
      CHECK(world.VersionOf(host) == 2);
    }
  }
}

// The seed that asked for the others is killed while the store is away. They
// had been told to wait, and by that word they would wait for most of a minute
// after the store is back.
TEST_CASE("hosts ask again by themselves where their seeds are lost") {
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

// The seed that a host prefers does not come back. The host linked to the next
// one, dropped that link as soon as it was fed and dialed it again a second
// later, on and on; a removal came up to a second late meanwhile.
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

// The hosts that the others follow are replaced, and the settings name others.
// Nobody is restarted: each host has to turn to the new ones, which have to
// know that they are seeds now.
TEST_CASE("hosts follow the seeds that changed settings name") {
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

// A removed endpoint gets calls for seconds. The store turns the first seed
// away, the third reads for it, and the link between them is made anew: the
// first then tells the third what it has from there, a moment later than the
// store said it. The third took itself for fed and stopped; nobody read.
TEST_CASE("what a host read itself does not feed it") {
  PublishedFeedOptions options;
  options.self = HostId("h2");
  options.address = {"10.0.0.2", 80};
  options.seeds = {{"10.0.0.0", 80}, {"10.0.0.1", 80}, options.address};
  PublishedFeed feed(options, 1);
  const HostId first("h0");
  TimePoint now{std::chrono::hours(1)};
  Outbox out;
  feed.Next(now);
  now += seconds(2);
  CHECK(feed.Next(now).kind == FeedStep::Kind::kReadAll);
  feed.OnReadAll({{}, 5}, now);
  feed.OnLinkUp(first, now, out);
  feed.OnMessage(first, FeedHello{0, {"10.0.0.0", 80}, 4, 3}, now, out);
  feed.OnMessage(first, FeedOutage{}, now, out);
  feed.Feed(now, out);
  const std::vector<Outbox::Item> sent = out.Take();
  const auto passed = std::ranges::find_if(sent, [](const Outbox::Item& it) {
    return std::holds_alternative<FeedUpdate>(it.message);
  });
  REQUIRE(passed != sent.end());
  now += milliseconds(20);
  feed.OnMessage(first, passed->message, now, out);
  now += milliseconds(100);
  feed.Next(now);
  CHECK(feed.reads_store());
}

TEST_CASE("a host whose seeds are all away reads the store by itself") {
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

// All hosts lose power together and the seeds are the last to be back. Each of
// the others has read a copy of what is published. Were each of them to ask the
// store for a newer one before a seed can tell them, a large fleet would ask
// hundreds of times for what two calls bring.
TEST_CASE("hosts that start with a copy wait for their seeds") {
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
    CHECK(feed.Age(world.now()).value_or(kWellFor) < kInForce);
  }
}

// All hosts of a large fleet return together after a loss of power, and the
// store takes a second to hand each of them all endpoints. Callers were refused
// for that second although a few endpoints of each service would have done.
TEST_CASE("a host serves by a part of the endpoints until it has all") {
  PublishedFeedOptions options;
  options.self = HostId("h9");
  options.address = {"10.0.0.9", 80};
  options.seeds = {{"10.0.0.1", 80}};
  options.early_read = true;
  RouteTable book;
  book.version = 2;
  book.services = {{ServiceId("s"), "/health", 250},
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
    CHECK(feed.Next(now).kind == FeedStep::Kind::kReadPart);
    PublishedItems part{{{20, book}}, 30};
    for (int n = 0; n < 8; ++n) {
      const bool is_of_s = is_enough ? n % 2 == 0 : n > 0;
      part.items.push_back(
          {25, endpoint("e" + std::to_string(n), is_of_s ? "s" : "t")});
    }
    feed.OnReadPart(part, now);
    CHECK((feed.view().routes() != nullptr) == is_enough);
    CHECK(feed.view().Endpoints().size() == (is_enough ? 8 : 0));
    CHECK(feed.view().revision() == 0);
    CHECK(feed.Next(now).kind == FeedStep::Kind::kReadEndpoints);
    // e0 is gone by the time at which all endpoints are read.
    PublishedItems all{{}, 40};
    for (int n = 1; n < 12; ++n) {
      all.items.push_back({26, endpoint("e" + std::to_string(n), "s")});
    }
    feed.OnReadEndpoints(all, now + milliseconds(900));
    CHECK(feed.view().routes()->version == 2);
    CHECK(feed.view().Endpoints().size() == 11);
    // Changes of the routes since the part may be missing.
    CHECK(feed.view().revision() == 30);
    CHECK(feed.Next(now + milliseconds(1500)).kind == FeedStep::Kind::kWait);
    CHECK(feed.Next(now + milliseconds(2000)).kind == FeedStep::Kind::kReadAll);
  }
}

// The seeds do not come back. What the copy says is as old as it may be when
// the host asks the store itself.
TEST_CASE("a host that starts with a copy has it confirmed in time") {
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

// Hosts hear of changes late and pay for each byte: an endpoint that has just
// started counts down with every heartbeat how long it stays slow, and each of
// these entries went to each host of the fleet.
TEST_CASE("a heartbeat that changes nothing stays at the host that reads") {
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

// After a loss of power all hosts begin with a copy of what is published, and
// the seeds cannot name what was removed before they started. Each seed sent
// every entry to each of its hosts, which had them: on a link of 20 Mbit/s that
// took longer than the hosts wait, and all of them asked the store.
TEST_CASE("hosts that start with a copy are sent no entries that they have") {
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
    CHECK(world.Lacking(host, kInForce).empty());
  }
  CHECK(world.entries_sent() - before <= 10);
}

// A book of many routes changes by one. Sent whole to each host it would take
// longer than the hosts may wait for it, and they would all ask the store.
TEST_CASE("a small change of a large book goes out as a change") {
  FeedSimulation world(10, 3);
  for (std::uint64_t version = 2; version < 12; ++version) {
    world.SetVersion(version);
    world.Run(milliseconds(300));
  }
  world.Run(seconds(2));
  const std::uint64_t before = world.books_sent();
  world.SetVersion(12);
  world.Run(seconds(1));
  for (const auto& [name, host] : world.hosts()) {
    CAPTURE(name);
    CHECK(world.VersionOf(host) == 12);
    CHECK(world.HasTrueBook(host));
  }
  CHECK(world.books_sent() == before);
}

// A feeder was frozen while two versions came and sends them as one step. Its
// follower has the first of them from elsewhere: the step does not begin at its
// book, and applied all the same it would bring back what that one removed.
TEST_CASE("a step to another book is not taken, and the book is asked for") {
  PublishedFeedOptions options;
  options.self = HostId("h9");
  options.address = {"10.0.0.9", 80};
  options.seeds = {{"10.0.0.1", 80}};
  PublishedFeed feed(options, 1);
  const TimePoint now{std::chrono::hours(1)};
  feed.Next(now);
  RouteTable book;
  book.version = 2;
  feed.OnReadAll({{{20, book}}, 20}, now);
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

// A freeze or a cut of a host that is in one ends it.
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

bool IsWell(const FeedSimulation& world, const FeedSimulation::Host& host) {
  return host.is_up && !host.is_frozen && host.reaches_store &&
         world.now() - host.well_since > kWellFor;
}

// Calls go into a zone that the operator has emptied for a repair, or none go
// to one that was given back. The drain begins or ends while hosts are killed,
// started, frozen or cut from the store, and the hosts that feed others may not
// have seen it: whoever has been well for three seconds knows within two.
TEST_CASE("generated schedules: drains of zones are in force in time") {
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
            RC_ASSERT(!IsWell(world, host) ||
                      world.Mistaken(host, kInForce).empty());
          }
        }
      }
    }));
  }
}

// Whatever happens to hosts, links and the store's reachability, and in
// whatever order: a host that has been well for three seconds knows every
// removal and every endpoint that is two seconds old, and no host ever goes
// back to an older version within one life of its process.
TEST_CASE("generated schedules: in force in time, never back") {
  spdlog::set_level(spdlog::level::off);
  CHECK(rc::check("feeds", [] {
    // In parts of one entry, of a few, and whole.
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
          // A lease that lapsed: the same endpoint is published again.
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
          if (IsWell(world, checked)) {
            RC_ASSERT(world.Overdue(checked, kInForce).empty());
            RC_ASSERT(world.Lacking(checked, kInForce).empty());
          }
          if (checked.is_up) {
            const std::uint64_t held = world.VersionOf(checked);
            RC_ASSERT(held >= checked.newest_version);
            RC_ASSERT(world.HasTrueBook(checked));
            checked.newest_version = held;
          }
        }
      }
    }
  }));
}

TEST_CASE("an update survives the codec") {
  FeedUpdate update;
  update.after = 7;
  update.whole = true;
  update.after_outage = true;
  update.hosts = 17;
  update.age = milliseconds(40);
  update.reader = 99;
  RouteTable book;
  book.version = 3;
  Route route;
  route.host = "a.example";
  route.prefix = "/x/";
  route.idempotent = true;
  route.timeout = milliseconds(1200);
  route.latency_objective = milliseconds(400);
  route.targets = {{ServiceId("s"), 90}, {ServiceId("t"), 10}};
  route.contract.customer = CustomerId("r");
  route.urgency = Urgency::kBulk;
  book.routes = {route};
  book.services = {{ServiceId("s"), "/health", 260}};
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
  change.changed = book.routes;
  change.removed = {{"b.example", "/y/"}};
  change.services = book.services;
  update.changes = {{{9, book},
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
        CHECK(std::get<RouteTable>(read.changes.items[0].value) == book);
        CHECK(std::get<PublishedEndpoint>(read.changes.items[1].value) ==
              endpoint);
        CHECK(std::get<RemovedEndpoint>(read.changes.items[2].value).id ==
              EndpointId("g"));
        return {};
      },
      [](const Error& error) { FAIL(ToString(error)); });
}

// An update with one thing in a member where the other things belong.
Json UpdateWith(const char* member, const Json& thing) {
  Json list = Json::array({thing});
  if (std::string(member) == "endpoints") {
    list = Json{{"rows", std::move(list)}};
  }
  return Json{
      {"after", 1}, {"current", 2}, {"age_us", 5}, {member, std::move(list)}};
}

// A seed on a link of 20 Mbit/s sends each change to hundreds of hosts.
TEST_CASE("an endpoint takes 60 bytes of an update at most, a removal 20") {
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

TEST_CASE("malformed updates are refused with a remedy") {
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
