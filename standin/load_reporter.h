#ifndef STANDIN_LOAD_REPORTER_H_
#define STANDIN_LOAD_REPORTER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/time.h"
#include "standin/endpoint_faults.h"

namespace damasktack {

struct EndpointLoad {
  std::int32_t in_flight = 0;
  std::int32_t queued = 0;
  std::int32_t slots = 0;
  // "starting", "serving" or "draining".
  std::string mode = "serving";
};

// Formats the header Endpoint-Load from the actual load, or as the active
// report fault demands.
class LoadReporter {
 public:
  // Records a change of load. Call it for every change, since kStale reports an
  // earlier load.
  void Observe(const EndpointLoad& load, TimePoint now);

  // Returns the header's value, or nothing if no report is to be sent.
  std::optional<std::string> Report(const EndpointLoad& load,
                                    const EndpointFaults& faults,
                                    TimePoint now);

 private:
  struct Observation {
    TimePoint at;
    EndpointLoad load;
  };

  EndpointLoad LoadAt(TimePoint at) const;

  std::deque<Observation> history_;
  std::optional<EndpointLoad> frozen_;
};

}  // namespace damasktack

#endif  // STANDIN_LOAD_REPORTER_H_
