#include "fleet/host_number_allocator.h"

#include <algorithm>
#include <bit>

namespace damasktack {

namespace {

// Far more than the hosts that follow one seed.
constexpr std::int64_t kMaxIndex = 4096;
// The number limit grows in this many steps per doubling, because all hosts are
// told about each change.
constexpr std::uint64_t kStepsPerDoubling = 8;

}  // namespace

void HostNumberAllocator::SetRank(std::optional<std::int64_t> rank,
                                  std::int64_t seeds) {
  rank_ = rank;
  seeds_ = std::max<std::int64_t>(seeds, 1);
  GrowNumberLimit(0);
}

void HostNumberAllocator::GrowNumberLimit(std::int64_t max_index) {
  const std::int64_t indexes = std::min(max_index, kMaxIndex) + 1;
  const std::int64_t needed = seeds_ * indexes;
  const auto step = static_cast<std::int64_t>(std::max<std::uint64_t>(
      std::bit_floor(static_cast<std::uint64_t>(needed)) / kStepsPerDoubling,
      1));
  number_limit_ = std::max(number_limit_, (needed + step - 1) / step * step);
}

bool HostNumberAllocator::IsFree(std::int64_t index) const {
  return std::ranges::none_of(reservations_, [index](const auto& it) {
    return it.second.index == index;
  });
}

std::int64_t HostNumberAllocator::AssignIndex(const HostId& host,
                                              const HostNumber& claimed,
                                              TimePoint now) {
  std::erase_if(reservations_, [&](const auto& it) {
    return it.first != host && now - it.second.heard_at >= kReservation;
  });
  const auto known = reservations_.find(host);
  if (known != reservations_.end()) {
    known->second.heard_at = now;
    return known->second.index;
  }
  const bool is_own_number =
      claimed.IsKnown() && claimed.number % seeds_ == *rank_;
  std::int64_t index = is_own_number ? claimed.number / seeds_ : 0;
  if (index < 1 || index > kMaxIndex || !IsFree(index)) {
    index = 1;
    while (!IsFree(index)) {
      ++index;
    }
  }
  reservations_[host] = {index, now};
  return index;
}

HostNumber HostNumberAllocator::AssignNumber(const HostId& host,
                                             const HostNumber& claimed,
                                             std::int64_t others,
                                             TimePoint now) {
  const std::int64_t index = AssignIndex(host, claimed, now);
  GrowNumberLimit(std::max(index, others));
  return {NumberAt(index), number_limit_};
}

void HostNumberAllocator::RaiseNumberLimit(std::int64_t limit) {
  if (limit <= seeds_ * kMaxIndex) {
    number_limit_ = std::max(number_limit_, limit);
  }
}

void HostNumberAllocator::OnNumberAssigned(const HostId& seed,
                                           const HostNumber& number) {
  assigned_ = number;
  assigned_by_ = seed;
  expires_at_.reset();
}

void HostNumberAllocator::OnLinkUp(const HostId& seed) {
  if (seed == assigned_by_) {
    expires_at_.reset();
  }
}

void HostNumberAllocator::OnLinkDown(const HostId& seed, TimePoint now) {
  if (seed == assigned_by_ && !expires_at_) {
    expires_at_ = now + kLease;
  }
}

HostNumber HostNumberAllocator::OwnNumber(TimePoint now) const {
  if (rank_) {
    return {NumberAt(0), number_limit_};
  }
  const bool has_ended = expires_at_ && now >= *expires_at_;
  return has_ended ? HostNumber() : assigned_;
}

}  // namespace damasktack
