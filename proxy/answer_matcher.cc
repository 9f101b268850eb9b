#include "proxy/answer_matcher.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace damasktack {

namespace {

std::size_t HashOf(std::string_view call) {
  return std::max<std::size_t>(std::hash<std::string_view>{}(call), 1);
}

}  // namespace

std::string_view ToString(AnswerMatch match) {
  constexpr std::array<std::string_view, kAnswerMatchCount> kNames = {
      "own", "other", "unattributable"};
  return kNames[static_cast<std::size_t>(match)];
}

void AnswerMatcher::Expect(ExpectedAnswer expected) {
  if (!expected.call.empty()) {
    carried_[next_carried_++ % kRememberedCalls] = HashOf(expected.call);
  }
  expected_ = std::move(expected);
}

bool AnswerMatcher::HasCarried(std::string_view call) const {
  return !call.empty() && std::ranges::count(carried_, HashOf(call)) > 0;
}

AnswerMatch AnswerMatcher::Settle(bool certain) {
  is_certain_ = is_certain_ && certain;
  expected_.reset();
  return AnswerMatch::kOwn;
}

AnswerMatch AnswerMatcher::Match(const AnswerTraits& answer) {
  if (!expected_) {
    return AnswerMatch::kUnattributable;
  }
  switch (expected_->kind) {
    case ExpectedAnswer::Kind::kNextAnswer:
      return Settle(true);
    case ExpectedAnswer::Kind::kProbe:
      return MatchProbe(answer);
    case ExpectedAnswer::Kind::kNamedCall:
    case ExpectedAnswer::Kind::kUnnamedCall:
      return MatchCall(answer);
  }
  return AnswerMatch::kUnattributable;
}

AnswerMatch AnswerMatcher::MatchProbe(const AnswerTraits& answer) {
  if (!answer.call.empty()) {
    return AnswerMatch::kOther;
  }
  // An endpoint that reports its load answers probes without waiting for a slot
  // and never sheds them. If this is a copy of an earlier answer, the one still
  // outstanding also names the endpoint, and no call takes it for its own.
  return Settle(answer.names_endpoint && answer.has_load_report &&
                !answer.is_refusal);
}

AnswerMatch AnswerMatcher::MatchCall(const AnswerTraits& answer) {
  if (!answer.call.empty()) {
    return answer.call == expected_->call ? Settle(true) : AnswerMatch::kOther;
  }
  if (answer.names_endpoint && !answer.is_misdirected) {
    return AnswerMatch::kOther;
  }
  const bool may_name_no_call =
      answer.is_refusal ||
      expected_->kind == ExpectedAnswer::Kind::kUnnamedCall;
  if (!is_certain_ || !may_name_no_call) {
    return AnswerMatch::kUnattributable;
  }
  // Nothing distinguishes a copy of this answer from the next one.
  return Settle(false);
}

}  // namespace damasktack
