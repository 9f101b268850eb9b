#ifndef POLICY_CALL_OUTCOME_H_
#define POLICY_CALL_OUTCOME_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "core/bound_chart.h"
#include "policy/call.h"

namespace damasktack {

// States of one received call; policy/charts/call.json defines the transitions.
// A name that ends in "unsure" follows a send that may have run the call.
enum class CallState : std::uint8_t {
  kWaiting,
  kConnecting,
  kWritten,
  // Neither the last send nor any send before it ran the call.
  kClear,
  // A complete answer with a server error, which may be retried or passed on to
  // the caller.
  kFailed,
  kUnsure,
  kWaitingUnsure,
  kConnectingUnsure,
  kWrittenUnsure,
  kComplete,
  kNotRun,
  kUnknown,
};

enum class CallEvent : std::uint8_t {
  kPlaced,
  kRefused,
  kWrote,
  kNotConnected,
  kShed,
  kAnswered,
  kFailed,
  kLost,
  // The call is sent again: kSendAgain after sends that did not run, kRepeat
  // after a send that may have run.
  kSendAgain,
  kRepeat,
  kGiveUp,
};

template <>
struct ChartNames<CallState> {
  static constexpr std::array<std::string_view, 12> kNames = {
      "waiting",        "connecting", "written",        "clear",
      "failed",         "unsure",     "waiting-unsure", "connecting-unsure",
      "written-unsure", "complete",   "not-run",        "unknown"};
};

template <>
struct ChartNames<CallEvent> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "placed", "refused", "wrote",      "not-connected", "shed",   "answered",
      "failed", "lost",    "send-again", "repeat",        "give-up"};
};

using CallChart = BoundChart<CallState, CallEvent>;

// Returns the state chart that is embedded in the binary; it is bound at the
// first call.
const CallChart& GetCallChart();

// Tracks the outcome of one received call over all of its sends. The owner
// reports each step in order; the class answers whether the call may be sent
// again and what its caller is told. A step that the chart does not define
// leaves the outcome unknown for good, so that a defect elsewhere cannot turn
// into "not-run".
class CallOutcome {
 public:
  explicit CallOutcome(bool idempotent) : idempotent_(idempotent) {}

  // An endpoint was chosen (OnPlaced), or the call was refused or withdrawn
  // (OnRefused).
  void OnPlaced();
  void OnRefused();
  // The first byte is about to be written. May be omitted if the result of the
  // send implies it.
  void OnWrote();
  void OnSendEnd(SendResult result);
  // Two sends were in flight at the same time, and both have ended without an
  // answer that ended the call before. The outcome is that of the same sends
  // one after the other, an answer last.
  void OnSendsEnd(SendResult one, SendResult other);
  // After OnSendEnd, the owner either sends the call again or ends it.
  void OnSentAgain();
  void OnGivenUp();

  // Returns whether OnSentAgain may be called now.
  bool MaySendAgain() const;
  // Returns what the caller is told if no further step follows.
  Outcome outcome() const;
  CallState state() const { return state_; }

 private:
  void ApplyEvent(CallEvent event);

  bool idempotent_;
  // A step was reported that the chart does not define.
  bool has_invalid_step_ = false;
  CallState state_ = CallState::kWaiting;
};

}  // namespace damasktack

#endif  // POLICY_CALL_OUTCOME_H_
