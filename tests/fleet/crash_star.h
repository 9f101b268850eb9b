#ifndef TESTS_FLEET_CRASH_STAR_H_
#define TESTS_FLEET_CRASH_STAR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "fleet/crash_exchange.h"
#include "fleet/peer_codec.h"

namespace damasktack {

// Hosts that follow three seeds in turn, as in a fleet that reads a store.
class Star {
 public:
  explicit Star(int followers) {
    for (int n = 0; n < kSeeds; ++n) {
      Add(Seed(n));
    }
    for (int n = 0; n < kSeeds; ++n) {
      for (int other = 0; other < n; ++other) {
        Link(Seed(n), Seed(other));
      }
    }
    for (int n = 0; n < followers; ++n) {
      Add(Follower(n));
      Link(Follower(n), Seed(n % kSeeds));
    }
  }

  static HostId Seed(int n) { return HostId("s" + std::to_string(n)); }
  static HostId Follower(int n) { return HostId("f" + std::to_string(n)); }

  void Link(const HostId& a, const HostId& b) {
    Meet(a, b);
    Meet(b, a);
    Deliver();
  }
  void Restart(const HostId& host, const HostId& seed) {
    hosts_.erase(host);
    for (auto& [name, it] : hosts_) {
      it->exchange.OnPeerGone(host);
    }
    Add(host);
    Link(host, seed);
  }
  // An endpoint ends while the host has the request there.
  void Crash(const HostId& host,
             const EndpointProcess& endpoint,
             RequestFingerprint request) {
    Break(host, endpoint, request);
    EndCheck(host, endpoint);
  }
  // The same in two steps: the call breaks, and a check finds nobody listening.
  void Break(const HostId& host,
             const EndpointProcess& endpoint,
             RequestFingerprint request) {
    hosts_.at(host)->quarantine.OnBroken({request, endpoint, now_});
  }
  void EndCheck(const HostId& host, const EndpointProcess& endpoint) {
    hosts_.at(host)->quarantine.OnEndpointEnded(endpoint);
    Share(host);
  }
  void Answer(const HostId& host, RequestFingerprint request) {
    hosts_.at(host)->quarantine.OnAnswered(request, now_);
    Share(host);
  }
  Suspicion Judge(const HostId& host, RequestFingerprint request) {
    return hosts_.at(host)->quarantine.Judge(request, now_).suspicion;
  }

  int CountThatRefuse(RequestFingerprint request) {
    int count = 0;
    for (auto& [name, it] : hosts_) {
      count += Judge(name, request) == Suspicion::kQuarantined ? 1 : 0;
    }
    return count;
  }
  TimePoint now() const { return now_; }
  void Pass(Duration time) { now_ += time; }
  int hosts() const { return static_cast<int>(hosts_.size()); }
  int frames() const { return frames_; }
  std::size_t bytes() const { return bytes_; }

 private:
  static constexpr int kSeeds = 3;

  struct Host {
    RequestQuarantine quarantine;
    CrashExchange exchange{quarantine};
  };
  struct Frame {
    HostId from;
    HostId to;
    CrashReport report;
  };

  void Add(const HostId& host) { hosts_[host] = std::make_unique<Host>(); }
  void Meet(const HostId& host, const HostId& peer) {
    const bool is_seed = peer.text().starts_with("s");
    Outbox out;
    hosts_.at(host)->exchange.OnPeer(
        peer, is_seed ? CrashPeerRole::kSeed : CrashPeerRole::kFollower, now_,
        out);
    Send(host, out);
  }
  void Share(const HostId& host) {
    Outbox out;
    hosts_.at(host)->exchange.Share(now_, out);
    Send(host, out);
    Deliver();
  }
  void Send(const HostId& from, Outbox& out) {
    for (Outbox::Item& it : out.Take()) {
      ++frames_;
      bytes_ += EncodePeerMessage(it.message).size();
      queue_.push_back({from, it.to, std::get<CrashReport>(it.message)});
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

  TimePoint now_ = TimePoint() + std::chrono::hours(10);
  std::map<HostId, std::unique_ptr<Host>> hosts_;
  std::deque<Frame> queue_;
  int frames_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_FLEET_CRASH_STAR_H_
