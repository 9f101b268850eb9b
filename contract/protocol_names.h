#ifndef CONTRACT_PROTOCOL_NAMES_H_
#define CONTRACT_PROTOCOL_NAMES_H_

#include <string>
#include <string_view>
#include <vector>

namespace damasktack {

// damasktack's own headers between a caller, a host and an endpoint.
inline constexpr std::string_view kOutcomeHeader = "Damasktack-Outcome";
inline constexpr std::string_view kCallHeader = "Damasktack-Call";
// Milliseconds that remain; asked by the caller and passed on.
inline constexpr std::string_view kDeadlineHeader = "Damasktack-Deadline-Ms";
// Hops so far; 0 or absent at the first.
inline constexpr std::string_view kDepthHeader = "Damasktack-Depth";
// Sends of this call so far by this hop.
inline constexpr std::string_view kAttemptHeader = "Damasktack-Attempt";
// On every answer of an endpoint and on the answer to a probe:
//   Endpoint-Load: in_flight=3, queued=0, slots=6, mode=serving
inline constexpr std::string_view kLoadHeader = "Endpoint-Load";
// On a call that was refused and did not run:
//   Endpoint-Shed: 1
inline constexpr std::string_view kShedHeader = "Endpoint-Shed";
// On every answer of an endpoint that takes only so many requests a second from
// all hosts together, for as long as it does:
//   Endpoint-Limit: 1.5
inline constexpr std::string_view kRateLimitHeader = "Endpoint-Limit";

// The headers between callers, damasktack and endpoints, and the ways in which
// deployments differ there. The defaults are damasktack's own protocol. An
// empty name is a header that the deployment does not have: it is neither
// looked for nor written.
struct ProtocolNames {
  // Names one call, in requests and answers.
  std::string call{kCallHeader};
  // Milliseconds that remain; asked by the caller and passed on.
  std::string deadline{kDeadlineHeader};
  // Hops so far, and sends of this call by this hop.
  std::string depth{kDepthHeader};
  std::string attempt{kAttemptHeader};
  // What became of the call, in answers to callers.
  std::string outcome{kOutcomeHeader};
  // An endpoint's load, on its answers.
  std::string load{kLoadHeader};
  // An endpoint's word that it did not run the call.
  std::string shed{kShedHeader};
  // Requests a second that an endpoint takes from all hosts together, on its
  // answers; the first of these that an answer has counts.
  std::vector<std::string> rate_limit{std::string(kRateLimitHeader)};
  // Set to 1 on all answers of an endpoint that leaves, also where its load
  // does not say so; the first of these that an answer has counts.
  std::vector<std::string> leaving;
  // The id of the endpoint that a request is meant for; another one that has
  // taken over its address refuses with 421 and does not run it.
  std::string expected_endpoint;
  // The id of the endpoint that answers a probe; empty where none is told.
  std::string answering_endpoint;
  // How many milliseconds the endpoint that answers a probe stays cold.
  std::string cold_for;
  // An endpoint's proof that an answer is its own; passed on.
  std::string signature;
  // What an endpoint says of itself is in headers that begin so.
  std::vector<std::string> endpoint_prefixes{"Endpoint-"};
  // Requests' headers that begin so are damasktack's own and not passed on.
  std::string own_header_prefix = "Damasktack-";

  // Callers name their calls themselves, and endpoints repeat the name.
  bool callers_assign_call_ids = false;
  // An endpoint may answer a call twice; an answer that names another call is
  // passed over, and the call's own may follow.
  bool may_duplicate_responses = false;
  // An answer without a length ends with its connection, where that is closed
  // in order; a reset means that it was cut short.
  bool response_may_end_at_close = false;
  // Retry-After may be a fraction of a second.
  bool fractional_retry_after = false;
  // A caller's connection that stays idle is closed without a word, because a
  // request that crosses the close is known to callers as not read.
  bool closes_idle_silently = false;
  // The load header is "running,waiting,slots[,pace]" and not the product's
  // own list of names and figures.
  bool positional_load_header = false;
};

}  // namespace damasktack

#endif  // CONTRACT_PROTOCOL_NAMES_H_
