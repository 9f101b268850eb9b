#include "policy/endpoint_health.h"

#include <algorithm>

namespace damasktack {

namespace {

// Number of answers of median time credited to each endpoint, so that a few
// slow answers are not conclusive.
constexpr double kPriorAnswers = 4;
// Load per slot added if all sends are refused.
constexpr double kRefusalPenalty = 8;
// Slowdown relative to the others below which an endpoint is not penalized:
// kinds of calls differ by up to this factor.
constexpr double kToleratedSlowness = 2;
constexpr double kSlownessPenalty = 0.5;

// One send without error is added, so that a single error does not count as a
// fraction of 1.
double ShareOf(double part, double whole) {
  if (part <= 0 || whole <= 0) {
    return 0;
  }
  return std::clamp(part / (whole + 1), 0.0, 1.0);
}

double MeanTime(double time, double answers) {
  time = std::max(time, 0.0);
  answers = std::max(answers, 0.0);
  return (time + kPriorAnswers) / (answers + kPriorAnswers);
}

bool IsError(SendResult result) {
  return result == SendResult::kFailed || result == SendResult::kBroken ||
         result == SendResult::kTimedOut ||
         result == SendResult::kNotConnected ||
         result == SendResult::kMisdirected;
}

}  // namespace

void EndpointHealth::OnEnd(SendResult result,
                           double relative_time,
                           TimePoint now) {
  // A cancelled send was ended by the caller.
  if (result == SendResult::kCancelled) {
    return;
  }
  ever_ended_ = true;
  ends_.Add(1, now);
  if (IsError(result)) {
    errors_.Add(1, now);
  }
  if (result == SendResult::kShed) {
    sheds_.Add(1, now);
  }
  if (result == SendResult::kAnswered) {
    answers_.Add(1, now);
    answer_time_.Add(relative_time, now);
  }
}

void EndpointHealth::Forget(const EndpointHealth& part, TimePoint now) {
  ends_.Add(-part.ends_.Value(now), now);
  errors_.Add(-part.errors_.Value(now), now);
  sheds_.Add(-part.sheds_.Value(now), now);
  answers_.Add(-part.answers_.Value(now), now);
  answer_time_.Add(-part.answer_time_.Value(now), now);
}

double HealthComparison::Penalty() const {
  const double refusals =
      std::max(0.0, refusal_share - refusal_share_of_others);
  const double slow = std::max(0.0, slowness - kToleratedSlowness);
  return kRefusalPenalty * refusals + kSlownessPenalty * slow;
}

HealthComparison Compare(const EndpointHealth& endpoint,
                         const EndpointHealth& service,
                         TimePoint now) {
  HealthComparison result;
  result.ends = endpoint.ends(now);
  result.answers = endpoint.answers(now);
  const double other_ends = service.ends(now) - result.ends;
  const double errors = endpoint.errors(now);
  const double refusals = endpoint.refusals(now);
  result.error_share = ShareOf(errors, result.ends);
  result.error_share_of_others =
      ShareOf(service.errors(now) - errors, other_ends);
  result.refusal_share = ShareOf(refusals, result.ends);
  result.refusal_share_of_others =
      ShareOf(service.refusals(now) - refusals, other_ends);
  const double time = endpoint.answer_time(now);
  const double mean_of_others = MeanTime(service.answer_time(now) - time,
                                         service.answers(now) - result.answers);
  result.slowness = MeanTime(time, result.answers) / mean_of_others;
  return result;
}

}  // namespace damasktack
