#ifndef TESTS_FLEET_MEMORY_NETWORK_H_
#define TESTS_FLEET_MEMORY_NETWORK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet_core.h"
#include "fleet/peer_codec.h"
#include "fleet/reader_election.h"

namespace damasktack {

// Simulates the hosts of a fleet on an in-memory network with its own clock.
// Messages are delayed and lost by a seeded generator; links follow partitions.
class MemoryNetwork {
 public:
  struct Options {
    std::size_t hosts = 15;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    std::uint32_t loss_percent = 0;
    Duration shortest_delay = std::chrono::milliseconds(1);
    Duration longest_delay = std::chrono::milliseconds(3);
    Duration step = std::chrono::milliseconds(1);
    FleetCoreOptions core;
  };
  struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t pushes = 0;
  };

  explicit MemoryNetwork(Options options)
      : options_(std::move(options)), random_(options_.seed) {
    sides_.resize(options_.hosts, 0);
    cores_.resize(options_.hosts);
    incarnations_.resize(options_.hosts, 0);
    for (std::size_t n = 0; n < options_.hosts; ++n) {
      Restart(n);
    }
  }

  static HostId IdOf(std::size_t n) { return HostId("h" + std::to_string(n)); }
  ZoneId ZoneOf(std::size_t n) const {
    return ZoneId("z" + std::to_string(n % options_.zones));
  }

  std::size_t size() const { return cores_.size(); }
  FleetCore& at(std::size_t n) { return *cores_[n]; }
  TimePoint now() const { return now_; }
  const Traffic& traffic() const { return traffic_; }
  void ResetTraffic() { traffic_ = {}; }

  // Starts a new process without data under the same ID.
  void Restart(std::size_t n) {
    for (std::size_t other = 0; other < size(); ++other) {
      Unlink(n, other);
    }
    ++incarnations_[n];
    FleetCoreOptions core = options_.core;
    core.membership.self = IdOf(n);
    core.membership.incarnation = incarnations_[n];
    core.membership.zone = ZoneOf(n);
    cores_[n] =
        std::make_unique<FleetCore>(std::move(core), CheckBody, random_());
    UpdateLinks();
  }

  // Hosts on different sides of a partition cannot communicate.
  void SetSide(std::size_t n, int side) {
    sides_[n] = side;
    UpdateLinks();
  }
  void Heal() {
    sides_.assign(size(), 0);
    UpdateLinks();
  }

  void Offer(std::size_t n,
             const Document& document,
             DocumentOrigin origin = DocumentOrigin::kPlatform) {
    at(n).Offer(document, origin, now_);
    Collect(n);
  }
  // Offers the document on every current reader.
  void OfferToReaders(const Document& document) {
    for (std::size_t n = 0; n < size(); ++n) {
      if (IsReader(at(n).view())) {
        Offer(n, document);
      }
    }
  }

  Document HostList(Revision revision) const {
    std::string body = R"({"hosts": [)";
    for (std::size_t n = 0; n < size(); ++n) {
      body += (n == 0 ? "" : ",");
      body += R"({"id": ")" + IdOf(n).text() + R"(", "zone": ")" +
              ZoneOf(n).text() + R"(", "peer_address": "127.0.0.1:)" +
              std::to_string(n + 1) + R"("})";
    }
    return {DocumentName::kHosts, revision, body + "]}"};
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      Step();
    }
  }
  // Runs until the condition holds; returns false if it does not within
  // `timeout`.
  template <typename Condition>
  bool RunUntil(Condition condition, Duration timeout) {
    const TimePoint end = now_ + timeout;
    while (!condition()) {
      if (now_ >= end) {
        return false;
      }
      Step();
    }
    return true;
  }
  bool AllHave(DocumentName name, Revision revision) {
    for (std::size_t n = 0; n < size(); ++n) {
      if (at(n).documents().RevisionOf(name) != revision) {
        return false;
      }
    }
    return true;
  }

 private:
  struct Packet {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t link = 0;
    Incarnation incarnation = 0;
    std::string frame;
  };
  using Pair = std::pair<std::size_t, std::size_t>;

  // Bodies that begin with "bad" represent values that fail their checks.
  static leaf::result<void> CheckBody(const Document& document) {
    if (document.body.starts_with("bad")) {
      return Fail(ErrorKind::kInvalidJson, "body", document.body, "correct it");
    }
    return {};
  }

  void Step() {
    now_ += options_.step;
    while (!packets_.empty() && packets_.begin()->first <= now_) {
      const Packet packet = packets_.begin()->second;
      packets_.erase(packets_.begin());
      Deliver(packet);
    }
    for (std::size_t n = 0; n < size(); ++n) {
      at(n).Tick(now_);
      Collect(n);
    }
  }

  void Deliver(const Packet& packet) {
    const auto link = links_.find(PairOf(packet.from, packet.to));
    if (link == links_.end() || link->second != packet.link) {
      return;
    }
    at(packet.to).OnFrame({IdOf(packet.from), packet.incarnation}, packet.frame,
                          now_);
    Collect(packet.to);
  }

  void Collect(std::size_t from) {
    for (const Outbox::Item& it : at(from).TakeOutbox()) {
      const std::size_t to = std::stoul(it.to.text().substr(1));
      const auto link = links_.find(PairOf(from, to));
      std::string frame = EncodePeerMessage(it.message);
      ++traffic_.messages;
      traffic_.bytes += frame.size();
      traffic_.pushes += std::holds_alternative<DocumentPush>(it.message);
      if (link == links_.end() ||
          UniformBelow(random_, 100) < options_.loss_percent) {
        continue;
      }
      const auto spread = static_cast<std::uint32_t>(
          (options_.longest_delay - options_.shortest_delay).count());
      const Duration delay =
          options_.shortest_delay + Duration(UniformBelow(random_, spread + 1));
      packets_.emplace(now_ + delay,
                       Packet{from, to, link->second, incarnations_[from],
                              std::move(frame)});
    }
  }

  static Pair PairOf(std::size_t a, std::size_t b) {
    return {std::min(a, b), std::max(a, b)};
  }

  void UpdateLinks() {
    for (std::size_t a = 0; a < size(); ++a) {
      for (std::size_t b = a + 1; b < size(); ++b) {
        if (cores_[a] && cores_[b] && sides_[a] == sides_[b]) {
          Link(a, b);
        } else {
          Unlink(a, b);
        }
      }
    }
  }
  void Link(std::size_t a, std::size_t b) {
    if (!links_.try_emplace(PairOf(a, b), next_link_).second) {
      return;
    }
    ++next_link_;
    at(a).LinkUp(IdOf(b), incarnations_[b], now_);
    at(b).LinkUp(IdOf(a), incarnations_[a], now_);
    Collect(a);
    Collect(b);
  }
  void Unlink(std::size_t a, std::size_t b) {
    if (links_.erase(PairOf(a, b)) == 0) {
      return;
    }
    at(a).LinkDown(IdOf(b), incarnations_[b], now_);
    at(b).LinkDown(IdOf(a), incarnations_[a], now_);
    Collect(a);
    Collect(b);
  }

  const Options options_;
  Random random_;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  std::vector<std::unique_ptr<FleetCore>> cores_;
  std::vector<Incarnation> incarnations_;
  std::vector<int> sides_;
  std::map<Pair, std::uint64_t> links_;
  std::uint64_t next_link_ = 1;
  std::multimap<TimePoint, Packet> packets_;
  Traffic traffic_;
};

}  // namespace damasktack

#endif  // TESTS_FLEET_MEMORY_NETWORK_H_
