#include "policy/baseline_pickers.h"

#include <utility>

namespace damasktack {

namespace {

std::size_t RandomPosition(const CandidateView& view, Random& random) {
  return UniformBelow(random, static_cast<std::uint32_t>(view.size()));
}

double CallsLastSeen(const EndpointRecord& record) {
  return record.estimate.others_reported() + record.estimate.own_in_flight();
}

}  // namespace

std::optional<EndpointIndex> RandomPicker::Pick(const CandidateView& view,
                                                Random& random) {
  return view.IndexAt(RandomPosition(view, random));
}

std::optional<EndpointIndex> RoundRobinPicker::Pick(const CandidateView& view,
                                                    Random& /*random*/) {
  return view.IndexAt(next_++ % view.size());
}

std::optional<EndpointIndex> LeastOwnPicker::Pick(const CandidateView& view,
                                                  Random& random) {
  const std::size_t start = RandomPosition(view, random);
  std::size_t best = start;
  for (std::size_t n = 1; n < view.size(); ++n) {
    const std::size_t position = (start + n) % view.size();
    if (view.RecordAt(position).estimate.own_in_flight() <
        view.RecordAt(best).estimate.own_in_flight()) {
      best = position;
    }
  }
  return view.IndexAt(best);
}

std::optional<EndpointIndex> TwoChoicesPicker::Pick(const CandidateView& view,
                                                    Random& random) {
  const std::size_t first = RandomPosition(view, random);
  const std::size_t second = RandomPosition(view, random);
  const bool first_is_better = CallsLastSeen(view.RecordAt(first)) <=
                               CallsLastSeen(view.RecordAt(second));
  return view.IndexAt(first_is_better ? first : second);
}

std::optional<EndpointIndex> NaivePicker::Pick(const CandidateView& view,
                                               Random& random) {
  std::optional<EndpointCandidate> best;
  for (std::size_t n = 0; n < view.size(); ++n) {
    const double draw = UniformBelow(random, 1'000'000) / 1e6;
    if (view.IsAvoided(n) || draw >= view.ShareAt(n)) {
      continue;
    }
    const EndpointCandidate it = view.At(n);
    if (!it.has_room && !view.choice().below_fair_share) {
      continue;
    }
    const auto rank = [](const EndpointCandidate& c) {
      return std::pair(!c.has_room, c.cost);
    };
    if (!best || rank(it) < rank(*best)) {
      best = it;
    }
  }
  return best ? std::optional(best->index) : std::nullopt;
}

}  // namespace damasktack
