#ifndef FLEET_OVERLOAD_OVERLOAD_MESSAGES_H_
#define FLEET_OVERLOAD_OVERLOAD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"
#include "core/time.h"
#include "policy/urgency_load.h"

namespace damasktack {

// Maximum number of services in one message; others are left out.
inline constexpr std::size_t kMaxStatedServices = 64;

// One host's statement about the services that are short of slots, for itself
// or for its peers.
struct ServiceLoadReport {
  static constexpr std::string_view kKind = "service-load";

  struct Item {
    ServiceId service;
    UrgencyLoad load;
    // The host itself has missed calls.
    bool is_short = false;

    Json ToJson() const;
    static leaf::result<Item> Parse(const Json& json, const std::string& path);
    bool operator==(const Item&) const = default;
  };

  // Time of the sender's monotonic clock. Receivers compare it with that of
  // other messages, to detect a message that was held up.
  std::int64_t sent_us = 0;
  std::vector<Item> items;

  Json ToJson() const;
  // Items with values that are not numbers, negative or infinite are left out.
  static leaf::result<ServiceLoadReport> Parse(const Json& json,
                                               const std::string& path);

  bool operator==(const ServiceLoadReport&) const = default;
};

// A seed's sum of statements.
struct ServiceLoadSum {
  static constexpr std::string_view kKind = "service-load-sum";

  struct Item {
    ServiceId service;
    PeerLoad sum;
    // Mean age of the statements in the sum.
    Duration age{};

    Json ToJson() const;
    static leaf::result<Item> Parse(const Json& json, const std::string& path);
    bool operator==(const Item&) const = default;
  };

  std::int64_t sent_us = 0;
  // The sum covers this seed and the hosts that send their statements to it,
  // for other seeds. Otherwise it covers all hosts, for followers.
  bool is_part = false;
  std::vector<Item> items;

  Json ToJson() const;
  static leaf::result<ServiceLoadSum> Parse(const Json& json,
                                            const std::string& path);

  bool operator==(const ServiceLoadSum&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_OVERLOAD_OVERLOAD_MESSAGES_H_
