#include "fleet/relay_exchange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fleet/peer_codec.h"

namespace damasktack {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr int kSeeds = 3;
const ServiceId kService("s");

HostId SeedId(int n) {
  return HostId("s" + std::to_string(n));
}
HostId FollowerId(int n) {
  return HostId("f" + std::to_string(n));
}

// Three connected seeds and followers that are each connected to one of them.
// Delivers messages at once, encoded as between processes.
class Star {
 public:
  explicit Star(int followers, int zones = 3) {
    for (int n = 0; n < kSeeds; ++n) {
      Add(SeedId(n), n % zones);
      for (int other = 0; other < n; ++other) {
        Link(SeedId(n), SeedId(other));
      }
    }
    for (int n = 0; n < followers; ++n) {
      Add(FollowerId(n), n % zones);
      Link(FollowerId(n), SeedId(n % kSeeds));
    }
  }

  void Cut(const HostId& host) { SetReachable(host, false); }
  void Heal(const HostId& host) { SetReachable(host, true); }
  void RequestPeers(const HostId& host) {
    hosts_.at(host)->directory.RequestPeers();
    Share(host);
  }
  void Remove(const HostId& host) {
    hosts_.erase(host);
    for (auto& [id, it] : hosts_) {
      Outbox out;
      it->exchange.OnPeerGone(host, out);
      Collect(id, out);
    }
    Deliver();
  }
  std::vector<RelayHost> PeersOf(const HostId& host) {
    RequestPeers(host);
    return hosts_.at(host)->directory.peers();
  }
  bool HasPeer(const HostId& host, const HostId& peer) {
    const std::vector<RelayHost> peers = PeersOf(host);
    return std::ranges::any_of(
        peers, [&](const RelayHost& it) { return it.host == peer; });
  }
  int messages() const { return messages_; }

 private:
  struct Member {
    RelayDirectory directory;
    RelayExchange exchange{directory, 1};
  };
  struct Letter {
    HostId from;
    HostId to;
    PeerMessage message;
  };

  void Add(const HostId& host, int zone) {
    auto member = std::make_unique<Member>();
    member->directory.SetSelf(
        {host, ZoneId("z" + std::to_string(zone)), {"10.0.0.1", 7000}});
    hosts_[host] = std::move(member);
  }
  static bool IsSeed(const HostId& host) { return host.text()[0] == 's'; }
  void Link(const HostId& a, const HostId& b) {
    for (const auto& [own, peer] : {std::pair(a, b), std::pair(b, a)}) {
      Outbox out;
      hosts_.at(own)->exchange.OnPeer(
          peer, IsSeed(peer) ? RelayPeerRole::kSeed : RelayPeerRole::kFollower,
          out);
      Collect(own, out);
    }
    Deliver();
  }
  void SetReachable(const HostId& host, bool is_reachable) {
    hosts_.at(host)->directory.SetReachable(kService, is_reachable);
    Share(host);
  }
  void Share(const HostId& host) {
    Outbox out;
    hosts_.at(host)->exchange.Share(kNow, out);
    Collect(host, out);
    Deliver();
  }
  void Collect(const HostId& from, Outbox& out) {
    for (Outbox::Item& it : out.Take()) {
      letters_.push_back({from, it.to, std::move(it.message)});
    }
  }
  void Deliver() {
    while (!letters_.empty()) {
      const Letter letter = std::move(letters_.front());
      letters_.pop_front();
      ++messages_;
      const auto to = hosts_.find(letter.to);
      if (to == hosts_.end()) {
        continue;
      }
      const std::string frame = EncodePeerMessage(letter.message);
      std::optional<PeerMessage> message;
      Try(
          [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(message, DecodePeerMessage(frame));
            return {};
          },
          [](const Error& error) { FAIL(ToString(error)); });
      REQUIRE(message);
      Outbox out;
      if (const auto* offers = std::get_if<RelayOffers>(&*message)) {
        to->second->exchange.OnOffers(letter.from, *offers, out);
      } else if (const auto* peers = std::get_if<RelayPeers>(&*message)) {
        to->second->exchange.OnPeers(*peers);
      }
      Collect(letter.to, out);
    }
  }

  std::map<HostId, std::unique_ptr<Member>> hosts_;
  std::deque<Letter> letters_;
  int messages_ = 0;
};

TEST_CASE("a follower and a seed that are cut off get peers") {
  Star star(12);
  for (const HostId& host : {FollowerId(4), SeedId(1)}) {
    star.Cut(host);
    const std::vector<RelayHost> peers = star.PeersOf(host);
    CHECK(peers.size() == RelayTable::kMaxPeers);
    CHECK(std::ranges::none_of(
        peers, [&](const RelayHost& it) { return it.host == host; }));
  }
}

// Guards against cut hosts that relay calls to each other, while the few hosts
// that reach the endpoints get none.
TEST_CASE("only hosts that reach the service are named") {
  Star star(12);
  for (int n = 0; n < 10; ++n) {
    star.Cut(FollowerId(n));
  }
  for (int n = 0; n < kSeeds; ++n) {
    star.Cut(SeedId(n));
  }
  for (const HostId& host : {FollowerId(0), FollowerId(9), SeedId(2)}) {
    const std::vector<RelayHost> peers = star.PeersOf(host);
    REQUIRE(peers.size() == 2);
    for (const RelayHost& it : peers) {
      CHECK((it.host == FollowerId(10) || it.host == FollowerId(11)));
    }
  }
}

TEST_CASE("peers of another zone are among those named") {
  Star star(60);
  star.Cut(FollowerId(0));
  const std::vector<RelayHost> peers = star.PeersOf(FollowerId(0));
  REQUIRE(peers.size() == RelayTable::kMaxPeers);
  const auto near = std::ranges::count_if(
      peers, [](const RelayHost& it) { return it.zone == ZoneId("z0"); });
  CHECK(near == RelayTable::kMaxPeersOfZone);
}

// Guards against peers that are named although they have ended or are cut off.
TEST_CASE("a host that is gone or cut off is named no more, and again after") {
  Star star(2);
  star.Cut(FollowerId(0));
  CHECK(star.HasPeer(FollowerId(0), FollowerId(1)));
  star.Cut(FollowerId(1));
  CHECK(!star.HasPeer(FollowerId(0), FollowerId(1)));
  star.Heal(FollowerId(1));
  CHECK(star.HasPeer(FollowerId(0), FollowerId(1)));
  star.Remove(FollowerId(1));
  CHECK(!star.HasPeer(FollowerId(0), FollowerId(1)));
}

// Guards against a service without any endpoint that leaves a cut host without
// peers for the others.
TEST_CASE("a service that no host reaches does not exclude hosts") {
  Star star(4);
  for (int n = 0; n < 4; ++n) {
    star.Cut(FollowerId(n));
  }
  for (int n = 0; n < kSeeds; ++n) {
    star.Cut(SeedId(n));
  }
  CHECK(star.PeersOf(FollowerId(0)).size() == 6);
}

// Guards against a fleet-wide exchange of messages for each host that is cut
// off: 586 hosts would pay for the partition of one.
TEST_CASE("a cut costs messages between the host and the seeds only") {
  for (const int followers : {12, 300}) {
    Star star(followers);
    const int before = star.messages();
    star.Cut(FollowerId(0));
    CHECK(star.messages() - before <= 4);
  }
}

TEST_CASE("a message with a wrong field is refused by name") {
  const Json json{{"offers", Json::array({Json{{"host", "h"}}})}};
  const auto error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(RelayOffers::Parse(json, "relay-offers"));
    return {};
  });
  REQUIRE(error);
  CHECK(error->where.find("host") != std::string::npos);
}

}  // namespace
}  // namespace damasktack
