#ifndef FLEET_OVERLOAD_OVERLOAD_VIEW_H_
#define FLEET_OVERLOAD_OVERLOAD_VIEW_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/overload/overload_messages.h"
#include "policy/urgency_load.h"

namespace damasktack {

// Holds this host's statements and what peers have stated about services that
// are short of slots. Statements lose their weight with age. Thread-safe.
class OverloadView {
 public:
  // Minimum interval between the statements of a host.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);
  // A statement has its full weight up to the first age, and none from the
  // second. The first allows for an interval at the host and one at a seed.
  static constexpr Duration kFullWeightAge = std::chrono::milliseconds(400);
  static constexpr Duration kMaxAge = std::chrono::seconds(1);
  // Maximum number of hosts. Statements of further hosts are ignored.
  static constexpr std::size_t kMaxHosts = 1024;
  // A statement counts for at most this multiple of the median host, so that of
  // n hosts one that sends invalid values is at most a fraction of 4 / n.
  static constexpr double kMaxOfMedian = 4;

  // Sets the load of a service on this host. Returns whether a statement is due
  // now; the caller must then call NotifyUpdates without holding a lock.
  bool SetOwn(const ServiceId& service,
              const UrgencyLoad& load,
              bool is_short,
              TimePoint now);
  void SetOnUpdates(std::function<void()> on_updates);
  void NotifyUpdates();

  void OnReport(const HostId& from,
                const ServiceLoadReport& report,
                TimePoint now);
  void OnSum(const HostId& from, const ServiceLoadSum& sum, TimePoint now);
  void Forget(const HostId& host);

  // Returns what peers state about a service.
  PeerLoad PeersOf(const ServiceId& service, TimePoint now) const;
  // Returns this host's statement if one is due; null while no service is short
  // here or at a peer.
  std::optional<ServiceLoadReport> TakeReport(TimePoint now);
  // Returns the sum over this host and the statements sent to it, plus, for a
  // sum that is no part, the parts from other seeds. Null if there is none.
  std::optional<ServiceLoadSum> MakeSum(bool is_part, TimePoint now);

  std::uint64_t sent() const;
  std::uint64_t received() const;

 private:
  // Detects messages that were held up: compares the time on the way with the
  // shortest one seen.
  class TransitTime {
   public:
    // Returns how much later than usual the message arrived.
    Duration OnMessage(std::int64_t sent_us, TimePoint now);

   private:
    std::optional<Duration> offset_;
    TimePoint updated_at_;
  };
  struct OwnLoad {
    UrgencyLoad load;
    bool is_short = false;
    TimePoint at;
  };
  struct Peer {
    TransitTime transit;
    std::optional<ServiceLoadReport> report;
    TimePoint report_at;
    // From seeds only.
    std::optional<ServiceLoadSum> part;
    TimePoint part_at;
    std::optional<ServiceLoadSum> whole;
    TimePoint whole_at;
  };
  struct Weighted {
    UrgencyLoad load;
    double weight = 0;
    double hosts = 0;
    bool is_short = false;
    Duration age{};

    double MissedPerHost(std::size_t urgency) const {
      return load.missed[urgency] / std::max(hosts, 1.0);
    }
  };
  struct Sum {
    PeerLoad load;
    Duration age{};
  };

  static double WeightAt(Duration age);
  // The following require the mutex.
  Peer* FindOrAdd(const HostId& host);
  void AddStatements(const ServiceId& service,
                     TimePoint now,
                     std::vector<Weighted>& out) const;
  void AddParts(const ServiceId& service,
                TimePoint now,
                std::vector<Weighted>& out) const;
  std::optional<Weighted> BestWhole(const ServiceId& service,
                                    TimePoint now) const;
  PeerLoad PeersOfLocked(const ServiceId& service, TimePoint now) const;
  bool HasNews(TimePoint now) const;
  static void LimitMissed(std::vector<Weighted>& statements);
  static Sum Add(std::vector<Weighted>& statements);

  mutable std::mutex mutex_;
  std::map<ServiceId, OwnLoad> own_;
  std::map<HostId, Peer> peers_;
  TimePoint sent_at_;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  std::function<void()> on_updates_;
};

}  // namespace damasktack

#endif  // FLEET_OVERLOAD_OVERLOAD_VIEW_H_
