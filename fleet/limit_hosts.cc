#include "fleet/limit_hosts.h"

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

constexpr std::size_t kMaxGone = 256;
constexpr std::size_t kMaxReplaced = 8;

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// Appends a value and keeps the newest `max_size` values.
template <typename T>
void PushBounded(std::vector<T>& values, const T& value, std::size_t max_size) {
  if (values.size() >= max_size) {
    values.erase(values.begin());
  }
  values.push_back(value);
}

}  // namespace

LimitHosts::LimitHosts(HostId self,
                       Incarnation incarnation,
                       LimitOptions options)
    : self_(std::move(self)), incarnation_(incarnation), options_(options) {}

bool LimitHosts::IsGone(const CountedHost& process) const {
  return Contains(gone_, process);
}

LimitHosts::Entry* LimitHosts::FindOrAdd(const CountedHost& process,
                                         TimePoint now) {
  const bool has_no_incarnation = process.incarnation == 0;
  const bool confirmed_down =
      has_no_incarnation && confirmed_down_.contains(process.host);
  if (process.host == self_ || confirmed_down || IsGone(process)) {
    return nullptr;
  }
  const auto [it, added] = entries_.try_emplace(process.host);
  Entry& entry = it->second;
  if (added) {
    entry.last_contact_at = now;
  }
  if (has_no_incarnation || process.incarnation == entry.incarnation) {
    return &entry;
  }
  // A late message of an old process must not replace the new one.
  if (Contains(entry.replaced, process.incarnation)) {
    return nullptr;
  }
  if (entry.incarnation != 0) {
    PushBounded(entry.replaced, entry.incarnation, kMaxReplaced);
  }
  entry.incarnation = process.incarnation;
  entry.gone_at.reset();
  return &entry;
}

void LimitHosts::OnView(const HostView& view, TimePoint now) {
  list_seen_ = list_seen_ || view.revision > 0;
  for (auto& [host, entry] : entries_) {
    if (entry.reachable || (entry.listed && entry.incarnation == 0)) {
      entry.last_contact_at = now;
    }
    entry.listed = false;
    entry.reachable = false;
  }
  for (const PeerView& it : view.peers) {
    // A host that owns a share counts another one at its first message, which
    // precedes the acknowledgement. A listed host that never came up therefore
    // takes no share from it.
    const bool known = entries_.contains(it.id) || it.incarnation != 0;
    if (owns_ && !known) {
      continue;
    }
    Entry* entry = FindOrAdd({it.id, it.incarnation}, now);
    if (entry == nullptr) {
      continue;
    }
    entry->listed = true;
    entry->reachable = it.reachable;
    if (it.reachable) {
      entry->last_contact_at = now;
    }
  }
  for (const HostId& it : view.unlisted) {
    if (Entry* entry = FindOrAdd({it, 0}, now)) {
      entry->reachable = true;
    }
  }
  UpdateOwnership();
}

bool LimitHosts::OnMessageFrom(const Sender& sender, TimePoint now) {
  Entry* entry = FindOrAdd({sender.host, sender.incarnation}, now);
  if (entry == nullptr) {
    return false;
  }
  entry->last_contact_at = now;
  // The view may be older than this message.
  entry->reachable = true;
  return true;
}

void LimitHosts::OnAck(const Sender& sender, const CountAck& ack) {
  const auto it = entries_.find(sender.host);
  if (owns_ || ack.asker != incarnation_ || it == entries_.end() ||
      it->second.incarnation != sender.incarnation) {
    return;
  }
  // The acknowledging host may count a host that is unreachable from here. If
  // this host did not count it too, both would own shares without counting each
  // other.
  Entry& acker = it->second;
  acker.acked_by = sender.incarnation;
  acker.owner_counts.reset();
  if (ack.owner) {
    acker.owner_counts.emplace();
  }
  for (const CountedHost& process : ack.counted) {
    // Second-hand information may be older than a message received directly.
    const bool has_incarnation = IncarnationOf(process.host) != 0;
    if (!has_incarnation) {
      FindOrAdd(process, acker.last_contact_at);
    }
    if (ack.owner) {
      acker.owner_counts->insert(process.host);
    }
  }
  UpdateOwnership();
}

bool LimitHosts::OnGone(const CountedHost& process, TimePoint now) {
  if (process.incarnation == 0) {
    const auto known = entries_.find(process.host);
    if (known != entries_.end() && known->second.incarnation == 0) {
      entries_.erase(known);
      confirmed_down_.insert(process.host);
      UpdateOwnership();
    }
    return false;
  }
  if (process.host == self_ || IsGone(process)) {
    return false;
  }
  PushBounded(gone_, process, kMaxGone);
  const auto it = entries_.find(process.host);
  if (it != entries_.end() && it->second.incarnation == process.incarnation) {
    it->second.gone_at = now;
  }
  UpdateOwnership();
  return true;
}

CountedHost LimitHosts::ConfirmGone(const HostId& host, TimePoint now) {
  const CountedHost process{host, IncarnationOf(host)};
  const auto it = entries_.find(host);
  if (it != entries_.end()) {
    it->second.ack_waived = true;
  }
  OnGone(process, now);
  return process;
}

void LimitHosts::Tick(TimePoint now) {
  // After a start of the whole fleet, no host can tell whether a host that did
  // not come back is down or cut off. One that never sent a message and has
  // been off the list for orphan_timeout is taken as down.
  for (auto& [host, entry] : entries_) {
    const bool silent = now - entry.last_contact_at > options_.orphan_timeout;
    entry.ack_waived =
        entry.ack_waived || (entry.incarnation == 0 && !entry.listed && silent);
  }
  // Shares lent by the ended process are used until their leases end. Counting
  // it for that long keeps these shares from being assigned twice.
  const Duration hold = options_.lease + options_.longest_call;
  std::erase_if(entries_, [&](const auto& it) {
    const Entry& entry = it.second;
    return entry.gone_at && *entry.gone_at + hold < now &&
           (owns_ || !IsAckMissing(it.first, entry));
  });
  UpdateOwnership();
}

bool LimitHosts::HasAcked(const Entry& entry) const {
  return entry.acked_by && *entry.acked_by == entry.incarnation;
}

// Whether this host must not own a share before `host` acknowledges it.
bool LimitHosts::IsAckMissing(const HostId& host, const Entry& entry) const {
  if (HasAcked(entry) || entry.ack_waived) {
    return false;
  }
  // The list may name hosts that are down, and a new host cannot tell them from
  // hosts that are cut off. A host that owns a share can: it counts all others
  // that do.
  const auto ruled_out = [&](const auto& it) {
    const Entry& other = it.second;
    return HasAcked(other) && other.owner_counts &&
           !other.owner_counts->contains(host);
  };
  // A host that ended before it acknowledged may have known of hosts that are
  // cut off. Any other host that owns a share knows the same hosts.
  const auto is_owner = [&](const auto& it) {
    return HasAcked(it.second) && it.second.owner_counts;
  };
  if (entry.gone_at) {
    return std::none_of(entries_.begin(), entries_.end(), is_owner);
  }
  return entry.incarnation != 0 ||
         std::none_of(entries_.begin(), entries_.end(), ruled_out);
}

void LimitHosts::UpdateOwnership() {
  if (owns_ || !list_seen_ || !MissingAcks().empty()) {
    return;
  }
  owns_ = true;
  std::erase_if(entries_,
                [](const auto& it) { return it.second.incarnation == 0; });
  for (auto& [host, entry] : entries_) {
    entry.owner_counts.reset();
  }
}

std::int64_t LimitHosts::size() const {
  return static_cast<std::int64_t>(entries_.size()) + 1;
}

std::vector<CountedHost> LimitHosts::Counted() const {
  std::vector<CountedHost> counted;
  for (const auto& [host, entry] : entries_) {
    if (!entry.gone_at) {
      counted.push_back({host, entry.incarnation});
    }
  }
  return counted;
}

std::vector<HostId> LimitHosts::MissingAcks() const {
  std::vector<HostId> missing;
  for (const auto& [host, entry] : entries_) {
    if (IsAckMissing(host, entry)) {
      missing.push_back(host);
    }
  }
  return missing;
}

std::vector<HostId> LimitHosts::Reachable() const {
  std::vector<HostId> reachable;
  for (const auto& [host, entry] : entries_) {
    if (entry.reachable && !entry.gone_at) {
      reachable.push_back(host);
    }
  }
  return reachable;
}

std::vector<OrphanHost> LimitHosts::Orphans(TimePoint now) const {
  std::vector<OrphanHost> orphans;
  for (const auto& [host, entry] : entries_) {
    const Duration silent = now - entry.last_contact_at;
    if (!entry.listed && !entry.reachable && !entry.gone_at &&
        silent > options_.orphan_timeout) {
      orphans.push_back({{host, entry.incarnation}, silent});
    }
  }
  return orphans;
}

Incarnation LimitHosts::IncarnationOf(const HostId& host) const {
  const auto it = entries_.find(host);
  return it == entries_.end() ? 0 : it->second.incarnation;
}

}  // namespace damasktack
