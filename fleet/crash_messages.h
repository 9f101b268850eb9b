#ifndef FLEET_CRASH_MESSAGES_H_
#define FLEET_CRASH_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/json_reader.h"
#include "policy/crash_tracker.h"

namespace damasktack {

// Reports requests that were running at endpoints when these crashed, and
// requests that were cleared because an endpoint answered them. Times are sent
// as ages, as the clocks of hosts differ.
struct CrashReport {
  static constexpr std::string_view kKind = "crash-report";

  // A request that was running at an endpoint when it crashed.
  struct Observation {
    RequestFingerprint request;
    EndpointProcess endpoint;
    Duration age{};

    Json ToJson() const;
    static leaf::result<Observation> Parse(const Json& json,
                                           const std::string& path);
    bool operator==(const Observation&) const = default;
  };
  // A request that an endpoint has answered.
  struct Cleared {
    RequestFingerprint request;
    Duration age{};

    Json ToJson() const;
    static leaf::result<Cleared> Parse(const Json& json,
                                       const std::string& path);
    bool operator==(const Cleared&) const = default;
  };

  std::vector<Observation> observations;
  std::vector<Cleared> cleared;

  bool empty() const { return observations.empty() && cleared.empty(); }

  Json ToJson() const;
  static leaf::result<CrashReport> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const CrashReport&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_CRASH_MESSAGES_H_
