#ifndef PROXY_CALL_METRICS_H_
#define PROXY_CALL_METRICS_H_

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "contract/contract.h"
#include "core/time.h"
#include "policy/call.h"

namespace damasktack {

// Collects histograms of call durations by customer and urgency class, and call
// counts by outcome. Thread-safe. Memory is bounded: callers without a contract
// share one series, and customers beyond `max_series` share another.
class CallMetrics {
 public:
  static constexpr std::size_t kMaxSeries = 4096;

  explicit CallMetrics(std::size_t max_series = kMaxSeries);

  // Logarithmic time axis from 10 us to 100 s with 20 bins per decade.
  using TimeAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<TimeAxis>()));

  struct Series {
    // Empty if the caller has no contract.
    CustomerId customer;
    Urgency urgency = Urgency::kNormal;

    auto operator<=>(const Series&) const = default;
  };

  struct Sample {
    Outcome outcome = Outcome::kComplete;
    // Time from the last byte of the request to the first byte of the answer.
    Duration total{};
    // `total` minus the time spent at endpoints.
    Duration added{};
  };

  // Number of calls with a duration in [low, high).
  struct TimeBin {
    Duration low{};
    Duration high{};
    std::uint64_t count = 0;
  };

  // Everything recorded for one series so far.
  struct SeriesReport {
    Series series;
    // Indexed by Outcome.
    std::array<std::uint64_t, 3> outcomes{};
    // Non-empty bins only, in ascending order of duration.
    std::vector<TimeBin> total;
    std::vector<TimeBin> added;
  };

  void Record(const Series& series, const Sample& sample);

  std::vector<SeriesReport> Report() const;

  // Returns all series in the Prometheus text format.
  std::string Render() const;

 private:
  struct Cell {
    Cell();

    Histogram total;
    Histogram added;
    std::array<std::uint64_t, 3> outcomes{};
    double total_seconds = 0;
    double added_seconds = 0;
  };

  Cell& CellOf(const Series& series);

  const std::size_t max_series_;
  mutable std::mutex mutex_;
  std::map<Series, Cell> cells_;
};

}  // namespace damasktack

#endif  // PROXY_CALL_METRICS_H_
