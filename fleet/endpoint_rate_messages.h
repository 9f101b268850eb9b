#ifndef FLEET_ENDPOINT_RATE_MESSAGES_H_
#define FLEET_ENDPOINT_RATE_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/json_reader.h"
#include "core/time.h"
#include "policy/endpoint_process.h"

namespace damasktack {

// Reports rate limits that endpoints have stated in their answers or withdrawn.
// Times are sent as ages, as the clocks of hosts differ.
struct EndpointRateReport {
  static constexpr std::string_view kKind = "endpoint-rates";

  struct Statement {
    EndpointProcess endpoint;
    // Requests per second from all hosts together; null if the endpoint states
    // no limit any more.
    std::optional<double> rate_limit;
    Duration age{};

    Json ToJson() const;
    static leaf::result<Statement> Parse(const Json& json,
                                         const std::string& path);
    bool operator==(const Statement&) const = default;
  };

  std::vector<Statement> statements;

  Json ToJson() const;
  static leaf::result<EndpointRateReport> Parse(const Json& json,
                                                const std::string& path);

  bool operator==(const EndpointRateReport&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_ENDPOINT_RATE_MESSAGES_H_
