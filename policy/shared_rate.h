#ifndef POLICY_SHARED_RATE_H_
#define POLICY_SHARED_RATE_H_

#include <cstdint>

#include "core/time.h"

namespace damasktack {

// When one host may send a request to an endpoint that takes only a few a
// second from all hosts together.
//
// The load that it answers: each host has calls for the endpoint all the time,
// and none sees what the others send. Each has its part of the rate by the size
// of the fleet. A part of less than one request becomes one request in some
// windows, drawn by a hash, so that hosts that wake together do not send
// together and nothing is saved up for later.
class SharedRate {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(1);

  // `seed` differs by host and by endpoint.
  explicit SharedRate(std::uint64_t seed = 0) : seed_(seed) {}

  // Whether a request may go there; `share` is this host's part of the rate,
  // in requests a second.
  bool Allows(double share, TimePoint now) const;
  // The first moment from `now` on at which Allows holds; `latest` where none
  // comes before it.
  TimePoint NextAllowed(double share, TimePoint now, TimePoint latest) const;
  void OnSend(TimePoint now) { last_send_ = now; }

 private:
  // The windows are cut into pieces of equal length, one request each.
  struct Piece {
    Duration length{};
    // Part of the pieces that have a request.
    double part = 0;
  };

  static Piece PieceOf(double share);
  std::int64_t NumberOf(const Piece& piece, TimePoint now) const;
  bool IsDrawn(const Piece& piece, std::int64_t number) const;

  std::uint64_t seed_ = 0;
  TimePoint last_send_;
};

}  // namespace damasktack

#endif  // POLICY_SHARED_RATE_H_
