#include "fleet/limit_account.h"

#include <algorithm>
#include <cmath>

namespace damasktack {

namespace {

// Burst allowance: a host may accumulate tokens for this time plus one call;
// without the one call, a share below one call could never be used. Over the
// fleet, the burst is a tenth of a second of the limit plus one call per host.
constexpr double kBurstSeconds = 0.1;
// Capacity kept, relative to the expected demand, so that growing demand finds
// shares already borrowed.
constexpr double kDemandHeadroom = 1.25;
// A lease is returned early only if this much capacity, relative to the
// expected demand, remains without it. The gap to kDemandHeadroom keeps shares
// from moving back and forth between hosts.
constexpr double kReturnHeadroom = 1.6;
// Weight of the latest round in the moving average of the demand.
constexpr double kDemandSmoothing = 0.3;
// Expected demand below this is taken as zero.
constexpr double kMinDemand = 0.02;
// Upper bound of the tolerance for rounding, in kLimitUnit. Rounding costs each
// host less than `hosts` millionths of a call; the sum over this many hosts
// stays below one call.
constexpr std::int64_t kMaxTolerance = 900;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration LoanHold(LimitKind kind, const LimitOptions& options) {
  return kind == LimitKind::kInFlight ? options.lease + options.longest_call
                                      : options.lease;
}

}  // namespace

LimitAccount::LimitAccount(LimitKind kind, const LimitOptions& options)
    : kind_(kind),
      options_(options),
      lender_(LoanHold(kind, options)),
      borrower_(options) {}

void LimitAccount::SetLimit(std::int64_t limit,
                            Duration longest_call,
                            TimePoint now) {
  RefillTokens(now);
  limit_ = limit * kLimitUnit;
  longest_call_ = kind_ == LimitKind::kInFlight ? longest_call : Duration{};
}

void LimitAccount::SetDivision(std::int64_t hosts, bool owns, TimePoint now) {
  RefillTokens(now);
  hosts_ = hosts;
  owned_ = owns ? limit_ / hosts : 0;
}

std::int64_t LimitAccount::Tolerance() const {
  return std::min(hosts_, kMaxTolerance);
}

std::int64_t LimitAccount::Borrowed(TimePoint now) const {
  return borrower_.Usable(longest_call_, now);
}

std::int64_t LimitAccount::Usable(TimePoint now) const {
  return std::max<std::int64_t>(owned_ - lender_.total(), 0) + Borrowed(now);
}

double LimitAccount::TokenCap(std::int64_t usable) const {
  return 1.0 + kBurstSeconds * static_cast<double>(usable) /
                   static_cast<double>(kLimitUnit);
}

void LimitAccount::RefillTokens(TimePoint now) {
  const std::int64_t usable = Usable(now);
  // A share that was reclaimed since the last refill was used by another host
  // for part of the time, and a lease that expired was not valid for all of
  // it. The lower rate is safe in both cases.
  const auto rate = static_cast<double>(std::min(usable, refill_rate_)) /
                    static_cast<double>(kLimitUnit);
  const double elapsed_s = std::max(0.0, Seconds(now - refilled_at_));
  tokens_ = std::min(tokens_ + rate * elapsed_s, TokenCap(usable));
  refilled_at_ = std::max(refilled_at_, now);
  refill_rate_ = usable;
}

bool LimitAccount::OfferCall(TimePoint now) {
  ++offered_;
  if (kind_ == LimitKind::kRate) {
    RefillTokens(now);
    return tokens_ >= 1.0;
  }
  const bool fits = (in_flight_ + 1) * kLimitUnit <= Usable(now) + Tolerance();
  refused_ += fits ? 0 : 1;
  return fits;
}

void LimitAccount::ConsumeCall() {
  if (kind_ == LimitKind::kRate) {
    tokens_ -= 1.0;
    return;
  }
  ++in_flight_;
  peak_ = std::max(peak_, in_flight_);
}

void LimitAccount::EndCall() {
  in_flight_ -= kind_ == LimitKind::kInFlight ? 1 : 0;
}

Duration LimitAccount::RetryAfter(TimePoint now) const {
  const auto rate = static_cast<double>(Usable(now)) / kLimitUnit;
  if (kind_ != LimitKind::kRate || rate <= 0) {
    return 2 * options_.round_interval;
  }
  const double wait = std::clamp((1.0 - tokens_) / rate, 0.001, 1.0);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait));
}

bool LimitAccount::IsWithinShares(TimePoint now) const {
  const bool lent_fits = lender_.total() <= owned_ || lender_.total() == 0;
  const bool used_fits =
      in_flight_ == 0 || in_flight_ * kLimitUnit <= Usable(now) + Tolerance();
  return lent_fits && used_fits;
}

std::int64_t LimitAccount::Lend(const HostId& borrower,
                                const LendRequestItem& item,
                                TimePoint now) {
  RefillTokens(now);
  const std::int64_t left = owned_ - lender_.total();
  const std::int64_t reserve = std::min(ExpectedNeed(), owned_);
  // The hold time after a lease covers only calls up to options_.longest_call.
  const bool lendable = longest_call_ <= options_.longest_call && bounded();
  // The demand estimate lags behind the calls, so capacity that calls in
  // flight use now must not be lent either.
  const std::int64_t unused = Usable(now) - in_flight_ * kLimitUnit;
  const std::int64_t spare = lendable ? std::min(left - reserve, unused) : 0;
  const bool renews = lendable && left >= reserve;
  const std::int64_t lent = lender_.Lend(borrower, item, spare, renews, now);
  RefillTokens(now);
  return lent;
}

void LimitAccount::Reclaim(const HostId& borrower,
                           std::uint64_t lease,
                           TimePoint now) {
  RefillTokens(now);
  lender_.Reclaim(borrower, lease);
  RefillTokens(now);
}

void LimitAccount::OnGrant(const Sender& lender,
                           const LendGrantItem& item,
                           TimePoint now) {
  RefillTokens(now);
  borrower_.OnGrant(lender.host, lender.incarnation, item, now);
  RefillTokens(now);
}

void LimitAccount::DropOtherIncarnations(const HostId& lender,
                                         Incarnation incarnation,
                                         TimePoint now) {
  RefillTokens(now);
  borrower_.DropOtherIncarnations(lender, incarnation);
  RefillTokens(now);
}

std::int64_t LimitAccount::ExpectedNeed() const {
  if (demand_ < kMinDemand) {
    return 0;
  }
  // A fraction of a call in flight cannot be used.
  const double calls = kind_ == LimitKind::kInFlight
                           ? std::ceil(demand_ * kDemandHeadroom)
                           : demand_ * kDemandHeadroom;
  return std::min(static_cast<std::int64_t>(calls * kLimitUnit), limit_);
}

void LimitAccount::UpdateRateDemand(TimePoint now) {
  const double elapsed_s = Seconds(now - demand_updated_at_);
  if (elapsed_s <= 0) {
    return;
  }
  // After a pause, the calls offered are averaged over the whole pause.
  const double current = static_cast<double>(offered_) / elapsed_s;
  demand_ += kDemandSmoothing * (current - demand_);
}

void LimitAccount::UpdateInFlightDemand() {
  const auto current = static_cast<double>(peak_ + refused_);
  // Rises at once and falls slowly: a refused call costs more than an idle
  // share.
  demand_ = std::max(current, demand_ + kDemandSmoothing * (current - demand_));
  peak_ = in_flight_;
  refused_ = 0;
}

void LimitAccount::Update(TimePoint now) {
  RefillTokens(now);
  lender_.Expire(now);
  borrower_.Expire(now);
  RefillTokens(now);
  if (kind_ == LimitKind::kRate) {
    UpdateRateDemand(now);
  } else {
    UpdateInFlightDemand();
  }
  offered_ = 0;
  demand_updated_at_ = now;
}

std::int64_t LimitAccount::Shortfall(TimePoint now) const {
  return ExpectedNeed() - Usable(now) - borrower_.PendingAmount();
}

std::int64_t LimitAccount::TypicalShare() const {
  return std::max<std::int64_t>(limit_ / hosts_ + 1, 1);
}

void LimitAccount::ReturnSurplus(TimePoint now) {
  const auto needed = static_cast<std::int64_t>(
      static_cast<double>(ExpectedNeed()) * kReturnHeadroom / kDemandHeadroom);
  const std::int64_t surplus = Usable(now) - needed;
  if (surplus > 0 && borrower_.ReturnOne(surplus)) {
    RefillTokens(now);
  }
}

}  // namespace damasktack
