#ifndef POLICY_COLD_ALLOWANCE_H_
#define POLICY_COLD_ALLOWANCE_H_

#include <cstdint>

#include "core/time.h"
#include "policy/cold_basis.h"
#include "policy/host_quota.h"
#include "policy/shared_rate.h"

namespace damasktack {

// When one host may send a call to one endpoint that is cold.
//
// The load that it answers: the endpoints of a zone come back together with
// empty caches. Each of them tolerates a few calls a second from all hosts
// together, and crashes well above that; each looks free to every host.
class ColdAllowance {
 public:
  // `seed` differs by host and by endpoint.
  explicit ColdAllowance(std::uint64_t seed = 0) : rate_(seed) {}

  // The newest word of how long the endpoint stays cold, and whose it is.
  void OnCold(ColdSource word, TimePoint until, TimePoint now) {
    if (until != cold_until_) {
      word_ = word;
      told_at_ = now;
    }
    cold_until_ = until;
  }
  bool IsCold(TimePoint now) const { return now < cold_until_; }
  TimePoint cold_until() const { return cold_until_; }
  ColdSource word() const { return word_; }
  TimePoint told_at() const { return told_at_; }

  // Where the host has a seat: whether it has a turn at the endpoint.
  HostQuota& turns() { return turns_; }
  bool HasHostQuota(TimePoint now) const { return turns_.IsAvailable(now); }
  // Where it has none: whether its part of the rate, `share` calls a second,
  // lets a call through.
  bool Allows(double share, TimePoint now) const {
    return !IsCold(now) || rate_.Allows(share, now);
  }
  void OnSend(TimePoint now) {
    turns_.OnSend(now);
    rate_.OnSend(now);
  }

 private:
  TimePoint cold_until_;
  ColdSource word_ = ColdSource::kList;
  TimePoint told_at_;
  HostQuota turns_;
  SharedRate rate_;
};

}  // namespace damasktack

#endif  // POLICY_COLD_ALLOWANCE_H_
