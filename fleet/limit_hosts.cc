#include "fleet/limit_hosts.h"

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

constexpr std::size_t kMostGone = 256;
constexpr std::size_t kMostReplaced = 8;

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// Keeps the newest `most` values.
template <typename T>
void Remember(std::vector<T>& values, const T& value, std::size_t most) {
  if (values.size() >= most) {
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

LimitHosts::Entry* LimitHosts::Count(const CountedHost& process,
                                     TimePoint now) {
  const bool unheard = process.incarnation == 0;
  const bool dismissed = unheard && dismissed_.contains(process.host);
  if (process.host == self_ || dismissed || IsGone(process)) {
    return nullptr;
  }
  const auto [it, added] = entries_.try_emplace(process.host);
  Entry& entry = it->second;
  if (added) {
    entry.heard_at = now;
  }
  if (unheard || process.incarnation == entry.incarnation) {
    return &entry;
  }
  // A message of the old process that arrives late must not put it back.
  if (Contains(entry.replaced, process.incarnation)) {
    return nullptr;
  }
  if (entry.incarnation != 0) {
    Remember(entry.replaced, entry.incarnation, kMostReplaced);
  }
  entry.incarnation = process.incarnation;
  entry.gone_at.reset();
  return &entry;
}

void LimitHosts::OnView(const HostView& view, TimePoint now) {
  list_seen_ = list_seen_ || view.revision > 0;
  for (auto& [host, entry] : entries_) {
    if (entry.reachable || (entry.listed && entry.incarnation == 0)) {
      entry.heard_at = now;
    }
    entry.listed = false;
    entry.reachable = false;
  }
  for (const PeerView& it : view.peers) {
    // An owner counts a host when it hears it, which is before it acknowledges
    // it; a listed host that never came up costs an owner nothing.
    const bool known = entries_.contains(it.id) || it.incarnation != 0;
    if (owns_ && !known) {
      continue;
    }
    Entry* entry = Count({it.id, it.incarnation}, now);
    if (entry == nullptr) {
      continue;
    }
    entry->listed = true;
    entry->reachable = it.reachable;
    if (it.reachable) {
      entry->heard_at = now;
    }
  }
  for (const HostId& it : view.unlisted) {
    if (Entry* entry = Count({it, 0}, now)) {
      entry->reachable = true;
    }
  }
  TryToOwn();
}

bool LimitHosts::Hear(const Sender& sender, TimePoint now) {
  Entry* entry = Count({sender.host, sender.incarnation}, now);
  if (entry == nullptr) {
    return false;
  }
  entry->heard_at = now;
  // The view may have been made before this process was heard.
  entry->reachable = true;
  return true;
}

void LimitHosts::OnAck(const Sender& sender, const CountAck& ack) {
  const auto it = entries_.find(sender.host);
  if (owns_ || ack.asker != incarnation_ || it == entries_.end() ||
      it->second.incarnation != sender.incarnation) {
    return;
  }
  // A new host that did not take over the acknowledger's set could miss a
  // host that is cut off from it and go on owning beside it.
  Entry& acker = it->second;
  acker.acked_by = sender.incarnation;
  acker.owner_counts.reset();
  if (ack.owner) {
    acker.owner_counts.emplace();
  }
  for (const CountedHost& process : ack.counted) {
    // Hearsay may be older than what this host has heard itself.
    const bool heard = IncarnationOf(process.host) != 0;
    if (!heard) {
      Count(process, acker.heard_at);
    }
    if (ack.owner) {
      acker.owner_counts->insert(process.host);
    }
  }
  TryToOwn();
}

bool LimitHosts::OnGone(const CountedHost& process, TimePoint now) {
  if (process.incarnation == 0) {
    const auto unheard = entries_.find(process.host);
    if (unheard != entries_.end() && unheard->second.incarnation == 0) {
      entries_.erase(unheard);
      dismissed_.insert(process.host);
      TryToOwn();
    }
    return false;
  }
  if (process.host == self_ || IsGone(process)) {
    return false;
  }
  Remember(gone_, process, kMostGone);
  const auto it = entries_.find(process.host);
  if (it != entries_.end() && it->second.incarnation == process.incarnation) {
    it->second.gone_at = now;
  }
  TryToOwn();
  return true;
}

CountedHost LimitHosts::Confirm(const HostId& host, TimePoint now) {
  const CountedHost process{host, IncarnationOf(host)};
  const auto it = entries_.find(host);
  if (it != entries_.end()) {
    it->second.waived = true;
  }
  OnGone(process, now);
  return process;
}

void LimitHosts::Tick(TimePoint now) {
  // After a start of the whole fleet nobody can rule out a host that did not
  // come back, so time must: one that was cut off all the while and has been
  // off the list for long is taken for down.
  for (auto& [host, entry] : entries_) {
    const bool silent = now - entry.heard_at > options_.orphan_timeout;
    entry.waived =
        entry.waived || (entry.incarnation == 0 && !entry.listed && silent);
  }
  // Parts that the ended process had lent are used until their leases end;
  // counting it for that long keeps them from being divided a second time.
  const Duration hold = options_.lease + options_.longest_call;
  std::erase_if(entries_, [&](const auto& it) {
    const Entry& entry = it.second;
    return entry.gone_at && *entry.gone_at + hold < now &&
           (owns_ || !IsMissing(it.first, entry));
  });
  TryToOwn();
}

bool LimitHosts::HasAcked(const Entry& entry) const {
  return entry.acked_by && *entry.acked_by == entry.incarnation;
}

// Whether this host must not own before it has heard more of that one.
bool LimitHosts::IsMissing(const HostId& host, const Entry& entry) const {
  if (HasAcked(entry) || entry.waived) {
    return false;
  }
  // The list may name hosts that are down, and a new host cannot tell them
  // from hosts that are cut off. An owner can: it counts all that own.
  const auto ruled_out = [&](const auto& it) {
    const Entry& other = it.second;
    return HasAcked(other) && other.owner_counts &&
           !other.owner_counts->contains(host);
  };
  // A host that left before it acknowledged took along what it knew of hosts
  // that are cut off; any other owner knows the same.
  const auto is_owner = [&](const auto& it) {
    return HasAcked(it.second) && it.second.owner_counts;
  };
  if (entry.gone_at) {
    return std::none_of(entries_.begin(), entries_.end(), is_owner);
  }
  return entry.incarnation != 0 ||
         std::none_of(entries_.begin(), entries_.end(), ruled_out);
}

void LimitHosts::TryToOwn() {
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
    if (IsMissing(host, entry)) {
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
    const Duration silent = now - entry.heard_at;
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
