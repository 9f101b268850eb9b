#ifndef POLICY_COLD_ALLOWANCE_H_
#define POLICY_COLD_ALLOWANCE_H_

#include <cstdint>

#include "core/time.h"
#include "policy/cold_basis.h"
#include "policy/host_quota.h"
#include "policy/shared_rate.h"

namespace damasktack {

// Decides when one host may send a call to one cold endpoint.
//
// Made for the endpoints of a zone that return together with empty caches. Each
// of them tolerates a few calls a second from all hosts together and crashes
// well above that, while it looks free to every host.
class ColdAllowance {
 public:
  // `seed` must differ for each pair of host and endpoint.
  explicit ColdAllowance(std::uint64_t seed = 0) : rate_(seed) {}

  // Stores the latest statement of how long the endpoint stays cold, and its
  // source.
  void OnCold(ColdSource source, TimePoint until, TimePoint now) {
    if (until != cold_until_) {
      source_ = source;
      stated_at_ = now;
    }
    cold_until_ = until;
  }
  bool IsCold(TimePoint now) const { return now < cold_until_; }
  TimePoint cold_until() const { return cold_until_; }
  ColdSource source() const { return source_; }
  TimePoint stated_at() const { return stated_at_; }

  // For a host with a host number: its quota at the endpoint.
  HostQuota& quota() { return quota_; }
  bool HasHostQuota(TimePoint now) const { return quota_.IsAvailable(now); }
  // For a host without a host number: returns whether its share of the rate,
  // `share` calls a second, allows a call now.
  bool Allows(double share, TimePoint now) const {
    return !IsCold(now) || rate_.Allows(share, now);
  }
  void OnSend(TimePoint now) {
    quota_.OnSend(now);
    rate_.OnSend(now);
  }

 private:
  TimePoint cold_until_;
  ColdSource source_ = ColdSource::kList;
  TimePoint stated_at_;
  HostQuota quota_;
  SharedRate rate_;
};

}  // namespace damasktack

#endif  // POLICY_COLD_ALLOWANCE_H_
