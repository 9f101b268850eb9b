#include "wire/peer_link.h"

namespace damasktack::detail {

const std::string& PeerLink::MakeGreeting(const std::string& host,
                                          std::uint64_t incarnation) {
  own_greeting_ =
      EncodeGreeting(LinkGreeting{host, incarnation, GenerateNonce()});
  return own_greeting_;
}

bool PeerLink::MatchesTarget(const LinkGreeting& greeting) const {
  return target.host.empty() || target.host == greeting.host;
}

std::string PeerLink::ProcessGreeting(const LinkGreeting& greeting,
                                      std::string_view bytes,
                                      const std::string& fleet_key) {
  peer = greeting;
  phase = LinkPhase::kProof;
  if (dialed) {
    secrets_.emplace(fleet_key, own_greeting_, bytes);
    return secrets_->DialerProof();
  }
  secrets_.emplace(fleet_key, bytes, own_greeting_);
  return own_greeting_;
}

bool PeerLink::IsProof(std::string_view bytes) const {
  return ConstantTimeEquals(
      bytes, dialed ? secrets_->AcceptorProof() : secrets_->DialerProof());
}

void PeerLink::Open() {
  const std::string dialers = secrets_->DialerFrameKey();
  const std::string acceptors = secrets_->AcceptorFrameKey();
  sealer_.emplace(dialed ? dialers : acceptors);
  opener_.emplace(dialed ? acceptors : dialers);
  secrets_.reset();
  phase = LinkPhase::kOpen;
}

}  // namespace damasktack::detail
