#ifndef PROXY_CALL_LOG_H_
#define PROXY_CALL_LOG_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

#include "core/ids.h"
#include "core/request_fingerprint.h"
#include "core/time.h"
#include "core/token_bucket.h"
#include "policy/call.h"
#include "policy/call_offer.h"

namespace damasktack {

// How one call ended and what the decision was based on.
struct CallRecord {
  CallId call;
  // The same for each of the caller's attempts.
  RequestFingerprint request;
  CustomerId customer;
  ServiceId service;
  Outcome outcome = Outcome::kNotRun;
  // HTTP status of the answer.
  unsigned status = 0;
  // The kind of failure if damasktack generated the answer itself; empty
  // otherwise.
  std::string_view failure;
  // The last endpoint that the call was sent to; empty if it was never sent.
  EndpointId endpoint;
  int sends = 0;
  // Time from the call's arrival to its end, and the part of it spent at
  // endpoints.
  Duration total{};
  Duration at_endpoints{};
  // Time left until the latency objective at the end; negative if it was
  // missed.
  Duration left{};
  // What the last placement or refusal was based on.
  DecisionBasis basis;
  // Version of the route table that was used; 0 without routes.
  std::uint64_t routes_version = 0;
};

// A second send of a call while its first one is in flight.
struct HedgeRecord {
  CallId call;
  // Endpoints of the first and of the second send.
  EndpointId first;
  EndpointId second;
  // Time since the first send, and until the latency objective.
  Duration in_flight{};
  Duration left{};
  // Expected duration of the second send; zero if nothing was estimated.
  Duration expected{};
};

// A call that the host aborts at the end of its stop.
struct CutCallRecord {
  CallId call;
  CustomerId customer;
  ServiceId service;
  // The last endpoint that the call was sent to; empty if it was never sent.
  EndpointId endpoint;
  int sends = 0;
  // Time since the request was read.
  Duration age{};
  // Time from the beginning of the stop until the request was read; negative if
  // it was read before the stop.
  Duration read_after{};
  // Time left until the call's deadline; negative if it has passed.
  Duration left{};
};

// An answer of an endpoint or peer that was not taken for a request's own.
struct StrayAnswerRecord {
  // The call that waited for its answer; empty for a probe.
  CallId call;
  EndpointId endpoint;
  std::uint64_t connection = 0;
  // How the answer was attributed.
  std::string_view match;
  unsigned status = 0;
  // The call that the answer names; empty if it names none.
  std::string_view names;
  bool is_refusal = false;
};

// Returns true if the call was refused, failed, sent more than once, or late.
bool NeedsLogLine(const CallRecord& record);

// Logs calls that were refused, failed, retried or late. The log is
// rate-limited, because a burst of failures comes when the process has the
// least time for logging. Dropped lines are counted, and the next line states
// their number. Thread-safe.
class CallLog {
 public:
  // Maximum rate and burst of log lines. A line costs about 10 us, so logging
  // takes at most a few parts in ten thousand of a core.
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kLineBurst = 40;

  void Write(const CallRecord& record, TimePoint now);
  // Logs that a call is sent to an endpoint that this host considers cold.
  void WriteColdSend(const CallId& call,
                     const EndpointId& endpoint,
                     const ColdBasis& basis,
                     TimePoint now);
  void WriteHedge(const HedgeRecord& record, TimePoint now);
  // Logs that a call is relayed to a peer, because this host has reached no
  // endpoint of its service for `unreachable_for`.
  void WriteRelay(const CallId& call,
                  const ServiceId& service,
                  const HostId& peer,
                  Duration unreachable_for,
                  TimePoint now);
  // Logs that a peer relays a call to this host.
  void WriteRelayTaken(const CallId& call,
                       std::string_view from,
                       TimePoint now);
  void WriteCut(const CutCallRecord& record, TimePoint now);
  void WriteStrayAnswer(const StrayAnswerRecord& record, TimePoint now);
  // Logs that a request was refused since there is no memory for it. `held` and
  // `limit` are those of the budget in bytes.
  void WriteMemoryShort(std::size_t held, std::size_t limit, TimePoint now);
  // Logs that a call ended with an exception.
  void WriteInternalError(std::string_view what, TimePoint now);
  std::uint64_t dropped() const;

 private:
  // Returns the number of lines dropped since the last one that was written, or
  // null if this line must be dropped too.
  std::optional<std::uint64_t> TakeLine(TimePoint now);

  mutable std::mutex mutex_;
  TokenBucket budget_{kLinesPerSecond, kLineBurst};
  // Lines dropped since the last written line, and in total.
  std::uint64_t dropped_since_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace damasktack

#endif  // PROXY_CALL_LOG_H_
