#include "policy/call_outcome.h"

#include <utility>

#include "policy/chart_texts.h"

namespace damasktack {

namespace {

CallEvent EventOf(SendResult result) {
  switch (result) {
    case SendResult::kAnswered:
      return CallEvent::kAnswered;
    case SendResult::kFailed:
      return CallEvent::kFailed;
    case SendResult::kShed:
    case SendResult::kMisdirected:
      return CallEvent::kShed;
    case SendResult::kNotConnected:
      return CallEvent::kNotConnected;
    case SendResult::kBroken:
    case SendResult::kTimedOut:
    case SendResult::kCancelled:
      break;
  }
  return CallEvent::kLost;
}

}  // namespace

const CallChart& GetCallChart() {
  static const CallChart chart =
      CallChart::BindOrExit(CallChartText(), "policy/charts/call.json");
  return chart;
}

void CallOutcome::ApplyEvent(CallEvent event) {
  const auto next = GetCallChart().Next(state_, event);
  if (!next) {
    has_invalid_step_ = true;
    return;
  }
  state_ = *next;
}

void CallOutcome::OnPlaced() {
  ApplyEvent(CallEvent::kPlaced);
}

void CallOutcome::OnRefused() {
  ApplyEvent(CallEvent::kRefused);
}

void CallOutcome::OnWrote() {
  ApplyEvent(CallEvent::kWrote);
}

void CallOutcome::OnSendEnd(SendResult result) {
  const CallEvent event = EventOf(result);
  const bool connecting = state_ == CallState::kConnecting ||
                          state_ == CallState::kConnectingUnsure;
  if (connecting && event != CallEvent::kNotConnected) {
    ApplyEvent(CallEvent::kWrote);
  }
  ApplyEvent(event);
}

void CallOutcome::OnSendsEnd(SendResult one, SendResult other) {
  for (const SendResult answer : {SendResult::kFailed, SendResult::kAnswered}) {
    if (one == answer) {
      std::swap(one, other);
    }
  }
  if (other != SendResult::kAnswered) {
    OnSendEnd(one);
    OnSentAgain();
    OnPlaced();
  }
  OnSendEnd(other);
}

bool CallOutcome::MaySendAgain() const {
  if (has_invalid_step_) {
    return false;
  }
  if (GetCallChart().Next(state_, CallEvent::kSendAgain)) {
    return true;
  }
  return idempotent_ && GetCallChart().Next(state_, CallEvent::kRepeat);
}

void CallOutcome::OnSentAgain() {
  if (!MaySendAgain()) {
    has_invalid_step_ = true;
    return;
  }
  const bool clear = state_ == CallState::kClear;
  ApplyEvent(clear ? CallEvent::kSendAgain : CallEvent::kRepeat);
}

void CallOutcome::OnGivenUp() {
  // In a final state, an answer has ended the call already.
  if (!GetCallChart().IsFinal(state_)) {
    ApplyEvent(CallEvent::kGiveUp);
  }
}

Outcome CallOutcome::outcome() const {
  if (state_ == CallState::kComplete) {
    return Outcome::kComplete;
  }
  const bool nothing_ran = state_ == CallState::kNotRun ||
                           state_ == CallState::kClear ||
                           state_ == CallState::kWaiting;
  return nothing_ran && !has_invalid_step_ ? Outcome::kNotRun
                                           : Outcome::kUnknown;
}

}  // namespace damasktack
