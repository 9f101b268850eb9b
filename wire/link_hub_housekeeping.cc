// Periodic work of LinkHub: dialing, timeouts, blocked hosts and queue lengths.
#include "wire/link_hub.h"

namespace damasktack::detail {

void LinkHub::Tick() {
  if (stopping_) {
    return;
  }
  const SteadyTime now = SteadyClock::now();
  if (blocked_hosts_.RefreshFromFile(now)) {
    CloseBlocked();
  }
  DialDue(now);
  CloseOverdue(now);
  RefreshBacklogs();
  timer_.expires_after(kHousekeepingInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void LinkHub::CloseBlocked() {
  for (const PeerLinkPtr& it : Connections()) {
    if (blocked_hosts_.Has(it->peer.host)) {
      Close(it);
    }
  }
}

void LinkHub::CloseUnlisted() {
  for (const PeerLinkPtr& it : Connections()) {
    if (it->dialed && !dials_.IsListed(*it)) {
      Close(it);
    }
  }
}

void LinkHub::CloseOverdue(SteadyTime now) {
  for (const PeerLinkPtr& it : Connections()) {
    const bool open = it->phase == LinkPhase::kOpen;
    const bool late = !open && now - it->since > options_.proof_timeout;
    const bool silent =
        open && now - it->last_received > options_.silence_timeout;
    if (late) {
      ++counters_.refused_late;
    }
    if (late || silent) {
      Close(it);
    }
  }
  unauthenticated_.Expire(now);
}

void LinkHub::DialDue(SteadyTime now) {
  for (const PeerAddress& it : dials_.Due(now)) {
    const bool linked =
        it.host.empty() ? links_.HasDialed(it) : links_.Has(it.host);
    if (!linked && !blocked_hosts_.Has(it.host)) {
      Dial(it, now);
    }
  }
}

void LinkHub::Dial(const PeerAddress& address, SteadyTime now) {
  dials_.OnDialStarted(address);
  const std::optional<Handle> handle = endpoints_.PrepareDial(address);
  if (!handle) {
    dials_.OnDialEnded(address, false);
    return;
  }
  const auto link = std::make_shared<PeerLink>();
  link->handle = *handle;
  link->dialed = true;
  link->target = address;
  link->since = now;
  connections_[link->handle] = link;
  endpoints_.Connect(link->handle);
}

void LinkHub::RefreshBacklogs() {
  for (const PeerLinkPtr& it : links_.All()) {
    it->backlog = endpoints_.BufferedBytes(*it);
  }
}

std::vector<PeerLinkPtr> LinkHub::Connections() const {
  std::vector<PeerLinkPtr> all;
  for (const auto& entry : connections_) {
    all.push_back(entry.second);
  }
  return all;
}

}  // namespace damasktack::detail
