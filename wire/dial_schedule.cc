#include "wire/dial_schedule.h"

#include <algorithm>
#include <utility>

namespace damasktack::detail {

using std::chrono::milliseconds;

DialSchedule::DialSchedule(const WebsocketTransportOptions& options)
    : options_(options), random_(std::random_device()()) {}

void DialSchedule::SetPeers(const std::vector<PeerAddress>& peers,
                            SteadyTime now) {
  std::vector<Entry> entries;
  for (const PeerAddress& it : peers) {
    if (it.host != options_.host) {
      entries.push_back(EntryFor(it, now));
    }
  }
  entries_ = std::move(entries);
}

DialSchedule::Entry DialSchedule::EntryFor(const PeerAddress& address,
                                           SteadyTime now) const {
  const auto known =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const Entry& it) { return it.address == address; });
  if (known != entries_.end()) {
    return *known;
  }
  const bool first = address.host.empty() || options_.host < address.host;
  const SteadyTime due = first ? now : now + options_.dial_grace;
  return Entry{address, false, due, milliseconds(0)};
}

bool DialSchedule::IsListed(const PeerLink& link) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& it) {
    return it.address == link.target || it.address.host == link.peer.host;
  });
}

std::vector<PeerAddress> DialSchedule::Due(SteadyTime now) const {
  std::vector<PeerAddress> due;
  for (const Entry& it : entries_) {
    if (!it.dialing && now >= it.due) {
      due.push_back(it.address);
    }
  }
  return due;
}

void DialSchedule::OnDialStarted(const PeerAddress& address) {
  for (Entry& it : entries_) {
    if (it.address == address) {
      it.dialing = true;
    }
  }
}

// The next attempt waits for a doubled time with jitter, so that hosts that
// lost the same peer do not all reconnect to it at the same time.
void DialSchedule::OnDialEnded(const PeerAddress& address, bool opened) {
  for (Entry& it : entries_) {
    if (!(it.address == address)) {
      continue;
    }
    const auto doubled = std::min(
        std::max(it.backoff * 2, options_.min_backoff), options_.max_backoff);
    it.backoff = opened ? options_.min_backoff : doubled;
    it.due = SteadyClock::now() + Jittered(it.backoff);
    it.dialing = false;
  }
}

milliseconds DialSchedule::Jittered(milliseconds time) {
  std::uniform_int_distribution<std::int64_t> spread(time.count() / 2,
                                                     time.count() * 3 / 2);
  return milliseconds(spread(random_));
}

}  // namespace damasktack::detail
