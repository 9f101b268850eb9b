#include "fleet/fleet_core.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "tests/fleet/memory_network.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Document Contracts(Revision revision, std::string body = "body") {
  return {DocumentName::kContracts, revision, std::move(body)};
}

Document Services(Revision revision) {
  return {DocumentName::kServices, revision, "services"};
}

Revision ContractsOn(MemoryNetwork& network, std::size_t n) {
  return network.at(n).documents().RevisionOf(DocumentName::kContracts);
}

MemoryNetwork::Options Small(std::size_t hosts) {
  MemoryNetwork::Options options;
  options.hosts = hosts;
  return options;
}

// A fleet in which everybody has all documents, contracts at 5.
void Settle(MemoryNetwork& network) {
  network.Offer(0, network.HostList(1));
  network.Offer(0, Services(1));
  network.Offer(0, Contracts(5, "five"));
  CHECK(network.RunUntil(
      [&] {
        return network.AllHave(DocumentName::kContracts, 5) &&
               network.AllHave(DocumentName::kServices, 1) &&
               network.AllHave(DocumentName::kHosts, 1);
      },
      seconds(10)));
}

void AskPlatform(MemoryNetwork& network, std::size_t n) {
  for (std::size_t k = 0; k < kDocumentCount; ++k) {
    network.at(n).OnPlatformQueried(static_cast<DocumentName>(k),
                                    network.at(n).check_number(),
                                    network.now());
  }
}

TEST_CASE("a change reaches all hosts from one") {
  MemoryNetwork network(Small(15));
  Settle(network);
  network.Offer(7, Contracts(6));
  CHECK(network.RunUntil(
      [&] { return network.AllHave(DocumentName::kContracts, 6); },
      seconds(5)));
}

// One host restarts empty and meets a platform that came back from an old copy
// before it hears its peers; one peer was paused and still has the old value.
// All must end on the highest that anyone holds, the new host not ready before.
TEST_CASE("an empty host, a stale platform and an old peer end on the newest") {
  MemoryNetwork network(Small(4));
  Settle(network);
  network.SetSide(3, 1);
  network.Offer(1, Contracts(6, "six"));
  network.Run(seconds(2));
  CHECK(ContractsOn(network, 3) == 5);
  network.SetSide(0, 2);
  network.Restart(0);
  network.Offer(0, Contracts(4, "four"));
  network.Offer(0, Services(1));
  network.Offer(0, network.HostList(1));
  network.Run(milliseconds(10));
  AskPlatform(network, 0);
  CHECK(ContractsOn(network, 0) == 4);
  CHECK_FALSE(network.at(0).ready());
  network.Heal();
  CHECK(network.RunUntil([&] { return network.at(0).ready(); }, seconds(5)));
  CHECK(ContractsOn(network, 0) == 6);
  CHECK(network.RunUntil(
      [&] { return network.AllHave(DocumentName::kContracts, 6); },
      seconds(5)));
}

// Peers that cannot be reached must not keep a host out of service for good.
TEST_CASE("a starting host waits for silent peers a bounded time") {
  MemoryNetwork network(Small(3));
  network.SetSide(1, 1);
  network.SetSide(2, 2);
  network.Offer(0, network.HostList(1));
  network.Offer(0, Services(1));
  network.Offer(0, Contracts(5));
  network.Run(milliseconds(10));
  CHECK_FALSE(network.at(0).ready());
  AskPlatform(network, 0);
  network.Run(seconds(1));
  CHECK_FALSE(network.at(0).ready());
  network.Run(seconds(2));
  CHECK(network.at(0).ready());
}

// The process is stopped for a minute and goes on, believing what it knew. It
// must take no calls on that before it has heard its peers and the platform.
TEST_CASE("a late waker is not ready before it has asked again") {
  MemoryNetwork network(Small(3));
  Settle(network);
  AskPlatform(network, 0);
  CHECK(network.RunUntil([&] { return network.at(0).ready(); }, seconds(5)));
  const std::uint64_t old_check = network.at(0).check_number();
  network.at(0).OnLateWake(network.now());
  CHECK_FALSE(network.at(0).ready());
  // An answer to a question from before the pause does not count.
  network.at(0).OnPlatformQueried(DocumentName::kContracts, old_check,
                                  network.now());
  network.Run(seconds(3));
  CHECK_FALSE(network.at(0).ready());
  AskPlatform(network, 0);
  CHECK(network.at(0).ready());
}

TEST_CASE("a removed contract stays removed when an old host returns") {
  MemoryNetwork network(Small(5));
  Settle(network);
  network.SetSide(4, 1);
  network.Offer(0, Contracts(6, "without it"));
  network.Run(seconds(3));
  network.Heal();
  CHECK(network.RunUntil(
      [&] { return network.AllHave(DocumentName::kContracts, 6); },
      seconds(5)));
  CHECK(network.at(4).documents().InForce(DocumentName::kContracts)->body ==
        "without it");
}

TEST_CASE("an invalid value is refused, remembered and not passed on") {
  MemoryNetwork network(Small(5));
  Settle(network);
  network.Offer(0, Contracts(6, "bad value"));
  network.Run(seconds(3));
  CHECK(network.AllHave(DocumentName::kContracts, 5));
  const auto& refused =
      network.at(0).documents().Refused(DocumentName::kContracts);
  REQUIRE(refused);
  CHECK(refused->version.revision == 6);
  CHECK_FALSE(network.at(1).documents().Refused(DocumentName::kContracts));
  // The whole value of the same revision is taken, and ends the refusal.
  network.Offer(0, Contracts(6, "six"));
  network.Offer(0, Contracts(7, "seven"));
  CHECK(network.RunUntil(
      [&] { return network.AllHave(DocumentName::kContracts, 7); },
      seconds(5)));
  CHECK_FALSE(network.at(0).documents().Refused(DocumentName::kContracts));
}

// The platform gives one revision to two contents, one to each side of a
// partition. Whatever is right, the hosts must not differ for good.
TEST_CASE("two contents of one revision end as one on all hosts") {
  MemoryNetwork network(Small(6));
  Settle(network);
  for (std::size_t n = 0; n < 3; ++n) {
    network.SetSide(n, 1);
  }
  network.Offer(0, Contracts(6, "left"));
  network.Offer(5, Contracts(6, "right"));
  network.Run(seconds(3));
  network.Heal();
  network.Run(seconds(5));
  const std::string body =
      network.at(0).documents().InForce(DocumentName::kContracts)->body;
  for (std::size_t n = 1; n < network.size(); ++n) {
    CHECK(network.at(n).documents().InForce(DocumentName::kContracts)->body ==
          body);
  }
}

TEST_CASE("a replaced host is told apart by its incarnation") {
  MemoryNetwork network(Small(3));
  Settle(network);
  const auto seen = [&] { return network.at(0).view().peers.front(); };
  CHECK(seen().id == HostId("h1"));
  CHECK(seen().incarnation == 1);
  network.at(1).SetLeaving(network.now());
  CHECK(network.RunUntil([&] { return seen().listed == ListedState::kLeaving; },
                         seconds(1)));
  CHECK_FALSE(IsReader(network.at(1).view()));
  network.Restart(1);
  CHECK(seen().incarnation == 2);
  CHECK(seen().listed == ListedState::kLive);
  // A late message of the old process is not heard.
  const auto unheard = network.at(0).counters().messages_unknown_sender;
  network.at(0).OnFrame({HostId("h1"), 1}, EncodePeerMessage(Goodbye{}),
                        network.now());
  CHECK(network.at(0).counters().messages_unknown_sender == unheard + 1);
  CHECK(seen().reachable);
}

TEST_CASE("a silent peer is unreachable, and readers follow") {
  MemoryNetwork network(Small(9));
  Settle(network);
  std::size_t readers = 0;
  for (std::size_t n = 0; n < network.size(); ++n) {
    readers += IsReader(network.at(n).view()) ? 1 : 0;
  }
  CHECK(readers == 3 * kReadersPerZone);
  // Zone z0 is h0, h3 and h6; cut off, each reads for itself.
  for (const std::size_t n : {0, 3, 6}) {
    network.SetSide(n, static_cast<int>(n) + 1);
  }
  network.Run(seconds(5));
  for (const std::size_t n : {0, 3, 6}) {
    CHECK(IsReader(network.at(n).view()));
  }
}

// Any schedule of publications, stale reads, invalid values, partitions,
// restarts and lost messages: what is in force on a process never goes back,
// and once all is quiet and linked, all hosts agree on the highest version.
TEST_CASE("versions never go back, and all hosts agree in the end") {
  CHECK(rc::check([] {
    MemoryNetwork::Options options;
    options.hosts = *rc::gen::inRange<std::size_t>(2, 7);
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    options.loss_percent = *rc::gen::element(0U, 10U, 50U);
    options.longest_delay =
        *rc::gen::element(milliseconds(3), milliseconds(400));
    options.step = milliseconds(20);
    MemoryNetwork network(options);
    std::vector<DocumentVersion> last(network.size());
    Revision newest = 1;
    const int events = *rc::gen::inRange(1, 25);
    for (int k = 0; k < events; ++k) {
      const auto n = *rc::gen::inRange<std::size_t>(0, network.size());
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          ++newest;
          network.Offer(n, Contracts(newest, "v" + std::to_string(newest)));
          break;
        case 1: {
          const auto old = *rc::gen::inRange<Revision>(1, newest + 1);
          network.Offer(n, Contracts(old, "v" + std::to_string(old)));
          break;
        }
        case 2:
          network.Offer(n, Contracts(newest, "bad"));
          break;
        case 3:
          network.SetSide(n, *rc::gen::inRange(0, 3));
          break;
        case 4:
          network.Restart(n);
          last[n] = {};
          break;
        default:
          network.Offer(n, network.HostList(1));
          break;
      }
      network.Run(milliseconds(*rc::gen::element(0, 20, 300, 4000)));
      for (std::size_t host = 0; host < network.size(); ++host) {
        const auto document =
            network.at(host).documents().InForce(DocumentName::kContracts);
        const DocumentVersion version =
            document ? VersionOf(*document) : DocumentVersion{};
        RC_ASSERT(version >= last[host]);
        last[host] = version;
      }
    }
    const DocumentVersion highest = *std::ranges::max_element(last);
    network.Heal();
    RC_ASSERT(network.RunUntil(
        [&] {
          for (std::size_t host = 0; host < network.size(); ++host) {
            const auto document =
                network.at(host).documents().InForce(DocumentName::kContracts);
            const bool same = document ? VersionOf(*document) == highest
                                       : highest == DocumentVersion{};
            if (!same) {
              return false;
            }
          }
          return true;
        },
        std::chrono::minutes(2)));
  }));
}

}  // namespace
}  // namespace damasktack
