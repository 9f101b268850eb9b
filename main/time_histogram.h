#ifndef MAIN_TIME_HISTOGRAM_H_
#define MAIN_TIME_HISTOGRAM_H_

#include <cstdint>
#include <map>
#include <ostream>

#include "core/json_reader.h"

namespace damasktack {

// Histogram of call durations, summed over the responses of several hosts. All
// hosts use the same bins, so that bins with the same lower end can be added.
class TimeHistogram {
 public:
  // Adds bins in the format of the administration API; malformed bins are
  // counted as empty.
  void Add(const Json& bins);

  std::uint64_t count() const { return count_; }
  // Returns the upper end of the bin that holds the quantile, in microseconds;
  // 0 if nothing was counted.
  double Quantile(double fraction) const;
  // Draws one line with a bar for each fifth of a decade.
  void Draw(std::ostream& out) const;

 private:
  struct Bin {
    std::int64_t high_us = 0;
    std::uint64_t count = 0;
  };

  // Bins by lower end, in microseconds.
  std::map<std::int64_t, Bin> bins_;
  std::uint64_t count_ = 0;
};

}  // namespace damasktack

#endif  // MAIN_TIME_HISTOGRAM_H_
