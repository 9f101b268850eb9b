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

// How soon a call must be served; the lower value goes first.
enum class Urgency : std::uint8_t { kUrgent, kNormal, kBulk };
inline constexpr std::size_t kUrgencyCount = 3;
std::string_view ToString(Urgency urgency);

// What happens to a customer's call that finds no free capacity.
enum class OverloadPolicy : std::uint8_t {
  // It waits for a slot until its deadline.
  kWait,
  // It is refused at once as not run.
  kShed,
};
std::string_view ToString(OverloadPolicy treatment);

// Fleet-wide bounds on one customer's traffic; 0 means "no bound".
struct CustomerLimits {
  // Calls a second, over all hosts.
  std::int64_t calls_per_second = 0;
  // Calls admitted and not yet answered, over all hosts.
  std::int64_t in_flight = 0;
  // Calls of this customer that may wait on one host.
  std::int64_t waiting_per_host = 256;

  bool operator==(const CustomerLimits&) const = default;
};

// Says how the requests it matches are treated. The first match counts.
struct RequestRule {
  ServiceId service;
  // Upper-case methods; empty matches every method.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  // May be sent again after an unknown outcome.
  bool idempotent = false;
  Urgency urgency = Urgency::kNormal;
  // The longest a caller may ask for, and what applies where it asks nothing.
  Duration deadline = std::chrono::seconds(10);

  bool operator==(const RequestRule&) const = default;
};

// One customer's agreement with the operator; every limit on its traffic
// follows from it. Published as one member of the "contracts" document.
struct Contract {
  CustomerId customer;
  // SHA-256 of the customer's keys, as 64 lower-case hex digits. The keys
  // themselves are never published.
  std::vector<std::string> key_sha256;
  // Weight against other customers of the same urgency.
  std::int64_t share = 1;
  OverloadPolicy overload_policy = OverloadPolicy::kWait;
  CustomerLimits limits;
  // Repeated sends allowed, as percent of first sends.
  std::int64_t retry_percent = 10;
  std::vector<RequestRule> requests;

  bool operator==(const Contract&) const = default;
};

leaf::result<Contract> ParseContract(const Json& json, const std::string& path);
Json ToJson(const Contract& contract);

// How one request is to be treated under one contract.
struct RequestClass {
  ServiceId service;
  Urgency urgency = Urgency::kNormal;
  bool idempotent = false;
  Duration deadline = std::chrono::seconds(10);

  bool operator==(const RequestClass&) const = default;
};

// Null where the contract does not cover the request. `path` is the path
// below the service's own prefix, starting with '/'.
std::optional<RequestClass> Classify(const Contract& contract,
                                     const ServiceId& service,
                                     std::string_view method,
                                     std::string_view path);

}  // namespace damasktack

#endif  // CONTRACT_CONTRACT_H_
