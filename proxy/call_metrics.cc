#include "proxy/call_metrics.h"

#include <algorithm>
#include <sstream>
#include <string_view>

namespace damasktack {

namespace {

constexpr unsigned kBinsPerDecade = 20;
constexpr unsigned kDecades = 7;
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 1e2;

CallMetrics::TimeAxis MakeAxis() {
  return CallMetrics::TimeAxis(kBinsPerDecade * kDecades, kMinSeconds,
                               kMaxSeconds);
}

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

// Label values used in place of a customer id.
constexpr std::string_view kNoCustomer = "unknown";
const CustomerId& OverflowCustomer() {
  static const CustomerId others("(others)");
  return others;
}

std::string Escaped(std::string_view text) {
  std::string escaped;
  for (const char it : text) {
    if (it == '"' || it == '\\') {
      escaped += '\\';
    }
    escaped += it;
  }
  return escaped;
}

std::string Labels(const CallMetrics::Series& series) {
  const std::string_view customer =
      series.customer.empty() ? kNoCustomer : series.customer.text();
  return "customer=\"" + Escaped(customer) + "\",class=\"" +
         std::string(ToString(series.urgency)) + "\"";
}

void RenderHistogram(std::ostream& out,
                     std::string_view name,
                     const std::string& labels,
                     const CallMetrics::Histogram& histogram,
                     double sum) {
  double cumulative = histogram.at(-1);
  const auto& axis = histogram.axis(0);
  for (int n = 0; n < axis.size(); ++n) {
    const double count = histogram.at(n);
    cumulative += count;
    if (count > 0) {
      out << name << "_bucket{" << labels << ",le=\"" << axis.bin(n).upper()
          << "\"} " << cumulative << "\n";
    }
  }
  cumulative += histogram.at(axis.size());
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative << "\n";
  out << name << "_sum{" << labels << "} " << sum << "\n";
  out << name << "_count{" << labels << "} " << cumulative << "\n";
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

std::vector<CallMetrics::TimeBin> BinsOf(
    const CallMetrics::Histogram& histogram) {
  std::vector<CallMetrics::TimeBin> bins;
  const auto& axis = histogram.axis(0);
  // Includes the underflow bin and the overflow bin.
  for (int n = -1; n <= axis.size(); ++n) {
    const double count = histogram.at(n);
    if (count > 0) {
      bins.push_back({FromSeconds(axis.bin(n).lower()),
                      FromSeconds(axis.bin(n).upper()),
                      static_cast<std::uint64_t>(count)});
    }
  }
  return bins;
}

}  // namespace

CallMetrics::Cell::Cell()
    : total(boost::histogram::make_histogram(MakeAxis())),
      added(boost::histogram::make_histogram(MakeAxis())) {}

CallMetrics::CallMetrics(std::size_t max_series) : max_series_(max_series) {}

CallMetrics::Cell& CallMetrics::CellOf(const Series& series) {
  const auto it = cells_.find(series);
  if (it != cells_.end()) {
    return it->second;
  }
  // Series are never removed, and contracts come and go while a process runs
  // for years. Once the bound is reached, new customers share one series.
  if (cells_.size() >= max_series_) {
    return cells_[Series{OverflowCustomer(), series.urgency}];
  }
  return cells_[series];
}

void CallMetrics::Record(const Series& series, const Sample& sample) {
  const std::lock_guard lock(mutex_);
  Cell& cell = CellOf(series);
  const double total = Seconds(sample.total);
  const double added = Seconds(sample.added);
  cell.total(total);
  cell.added(added);
  cell.total_seconds += total;
  cell.added_seconds += added;
  ++cell.outcomes[static_cast<std::size_t>(sample.outcome)];
}

std::vector<CallMetrics::SeriesReport> CallMetrics::Report() const {
  std::vector<SeriesReport> reports;
  const std::lock_guard lock(mutex_);
  for (const auto& [series, cell] : cells_) {
    reports.push_back(SeriesReport{series, cell.outcomes, BinsOf(cell.total),
                                   BinsOf(cell.added)});
  }
  return reports;
}

std::string CallMetrics::Render() const {
  std::ostringstream calls;
  std::ostringstream total_times;
  std::ostringstream added_times;
  calls << "# TYPE damasktack_calls_total counter\n";
  total_times << "# TYPE damasktack_call_seconds histogram\n";
  added_times << "# TYPE damasktack_added_seconds histogram\n";
  const std::lock_guard lock(mutex_);
  for (const auto& [series, cell] : cells_) {
    const std::string labels = Labels(series);
    for (std::size_t n = 0; n < cell.outcomes.size(); ++n) {
      calls << "damasktack_calls_total{" << labels << ",outcome=\""
            << ToString(static_cast<Outcome>(n)) << "\"} " << cell.outcomes[n]
            << "\n";
    }
    RenderHistogram(total_times, "damasktack_call_seconds", labels, cell.total,
                    cell.total_seconds);
    RenderHistogram(added_times, "damasktack_added_seconds", labels, cell.added,
                    cell.added_seconds);
  }
  return calls.str() + total_times.str() + added_times.str();
}

}  // namespace damasktack
