#include "policy/call.h"

#include <array>

namespace damasktack {

std::string_view ToString(Outcome outcome) {
  constexpr std::array<std::string_view, 3> kNames = {"complete", "not-run",
                                                      "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::string_view ToString(SendResult result) {
  constexpr std::array<std::string_view, kSendResultCount> kNames = {
      "answered",    "failed", "shed",      "not-connected",
      "misdirected", "broken", "timed-out", "cancelled"};
  return kNames[static_cast<std::size_t>(result)];
}

bool SurelyNotRun(SendResult result) {
  return result == SendResult::kShed || result == SendResult::kNotConnected ||
         result == SendResult::kMisdirected;
}

bool MaySendAgain(SendResult result, bool idempotent) {
  if (result == SendResult::kAnswered || result == SendResult::kCancelled) {
    return false;
  }
  return idempotent || SurelyNotRun(result);
}

std::string_view ToString(Refusal refusal) {
  constexpr std::array<std::string_view, 8> kNames = {
      "none",        "deadline", "shed",     "queue-full",
      "no-endpoint", "limit",    "stopping", "unreachable"};
  return kNames[static_cast<std::size_t>(refusal)];
}

}  // namespace damasktack
