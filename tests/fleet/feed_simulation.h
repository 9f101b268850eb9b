#ifndef TESTS_FLEET_FEED_SIMULATION_H_
#define TESTS_FLEET_FEED_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/peer_codec.h"
#include "fleet/published_feed.h"

namespace damasktack {

// Simulates a store and hosts that feed each other, in memory and in steps of
// 10 ms. A store call is answered in the step in which it is made, and a
// message arrives in the next step.
class FeedSimulation {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  // Cold time of a newly published endpoint.
  static constexpr Duration kColdTime = std::chrono::seconds(3);

  struct Host {
    std::unique_ptr<PublishedFeed> feed;
    // The host has been free of disruptions since this time.
    TimePoint undisturbed_since;
    bool is_up = true;
    bool is_frozen = false;
    bool reaches_store = true;
    // End of the pending watch, and its base revision.
    std::optional<TimePoint> watch_until;
    Revision watch_after = 0;
    TimePoint wait_until;
    std::set<std::string> links;
    std::uint64_t newest_version = 0;
  };

  // With `early_read`, starting hosts first read from any replica of the store.
  FeedSimulation(
      int hosts,
      int seeds,
      bool early_read = false,
      std::size_t max_part_entries = PublishedFeedOptions().max_part_entries)
      : seeds_(seeds),
        early_read_(early_read),
        max_part_entries_(max_part_entries) {
    for (int n = 0; n < hosts; ++n) {
      hosts_["h" + std::to_string(n)];
    }
    for (auto& [name, host] : hosts_) {
      Start(name);
    }
    SetVersion(1);
  }

  // Changes in the store.
  void SetVersion(std::uint64_t version) {
    table_.version = version;
    Route route;
    route.host = "a.example";
    route.prefix = "/" + std::to_string(version) + "/";
    route.targets = {{ServiceId("s"), 1}};
    route.contract.customer = CustomerId("r");
    table_.services = {{ServiceId("s"), "/health", 250}};
    table_.routes.push_back(route);
    if (table_.routes.size() > kMaxRoutes) {
      table_.routes.erase(table_.routes.begin());
    }
    tables_[version] = table_;
    table_revision_ = ++revision_;
  }
  // Makes the store continue at a later revision.
  void SkipRevisions(Revision count) { revision_ += count; }
  // A removed endpoint may be published again unchanged.
  void AddEndpoint(const std::string& id) {
    if (endpoints_.contains(id)) {
      return;
    }
    PublishedEndpoint endpoint;
    endpoint.spec.id = EndpointId(id);
    endpoint.spec.address = {"10.1.0.1", 80};
    endpoint.spec.zone = ZoneId("z");
    endpoint.service = ServiceId("s");
    endpoint.cold_for = kColdTime;
    endpoints_[id] = {++revision_, endpoint};
    added_at_[id] = now_;
    removed_.erase(id);
  }
  // Writes a heartbeat of a recently started endpoint.
  void WarmEndpoint(const std::string& id) {
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end()) {
      it->second.second.cold_for = std::max<Duration>(
          added_at_.at(id) + kColdTime - now_, Duration::zero());
      it->second.first = ++revision_;
    }
  }
  void RemoveEndpoint(const std::string& id) {
    if (endpoints_.erase(id) > 0) {
      removed_[id] = {++revision_, now_};
    }
  }

  // Starts or ends an operator drain of a zone.
  void ToggleDrain(const std::string& zone) {
    Drain& drain = drains_[zone];
    drain = {!drain.in_force, ++revision_, now_};
  }

  // Applies new seeds from the settings to all running hosts.
  void SetSeeds(const std::vector<std::string>& seeds) {
    std::vector<SocketAddress> addresses;
    for (const std::string& it : seeds) {
      addresses.push_back(AddressOf(it));
    }
    for (auto& [name, host] : hosts_) {
      if (host.is_up) {
        host.feed->SetSeeds(addresses);
      }
    }
  }

  // Disruptions.
  void Kill(const std::string& name) {
    Host& host = hosts_.at(name);
    host.is_up = false;
    DropLinks(name);
  }
  void Start(const std::string& name) {
    Host& host = hosts_.at(name);
    PublishedFeedOptions options;
    options.self = HostId(name);
    options.address = AddressOf(name);
    options.early_read = early_read_;
    options.max_part_entries = max_part_entries_;
    for (int n = 0; n < seeds_; ++n) {
      options.seeds.push_back(AddressOf("h" + std::to_string(n)));
    }
    host.feed = std::make_unique<PublishedFeed>(
        options, 1 + std::hash<std::string>()(name));
    host.is_up = true;
    host.watch_until.reset();
    host.wait_until = now_;
    host.undisturbed_since = now_;
    host.newest_version = 0;
  }
  void Freeze(const std::string& name, bool frozen) {
    hosts_.at(name).is_frozen = frozen;
    hosts_.at(name).undisturbed_since = now_;
  }
  void CutFromStore(const std::string& name, bool cut) {
    hosts_.at(name).reaches_store = !cut;
    hosts_.at(name).undisturbed_since = now_;
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      Step();
    }
  }

  // Encodes and decodes all frames from now on. A rejected frame is lost.
  void UseCodec() { uses_codec_ = true; }
  std::uint64_t frames_refused() const { return frames_refused_; }
  // Size in bytes of the largest encoded frame.
  std::size_t max_frame_bytes() const { return largest_frame_; }

  std::map<std::string, Host>& hosts() { return hosts_; }
  TimePoint now() const { return now_; }
  std::uint64_t store_calls() const { return store_calls_; }

  // Returns endpoints that the host still considers published although the
  // store removed them more than `bound` ago.
  std::vector<std::string> RemovedEndpointsKept(const Host& host,
                                                Duration bound) const {
    std::vector<std::string> kept;
    for (const PublishedEndpoint& it : host.feed->view().Endpoints()) {
      const auto removed = removed_.find(it.spec.id.text());
      if (removed != removed_.end() && now_ - removed->second.second > bound) {
        kept.push_back(it.spec.id.text());
      }
    }
    return kept;
  }
  // Returns endpoints that the host lacks although they were published more
  // than `bound` ago.
  std::vector<std::string> MissingEndpoints(const Host& host,
                                            Duration bound) const {
    std::set<std::string> known;
    for (const PublishedEndpoint& it : host.feed->view().Endpoints()) {
      known.insert(it.spec.id.text());
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : endpoints_) {
      if (!known.contains(id) && now_ - added_at_.at(id) > bound) {
        missing.push_back(id);
      }
    }
    return missing;
  }
  // Returns zones whose drain started or ended more than `bound` ago without
  // the host having applied it.
  std::vector<std::string> WrongDrains(const Host& host, Duration bound) const {
    const auto known = host.feed->view().drained_zones().InForce();
    std::vector<std::string> wrong;
    for (const auto& [zone, drain] : drains_) {
      const bool is_known =
          std::ranges::find(known, ZoneId(zone)) != known.end();
      if (is_known != drain.in_force && now_ - drain.since > bound) {
        wrong.push_back(zone);
      }
    }
    return wrong;
  }
  // Whether the host has exactly the routes of a published version, or none.
  bool HasPublishedRoutes(const Host& host) const {
    const auto& routes = host.feed->view().routes();
    if (!routes) {
      return true;
    }
    const auto by_name = [](const Route& it) { return it.prefix; };
    std::vector<Route> has = routes->routes;
    std::vector<Route> wants = tables_.at(routes->version).routes;
    std::ranges::sort(has, {}, by_name);
    std::ranges::sort(wants, {}, by_name);
    return has == wants;
  }
  // Number of full route tables sent so far.
  std::uint64_t tables_sent() const { return tables_sent_; }
  // Number of endpoint entries in all messages so far.
  std::uint64_t entries_sent() const { return entries_sent_; }
  std::uint64_t VersionOf(const Host& host) const {
    const auto& routes = host.feed->view().routes();
    return routes ? routes->version : 0;
  }

 private:
  struct Frame {
    std::string from;
    std::string to;
    PeerMessage message;
  };

  static SocketAddress AddressOf(const std::string& name) {
    return {"10.0.0." + name.substr(1), 80};
  }
  bool IsReachable(const std::string& name) const {
    return hosts_.at(name).is_up && !hosts_.at(name).is_frozen;
  }

  void Step() {
    now_ += kStep;
    std::deque<Frame> frames = std::move(frames_);
    frames_.clear();
    for (auto& [name, host] : hosts_) {
      if (host.is_up && !host.is_frozen) {
        Link(name, host);
        CallStore(name, host);
      }
    }
    // Messages to a frozen host are kept for it.
    for (Frame& it : frames) {
      Host& to = hosts_.at(it.to);
      if (!to.links.contains(it.from)) {
        continue;
      }
      if (to.is_frozen) {
        frames_.push_back(std::move(it));
        continue;
      }
      Outbox out;
      to.feed->OnMessage(HostId(it.from), it.message, now_, out);
      Send(it.to, out);
    }
  }

  void Link(const std::string& name, Host& host) {
    for (const SocketAddress& it : host.feed->WantedSeeds(now_)) {
      const std::string seed = "h" + it.ip.substr(it.ip.rfind('.') + 1);
      if (seed == name || host.links.contains(seed) || !IsReachable(seed)) {
        continue;
      }
      host.links.insert(seed);
      hosts_.at(seed).links.insert(name);
      Outbox out;
      host.feed->OnLinkUp(HostId(seed), now_, out);
      Send(name, out);
      hosts_.at(seed).feed->OnLinkUp(HostId(name), now_, out);
      Send(seed, out);
    }
  }

  void DropLinks(const std::string& name) {
    for (const std::string& it : std::exchange(hosts_.at(name).links, {})) {
      hosts_.at(it).links.erase(name);
      hosts_.at(it).feed->OnLinkDown(HostId(name), now_);
    }
  }

  void CallStore(const std::string& name, Host& host) {
    if (host.watch_until) {
      EndWatch(host);
    }
    if (!host.watch_until && now_ >= host.wait_until) {
      BeginStep(host);
    }
    Outbox out;
    host.feed->SendUpdates(now_, out);
    Send(name, out);
  }

  void BeginStep(Host& host) {
    const FeedStep step = host.feed->NextStep(now_);
    host.wait_until = now_;
    if (step.kind == FeedStep::Kind::kWait) {
      host.wait_until = now_ + step.time;
      return;
    }
    if (step.kind == FeedStep::Kind::kReadPart) {
      host.feed->OnReadPart(Items(0), now_);
      BeginStep(host);
      return;
    }
    ++store_calls_;
    host.watch_after = host.feed->view().revision().number;
    host.watch_until = now_ + step.time;
    if (step.kind == FeedStep::Kind::kReadEndpoints) {
      host.watch_until.reset();
      host.feed->OnReadEndpoints(Items(0), now_);
    } else if (step.kind == FeedStep::Kind::kReadAll && host.reaches_store) {
      host.watch_until.reset();
      host.feed->OnReadAll(Items(0), now_);
    }
  }

  // An unreachable store does not answer until the call times out.
  void EndWatch(Host& host) {
    if (!host.reaches_store) {
      if (now_ >= *host.watch_until + std::chrono::milliseconds(600)) {
        host.watch_until.reset();
        host.feed->OnFailure(
            Error{ErrorKind::kUnreachable, "store", "silence", "wait"}, now_);
      }
      return;
    }
    if (revision_ > host.watch_after || now_ >= *host.watch_until) {
      host.watch_until.reset();
      host.feed->OnWatched(Items(host.watch_after), now_);
    }
  }

  PublishedItems Items(Revision after) const {
    PublishedItems items;
    items.current = revision_;
    if (table_revision_ > after) {
      items.items.push_back({table_revision_, table_});
    }
    for (const auto& [zone, it] : drains_) {
      // A read returns active drains; a watch also returns ended ones.
      if (it.revision > after && (it.in_force || after > 0)) {
        items.items.push_back(
            {it.revision, ZoneDrain{ZoneId(zone), it.in_force}});
      }
    }
    for (const auto& [id, it] : endpoints_) {
      if (it.first > after) {
        items.items.push_back({it.first, it.second});
      }
    }
    for (const auto& [id, it] : removed_) {
      if (after > 0 && it.first > after) {
        items.items.push_back({it.first, RemovedEndpoint{EndpointId(id)}});
      }
    }
    return items;
  }

  void Send(const std::string& from, Outbox& out) {
    for (Outbox::Item& it : out.Take()) {
      if (hosts_.at(from).links.contains(it.to.text())) {
        CountItems(it.message);
        frames_.push_back({from, it.to.text(), std::move(it.message)});
        if (uses_codec_ && !RoundTrip(frames_.back().message)) {
          frames_.pop_back();
        }
      }
    }
  }

  bool RoundTrip(PeerMessage& message) {
    const std::string frame = EncodePeerMessage(message);
    largest_frame_ = std::max(largest_frame_, frame.size());
    const std::optional<Error> fault =
        CaptureError([&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(decoded, DecodePeerMessage(frame));
          message = std::move(*decoded);
          return {};
        });
    frames_refused_ += fault ? 1 : 0;
    return !fault;
  }

  void CountItems(const PeerMessage& message) {
    const auto* update = std::get_if<FeedUpdate>(&message);
    if (const auto* part = std::get_if<FeedPart>(&message)) {
      update = &part->update;
    }
    if (update == nullptr) {
      return;
    }
    for (const PublishedItem& it : update->changes.items) {
      tables_sent_ += std::holds_alternative<RouteTable>(it.value) ? 1 : 0;
      entries_sent_ += std::holds_alternative<PublishedEndpoint>(it.value);
    }
  }

  struct Drain {
    bool in_force = false;
    Revision revision = 0;
    TimePoint since;
  };

  // Large enough that one additional route is a small change.
  static constexpr std::size_t kMaxRoutes = 12;

  const int seeds_;
  const bool early_read_;
  const std::size_t max_part_entries_;
  bool uses_codec_ = false;
  std::uint64_t frames_refused_ = 0;
  std::size_t largest_frame_ = 0;
  TimePoint now_{std::chrono::hours(1)};
  std::map<std::string, Host> hosts_;
  std::deque<Frame> frames_;
  RouteTable table_;
  std::map<std::uint64_t, RouteTable> tables_;
  std::uint64_t tables_sent_ = 0;
  std::uint64_t entries_sent_ = 0;
  Revision table_revision_ = 0;
  std::map<std::string, std::pair<Revision, PublishedEndpoint>> endpoints_;
  std::map<std::string, TimePoint> added_at_;
  std::map<std::string, Drain> drains_;
  std::map<std::string, std::pair<Revision, TimePoint>> removed_;
  Revision revision_ = 0;
  std::uint64_t store_calls_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_FLEET_FEED_SIMULATION_H_
