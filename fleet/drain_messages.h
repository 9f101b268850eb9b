#ifndef FLEET_DRAIN_MESSAGES_H_
#define FLEET_DRAIN_MESSAGES_H_

#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/json_reader.h"

namespace damasktack {

// The sender was told by the endpoint itself, a moment ago, that it drains.
struct DrainObservation {
  static constexpr std::string_view kKind = "drain-sighting";

  ServiceId service;
  EndpointId endpoint;

  Json ToJson() const;
  static leaf::result<DrainObservation> Parse(const Json& json,
                                              const std::string& path);

  auto operator<=>(const DrainObservation&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_DRAIN_MESSAGES_H_
