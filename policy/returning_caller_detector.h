#ifndef POLICY_RETURNING_CALLER_DETECTOR_H_
#define POLICY_RETURNING_CALLER_DETECTOR_H_

#include <cstddef>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// Tells a caller that has been refused elsewhere from one that comes for the
// first time: callers of one route begin with the same time, and whoever comes
// back has less of it left. Where callers begin with times of their own, nearly
// all of them count as having come back, and none goes before another.
class ReturningCallerDetector {
 public:
  // A caller of the route allows its call `asked`.
  void Note(const CustomerId& route, Duration asked, TimePoint now);
  // Whether one that allows `asked` has come back.
  bool IsReturning(const CustomerId& route, Duration asked) const;

  std::size_t routes() const { return longest_.size(); }

 private:
  // The longest time of a span and of the one before it.
  struct Longest {
    TimePoint since;
    Duration now{};
    Duration before{};
  };

  std::unordered_map<CustomerId, Longest> longest_;
};

}  // namespace damasktack

#endif  // POLICY_RETURNING_CALLER_DETECTOR_H_
