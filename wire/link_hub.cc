#include "wire/link_hub.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace damasktack::detail {

namespace asio = boost::asio;

LinkHub::LinkHub(WebsocketTransportOptions options, PeerTransportEvents& events)
    : options_(std::move(options)),
      events_(events),
      timer_(context_),
      endpoints_(context_, options_, *this),
      unauthenticated_(options_.max_unauthenticated_connections,
                       options_.proof_timeout),
      dials_(options_),
      blocked_hosts_(options_.blocked_hosts_file) {}

std::error_code LinkHub::Start() {
  const std::error_code problem = endpoints_.Listen();
  if (problem) {
    return problem;
  }
  Tick();
  thread_ = std::thread([this] { context_.run(); });
  return {};
}

void LinkHub::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  asio::post(context_, [this] { ShutDown(); });
  thread_.join();
}

void LinkHub::ShutDown() {
  stopping_ = true;
  timer_.cancel();
  endpoints_.StopListening();
  for (const PeerLinkPtr& it : Connections()) {
    Close(it);
  }
  // Leaves time for queued frames to be sent: closing a websocket first sends
  // what is queued.
  timer_.expires_after(kHousekeepingInterval);
  timer_.async_wait([this](boost::system::error_code) { context_.stop(); });
}

void LinkHub::SetPeers(std::vector<PeerAddress> peers) {
  asio::post(context_, [this, peers = std::move(peers)] {
    dials_.SetPeers(peers, SteadyClock::now());
    CloseUnlisted();
  });
}

bool LinkHub::Send(const std::string& host, std::string frame) {
  const PeerLinkPtr link = links_.Find(host);
  if (!link || frame.size() > options_.max_frame_bytes ||
      link->backlog + frame.size() > options_.link_queue_bytes) {
    ++counters_.frames_dropped;
    return false;
  }
  link->backlog += frame.size();
  asio::post(context_, [this, link, frame = std::move(frame)] {
    SendSealed(link, frame);
  });
  return true;
}

void LinkHub::BlockLinksTo(std::vector<std::string> hosts) {
  asio::post(context_, [this, hosts = std::move(hosts)] {
    blocked_hosts_.Set(std::set<std::string>(hosts.begin(), hosts.end()));
    CloseBlocked();
  });
}

// An outsider may open connections and send nothing. Connections over the limit
// are closed right after accept. Earlier ones end by the proof timeout, so that
// a daemon of the fleet can connect when it retries.
void LinkHub::OnAccepted(const Handle& handle) {
  if (!unauthenticated_.Add(handle, SteadyClock::now())) {
    ++counters_.refused_full;
    endpoints_.Refuse(handle);
  }
}

void LinkHub::OnAcceptFailed(const Handle& handle, bool late) {
  if (unauthenticated_.Remove(handle)) {
    ++(late ? counters_.refused_late : counters_.malformed);
  }
}

void LinkHub::OnDialFailed(const Handle& handle) {
  ++counters_.dials_failed;
  OnClosed(handle);
}

void LinkHub::OnOpen(const Handle& handle, bool dialed) {
  const auto it = connections_.find(handle);
  // Dialed connections are registered by Dial; if one is missing here, it has
  // been closed meanwhile.
  if (it == connections_.end() && dialed) {
    endpoints_.CloseDialed(handle);
    return;
  }
  const PeerLinkPtr link =
      it == connections_.end() ? std::make_shared<PeerLink>() : it->second;
  if (it == connections_.end()) {
    link->handle = handle;
    link->since = SteadyClock::now();
    connections_[handle] = link;
  }
  const std::string& greeting =
      link->MakeGreeting(options_.host, options_.incarnation);
  endpoints_.SetNoDelay(*link);
  if (dialed) {
    endpoints_.Send(*link, greeting);
  }
}

void LinkHub::OnClosed(const Handle& handle) {
  unauthenticated_.Remove(handle);
  const auto it = connections_.find(handle);
  if (it == connections_.end()) {
    return;
  }
  const PeerLinkPtr link = it->second;
  if (endpoints_.ClosedForProtocolError(*link)) {
    ++counters_.malformed;
  }
  RemoveLink(link);
}

void LinkHub::OnMessage(const Handle& handle,
                        bool binary,
                        std::string_view bytes) {
  const auto it = connections_.find(handle);
  if (it == connections_.end()) {
    return;
  }
  const PeerLinkPtr link = it->second;
  if (!binary) {
    ++counters_.malformed;
    Close(link);
    return;
  }
  link->last_received = SteadyClock::now();
  switch (link->phase) {
    case LinkPhase::kGreeting:
      return HandleGreeting(link, bytes);
    case LinkPhase::kProof:
      return HandleProof(link, bytes);
    case LinkPhase::kOpen:
      return HandleFrame(link, bytes);
  }
}

void LinkHub::HandleGreeting(const PeerLinkPtr& link, std::string_view bytes) {
  const std::optional<LinkGreeting> greeting = DecodeGreeting(bytes);
  if (!greeting) {
    ++counters_.malformed;
    Close(link);
    return;
  }
  if (!AcceptsGreeting(*link, *greeting)) {
    Close(link);
    return;
  }
  endpoints_.Send(*link,
                  link->ProcessGreeting(*greeting, bytes, options_.fleet_key));
}

bool LinkHub::AcceptsGreeting(const PeerLink& link,
                              const LinkGreeting& greeting) const {
  // A dialer that already has a link to this host, possibly through another
  // address, closes the new connection.
  const bool is_duplicate = link.dialed && links_.Has(greeting.host);
  return greeting.host != options_.host && link.MatchesTarget(greeting) &&
         !is_duplicate && !blocked_hosts_.Has(greeting.host);
}

void LinkHub::HandleProof(const PeerLinkPtr& link, std::string_view bytes) {
  if (!link->IsProof(bytes)) {
    ++counters_.refused_proof;
    Close(link);
    return;
  }
  if (!link->dialed) {
    endpoints_.Send(*link, link->AcceptorProof());
  }
  OpenLink(link);
}

void LinkHub::HandleFrame(const PeerLinkPtr& link, std::string_view bytes) {
  std::optional<std::string> payload = link->Unseal(bytes);
  if (!payload) {
    ++counters_.refused_frames;
    Close(link);
    return;
  }
  ++counters_.frames_received;
  counters_.bytes_received += bytes.size();
  events_.OnFrame(link->peer.host, link->peer.incarnation, std::move(*payload));
}

// Both sides may dial at the same time. Each keeps the link that the host with
// the lower id dialed, so that they do not each close a different link.
// Otherwise the newer link is kept, because the older one belongs to a process
// that is gone or is half open.
bool LinkHub::PrefersCandidate(const PeerLink& old,
                               const PeerLink& candidate) const {
  if (old.peer.incarnation != candidate.peer.incarnation ||
      old.dialed == candidate.dialed) {
    return true;
  }
  const bool we_dial = options_.host < candidate.peer.host;
  return candidate.dialed == we_dial;
}

void LinkHub::OpenLink(const PeerLinkPtr& link) {
  const PeerLinkPtr old = links_.Find(link->peer.host);
  if (old && !PrefersCandidate(*old, *link)) {
    Close(link);
    return;
  }
  if (old) {
    Close(old);
  }
  link->Open();
  unauthenticated_.Remove(link->handle);
  endpoints_.SetLargestMessage(*link,
                               options_.max_frame_bytes + kFrameTagBytes);
  links_.Put(link);
  if (link->dialed) {
    dials_.OnDialEnded(link->target, true);
  }
  ++counters_.links_opened;
  events_.OnLinkUp(link->peer.host, link->peer.incarnation);
}

void LinkHub::SendSealed(const PeerLinkPtr& link, const std::string& payload) {
  if (connections_.count(link->handle) == 0) {
    ++counters_.frames_dropped;
    return;
  }
  const std::string frame = link->Seal(payload);
  endpoints_.Send(*link, frame);
  ++counters_.frames_sent;
  counters_.bytes_sent += frame.size();
}

void LinkHub::Close(const PeerLinkPtr& link) {
  RemoveLink(link);
  endpoints_.Close(*link);
}

void LinkHub::RemoveLink(const PeerLinkPtr& link) {
  unauthenticated_.Remove(link->handle);
  if (connections_.erase(link->handle) == 0) {
    return;
  }
  if (link->dialed) {
    dials_.OnDialEnded(link->target, link->phase == LinkPhase::kOpen);
  }
  if (links_.Remove(link)) {
    ++counters_.links_closed;
    events_.OnLinkDown(link->peer.host, link->peer.incarnation);
  }
}

}  // namespace damasktack::detail
