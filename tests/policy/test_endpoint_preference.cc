#include "policy/endpoint_preference.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace damasktack {
namespace {

constexpr std::size_t kNear = 33;
constexpr std::size_t kFar = 66;

std::vector<EndpointPreference::Choice> Choices() {
  std::vector<EndpointPreference::Choice> choices;
  for (std::size_t n = 0; n < kNear + kFar; ++n) {
    choices.push_back({static_cast<EndpointIndex>(n),
                       EndpointId("e" + std::to_string(n)), n >= kNear});
  }
  return choices;
}

std::set<EndpointIndex> FirstGroup(const EndpointPreference& preference) {
  std::set<EndpointIndex> first;
  for (EndpointIndex n = 0; n < kNear; ++n) {
    if (preference.Cost(n) == 0) {
      first.insert(n);
    }
  }
  return first;
}

TEST_CASE("groups of the own zone are in order, followed by other zones") {
  const EndpointPreferenceOptions options;
  EndpointPreference preference(options);
  preference.Draw(HostId("h"), Choices(), kNear + kFar);
  CHECK(FirstGroup(preference).size() == options.group);
  std::vector<double> near;
  std::vector<double> far;
  for (EndpointIndex n = 0; n < kNear + kFar; ++n) {
    (n < kNear ? near : far).push_back(preference.Cost(n));
  }
  std::ranges::sort(near);
  CHECK(near[options.group] == doctest::Approx(options.later_group));
  CHECK(near[2 * options.group] > near[options.group]);
  CHECK(std::ranges::max(near) < std::ranges::min(far));
  CHECK(std::ranges::count(far, std::ranges::min(far)) ==
        static_cast<std::ptrdiff_t>(options.group));
}

TEST_CASE(
    "hosts prefer different endpoints, and together all of them equally") {
  std::vector<int> hosts_at(kNear, 0);
  constexpr int kHosts = 200;
  for (int host = 0; host < kHosts; ++host) {
    EndpointPreference preference;
    preference.Draw(HostId("h" + std::to_string(host)), Choices(),
                    kNear + kFar);
    for (const EndpointIndex it : FirstGroup(preference)) {
      ++hosts_at[it];
    }
  }
  // The average is 48.
  CHECK(std::ranges::min(hosts_at) > 24);
  CHECK(std::ranges::max(hosts_at) < 96);
}

TEST_CASE("removing an endpoint adds one other to the first group") {
  EndpointPreference preference;
  preference.Draw(HostId("h"), Choices(), kNear + kFar);
  const std::set<EndpointIndex> before = FirstGroup(preference);
  auto choices = Choices();
  choices.erase(choices.begin() + *before.begin());
  preference.Draw(HostId("h"), choices, kNear + kFar);
  std::set<EndpointIndex> stayed;
  std::ranges::set_intersection(before, FirstGroup(preference),
                                std::inserter(stayed, stayed.end()));
  CHECK(stayed.size() == before.size() - 1);
}

}  // namespace
}  // namespace damasktack
