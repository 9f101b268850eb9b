#ifndef POLICY_SHARED_RATE_H_
#define POLICY_SHARED_RATE_H_

#include <cstdint>

#include "core/time.h"

namespace damasktack {

// Decides when one host may send a request to an endpoint that accepts only a
// few a second from all hosts together.
//
// Made for hosts that always have calls for the endpoint and do not see what
// the others send. Each host has a share of the rate by the size of the fleet.
// A share of less than one request becomes one request in some windows, chosen
// by a hash, so that hosts that start together do not send together and unused
// requests are not saved up.
class SharedRate {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(1);

  // `seed` must differ for each pair of host and endpoint.
  explicit SharedRate(std::uint64_t seed = 0) : seed_(seed) {}

  // Returns whether a request may be sent now; `share` is this host's share of
  // the rate, in requests a second.
  bool Allows(double share, TimePoint now) const;
  // Returns the first time from `now` on at which Allows is true; `latest` if
  // that is not earlier.
  TimePoint NextAllowed(double share, TimePoint now, TimePoint latest) const;
  void OnSend(TimePoint now) { last_send_ = now; }

 private:
  // Each window is divided into pieces of equal length with at most one request
  // each.
  struct Piece {
    Duration length{};
    // Fraction of the pieces that have a request.
    double part = 0;
  };

  static Piece PieceOf(double share);
  std::int64_t NumberOf(const Piece& piece, TimePoint now) const;
  bool HasRequest(const Piece& piece, std::int64_t number) const;

  std::uint64_t seed_ = 0;
  TimePoint last_send_;
};

}  // namespace damasktack

#endif  // POLICY_SHARED_RATE_H_
