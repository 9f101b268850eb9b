#ifndef POLICY_ANSWER_TIMES_H_
#define POLICY_ANSWER_TIMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// Times from a send to its answer, for the calls of one route.
struct UsualTimes {
  // The median.
  Duration typical{};
  // The 95th percentile: a send that takes longer is unusual.
  Duration usual{};
};

// Learns how long the answers of each route of a service take. The owner
// records only answers of endpoints of usual pace, so that a slow endpoint
// stands out.
class AnswerTimes {
 public:
  // Records an answer to a call of `route`.
  void OnAnswer(const CustomerId& route, Duration took);
  // Returns the times of the route, or those of all routes together while the
  // route has had few answers; null while these are few too.
  std::optional<UsualTimes> Of(const CustomerId& route) const;

  std::size_t routes() const { return routes_.size(); }

 private:
  // One minute of calls on a host with two calls a second. With 64, the median
  // of executions that vary by a third was off by up to a tenth.
  static constexpr std::size_t kSamples = 128;
  static constexpr std::size_t kMinSamples = 20;
  static constexpr std::size_t kMaxRoutes = 256;

  // The most recent answers.
  struct Samples {
    std::array<Duration, kSamples> times{};
    std::size_t count = 0;

    void Add(Duration took) { times[count++ % kSamples] = took; }
    std::optional<UsualTimes> Times() const;
  };

  Samples all_;
  std::unordered_map<CustomerId, Samples> routes_;
};

}  // namespace damasktack

#endif  // POLICY_ANSWER_TIMES_H_
