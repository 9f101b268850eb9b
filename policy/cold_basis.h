#ifndef POLICY_COLD_BASIS_H_
#define POLICY_COLD_BASIS_H_

#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "policy/host_number.h"

namespace damasktack {

// Who says that an endpoint is cold.
enum class ColdSource : std::uint8_t {
  // Its entry in the published list.
  kList,
  // The endpoint itself, on the answer to a probe.
  kProbe,
  // Nobody yet: the drain of its zone has ended.
  kDrainEnd,
};
std::string_view ToString(ColdSource word);

// What a host believed of a cold endpoint when it placed a call there.
struct ColdBasis {
  ColdSource word = ColdSource::kList;
  // How long ago that was said, and how much longer the endpoint stays cold.
  Duration source_age{};
  Duration left{};
  // Calls there and the slots for them, and how long ago the report that says
  // so was asked for.
  double calls = 0;
  double slots = 0;
  Duration asked_age{};
  // This host's seat, and the hosts that share the endpoint as it believes.
  HostNumber seat;
  double hosts = 0;

  bool operator==(const ColdBasis&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_COLD_BASIS_H_
