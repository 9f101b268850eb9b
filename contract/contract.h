#ifndef CONTRACT_CONTRACT_H_
#define CONTRACT_CONTRACT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

// Priority of a call; calls with a lower value are served first.
enum class Urgency : std::uint8_t { kUrgent, kNormal, kBulk };
inline constexpr std::size_t kUrgencyCount = 3;
std::string_view ToString(Urgency urgency);

// What happens to a customer's call when no endpoint has free capacity.
enum class OverloadPolicy : std::uint8_t {
  // The call waits for a slot until its deadline.
  kWait,
  // The call is rejected at once and reported as not run.
  kShed,
};
std::string_view ToString(OverloadPolicy policy);

// Limits on one customer's traffic; 0 means "no limit". Except for
// `waiting_per_host` they apply to all hosts together.
struct CustomerLimits {
  // Calls per second over all hosts.
  std::int64_t calls_per_second = 0;
  // Calls admitted and not yet answered, over all hosts.
  std::int64_t in_flight = 0;
  // Maximum number of the customer's calls that are queued on one host.
  std::int64_t waiting_per_host = 256;

  bool operator==(const CustomerLimits&) const = default;
};

// Sets how the requests that it matches are treated. A contract's first
// matching rule applies.
struct RequestRule {
  ServiceId service;
  // HTTP methods in upper case; an empty list matches every method.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  // Whether a request may be retried when it is unknown whether the first
  // attempt ran.
  bool idempotent = false;
  Urgency urgency = Urgency::kNormal;
  // Maximum deadline that a caller may request, and the default where the
  // caller requests none.
  Duration deadline = std::chrono::seconds(10);

  bool operator==(const RequestRule&) const = default;
};

// One customer's contract, which holds every limit on the customer's traffic.
// Published as one item of the "contracts" document.
struct Contract {
  CustomerId customer;
  // SHA-256 digests of the customer's API keys, each as 64 lower-case hex
  // digits. The keys themselves are never published.
  std::vector<std::string> key_sha256;
  // Scheduling weight relative to other customers' calls of the same urgency.
  std::int64_t share = 1;
  OverloadPolicy overload_policy = OverloadPolicy::kWait;
  CustomerLimits limits;
  // Retries allowed, as a percentage of first attempts.
  std::int64_t retry_percent = 10;
  std::vector<RequestRule> requests;

  bool operator==(const Contract&) const = default;
};

leaf::result<Contract> ParseContract(const Json& json, const std::string& path);
Json ToJson(const Contract& contract);

// How one request is treated under a contract.
struct RequestClass {
  ServiceId service;
  Urgency urgency = Urgency::kNormal;
  bool idempotent = false;
  Duration deadline = std::chrono::seconds(10);

  bool operator==(const RequestClass&) const = default;
};

// Returns the class of a request, or null if the contract does not cover it.
// `path` is the path below the service's prefix, starting with '/'.
std::optional<RequestClass> Classify(const Contract& contract,
                                     const ServiceId& service,
                                     std::string_view method,
                                     std::string_view path);

}  // namespace damasktack

#endif  // CONTRACT_CONTRACT_H_
