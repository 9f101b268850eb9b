#include "fleet/host_number_allocator.h"

#include <algorithm>
#include <bit>

namespace damasktack {

namespace {

// Many times the hosts that follow one seed.
constexpr std::int64_t kMostIndex = 4096;
// The number of seats grows by steps, so many while it doubles: all hosts are
// told of each.
constexpr std::uint64_t kSteps = 8;

}  // namespace

void HostNumberAllocator::SetRank(std::optional<std::int64_t> rank,
                                  std::int64_t seeds) {
  rank_ = rank;
  seeds_ = std::max<std::int64_t>(seeds, 1);
  MakeRoom(0);
}

void HostNumberAllocator::MakeRoom(std::int64_t most_index) {
  const std::int64_t indexes = std::min(most_index, kMostIndex) + 1;
  const std::int64_t needed = seeds_ * indexes;
  const auto step = static_cast<std::int64_t>(std::max<std::uint64_t>(
      std::bit_floor(static_cast<std::uint64_t>(needed)) / kSteps, 1));
  seats_ = std::max(seats_, (needed + step - 1) / step * step);
}

bool HostNumberAllocator::IsFree(std::int64_t index) const {
  return std::ranges::none_of(
      held_, [index](const auto& it) { return it.second.index == index; });
}

std::int64_t HostNumberAllocator::IndexOf(const HostId& host,
                                          const HostNumber& claimed,
                                          TimePoint now) {
  std::erase_if(held_, [&](const auto& it) {
    return it.first != host && now - it.second.heard_at >= kHeld;
  });
  const auto known = held_.find(host);
  if (known != held_.end()) {
    known->second.heard_at = now;
    return known->second.index;
  }
  const bool is_own_number =
      claimed.IsKnown() && claimed.number % seeds_ == *rank_;
  std::int64_t index = is_own_number ? claimed.number / seeds_ : 0;
  if (index < 1 || index > kMostIndex || !IsFree(index)) {
    index = 1;
    while (!IsFree(index)) {
      ++index;
    }
  }
  held_[host] = {index, now};
  return index;
}

HostNumber HostNumberAllocator::SeatOf(const HostId& host,
                                       const HostNumber& claimed,
                                       std::int64_t others,
                                       TimePoint now) {
  const std::int64_t index = IndexOf(host, claimed, now);
  MakeRoom(std::max(index, others));
  return {NumberOf(index), seats_};
}

void HostNumberAllocator::HearSeats(std::int64_t seats) {
  if (seats <= seeds_ * kMostIndex) {
    seats_ = std::max(seats_, seats);
  }
}

void HostNumberAllocator::OnSeat(const HostId& seed, const HostNumber& seat) {
  told_ = seat;
  told_by_ = seed;
  ends_at_.reset();
}

void HostNumberAllocator::OnLinkUp(const HostId& seed) {
  if (seed == told_by_) {
    ends_at_.reset();
  }
}

void HostNumberAllocator::OnLinkDown(const HostId& seed, TimePoint now) {
  if (seed == told_by_ && !ends_at_) {
    ends_at_ = now + kLease;
  }
}

HostNumber HostNumberAllocator::Own(TimePoint now) const {
  if (rank_) {
    return {NumberOf(0), seats_};
  }
  const bool has_ended = ends_at_ && now >= *ends_at_;
  return has_ended ? HostNumber() : told_;
}

}  // namespace damasktack
