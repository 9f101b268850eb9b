#include "fleet/limit_account.h"

#include <algorithm>
#include <cmath>

namespace damasktack {

namespace {

// A host may save up this much of its rate and one call, so that small parts
// can be used at all. Over the fleet: a tenth of a second of the
// limit and one call for each host.
constexpr double kBurstSeconds = 0.1;
// Room kept above the demand, so that growth meets a part already borrowed.
constexpr double kHeadroom = 1.25;
// A lease is given up only if this much room is left without it; the gap to
// kHeadroom keeps parts from going to and fro.
constexpr double kKeepRoom = 1.6;
// Share of the newest round in the expected demand.
constexpr double kFollow = 0.3;
// Expected demand below this is none.
constexpr double kNoDemand = 0.02;
// Rounding costs each host under `hosts` millionths; this many hosts together
// stay below one call.
constexpr std::int64_t kMostTolerance = 900;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration HoldOf(LimitKind kind, const LimitOptions& options) {
  return kind == LimitKind::kInFlight ? options.lease + options.longest_call
                                      : options.lease;
}

}  // namespace

LimitAccount::LimitAccount(LimitKind kind, const LimitOptions& options)
    : kind_(kind),
      options_(options),
      loans_(HoldOf(kind, options)),
      debts_(options) {}

void LimitAccount::SetLimit(std::int64_t limit,
                            Duration longest_call,
                            TimePoint now) {
  Accrue(now);
  limit_ = limit * kLimitUnit;
  longest_call_ = kind_ == LimitKind::kInFlight ? longest_call : Duration{};
}

void LimitAccount::SetDivision(std::int64_t hosts, bool owns, TimePoint now) {
  Accrue(now);
  hosts_ = hosts;
  owned_ = owns ? limit_ / hosts : 0;
}

std::int64_t LimitAccount::Tolerance() const {
  return std::min(hosts_, kMostTolerance);
}

std::int64_t LimitAccount::Borrowed(TimePoint now) const {
  return debts_.Usable(longest_call_, now);
}

std::int64_t LimitAccount::Usable(TimePoint now) const {
  return std::max<std::int64_t>(owned_ - loans_.total(), 0) + Borrowed(now);
}

double LimitAccount::TokenCap(std::int64_t usable) const {
  return 1.0 + kBurstSeconds * static_cast<double>(usable) /
                   static_cast<double>(kLimitUnit);
}

void LimitAccount::Accrue(TimePoint now) {
  const std::int64_t usable = Usable(now);
  // A part that came back in between was someone else's for a while, and one
  // that ended in between was not ours to the end: the lower rate is sure.
  const auto rate = static_cast<double>(std::min(usable, accrued_rate_)) /
                    static_cast<double>(kLimitUnit);
  const double passed = std::max(0.0, Seconds(now - accrued_at_));
  tokens_ = std::min(tokens_ + rate * passed, TokenCap(usable));
  accrued_at_ = std::max(accrued_at_, now);
  accrued_rate_ = usable;
}

bool LimitAccount::Offer(TimePoint now) {
  ++offered_;
  if (kind_ == LimitKind::kRate) {
    Accrue(now);
    return tokens_ >= 1.0;
  }
  const bool fits = (in_flight_ + 1) * kLimitUnit <= Usable(now) + Tolerance();
  refused_ += fits ? 0 : 1;
  return fits;
}

void LimitAccount::Take() {
  if (kind_ == LimitKind::kRate) {
    tokens_ -= 1.0;
    return;
  }
  ++in_flight_;
  peak_ = std::max(peak_, in_flight_);
}

void LimitAccount::GiveBack() {
  in_flight_ -= kind_ == LimitKind::kInFlight ? 1 : 0;
}

Duration LimitAccount::RetryAfter(TimePoint now) const {
  const auto rate = static_cast<double>(Usable(now)) / kLimitUnit;
  if (kind_ != LimitKind::kRate || rate <= 0) {
    return 2 * options_.round;
  }
  const double wait = std::clamp((1.0 - tokens_) / rate, 0.001, 1.0);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait));
}

bool LimitAccount::Fits(TimePoint now) const {
  const bool lent_fits = loans_.total() <= owned_ || loans_.total() == 0;
  const bool used_fits =
      in_flight_ == 0 || in_flight_ * kLimitUnit <= Usable(now) + Tolerance();
  return lent_fits && used_fits;
}

std::int64_t LimitAccount::Lend(const HostId& borrower,
                                const LendRequestItem& item,
                                TimePoint now) {
  Accrue(now);
  const std::int64_t left = owned_ - loans_.total();
  const std::int64_t reserve = std::min(Wanted(), owned_);
  // The hold after a lease covers only calls as long as options_ says.
  const bool lendable = longest_call_ <= options_.longest_call && bounded();
  // Demand lags behind the calls; what they use now must not be lent either.
  const std::int64_t unused = Usable(now) - in_flight_ * kLimitUnit;
  const std::int64_t spare = lendable ? std::min(left - reserve, unused) : 0;
  const bool renews = lendable && left >= reserve;
  const std::int64_t lent = loans_.Lend(borrower, item, spare, renews, now);
  Accrue(now);
  return lent;
}

void LimitAccount::TakeBack(const HostId& borrower,
                            std::uint64_t lease,
                            TimePoint now) {
  Accrue(now);
  loans_.TakeBack(borrower, lease);
  Accrue(now);
}

void LimitAccount::OnGrant(const Sender& lender,
                           const LendGrantItem& item,
                           TimePoint now) {
  Accrue(now);
  debts_.OnGrant(lender.host, lender.incarnation, item, now);
  Accrue(now);
}

void LimitAccount::DropOthers(const HostId& lender,
                              Incarnation incarnation,
                              TimePoint now) {
  Accrue(now);
  debts_.DropOthers(lender, incarnation);
  Accrue(now);
}

std::int64_t LimitAccount::Wanted() const {
  if (demand_ < kNoDemand) {
    return 0;
  }
  // A call in flight needs a whole unit or none.
  const double calls = kind_ == LimitKind::kInFlight
                           ? std::ceil(demand_ * kHeadroom)
                           : demand_ * kHeadroom;
  return std::min(static_cast<std::int64_t>(calls * kLimitUnit), limit_);
}

void LimitAccount::FollowRate(TimePoint now) {
  const double passed = Seconds(now - followed_at_);
  if (passed <= 0) {
    return;
  }
  // After a pause the calls of one round are spread over all of it.
  const double newest = static_cast<double>(offered_) / passed;
  demand_ += kFollow * (newest - demand_);
}

void LimitAccount::FollowInFlight() {
  const auto newest = static_cast<double>(peak_ + refused_);
  // Up at once, down slowly: a refused call costs more than an idle part.
  demand_ = std::max(newest, demand_ + kFollow * (newest - demand_));
  peak_ = in_flight_;
  refused_ = 0;
}

void LimitAccount::Round(TimePoint now) {
  Accrue(now);
  loans_.Expire(now);
  debts_.Expire(now);
  Accrue(now);
  if (kind_ == LimitKind::kRate) {
    FollowRate(now);
  } else {
    FollowInFlight();
  }
  offered_ = 0;
  followed_at_ = now;
}

std::int64_t LimitAccount::Missing(TimePoint now) const {
  return Wanted() - Usable(now) - debts_.Pending();
}

std::int64_t LimitAccount::TypicalPart() const {
  return std::max<std::int64_t>(limit_ / hosts_ + 1, 1);
}

void LimitAccount::GiveUpSurplus(TimePoint now) {
  const auto keep = static_cast<std::int64_t>(static_cast<double>(Wanted()) *
                                              kKeepRoom / kHeadroom);
  const std::int64_t surplus = Usable(now) - keep;
  if (surplus > 0 && debts_.GiveUp(surplus)) {
    Accrue(now);
  }
}

}  // namespace damasktack
