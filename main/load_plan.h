#ifndef MAIN_LOAD_PLAN_H_
#define MAIN_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

// One class of calls that a load run sends.
struct LoadClass {
  std::string name;
  // The customer's API key.
  std::string key;
  std::string method = "GET";
  // "{n}" is replaced by the number of the call within its class.
  std::string path;
  // Average calls per second; the intervals are random.
  double rate = 1;
  // Offset from the start of the run.
  Duration start{};
  // Null means until the end of the run.
  std::optional<Duration> duration;
  // Sent as Damasktack-Deadline-Ms; null sends none.
  std::optional<Duration> deadline;
  // Whether each call gets its own Idempotency-Key.
  bool idempotency_keys = false;
  // How often a call with a key is sent again under its key, through another
  // entry, after its outcome remained unknown.
  std::int64_t repeats = 0;
  // Percentage of calls with a key that are sent twice at the same time,
  // through two entries.
  std::int64_t doubled_percent = 0;
  // Whether a complete response must contain the call's path, as responses of
  // the stand-in endpoints do.
  bool expect_path = false;
};

// A load balancer host's address for calls, and the one for its readiness
// check. A host that is not ready gets no new calls, as behind the platform's
// balancer.
struct LoadEntry {
  SocketAddress callers;
  std::optional<SocketAddress> admin;
};

struct LoadPlan {
  std::vector<LoadClass> classes;
  std::vector<LoadEntry> entries;
  Duration duration = std::chrono::seconds(10);
  // Time to wait for a response beyond the deadline.
  Duration answer_timeout = std::chrono::seconds(30);
  // Maximum calls in flight; further calls are counted as not sent.
  std::int64_t in_flight = 4000;
  std::int64_t seed = 1;
};

leaf::result<LoadPlan> ParseLoadPlan(std::string_view text,
                                     std::string_view where);

}  // namespace damasktack

#endif  // MAIN_LOAD_PLAN_H_
