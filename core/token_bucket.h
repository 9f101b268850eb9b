#ifndef CORE_TOKEN_BUCKET_H_
#define CORE_TOKEN_BUCKET_H_

#include <algorithm>

#include "core/time.h"

namespace damasktack {

// Token bucket that grants `rate` tokens per second on average and up to
// `burst` at once, that is, at most rate * interval + burst in any interval.
// Starts full.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  // Takes one token; returns false if there is none.
  bool Take(TimePoint now) {
    Refill(now);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // Changes rate and burst from now on; tokens beyond the new burst are lost.
  void SetBounds(double rate, double burst, TimePoint now) {
    Refill(now);
    rate_ = rate;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

  double rate() const { return rate_; }

 private:
  void Refill(TimePoint now) {
    if (last_ != TimePoint() && now > last_) {
      const std::chrono::duration<double> passed = now - last_;
      tokens_ = std::min(burst_, tokens_ + passed.count() * rate_);
    }
    last_ = std::max(last_, now);
  }

  double rate_;
  double burst_;
  double tokens_;
  TimePoint last_;
};

}  // namespace damasktack

#endif  // CORE_TOKEN_BUCKET_H_
