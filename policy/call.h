#ifndef POLICY_CALL_H_
#define POLICY_CALL_H_

#include <cstdint>
#include <string_view>

#include "contract/contract.h"
#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// Names one received call within one process.
using CallToken = std::uint64_t;

// Index of an endpoint within its service's balancer. Stays the same for as
// long as the endpoint is listed.
using EndpointIndex = std::uint32_t;

// What a caller is told; the value of the header Damasktack-Outcome.
enum class Outcome : std::uint8_t {
  // The whole answer of one execution.
  kComplete,
  // No endpoint ran the call, and none will.
  kNotRun,
  // It may have run.
  kUnknown,
};
std::string_view ToString(Outcome outcome);

// How one send to an endpoint ended.
enum class SendResult : std::uint8_t {
  // A whole answer that is not a shed.
  kAnswered,
  // A whole answer with a server error status (5xx) that is not a shed.
  kFailed,
  // The endpoint's own word that it did not run the call.
  kShed,
  // No connection; nothing was written.
  kNotConnected,
  // Another endpoint has the address now, and refused to run what was not meant
  // for it.
  kMisdirected,
  // Something was written and no whole answer came.
  kBroken,
  kTimedOut,
  // The caller went away or the call was cancelled by this host.
  kCancelled,
};
inline constexpr std::size_t kSendResultCount = 8;
std::string_view ToString(SendResult result);

// Whether the send surely led to no execution.
bool SurelyNotRun(SendResult result);

// Whether a call may be sent again after the send: only where that surely did
// not run, or where running twice does no harm. Never after a whole answer
// that is not an error, nor for a caller that has gone.
bool MaySendAgain(SendResult result, bool idempotent);

// Why a call was refused without a send.
enum class Refusal : std::uint8_t {
  kNone,
  // The deadline passed, or cannot be met any more.
  kDeadline,
  // No free slot, and the contract says to shed.
  kShed,
  // The customer's or the host's waiting room is full.
  kQueueFull,
  kNoEndpoint,
  // Over the customer's limit.
  kLimit,
  kStopping,
};
std::string_view ToString(Refusal refusal);

}  // namespace damasktack

#endif  // POLICY_CALL_H_
