#include "policy/sampling_picker.h"

#include <algorithm>
#include <span>

namespace damasktack {

namespace {

// Whether the draw falls into the endpoint's share of choices.
bool DrawsShare(const CandidateView& view,
                std::size_t position,
                Random& random) {
  constexpr std::uint32_t kScale = 1U << 20;
  const double share = view.ShareAt(position);
  return share >= 1 || UniformBelow(random, kScale) < share * kScale;
}

std::size_t NextPosition(const CandidateView& view, std::size_t position) {
  return position + 1 == view.size() ? 0 : position + 1;
}

std::size_t RandomPosition(const CandidateView& view, Random& random) {
  return UniformBelow(random, static_cast<std::uint32_t>(view.size()));
}

}  // namespace

// All positions from a random start where they fit; otherwise distinct ones
// by Floyd's method.
SamplingPicker::Sample SamplingPicker::Draw(const CandidateView& view,
                                            Random& random) {
  Sample sample;
  if (view.size() <= kSample) {
    std::size_t position = RandomPosition(view, random);
    while (sample.size < view.size()) {
      sample.positions[sample.size++] = position;
      position = NextPosition(view, position);
    }
    return sample;
  }
  for (std::size_t n = view.size() - kSample; n < view.size(); ++n) {
    const std::size_t draw =
        UniformBelow(random, static_cast<std::uint32_t>(n + 1));
    const std::span drawn(sample.positions.data(), sample.size);
    const bool known = std::ranges::find(drawn, draw) != drawn.end();
    sample.positions[sample.size++] = known ? n : draw;
  }
  return sample;
}

bool SamplingPicker::Meets(const CandidateView& view,
                           std::size_t position,
                           const EndpointCandidate& candidate,
                           Demand demand,
                           Random& random) {
  if (demand == Demand::kRoom && !candidate.has_room) {
    return false;
  }
  return demand == Demand::kNothing || DrawsShare(view, position, random);
}

std::optional<EndpointIndex> SamplingPicker::BestOf(const Sample& sample,
                                                    const CandidateView& view,
                                                    Demand demand,
                                                    Random& random) {
  std::optional<EndpointCandidate> best;
  for (std::size_t n = 0; n < sample.size; ++n) {
    const std::size_t position = sample.positions[n];
    if (view.IsAvoided(position)) {
      continue;
    }
    const EndpointCandidate it = view.At(position);
    if (best && best->cost <= it.cost) {
      continue;
    }
    if (Meets(view, position, it, demand, random)) {
      best = it;
    }
  }
  return best ? std::optional(best->index) : std::nullopt;
}

std::optional<EndpointIndex> SamplingPicker::FirstWithRoom(
    const CandidateView& view,
    Random& random) {
  std::size_t position = RandomPosition(view, random);
  const std::size_t scanned = std::min(view.size(), kMostScanned);
  for (std::size_t n = 0; n < scanned; ++n) {
    if (!view.IsAvoided(position) &&
        Meets(view, position, view.At(position), Demand::kRoom, random)) {
      return view.IndexAt(position);
    }
    position = NextPosition(view, position);
  }
  return std::nullopt;
}

std::optional<EndpointIndex> SamplingPicker::Pick(const CandidateView& view,
                                                  Random& random) {
  const Sample sample = Draw(view, random);
  std::optional<EndpointIndex> picked =
      BestOf(sample, view, Demand::kRoom, random);
  if (!picked && sample.size < view.size()) {
    picked = FirstWithRoom(view, random);
  }
  if (picked || !view.choice().below_fair_share) {
    return picked;
  }
  picked = BestOf(sample, view, Demand::kShare, random);
  return picked ? picked : BestOf(sample, view, Demand::kNothing, random);
}

}  // namespace damasktack
