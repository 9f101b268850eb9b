#ifndef WIRE_PEER_LINK_H_
#define WIRE_PEER_LINK_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <websocketpp/common/connection_hdl.hpp>

#include "wire/link_auth.h"
#include "wire/peer_transport.h"

namespace damasktack::detail {

using Handle = websocketpp::connection_hdl;
using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

// Phases of a link: exchange of greetings, exchange of proofs, open.
enum class LinkPhase { kGreeting, kProof, kOpen };

// State of one websocket: the peer's identity and the progress of mutual
// authentication. It sends nothing itself. Only `backlog` may be used on other
// threads than the transport's; the peer's identity is set before other threads
// can find the link.
struct PeerLink {
  Handle handle;
  bool dialed = false;
  // The address that was dialed; unused on the accepting side.
  PeerAddress target;
  LinkPhase phase = LinkPhase::kGreeting;
  SteadyTime since;
  SteadyTime last_received;
  LinkGreeting peer;
  // Estimate of the bytes accepted by Send and not yet written to the socket.
  std::atomic<std::size_t> backlog = 0;

  // Creates this side's greeting and returns its bytes.
  const std::string& MakeGreeting(const std::string& host,
                                  std::uint64_t incarnation);
  // Returns true if the greeting comes from the host that was dialed.
  bool MatchesTarget(const LinkGreeting& greeting) const;
  // Processes the peer's greeting and returns the reply: the dialer's proof or
  // the accepting side's greeting.
  std::string ProcessGreeting(const LinkGreeting& greeting,
                              std::string_view bytes,
                              const std::string& fleet_key);
  // Returns true if the bytes prove that the peer has the fleet's key.
  bool IsProof(std::string_view bytes) const;
  // Returns the proof of the accepting side.
  std::string AcceptorProof() const { return secrets_->AcceptorProof(); }
  // Switches to authenticated frames.
  void Open();
  std::string Seal(std::string_view payload) { return sealer_->Seal(payload); }
  std::optional<std::string> Unseal(std::string_view frame) {
    return opener_->Open(frame);
  }

 private:
  std::string own_greeting_;
  std::optional<LinkSecrets> secrets_;
  std::optional<FrameAuthenticator> sealer_;
  std::optional<FrameAuthenticator> opener_;
};

using PeerLinkPtr = std::shared_ptr<PeerLink>;
template <typename Value>
using HandleMap = std::map<Handle, Value, std::owner_less<Handle>>;

}  // namespace damasktack::detail

#endif  // WIRE_PEER_LINK_H_
