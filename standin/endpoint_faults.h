#ifndef STANDIN_ENDPOINT_FAULTS_H_
#define STANDIN_ENDPOINT_FAULTS_H_

#include <cstdint>

#include "core/error.h"
#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

// How the endpoint behaves while it drains.
enum class DrainMode : std::uint8_t {
  kNone,
  // Reports draining, but still serves new calls.
  kReported,
  // Reports draining, and refuses connections after `drain_grace`. Running and
  // queued calls are finished; each response then closes its connection.
  kAnnounced,
  // Like kAnnounced, but refuses connections at once and without a report.
  kSilent,
};

// Fault of the load report in the header Endpoint-Load.
enum class ReportFault : std::uint8_t {
  kNone,
  // Repeats the first report after the fault was set.
  kFrozen,
  // Reports an idle endpoint.
  kLow,
  // Reports the load of `report_age` ago.
  kStale,
  // Omits the report.
  kMissing,
};

// Fault of the response to a call.
enum class AnswerFault : std::uint8_t {
  kNone,
  // Runs the call, sends the head and half of the body, then closes.
  kHalf,
  // Runs the call and closes without a response.
  kClose,
  // Closes without running the call.
  kCloseUnrun,
  // Responds, and sends an unsolicited second response 20 ms later.
  kStray,
  // Runs the call and never responds.
  kNever,
};

// The faults that an endpoint simulates at present.
struct EndpointFaults {
  // Multiplies every service time.
  double slowdown = 1;
  // Fraction of calls, 0 to 1, that get status 500 at once without running.
  double failing_share = 0;
  DrainMode drain = DrainMode::kNone;
  Duration drain_grace = std::chrono::seconds(1);
  ReportFault report = ReportFault::kNone;
  Duration report_age{};
  AnswerFault answer = AnswerFault::kNone;
  // Fraction of calls, 0 to 1, to which `answer` applies.
  double answer_share = 1;
  // Added to the network delay in each direction.
  Duration one_way_delay{};

  bool operator==(const EndpointFaults&) const = default;
};

// Parses faults from JSON keys with the member names above. Durations have a
// unit, and modes are given by name, as in "drain": "announced". Missing keys
// keep their default.
leaf::result<EndpointFaults> ParseEndpointFaults(const Json& json);

}  // namespace damasktack

#endif  // STANDIN_ENDPOINT_FAULTS_H_
