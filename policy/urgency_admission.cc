#include "policy/urgency_admission.h"

#include <algorithm>
#include <cmath>

namespace damasktack {

namespace {

// Below this fraction of all calls, an urgency that only peers see does not
// count as arriving.
constexpr double kMinArrivingFraction = 0.01;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

// Adds `earned` to the credit and spends 1 of it if there is as much.
bool Spend(double& credit, double earned) {
  credit = std::min(credit + earned, 2.0);
  if (credit < 1) {
    return false;
  }
  credit -= 1;
  return true;
}

}  // namespace

UrgencyAdmission::Verdict UrgencyAdmission::Decide(Urgency urgency,
                                                   TimePoint now) {
  const std::size_t n = Index(urgency);
  ++offered_[n];
  offered_at_[n] = now;
  if (!is_short_ || n <= MostUrgent()) {
    return {};
  }
  if (!Spend(credits_[n], fractions_[n])) {
    ++refused_[n];
    return {false, 0};
  }
  const double full_time = Ratio(full_time_fraction_, fractions_[n]);
  if (Spend(full_time_credits_[n], full_time)) {
    return {};
  }
  const double middle = (1 + options_.time_fraction) / 2;
  return {true, n < LeastUrgent() ? middle : options_.time_fraction};
}

void UrgencyAdmission::OnMissed(Urgency urgency, TimePoint now) {
  ++missed_[Index(urgency)];
  missed_at_ = now;
}

void UrgencyAdmission::OnReport(const EndpointReport& report) {
  if (report.mode != EndpointMode::kServing || report.slots <= 0) {
    return;
  }
  slots_ += report.slots;
  busy_slots_ += std::clamp(report.in_flight + report.queued, 0, report.slots);
}

bool UrgencyAdmission::IsBusy() const {
  return busy_ >= options_.busy_from;
}

bool UrgencyAdmission::IsShortHere(TimePoint now) const {
  return MostUrgent() < LeastUrgent() && missed_at_ != TimePoint() &&
         now - missed_at_ < options_.hold;
}

std::size_t UrgencyAdmission::MostUrgent() const {
  const auto it = std::ranges::find(is_arriving_, true);
  return static_cast<std::size_t>(it - is_arriving_.begin());
}

std::size_t UrgencyAdmission::LeastUrgent() const {
  for (std::size_t n = kUrgencyCount; n > 0; --n) {
    if (is_arriving_[n - 1]) {
      return n - 1;
    }
  }
  return 0;
}

void UrgencyAdmission::Average(TimePoint now) {
  const double elapsed = Seconds(now - updated_at_);
  const double weight = 1 - std::exp(-elapsed / Seconds(options_.memory));
  const auto take = [&](Counts& counts, UrgencyRates& rates) {
    for (std::size_t n = 0; n < kUrgencyCount; ++n) {
      rates[n] += weight * (counts[n] / elapsed - rates[n]);
    }
    counts = {};
  };
  take(offered_, own_.offered);
  take(served_, own_.served);
  take(missed_, own_.missed);
  if (slots_ > 0) {
    const double busy = busy_slots_ / slots_;
    busy_ = busy_ < 0 ? busy : busy_ + weight * (busy - busy_);
  }
  busy_slots_ = 0;
  slots_ = 0;
  updated_at_ = now;
}

void UrgencyAdmission::UpdateArriving(const UrgencyLoad& total, TimePoint now) {
  const double sum = SumOf(total.offered);
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    const bool is_offered_here = offered_at_[n] != TimePoint() &&
                                 now - offered_at_[n] < options_.arrival_memory;
    is_arriving_[n] =
        is_offered_here || total.offered[n] > kMinArrivingFraction * sum;
  }
}

void UrgencyAdmission::Update(const PeerLoad& peers, TimePoint now) {
  const double elapsed = Seconds(now - updated_at_);
  if (elapsed <= 0) {
    return;
  }
  if (updated_at_ == TimePoint()) {
    updated_at_ = now;
    return;
  }
  Average(now);
  // Only ratios of the sums matter, so hosts without a statement count as the
  // mean of those with one, and without any as this host itself.
  UrgencyLoad total = own_;
  total.Add(peers.total, 1);
  UpdateArriving(total, now);

  const std::size_t least = LeastUrgent();
  double urgent_offered = 0;
  double urgent_missed = 0;
  for (std::size_t n = 0; n < least; ++n) {
    urgent_offered += total.offered[n];
    urgent_missed += total.missed[n];
  }
  const double missed = Ratio(SumOf(total.missed), SumOf(total.offered));
  const double urgent_ratio = Ratio(urgent_missed, urgent_offered);
  UpdateShortage(missed, urgent_ratio, now);
  UpdateGain(missed, urgent_ratio, elapsed);
  UpdateFractions(total);
  const double served = SumOf(total.served);
  capacity_ = {
      is_short_, SumOf(total.offered), served,
      is_short_ || busy_ <= 0 ? 0 : served * std::max(0.0, 1 / busy_ - 1),
      1 + peers.hosts};
}

void UrgencyAdmission::UpdateShortage(double missed,
                                      double urgent_missed,
                                      TimePoint now) {
  if (MostUrgent() >= LeastUrgent()) {
    is_short_ = false;
    return;
  }
  const bool is_missing =
      missed >= (is_short_ ? options_.sufficient_below : options_.short_from) ||
      urgent_missed >= options_.max_urgent_missed;
  // Calls that this part refuses itself are not missed, but show a shortage.
  const bool is_refusing =
      is_short_ && fractions_[LeastUrgent()] < 1 - options_.sufficient_below;
  // If endpoints report free slots, calls are missed for other reasons, and
  // refusing further ones would leave these slots empty.
  const bool has_free_slots = busy_ >= 0 && !IsBusy();
  if ((is_missing || is_refusing) && !has_free_slots) {
    short_at_ = now;
    is_short_ = true;
  } else if (now - short_at_ >= options_.hold) {
    is_short_ = false;
  }
}

void UrgencyAdmission::UpdateGain(double missed,
                                  double urgent_missed,
                                  double seconds) {
  if (!is_short_) {
    gain_ = options_.max_gain;
    return;
  }
  if (missed < options_.sufficient_below &&
      urgent_missed < options_.max_urgent_missed) {
    gain_ += options_.free_gain_rise * seconds;
    return;
  }
  const double change =
      options_.gain_slope * (options_.max_urgent_missed - urgent_missed);
  gain_ += std::max(change, -options_.max_gain_fall) * seconds;
  gain_ = std::clamp(gain_, options_.min_gain, options_.max_gain);
  if (busy_ >= 0 && !IsBusy()) {
    gain_ = options_.max_gain;
  }
}

void UrgencyAdmission::UpdateFractions(const UrgencyLoad& total) {
  fractions_.fill(1);
  full_time_fraction_ = 1;
  if (!is_short_) {
    return;
  }
  const double offered = SumOf(total.offered);
  const double served = Ratio(SumOf(total.served), offered);
  const double floor =
      std::max(options_.floor * std::min(served, 1.0), options_.min_fraction);
  full_time_fraction_ = floor;
  double left = gain_ * SumOf(total.served) - floor * offered;
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    // The floor of this urgency is part of `offered` above.
    const double own_floor = floor * total.offered[n];
    left += own_floor;
    if (n <= MostUrgent()) {
      left -= total.offered[n];
    } else if (total.offered[n] > 0) {
      const double share = std::clamp(left, own_floor, total.offered[n]);
      fractions_[n] = share / total.offered[n];
      left -= share;
    }
  }
}

}  // namespace damasktack
