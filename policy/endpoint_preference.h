#ifndef POLICY_ENDPOINT_PREFERENCE_H_
#define POLICY_ENDPOINT_PREFERENCE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "policy/call.h"

namespace damasktack {

struct EndpointPreferenceOptions {
  // Endpoints to which a host turns together: more than enough that some of
  // one look are neither slow nor full.
  std::size_t group = 8;
  // What the parts below cost is by the time of an execution. All of it stays
  // below what a slow or a full endpoint costs.
  // An endpoint of the host's zone that is not of its first group.
  double later_group = 0.08;
  // Each group after the second, up to `max_groups` of them.
  double further_group = 0.03;
  std::size_t max_groups = 3;
  // Another zone: crossing costs bytes that are billed. Above all groups of the
  // own zone.
  double other_zone = 0.6;
};

// The order in which one host turns to the endpoints of a service where they
// are equally free. Each host has its own, by a hash, so that it keeps
// connections to few endpoints and all of them are used alike.
//
// The load that it answers: in a burst the first group is full, and a host that
// then looked at any other endpoint opened a connection to nearly all of its
// zone, to use each once. With groups it opens those that it opened in the
// burst before.
class EndpointPreference {
 public:
  struct Choice {
    EndpointIndex index = 0;
    EndpointId id;
    bool other_zone = false;
  };

  explicit EndpointPreference(EndpointPreferenceOptions options = {})
      : options_(options) {}

  // Draws the order anew for these endpoints, out of `size` indexes; one that
  // is added or removed moves others by one place at most.
  void Draw(const HostId& host,
            const std::vector<Choice>& choices,
            std::size_t size);

  // What choosing the endpoint costs, by the time of an execution.
  double Cost(EndpointIndex index) const { return places_[index].cost; }
  // Whether it is in the first group of its zone or in that of other zones.
  // Each endpoint is so for some hosts of a fleet.
  bool IsFirst(EndpointIndex index) const { return places_[index].is_first; }

 private:
  struct Drawn {
    std::uint64_t hash = 0;
    EndpointIndex index = 0;

    auto operator<=>(const Drawn&) const = default;
  };
  struct Place {
    double cost = 0;
    bool is_first = false;
  };

  void Rank(std::vector<Drawn>& drawn, bool other_zone);
  double NearCost(std::size_t group) const;
  double FurtherCost(std::size_t groups) const;

  EndpointPreferenceOptions options_;
  std::vector<Place> places_;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_PREFERENCE_H_
