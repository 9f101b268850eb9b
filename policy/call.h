#ifndef POLICY_CALL_H_
#define POLICY_CALL_H_

#include <cstdint>
#include <string_view>

#include "contract/contract.h"
#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// Identifies one received call within one process.
using CallToken = std::uint64_t;

// Index of an endpoint within its service's balancer. It stays the same as long
// as the endpoint is listed.
using EndpointIndex = std::uint32_t;

// What the caller is told about the call; sent in the header
// Damasktack-Outcome.
enum class Outcome : std::uint8_t {
  // The caller received a complete answer of one execution.
  kComplete,
  // No endpoint ran the call, and none will run it.
  kNotRun,
  // The call may have run.
  kUnknown,
};
std::string_view ToString(Outcome outcome);

// How one send to an endpoint ended.
enum class SendResult : std::uint8_t {
  // A complete answer that is neither a shed nor a server error.
  kAnswered,
  // A complete answer with a server error status (5xx) that is not a shed.
  kFailed,
  // The endpoint answered that it did not run the call.
  kShed,
  // The connection failed; nothing was written.
  kNotConnected,
  // Another endpoint now has the address and rejected the call, which was not
  // addressed to it.
  kMisdirected,
  // Part of the call was written, and no complete answer arrived.
  kBroken,
  kTimedOut,
  // The caller went away, or this host cancelled the call.
  kCancelled,
};
inline constexpr std::size_t kSendResultCount = 8;
std::string_view ToString(SendResult result);

// Returns whether the send certainly led to no execution.
bool SurelyNotRun(SendResult result);

// Returns whether a call may be sent again after the send: only if the send
// certainly did not run, or if the call is idempotent. Never after a complete
// answer that is not an error, nor for a caller that has gone.
bool MaySendAgain(SendResult result, bool idempotent);

// Reason why a call was refused without being sent.
enum class Refusal : std::uint8_t {
  kNone,
  // The deadline has passed or can no longer be met.
  kDeadline,
  // No slot is free, and the contract asks to shed such calls.
  kShed,
  // The customer's or the host's limit of waiting calls is reached.
  kQueueFull,
  kNoEndpoint,
  // The customer is over its limit.
  kLimit,
  kStopping,
  // This host reaches no endpoint of the service.
  kUnreachable,
};
std::string_view ToString(Refusal refusal);

}  // namespace damasktack

#endif  // POLICY_CALL_H_
