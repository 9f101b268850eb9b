#ifndef POLICY_RETURNING_CALLER_DETECTOR_H_
#define POLICY_RETURNING_CALLER_DETECTOR_H_

#include <cstddef>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// Distinguishes returning callers, which another host has refused, from
// first-time callers. Callers of one route start with the same time allowance,
// and a returning caller has less of it left. If callers start with different
// allowances, nearly all of them count as returning, so none is preferred.
class ReturningCallerDetector {
 public:
  // Records that a caller of the route allows `asked` for its call.
  void Record(const CustomerId& route, Duration asked, TimePoint now);
  // Returns whether a caller that allows `asked` is a returning one.
  bool IsReturning(const CustomerId& route, Duration asked) const;

  std::size_t routes() const { return max_allowances_.size(); }

 private:
  // Longest allowance in the current span and in the span before it.
  struct MaxAllowance {
    TimePoint since;
    Duration now{};
    Duration before{};
  };

  std::unordered_map<CustomerId, MaxAllowance> max_allowances_;
};

}  // namespace damasktack

#endif  // POLICY_RETURNING_CALLER_DETECTOR_H_
