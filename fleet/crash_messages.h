#ifndef FLEET_CRASH_MESSAGES_H_
#define FLEET_CRASH_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/json_reader.h"
#include "policy/crash_tracker.h"

namespace damasktack {

// Which requests were at endpoints when these ended, and which of them have
// been answered since. Times are told as ages: hosts' clocks differ.
struct CrashReport {
  static constexpr std::string_view kKind = "crash-report";

  struct Sighting {
    RequestFingerprint request;
    EndpointProcess endpoint;
    Duration age{};

    Json ToJson() const;
    static leaf::result<Sighting> Parse(const Json& json,
                                        const std::string& path);
    bool operator==(const Sighting&) const = default;
  };
  struct Cleared {
    RequestFingerprint request;
    Duration age{};

    Json ToJson() const;
    static leaf::result<Cleared> Parse(const Json& json,
                                       const std::string& path);
    bool operator==(const Cleared&) const = default;
  };

  std::vector<Sighting> sightings;
  std::vector<Cleared> cleared;

  bool empty() const { return sightings.empty() && cleared.empty(); }

  Json ToJson() const;
  static leaf::result<CrashReport> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const CrashReport&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_CRASH_MESSAGES_H_
