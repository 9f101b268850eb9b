#ifndef FLEET_CLAIM_GATE_H_
#define FLEET_CLAIM_GATE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"

namespace damasktack {

// A call that must run at most once. Its caller may repeat it under the same
// key through any host.
struct ClaimRequest {
  CustomerId customer;
  // The caller's Idempotency-Key.
  std::string key;
  // Digest of method, path and body. Detects callers that use the same key for
  // different requests.
  std::uint64_t request_digest = 0;
  TimePoint deadline;
};

// The stored answer of an earlier execution of a call.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

enum class ClaimVerdict : std::uint8_t {
  // The caller may run the call. No other call under this key is granted until
  // the claim is settled.
  kGranted,
  // The call ran earlier. `answer` holds its answer if it was stored.
  kAlreadyRan,
  // Another call holds the claim and has not settled it yet.
  kInProgress,
  // The key was used earlier with a different request.
  kMismatch,
  // The replicas that store the key's claims are unreachable, or cannot rule
  // out an earlier claim. Nothing was claimed.
  kUnavailable,
};

// The result of a claim.
struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  std::optional<StoredAnswer> answer;
  // Identifies a granted claim, for Settle.
  std::uint64_t claim = 0;
  Duration retry_after = std::chrono::seconds(1);
};

// Grants claims on idempotency keys, so that each keyed call runs at most once.
// Thread-safe.
class ClaimGate {
 public:
  virtual ~ClaimGate() = default;

  // Requests a claim. `done` runs exactly once, on a thread of the gate or
  // within this call.
  virtual void Claim(const ClaimRequest& request,
                     std::function<void(const ClaimReply&)> done) = 0;
  // Ends a granted claim. kNotRun frees the key for another attempt.
  virtual void Settle(const ClaimRequest& request,
                      std::uint64_t claim,
                      Outcome outcome,
                      std::optional<StoredAnswer> answer) = 0;
};

// Grants every claim. For tests and for a standalone daemon.
class OpenClaimGate : public ClaimGate {
 public:
  void Claim(const ClaimRequest& /*request*/,
             std::function<void(const ClaimReply&)> done) override {
    done(ClaimReply{ClaimVerdict::kGranted, std::nullopt, 0, {}});
  }
  void Settle(const ClaimRequest& /*request*/,
              std::uint64_t /*claim*/,
              Outcome /*outcome*/,
              std::optional<StoredAnswer> /*answer*/) override {}
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_GATE_H_
