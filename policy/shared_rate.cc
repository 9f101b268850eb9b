#include "policy/shared_rate.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Limit on the pieces of a window: with more, their length would round to zero.
constexpr double kMaxPieces = 1e6;

}  // namespace

SharedRate::Piece SharedRate::PieceOf(double share) {
  const double pieces = std::clamp(std::ceil(share), 1.0, kMaxPieces);
  return {Scaled(kWindow, 1 / pieces), share / pieces};
}

std::int64_t SharedRate::NumberOf(const Piece& piece, TimePoint now) const {
  const auto phase = static_cast<Duration::rep>(
      seed_ % static_cast<std::uint64_t>(kWindow.count()));
  return (now.time_since_epoch() + Duration(phase)).count() /
         piece.length.count();
}

bool SharedRate::HasRequest(const Piece& piece, std::int64_t number) const {
  const std::uint64_t drawn =
      XXH3_64bits_withSeed(&number, sizeof(number), seed_);
  constexpr auto kWhole =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return static_cast<double>(drawn) / kWhole < piece.part;
}

bool SharedRate::Allows(double share, TimePoint now) const {
  const Piece piece = PieceOf(share);
  return now - last_send_ >= piece.length &&
         HasRequest(piece, NumberOf(piece, now));
}

TimePoint SharedRate::NextAllowed(double share,
                                  TimePoint now,
                                  TimePoint latest) const {
  const Piece piece = PieceOf(share);
  TimePoint at = std::max(now, last_send_ + piece.length);
  while (at < latest && !Allows(share, at)) {
    const auto phase = static_cast<Duration::rep>(
        seed_ % static_cast<std::uint64_t>(kWindow.count()));
    const std::int64_t next = NumberOf(piece, at) + 1;
    at = TimePoint(Duration(next * piece.length.count() - phase));
  }
  return std::min(at, latest);
}

}  // namespace damasktack
