#ifndef POLICY_ENDPOINT_PREFERENCE_H_
#define POLICY_ENDPOINT_PREFERENCE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "policy/call.h"

namespace damasktack {

struct EndpointPreferenceOptions {
  // Endpoints per preference group: enough that some of one round of probes are
  // neither slow nor full.
  std::size_t group = 8;
  // The costs below are relative to the time of an execution. Their sum stays
  // below the cost of a slow or a full endpoint. This one applies to an
  // endpoint in the host's zone outside its first group.
  double later_group = 0.08;
  // Added cost of each group after the second, for at most `max_groups` groups.
  double further_group = 0.03;
  std::size_t max_groups = 3;
  // Cost of another zone, whose traffic is billed. It exceeds the cost of every
  // group in the own zone.
  double other_zone = 0.6;
};

// Defines the order in which one host prefers the endpoints of a service that
// are equally free. Each host has its own order, by a hash, so that it keeps
// connections to few endpoints while the hosts together use all endpoints
// equally.
//
// Made for bursts in which the first group is full: a host that then probed any
// other endpoint opened a connection to nearly all endpoints of its zone and
// used each of them once. With groups it reuses the connections of the previous
// burst.
class EndpointPreference {
 public:
  struct Choice {
    EndpointIndex index = 0;
    EndpointId id;
    bool other_zone = false;
  };

  explicit EndpointPreference(EndpointPreferenceOptions options = {})
      : options_(options) {}

  // Recomputes the order of these endpoints, out of `size` indexes. Adding or
  // removing an endpoint moves each of the others by at most one position.
  void Draw(const HostId& host,
            const std::vector<Choice>& choices,
            std::size_t size);

  // Returns the cost of choosing the endpoint, relative to the time of an
  // execution.
  double Cost(EndpointIndex index) const { return preferences_[index].cost; }
  // Returns whether the endpoint is in the first group of its zone or of the
  // other zones. Every endpoint is in the first group of some hosts of a fleet.
  bool IsFirst(EndpointIndex index) const {
    return preferences_[index].is_first;
  }

 private:
  struct HashedEndpoint {
    std::uint64_t hash = 0;
    EndpointIndex index = 0;

    auto operator<=>(const HashedEndpoint&) const = default;
  };
  struct Preference {
    double cost = 0;
    bool is_first = false;
  };

  void Rank(std::vector<HashedEndpoint>& drawn, bool other_zone);
  double NearCost(std::size_t group) const;
  double FurtherCost(std::size_t groups) const;

  EndpointPreferenceOptions options_;
  std::vector<Preference> preferences_;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_PREFERENCE_H_
