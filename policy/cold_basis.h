#ifndef POLICY_COLD_BASIS_H_
#define POLICY_COLD_BASIS_H_

#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "policy/host_number.h"

namespace damasktack {

// Source of the statement that an endpoint is cold.
enum class ColdSource : std::uint8_t {
  // The endpoint's entry in the published list.
  kList,
  // The endpoint itself, in its answer to a probe.
  kProbe,
  // Inferred: the drain of its zone has ended, and no source has stated it yet.
  kDrainEnd,
};
std::string_view ToString(ColdSource word);

// State of a cold endpoint, as known to the host when it sent a call there.
struct ColdBasis {
  ColdSource word = ColdSource::kList;
  // Age of the statement, and the remaining time for which the endpoint stays
  // cold.
  Duration source_age{};
  Duration left{};
  // Calls and slots at the endpoint, and the time since the report of them was
  // requested.
  double calls = 0;
  double slots = 0;
  Duration asked_age{};
  // This host's number, and its estimate of the number of hosts that share the
  // endpoint.
  HostNumber seat;
  double hosts = 0;

  bool operator==(const ColdBasis&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_COLD_BASIS_H_
