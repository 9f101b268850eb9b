#ifndef MAIN_LOAD_RECORD_H_
#define MAIN_LOAD_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace damasktack {

// Outcome of a call as reported to, or observed by, the caller.
enum class LoadOutcome : std::uint8_t {
  // A complete response with a status below 500.
  kComplete,
  // A complete response of an endpoint with a status of 500 or above.
  kFailed,
  kNotRun,
  kUnknown,
  // The load balancer host closed the connection before the end of the
  // response, or did not respond in time.
  kCut,
  // A complete response that belongs to another call.
  kWrongAnswer,
  // No load balancer host accepted the connection.
  kNoEntry,
  // The generator's limit on calls in flight was reached.
  kNotSent,
};
inline constexpr std::size_t kLoadOutcomeCount = 8;
std::string_view ToString(LoadOutcome outcome);

// One attempt of one call.
struct LoadRecord {
  std::size_t load_class = 0;
  LoadOutcome outcome = LoadOutcome::kNotSent;
  int status = 0;
  // The Idempotency-Key; empty if none was sent.
  std::string key;
  // Damasktack-Call of the response; empty if there was none.
  std::string call;
  // Member "kind" in the body of a failure.
  std::string kind;
  // Measured from the time at which the call was due and not from its send, so
  // that a generator that falls behind does not hide the wait.
  Duration latency{};
  // Processing time reported by the endpoint; null if unknown.
  std::optional<Duration> at_endpoint;
};

using LoadRecords = std::vector<LoadRecord>;

}  // namespace damasktack

#endif  // MAIN_LOAD_RECORD_H_
