#ifndef CONTRACT_PROTOCOL_NAMES_H_
#define CONTRACT_PROTOCOL_NAMES_H_

#include <string>
#include <string_view>
#include <vector>

namespace damasktack {

// Default names of the headers between callers, hosts and endpoints.
inline constexpr std::string_view kOutcomeHeader = "Damasktack-Outcome";
inline constexpr std::string_view kCallHeader = "Damasktack-Call";
// Remaining time in milliseconds; requested by the caller and passed on.
inline constexpr std::string_view kDeadlineHeader = "Damasktack-Deadline-Ms";
// Number of load balancer hops so far; 0 or absent on the first.
inline constexpr std::string_view kDepthHeader = "Damasktack-Depth";
// Number of attempts that this hop has sent for the call.
inline constexpr std::string_view kAttemptHeader = "Damasktack-Attempt";
// Load report on every response of an endpoint, including responses to probes:
//   Endpoint-Load: in_flight=3, queued=0, slots=6, mode=serving
inline constexpr std::string_view kLoadHeader = "Endpoint-Load";
// Set on the response to a call that was rejected without being run:
//   Endpoint-Shed: 1
inline constexpr std::string_view kShedHeader = "Endpoint-Shed";
// Set on every response of an endpoint that currently limits the requests per
// second from all hosts together:
//   Endpoint-Limit: 1.5
inline constexpr std::string_view kRateLimitHeader = "Endpoint-Limit";

// Header names and protocol variants between callers, damasktack and endpoints,
// which differ between deployments. The defaults are damasktack's own protocol.
// An empty name means that the deployment does not have the header: it is
// neither read nor written.
struct ProtocolNames {
  // ID of the call, in requests and responses.
  std::string call{kCallHeader};
  // Remaining time in milliseconds; requested by the caller and passed on.
  std::string deadline{kDeadlineHeader};
  // Number of hops so far, and number of attempts sent by this hop.
  std::string depth{kDepthHeader};
  std::string attempt{kAttemptHeader};
  // Outcome of the call, in responses to callers.
  std::string outcome{kOutcomeHeader};
  // Load report of an endpoint, in its responses.
  std::string load{kLoadHeader};
  // Set by an endpoint that rejected the call without running it.
  std::string shed{kShedHeader};
  // Requests per second that an endpoint accepts from all hosts together, in
  // its responses. The first of these headers that is present applies.
  std::vector<std::string> rate_limit{std::string(kRateLimitHeader)};
  // Set to 1 on all responses of an endpoint that is leaving, even if its load
  // report does not say so. The first of these headers that is present applies.
  std::vector<std::string> leaving;
  // ID of the endpoint that a request is addressed to. If another endpoint has
  // taken over the address, it rejects the request with 421 without running it.
  std::string expected_endpoint;
  // ID of the endpoint that responds to a probe; empty if the deployment does
  // not report it.
  std::string answering_endpoint;
  // Milliseconds for which the endpoint that responds to a probe remains cold.
  std::string cold_for;
  // Signature that proves that a response comes from the endpoint; passed on to
  // the caller.
  std::string signature;
  // Prefixes of the headers in which an endpoint reports its own state.
  std::vector<std::string> endpoint_prefixes{"Endpoint-"};
  // Prefix of damasktack's own request headers, which are not passed on to
  // endpoints.
  std::string own_header_prefix = "Damasktack-";

  // Callers assign the call IDs and endpoints echo them.
  bool callers_assign_call_ids = false;
  // An endpoint may send duplicate responses. A response that carries another
  // call's ID is skipped, since the call's own response may follow.
  bool may_duplicate_responses = false;
  // A response without a length ends when the connection is closed in order; a
  // reset means that it was truncated.
  bool response_may_end_at_close = false;
  // Retry-After may contain a fraction of a second.
  bool fractional_retry_after = false;
  // Idle caller connections are closed without a response, because callers know
  // that a request which crosses the close was not read.
  bool closes_idle_silently = false;
  // The load header has the positional form "running,waiting,slots[,pace]"
  // instead of damasktack's list of names and values.
  bool positional_load_header = false;
};

}  // namespace damasktack

#endif  // CONTRACT_PROTOCOL_NAMES_H_
