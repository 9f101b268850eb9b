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

// A store and hosts that feed each other, in memory and in steps of ten
// milliseconds. A store call is answered in the step it is made in, a message
// arrives in the next one.
class FeedSimulation {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  // For which an endpoint is cold once it is published.
  static constexpr Duration kColdTime = std::chrono::seconds(3);

  struct Host {
    std::unique_ptr<PublishedFeed> feed;
    // Since when a rule with a time bound holds for it.
    TimePoint well_since;
    bool is_up = true;
    bool is_frozen = false;
    bool reaches_store = true;
    // Of a watch that waits.
    std::optional<TimePoint> watch_until;
    Revision watch_after = 0;
    TimePoint wait_until;
    std::set<std::string> links;
    std::uint64_t newest_version = 0;
  };

  // With `early_read` hosts read any copy of the store when they start.
  FeedSimulation(
      int hosts,
      int seeds,
      bool early_read = false,
      std::size_t most_part_entries = PublishedFeedOptions().most_part_entries)
      : seeds_(seeds),
        early_read_(early_read),
        most_part_entries_(most_part_entries) {
    for (int n = 0; n < hosts; ++n) {
      hosts_["h" + std::to_string(n)];
    }
    for (auto& [name, host] : hosts_) {
      Start(name);
    }
    SetVersion(1);
  }

  // Changes at the store.
  void SetVersion(std::uint64_t version) {
    book_.version = version;
    Route route;
    route.host = "a.example";
    route.prefix = "/" + std::to_string(version) + "/";
    route.targets = {{ServiceId("s"), 1}};
    route.contract.customer = CustomerId("r");
    book_.services = {{ServiceId("s"), "/health", 250}};
    book_.routes.push_back(route);
    if (book_.routes.size() > kMostRoutes) {
      book_.routes.erase(book_.routes.begin());
    }
    books_[version] = book_;
    book_revision_ = ++revision_;
  }
  // One that was removed may be published again as it was.
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
  // A heartbeat of an endpoint that started lately.
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

  // The operator drains a zone, or takes that back.
  void ToggleDrain(const std::string& zone) {
    Drain& drain = drains_[zone];
    drain = {!drain.in_force, ++revision_, now_};
  }

  // Settings that name other seeds, taken in by all that run.
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
    options.most_part_entries = most_part_entries_;
    for (int n = 0; n < seeds_; ++n) {
      options.seeds.push_back(AddressOf("h" + std::to_string(n)));
    }
    host.feed = std::make_unique<PublishedFeed>(
        options, 1 + std::hash<std::string>()(name));
    host.is_up = true;
    host.watch_until.reset();
    host.wait_until = now_;
    host.well_since = now_;
    host.newest_version = 0;
  }
  void Freeze(const std::string& name, bool frozen) {
    hosts_.at(name).is_frozen = frozen;
    hosts_.at(name).well_since = now_;
  }
  void CutFromStore(const std::string& name, bool cut) {
    hosts_.at(name).reaches_store = !cut;
    hosts_.at(name).well_since = now_;
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      Step();
    }
  }

  // From now on frames are encoded and decoded on their way; one that is
  // refused is lost.
  void UseCodec() { uses_codec_ = true; }
  std::uint64_t frames_refused() const { return frames_refused_; }
  // In bytes, of those that were encoded.
  std::size_t largest_frame() const { return largest_frame_; }

  std::map<std::string, Host>& hosts() { return hosts_; }
  TimePoint now() const { return now_; }
  std::uint64_t store_calls() const { return store_calls_; }

  // Endpoints that a host takes for published although the store removed them
  // `bound` ago or earlier.
  std::vector<std::string> Overdue(const Host& host, Duration bound) const {
    std::vector<std::string> overdue;
    for (const PublishedEndpoint& it : host.feed->view().Endpoints()) {
      const auto removed = removed_.find(it.spec.id.text());
      if (removed != removed_.end() && now_ - removed->second.second > bound) {
        overdue.push_back(it.spec.id.text());
      }
    }
    return overdue;
  }
  // Endpoints that a host does not know although they were published `bound`
  // ago or earlier.
  std::vector<std::string> Lacking(const Host& host, Duration bound) const {
    std::set<std::string> known;
    for (const PublishedEndpoint& it : host.feed->view().Endpoints()) {
      known.insert(it.spec.id.text());
    }
    std::vector<std::string> lacking;
    for (const auto& [id, entry] : endpoints_) {
      if (!known.contains(id) && now_ - added_at_.at(id) > bound) {
        lacking.push_back(id);
      }
    }
    return lacking;
  }
  // Zones whose drain began or ended `bound` ago or earlier and of which a host
  // believes the opposite.
  std::vector<std::string> Mistaken(const Host& host, Duration bound) const {
    const auto believed = host.feed->view().drained_zones().InForce();
    std::vector<std::string> mistaken;
    for (const auto& [zone, drain] : drains_) {
      const bool is_believed =
          std::ranges::find(believed, ZoneId(zone)) != believed.end();
      if (is_believed != drain.in_force && now_ - drain.since > bound) {
        mistaken.push_back(zone);
      }
    }
    return mistaken;
  }
  // Whether a host has the routes of a published version, or none.
  bool HasTrueBook(const Host& host) const {
    const auto& routes = host.feed->view().routes();
    if (!routes) {
      return true;
    }
    const auto by_name = [](const Route& it) { return it.prefix; };
    std::vector<Route> has = routes->routes;
    std::vector<Route> wants = books_.at(routes->version).routes;
    std::ranges::sort(has, {}, by_name);
    std::ranges::sort(wants, {}, by_name);
    return has == wants;
  }
  // Frames sent so far that hold a whole book.
  std::uint64_t books_sent() const { return books_sent_; }
  // Entries of endpoints in all frames so far.
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
    // What is sent to a frozen host waits for it.
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
    host.feed->Feed(now_, out);
    Send(name, out);
  }

  void BeginStep(Host& host) {
    const FeedStep step = host.feed->Next(now_);
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
    host.watch_after = host.feed->view().revision();
    host.watch_until = now_ + step.time;
    if (step.kind == FeedStep::Kind::kReadEndpoints) {
      host.watch_until.reset();
      host.feed->OnReadEndpoints(Items(0), now_);
    } else if (step.kind == FeedStep::Kind::kReadAll && host.reaches_store) {
      host.watch_until.reset();
      host.feed->OnReadAll(Items(0), now_);
    }
  }

  // A store that cannot be reached is silent until the call's time is up.
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
    if (book_revision_ > after) {
      items.items.push_back({book_revision_, book_});
    }
    for (const auto& [zone, it] : drains_) {
      // A read names those in force, a watch also those that ended.
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
        CountBooks(it.message);
        frames_.push_back({from, it.to.text(), std::move(it.message)});
        if (uses_codec_ && !PassThroughCodec(frames_.back().message)) {
          frames_.pop_back();
        }
      }
    }
  }

  bool PassThroughCodec(PeerMessage& message) {
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

  void CountBooks(const PeerMessage& message) {
    const auto* update = std::get_if<FeedUpdate>(&message);
    if (const auto* part = std::get_if<FeedPart>(&message)) {
      update = &part->update;
    }
    if (update == nullptr) {
      return;
    }
    for (const PublishedItem& it : update->changes.items) {
      books_sent_ += std::holds_alternative<RouteTable>(it.value) ? 1 : 0;
      entries_sent_ += std::holds_alternative<PublishedEndpoint>(it.value);
    }
  }

  struct Drain {
    bool in_force = false;
    Revision revision = 0;
    TimePoint since;
  };

  // Enough that one route more is a small change.
  static constexpr std::size_t kMostRoutes = 12;

  const int seeds_;
  const bool early_read_;
  const std::size_t most_part_entries_;
  bool uses_codec_ = false;
  std::uint64_t frames_refused_ = 0;
  std::size_t largest_frame_ = 0;
  TimePoint now_{std::chrono::hours(1)};
  std::map<std::string, Host> hosts_;
  std::deque<Frame> frames_;
  RouteTable book_;
  std::map<std::uint64_t, RouteTable> books_;
  std::uint64_t books_sent_ = 0;
  std::uint64_t entries_sent_ = 0;
  Revision book_revision_ = 0;
  std::map<std::string, std::pair<Revision, PublishedEndpoint>> endpoints_;
  std::map<std::string, TimePoint> added_at_;
  std::map<std::string, Drain> drains_;
  std::map<std::string, std::pair<Revision, TimePoint>> removed_;
  Revision revision_ = 0;
  std::uint64_t store_calls_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_FLEET_FEED_SIMULATION_H_
