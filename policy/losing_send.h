#ifndef POLICY_LOSING_SEND_H_
#define POLICY_LOSING_SEND_H_

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace damasktack {

// What happens to the other send of a call when one has been answered.
enum class LosingSend : std::uint8_t {
  kRunsOn,
  kIsCancelled,
  // It runs on if its answer is expected within the limit.
  kRunsOnIfSoonOver,
};

struct LosingSendOptions {
  LosingSend action = LosingSend::kRunsOnIfSoonOver;
  // Holding a slot for longer costs the service more than a new connection.
  Duration run_on_limit = std::chrono::milliseconds(20);
};

// Returns whether the losing send is cancelled, which closes its connection.
// `ends_in` is the expected time to its answer; null if it has already taken
// longer than expected.
inline bool CancelsLosingSend(const LosingSendOptions& options,
                              std::optional<Duration> ends_in) {
  if (options.action == LosingSend::kRunsOnIfSoonOver) {
    return !ends_in || *ends_in > options.run_on_limit;
  }
  return options.action == LosingSend::kIsCancelled;
}

}  // namespace damasktack

#endif  // POLICY_LOSING_SEND_H_
