#ifndef POLICY_COLD_ALLOWANCE_H_
#define POLICY_COLD_ALLOWANCE_H_

#include <cstdint>

#include "core/time.h"

namespace damasktack {

// When one host may send a call to one endpoint that is cold.
//
// The load that it answers: the endpoints of a zone come back together with
// empty caches. Each of them tolerates a few calls a second from all hosts
// together, and crashes well above that; each looks free to every host, and no
// host sees what the others send.
//
// Each host has its part of that rate by the size of the fleet. A part of less
// than one call becomes one call in some windows, drawn by a hash, so that
// hosts that wake together do not send together and nothing is saved up for
// later.
class ColdAllowance {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(1);

  // `seed` differs by host and by endpoint.
  explicit ColdAllowance(std::uint64_t seed = 0) : seed_(seed) {}

  // The newest word of how long the endpoint stays cold.
  void OnCold(TimePoint until) { cold_until_ = until; }
  bool IsCold(TimePoint now) const { return now < cold_until_; }
  TimePoint cold_until() const { return cold_until_; }

  // Whether a call may go there; `share` is this host's part of the rate, in
  // calls a second.
  bool Allows(double share, TimePoint now) const;
  void OnSend(TimePoint now) { last_send_ = now; }

 private:
  // Whether this piece of time is one of the `part` of all that have a call.
  bool IsDrawn(double part, Duration piece, TimePoint now) const;

  std::uint64_t seed_ = 0;
  TimePoint cold_until_;
  TimePoint last_send_;
};

}  // namespace damasktack

#endif  // POLICY_COLD_ALLOWANCE_H_
