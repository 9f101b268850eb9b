#include "main/load_report.h"

#include <boost/histogram.hpp>
#include <iomanip>

namespace damasktack {

namespace {

namespace bh = boost::histogram;

// Bins are 2.3 percent wide, from 1 us to 100 s.
constexpr unsigned kBins = 800;
constexpr double kMinSeconds = 1e-6;
constexpr double kMaxSeconds = 1e2;

using TimeAxis = bh::axis::regular<double, bh::axis::transform::log>;
using TimeHistogram = decltype(bh::make_histogram(std::declval<TimeAxis>()));

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

struct ClassTimes {
  TimeHistogram total =
      bh::make_histogram(TimeAxis(kBins, kMinSeconds, kMaxSeconds));
  TimeHistogram added =
      bh::make_histogram(TimeAxis(kBins, kMinSeconds, kMaxSeconds));
};

Duration QuantileOf(const TimeHistogram& histogram, double count, double q) {
  const auto& axis = histogram.axis(0);
  double cumulative = 0;
  for (int n = -1; n < axis.size(); ++n) {
    cumulative += histogram.at(n);
    if (cumulative >= count * q) {
      return FromSeconds(n < 0 ? kMinSeconds : axis.bin(n).upper());
    }
  }
  return FromSeconds(kMaxSeconds);
}

LoadQuantiles QuantilesOf(const TimeHistogram& histogram) {
  const double count = bh::algorithm::sum(histogram, bh::coverage::all);
  if (count == 0) {
    return {};
  }
  constexpr double kP50 = 0.5;
  constexpr double kP99 = 0.99;
  constexpr double kP999 = 0.999;
  return {static_cast<std::uint64_t>(count), QuantileOf(histogram, count, kP50),
          QuantileOf(histogram, count, kP99),
          QuantileOf(histogram, count, kP999)};
}

Json ToJson(const LoadQuantiles& quantiles) {
  return Json{{"count", quantiles.count},
              {"p50_s", Seconds(quantiles.p50)},
              {"p99_s", Seconds(quantiles.p99)},
              {"p999_s", Seconds(quantiles.p999)}};
}

void PrintQuantiles(const LoadQuantiles& quantiles, std::ostream& out) {
  const double to_ms = 1e3;
  for (const Duration it : {quantiles.p50, quantiles.p99, quantiles.p999}) {
    out << " " << std::setw(9) << std::fixed << std::setprecision(2)
        << Seconds(it) * to_ms;
  }
}

}  // namespace

std::vector<LoadClassReport> ReportLoad(const LoadPlan& plan,
                                        const LoadRecords& records) {
  std::vector<LoadClassReport> reports(plan.classes.size());
  std::vector<ClassTimes> times(plan.classes.size());
  for (const LoadRecord& it : records) {
    ++reports[it.load_class].outcomes[static_cast<std::size_t>(it.outcome)];
    if (it.outcome != LoadOutcome::kComplete) {
      continue;
    }
    times[it.load_class].total(Seconds(it.latency));
    if (it.at_endpoint) {
      times[it.load_class].added(
          std::max(Seconds(it.latency - *it.at_endpoint), kMinSeconds));
    }
  }
  for (std::size_t n = 0; n < reports.size(); ++n) {
    reports[n].name = plan.classes[n].name;
    reports[n].total = QuantilesOf(times[n].total);
    reports[n].added = QuantilesOf(times[n].added);
  }
  return reports;
}

Json ToJson(const std::vector<LoadClassReport>& reports) {
  Json list = Json::array();
  for (const LoadClassReport& it : reports) {
    Json outcomes = Json::object();
    for (std::size_t n = 0; n < kLoadOutcomeCount; ++n) {
      outcomes[std::string(ToString(static_cast<LoadOutcome>(n)))] =
          it.outcomes[n];
    }
    list.push_back({{"class", it.name},
                    {"outcomes", outcomes},
                    {"total", ToJson(it.total)},
                    {"added", ToJson(it.added)}});
  }
  return list;
}

void PrintLoad(const std::vector<LoadClassReport>& reports, std::ostream& out) {
  constexpr int kNameWidth = 12;
  out << std::left << std::setw(kNameWidth) << "class" << std::right;
  for (std::size_t n = 0; n < kLoadOutcomeCount; ++n) {
    out << " " << ToString(static_cast<LoadOutcome>(n));
  }
  out << "   total ms p50/p99/p99.9   added ms p50/p99/p99.9\n";
  for (const LoadClassReport& it : reports) {
    out << std::left << std::setw(kNameWidth) << it.name << std::right;
    for (std::size_t n = 0; n < kLoadOutcomeCount; ++n) {
      const auto name = ToString(static_cast<LoadOutcome>(n));
      out << " " << std::setw(static_cast<int>(name.size())) << it.outcomes[n];
    }
    PrintQuantiles(it.total, out);
    PrintQuantiles(it.added, out);
    out << "\n";
  }
}

}  // namespace damasktack
