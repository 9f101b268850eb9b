#include "policy/service_baseline.h"

#include <algorithm>

namespace damasktack {

namespace {

constexpr double kMeanWeight = 0.05;
// After this without any report the host goes by its own calls alone.
constexpr Duration kReportsLast = std::chrono::seconds(1);
// The median follows by steps of this share.
constexpr std::int64_t kMedianStep = 64;
// One stuck call must not outweigh hundreds.
constexpr double kMostRelativeTime = 16;
constexpr Duration kShortestRelaxation = std::chrono::milliseconds(2);
constexpr Duration kLongestRelaxation = std::chrono::seconds(1);
constexpr Duration kRelaxationAtFirst = std::chrono::milliseconds(10);
// A report outweighs nothing that the host knows by itself: it decides among
// endpoints with as many own calls. Fifteen hosts that give it more weight
// follow the same old figures to the same endpoint; see
// docs/notes/choice-of-endpoint.md for what each weight measured.
constexpr double kWeightOfReport = 0.02;

// The best guess without reports: other hosts do as this one does.
double OthersLikeOwn(const OwnLoad& own) {
  return own.usable_slots <= 0 ? 0
                               : own.in_flight / own.usable_slots *
                                     static_cast<double>(own.hosts - 1);
}

}  // namespace

void ServiceBaseline::OnReport(double others_per_slot, TimePoint now) {
  const double weight = has_report_ ? kMeanWeight : 1;
  others_per_slot_ += weight * (others_per_slot - others_per_slot_);
  has_report_ = true;
  reported_at_ = now;
}

void ServiceBaseline::OnNextReport(const ReportPair& pair) {
  if (typical_ != Duration::zero()) {
    trust_.OnReport(pair, typical_);
  }
}

void ServiceBaseline::OnAnswer(Duration took) {
  if (typical_ == Duration::zero()) {
    typical_ = std::max(took, Duration(1));
    return;
  }
  const Duration step = std::max(typical_ / kMedianStep, Duration(1));
  typical_ += took > typical_ ? step : -step;
  typical_ = std::max(typical_, Duration(1));
}

double ServiceBaseline::OthersPerSlot(const OwnLoad& own, TimePoint now) const {
  const double like_own = OthersLikeOwn(own);
  const double left =
      has_report_ ? Decay(now - reported_at_, kReportsLast) : 0.0;
  return like_own + (others_per_slot_ - like_own) * left;
}

LoadPrior ServiceBaseline::Prior(const OwnLoad& own, TimePoint now) const {
  LoadPrior prior;
  if (typical_ == Duration::zero()) {
    prior.relaxation = kRelaxationAtFirst;
  } else {
    prior.relaxation =
        std::clamp(typical_, kShortestRelaxation, kLongestRelaxation);
  }
  // However little an old report counts, it orders endpoints with as many own
  // calls, and in the same way on every host: they all fill the one that was
  // least loaded then. Not counted at all, it leaves that to the draw.
  prior.report_weight = trust_.IsTrusted() ? kWeightOfReport : 0;
  prior.others_per_slot = OthersPerSlot(own, now);
  return prior;
}

double ServiceBaseline::RelativeTime(Duration took) const {
  if (typical_ == Duration::zero()) {
    return 1;
  }
  const double ratio =
      static_cast<double>(took.count()) / static_cast<double>(typical_.count());
  return std::min(ratio, kMostRelativeTime);
}

}  // namespace damasktack
