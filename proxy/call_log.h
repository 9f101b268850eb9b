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

// How one call ended, with what decided it.
struct CallRecord {
  CallId call;
  // The same for each attempt of the caller.
  RequestFingerprint request;
  CustomerId customer;
  ServiceId service;
  Outcome outcome = Outcome::kNotRun;
  // Status of the answer.
  unsigned status = 0;
  // Why, where the answer is damasktack's own; empty otherwise.
  std::string_view failure;
  // The last endpoint that it was sent to; empty where there was none.
  EndpointId endpoint;
  int sends = 0;
  // From the arrival to the end, and how much of it at endpoints.
  Duration total{};
  Duration at_endpoints{};
  // What remained of its time at the end; negative where it came too late.
  Duration left{};
  // What the last placement or refusal rested on.
  DecisionBasis basis;
  // The version of the routes that it went by; 0 without routes.
  std::uint64_t routes_version = 0;
};

// Whether the call did not simply succeed: refused, failed, sent more than
// once, or late.
bool IsWorthALine(const CallRecord& record);

// Writes lines of calls that did not simply succeed. Bounded whatever happens,
// since a burst of failures comes when there is least time for logging; what
// was left out is counted, and the next line says so. Safe to use from several
// threads.
class CallLog {
 public:
  // Lines a second, and how many at once. A line costs about 10 us, so that
  // the bound is a few parts in ten thousand of a core.
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kLinesAtOnce = 40;

  void Write(const CallRecord& record, TimePoint now);
  // The call goes to a cold endpoint, by what its host believes of it.
  void WriteColdSend(const CallId& call,
                     const EndpointId& endpoint,
                     const ColdBasis& basis,
                     TimePoint now);
  std::uint64_t dropped() const;

 private:
  // The lines left out since the last one; null where this one is too.
  std::optional<std::uint64_t> TakeLine(TimePoint now);

  mutable std::mutex mutex_;
  TokenBucket budget_{kLinesPerSecond, kLinesAtOnce};
  // Since the last line, and in all.
  std::uint64_t dropped_since_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace damasktack

#endif  // PROXY_CALL_LOG_H_
