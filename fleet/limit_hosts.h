#ifndef FLEET_LIMIT_HOSTS_H_
#define FLEET_LIMIT_HOSTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/fleet_module.h"
#include "fleet/host_view.h"
#include "fleet/limit_messages.h"
#include "fleet/limit_options.h"

namespace damasktack {

// A counted host that is unreachable and not on the host list. Its share stays
// unused until it comes back or an operator confirms that it has ended.
struct OrphanHost {
  CountedHost process;
  // Time since its last message.
  Duration silent{};
};

// The hosts that this host counts in the division of limits. Of any two hosts
// that own a share, each counts the other. Claims use the same set to agree on
// the hosts that may store claim records.
struct CountedFleet {
  // Whether this host owns a share.
  bool owns = false;
  // Excludes this host and processes that are known to have ended.
  std::vector<CountedHost> others;
};

// Determines by how many hosts each limit is divided and whether this host may
// own a share. Of any two hosts that own a share, each counts the other, so the
// shares never add up to more than the limit. docs/notes/limits.md gives the
// proof.
class LimitHosts {
 public:
  LimitHosts(HostId self, Incarnation incarnation, LimitOptions options);

  void OnView(const HostView& view, TimePoint now);
  // Counts the sender of a message. False if its process is known to have ended
  // or was replaced; the message must then be ignored.
  bool OnMessageFrom(const Sender& sender, TimePoint now);
  void OnAck(const Sender& sender, const CountAck& ack);
  // Records that a process has ended; true if this was not known. The process
  // is counted until all its leases have ended. Incarnation 0 stands for a host
  // that is down and from which no message was received.
  bool OnGone(const CountedHost& process, TimePoint now);
  // Records an operator's confirmation that the last known process of the host
  // has ended, and returns that process.
  CountedHost ConfirmGone(const HostId& host, TimePoint now);
  void Tick(TimePoint now);

  // Returns the number of hosts that this host counts, itself included.
  std::int64_t size() const;
  // Returns whether this host owns a share. Once true, it stays true until the
  // process ends.
  bool owns() const { return owns_; }
  std::vector<CountedHost> Counted() const;
  // Returns the hosts that must acknowledge this one before it may own a share.
  std::vector<HostId> MissingAcks() const;
  std::vector<HostId> Reachable() const;
  std::vector<CountedHost> Gone() const { return gone_; }
  std::vector<OrphanHost> Orphans(TimePoint now) const;
  // 0 if the host is not counted or has not sent any message.
  Incarnation IncarnationOf(const HostId& host) const;

 private:
  struct Entry {
    Incarnation incarnation = 0;
    // Earlier processes of the host.
    std::vector<Incarnation> replaced;
    // The process of that host that has acknowledged this host.
    std::optional<Incarnation> acked_by;
    // The hosts that it counts; null unless it owned a share when it
    // acknowledged.
    std::optional<std::set<HostId>> owner_counts;
    std::optional<TimePoint> gone_at;
    // This host may own a share without its acknowledgement.
    bool ack_waived = false;
    TimePoint last_contact_at;
    bool listed = false;
    bool reachable = false;
  };

  bool IsGone(const CountedHost& process) const;
  // Returns the entry of a process, adding or updating it. Null if the process
  // must not be counted.
  Entry* FindOrAdd(const CountedHost& process, TimePoint now);
  bool HasAcked(const Entry& entry) const;
  bool IsAckMissing(const HostId& host, const Entry& entry) const;
  void UpdateOwnership();

  const HostId self_;
  const Incarnation incarnation_;
  const LimitOptions options_;
  std::map<HostId, Entry> entries_;
  std::vector<CountedHost> gone_;
  // Hosts that an operator confirmed as down before any message was received.
  std::set<HostId> confirmed_down_;
  bool list_seen_ = false;
  bool owns_ = false;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_HOSTS_H_
