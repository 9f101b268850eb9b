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

// Why a caller gets an answer that no endpoint gave. The table in failure.cc
// has the status, the name and the remedy of each.
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
};
inline constexpr std::size_t kFailureKindCount = 29;

// The name in answers and metrics.
std::string_view ToString(FailureKind kind);

struct Failure {
  FailureKind kind = FailureKind::kBadRequest;
  // What was found, where that helps the caller; may be empty.
  std::string found;
  // When a new try has a chance; null where none has.
  std::optional<Duration> retry_after;

  // Takes what is known of this case in place of what is usual; zero says that
  // nothing is.
  void SetRetryAfter(Duration known) {
    if (known > Duration::zero()) {
      retry_after = known;
    }
  }
};

// A failure with the wait before a new try that is usual for its kind.
Failure MakeFailure(FailureKind kind, std::string found = "");
FailureKind KindOf(Refusal refusal);
// For sends that ended without an answer of the endpoint.
FailureKind KindOf(SendResult result);

// The answer as the caller gets it: JSON with kind, remedy, call and outcome.
// `call` is empty where the request was refused before it was a call.
HttpResponse RenderFailure(const Failure& failure,
                           Outcome outcome,
                           const CallId& call,
                           const ProtocolNames& names);

}  // namespace damasktack

#endif  // PROXY_FAILURE_H_
