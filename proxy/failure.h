#ifndef PROXY_FAILURE_H_
#define PROXY_FAILURE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"
#include "proxy/http_types.h"

namespace damasktack {

// Reasons for which damasktack answers a caller itself instead of passing on an
// endpoint's answer. The table in failure.cc lists status, name and remedy for
// each.
enum class FailureKind : std::uint8_t {
  kBadRequest,
  kRequestTimeout,
  kIdleTimeout,
  kHeadTooLarge,
  kBodyTooLarge,
  kNotSupported,
  kVersion,
  kExpectation,
  kTooManyConnections,
  kMemoryShort,
  kUnknownCustomer,
  kNotInContract,
  kNoRoute,
  kTooDeep,
  kDeadline,
  kShed,
  kQueueFull,
  kNoEndpoint,
  kLimit,
  kStopping,
  kNotCurrent,
  kKeyReused,
  kKeyInProgress,
  kKeyAlreadyRan,
  kClaimUnavailable,
  kQuarantined,
  kNotConnected,
  kBroken,
  kTimedOut,
  kCancelled,
  kUnreachable,
  kRelayRefused,
  kInternal,
};
inline constexpr std::size_t kFailureKindCount = 33;

// Returns the name used in answers and metrics.
std::string_view ToString(FailureKind kind);

// A failure as it is reported to a caller.
struct Failure {
  FailureKind kind = FailureKind::kBadRequest;
  // Details of the fault that help the caller; may be empty.
  std::string found;
  // Time after which a retry may succeed; null if a retry is pointless.
  std::optional<Duration> retry_after;

  // Replaces the default wait of this kind of failure by a value known for this
  // case; zero means that none is known.
  void SetRetryAfter(Duration known) {
    if (known > Duration::zero()) {
      retry_after = known;
    }
  }
};

// Returns a failure with the default retry wait of its kind.
Failure MakeFailure(FailureKind kind, std::string found = "");
FailureKind KindOf(Refusal refusal);
// For sends that ended without an answer from the endpoint.
FailureKind KindOf(SendResult result);

// Renders the answer for the caller: JSON with kind, remedy, call and outcome.
// `call` is empty if the request was refused before it got a call id.
HttpResponse RenderFailure(const Failure& failure,
                           Outcome outcome,
                           const CallId& call,
                           const ProtocolNames& names);

}  // namespace damasktack

#endif  // PROXY_FAILURE_H_
