#include "main/load_record.h"

#include <array>

namespace damasktack {

namespace {

constexpr std::array<std::string_view, kLoadOutcomeCount> kOutcomeNames = {
    "complete", "failed",       "not-run",  "unknown",
    "cut",      "wrong-answer", "no-entry", "not-sent"};

}  // namespace

std::string_view ToString(LoadOutcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

}  // namespace damasktack
