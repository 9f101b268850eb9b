#ifndef TESTS_FLEET_FAKE_FLEET_H_
#define TESTS_FLEET_FAKE_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "fleet/fleet_module.h"

namespace damasktack {

// Simulates hosts that exchange messages over an in-memory network that loses,
// delays, repeats and reorders them. Module is a FleetModule.
template <typename Module>
class FakeFleet {
 public:
  struct Host {
    HostId id;
    Incarnation incarnation = 0;
    std::unique_ptr<Module> module;
    std::optional<TimePoint> paused_until;
    // Indexes of the hosts in the list of this host.
    std::set<std::size_t> listed;
  };
  using Make = std::function<std::unique_ptr<Module>(HostId, Incarnation)>;

  FakeFleet(std::size_t hosts, std::uint64_t seed, Make make)
      : make_(std::move(make)), random_(seed), hosts_(hosts) {
    cut_.assign(hosts, std::vector<bool>(hosts, false));
    for (std::size_t n = 0; n < hosts; ++n) {
      hosts_[n].id = HostId("h" + std::to_string(n));
      for (std::size_t peer = 0; peer < hosts; ++peer) {
        hosts_[n].listed.insert(peer);
      }
    }
  }

  void Start(std::size_t n, bool list_everyone = false) {
    for (std::size_t it = 0; list_everyone && it < hosts_.size(); ++it) {
      hosts_[n].listed.insert(it);
    }
    hosts_[n].incarnation = ++last_incarnation_ * 1'000'003;
    hosts_[n].module = make_(hosts_[n].id, hosts_[n].incarnation);
    hosts_[n].paused_until.reset();
    ShowView(n);
  }
  void Crash(std::size_t n) { hosts_[n].module.reset(); }
  void Pause(std::size_t n, Duration length) {
    hosts_[n].paused_until = now_ + length;
  }
  void Cut(std::size_t a, std::size_t b, bool cut) {
    cut_[a][b] = cut;
    cut_[b][a] = cut;
    ShowView(a);
    ShowView(b);
  }
  void List(std::size_t at, std::size_t named, bool listed) {
    if (listed) {
      hosts_[at].listed.insert(named);
    } else {
      hosts_[at].listed.erase(named);
    }
    ShowView(at);
  }
  void SetLoss(unsigned percent) { loss_percent_ = percent; }
  // Sends a goodbye to all hosts and ends the process.
  void Leave(std::size_t n) {
    Outbox out;
    for (const Host& it : hosts_) {
      if (it.id != hosts_[n].id) {
        out.Send(it.id, Goodbye{});
      }
    }
    Post(n, out);
    Crash(n);
  }

  // Advances the time by `step`, delivers due messages and ticks the hosts.
  void Advance(Duration step) {
    now_ += step;
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      if (hosts_[n].paused_until && *hosts_[n].paused_until <= now_) {
        hosts_[n].paused_until.reset();
      }
    }
    Deliver();
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      if (Awake(n)) {
        Outbox out;
        hosts_[n].module->Tick(now_, out);
        Post(n, out);
      }
    }
  }

  bool Alive(std::size_t n) const { return hosts_[n].module != nullptr; }
  bool Awake(std::size_t n) const {
    return Alive(n) && !hosts_[n].paused_until;
  }
  Module& At(std::size_t n) { return *hosts_[n].module; }
  const Host& HostAt(std::size_t n) const { return hosts_[n]; }
  std::size_t size() const { return hosts_.size(); }
  TimePoint now() const { return now_; }
  Random& random() { return random_; }
  std::uint64_t sent() const { return sent_; }
  // Sets a function that is called with every sent message.
  void OnSent(std::function<void(const PeerMessage&)> hook) {
    hook_ = std::move(hook);
  }

  void Post(std::size_t from, Outbox& out) {
    for (Outbox::Item& it : out.Take()) {
      ++sent_;
      if (hook_) {
        hook_(it.message);
      }
      const std::size_t to = IndexOf(it.to);
      const bool lost = UniformBelow(random_, 100) < loss_percent_;
      if (to >= hosts_.size() || lost) {
        continue;
      }
      const Sender sender{hosts_[from].id, hosts_[from].incarnation};
      Enqueue(from, to, sender, it.message);
      if (UniformBelow(random_, 100) < loss_percent_) {
        Enqueue(from, to, sender, std::move(it.message));
      }
    }
  }

  void ShowView(std::size_t n) {
    if (!Alive(n)) {
      return;
    }
    HostView view;
    view.revision = 1;
    view.self = hosts_[n].id;
    view.self_incarnation = hosts_[n].incarnation;
    view.listed = true;
    for (const std::size_t it : hosts_[n].listed) {
      if (it != n) {
        // A link reveals the process at its other end.
        const bool linked = !cut_[n][it] && Alive(it);
        view.peers.push_back({hosts_[it].id,
                              linked ? hosts_[it].incarnation : 0, ZoneId("z"),
                              ListedState::kLive, linked});
      }
    }
    Outbox out;
    hosts_[n].module->OnView(view, now_, out);
    Post(n, out);
  }
  void ShowViews() {
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      ShowView(n);
    }
  }

 private:
  struct Packet {
    TimePoint due;
    std::size_t from = 0;
    std::size_t to = 0;
    Sender sender;
    PeerMessage message;
  };

  std::size_t IndexOf(const HostId& id) const {
    const auto it =
        std::find_if(hosts_.begin(), hosts_.end(),
                     [&](const Host& host) { return host.id == id; });
    return static_cast<std::size_t>(it - hosts_.begin());
  }

  void Enqueue(std::size_t from,
               std::size_t to,
               const Sender& sender,
               PeerMessage message) {
    // One in twenty messages is delayed long enough to be overtaken by many
    // others.
    const bool late = loss_percent_ > 0 && UniformBelow(random_, 20) == 0;
    const std::uint32_t max_delay_us = late ? 3'000'000 : 3'000;
    const std::chrono::microseconds delay(500 +
                                          UniformBelow(random_, max_delay_us));
    packets_.push_back({now_ + delay, from, to, sender, std::move(message)});
  }

  void Deliver() {
    std::vector<Packet> due;
    std::vector<Packet> later;
    for (Packet& it : packets_) {
      const bool waits = it.due > now_ || (Alive(it.to) && !Awake(it.to));
      (waits ? later : due).push_back(std::move(it));
    }
    packets_ = std::move(later);
    std::sort(due.begin(), due.end(),
              [](const Packet& a, const Packet& b) { return a.due < b.due; });
    for (const Packet& it : due) {
      // A link belongs to one process: no message of a previous process arrives
      // after it was replaced.
      const bool replaced = Alive(it.from) && hosts_[it.from].incarnation !=
                                                  it.sender.incarnation;
      if (!Awake(it.to) || cut_[it.from][it.to] || replaced) {
        continue;
      }
      Outbox out;
      hosts_[it.to].module->OnMessage(it.sender, it.message, now_, out);
      Post(it.to, out);
    }
  }

  Make make_;
  Random random_;
  std::vector<Host> hosts_;
  std::vector<std::vector<bool>> cut_;
  std::vector<Packet> packets_;
  std::function<void(const PeerMessage&)> hook_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  Incarnation last_incarnation_ = 0;
  unsigned loss_percent_ = 0;
  std::uint64_t sent_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_FLEET_FAKE_FLEET_H_
