#include "policy/endpoint_preference.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace damasktack {

void EndpointPreference::Draw(const HostId& host,
                              const std::vector<Choice>& choices,
                              std::size_t size) {
  std::vector<Drawn> near;
  std::vector<Drawn> far;
  for (const Choice& it : choices) {
    const std::string name = host.text() + it.id.text();
    const Drawn drawn{XXH3_64bits(name.data(), name.size()), it.index};
    (it.other_zone ? far : near).push_back(drawn);
  }
  places_.assign(size, Place{options_.other_zone, false});
  Rank(near, false);
  Rank(far, true);
}

void EndpointPreference::Rank(std::vector<Drawn>& drawn, bool other_zone) {
  std::ranges::sort(drawn);
  for (std::size_t n = 0; n < drawn.size(); ++n) {
    const std::size_t group = n / options_.group;
    Place& place = places_[drawn[n].index];
    place.is_first = group == 0;
    place.cost =
        other_zone ? options_.other_zone + FurtherCost(group) : NearCost(group);
  }
}

double EndpointPreference::NearCost(std::size_t group) const {
  return group == 0 ? 0 : options_.later_group + FurtherCost(group - 1);
}

double EndpointPreference::FurtherCost(std::size_t groups) const {
  return options_.further_group *
         static_cast<double>(std::min(groups, options_.max_groups));
}

}  // namespace damasktack
