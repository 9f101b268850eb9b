#ifndef PROXY_CLAIM_GUARD_H_
#define PROXY_CLAIM_GUARD_H_

#include <optional>

#include "fleet/claim_gate.h"

namespace damasktack {

// Owns a granted claim and settles it exactly once, also if the caller
// disconnects before the grant arrives, the call is refused, or the process
// stops. A grant that is never settled would block its key permanently; one
// settled as not run after a send would let the call run twice.
class ClaimGuard {
 public:
  ClaimGuard(ClaimGate& gate, ClaimRequest request, std::uint64_t claim);
  // Settles the claim if this has not been done: as unknown if the call was
  // sent, else as not run.
  ~ClaimGuard();
  ClaimGuard(const ClaimGuard&) = delete;
  ClaimGuard& operator=(const ClaimGuard&) = delete;

  // Must be called before the first byte of the call is sent to an endpoint.
  void MarkSent() { sent_ = true; }
  // Only the first call has an effect.
  void Settle(Outcome outcome, std::optional<StoredAnswer> answer);

 private:
  ClaimGate& gate_;
  const ClaimRequest request_;
  const std::uint64_t claim_;
  bool sent_ = false;
  bool settled_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CLAIM_GUARD_H_
