#include "main/time_histogram.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <string>

#include "main/text_table.h"

namespace damasktack {

namespace {

constexpr int kLinesPerDecade = 5;
constexpr std::uint64_t kMaxBarWidth = 50;
constexpr int kTimeWidth = 8;
constexpr int kCountWidth = 10;

int LineIndex(std::int64_t low_us) {
  // Adds half a bin width, since the ends are rounded to microseconds.
  const double low = std::max(static_cast<double>(low_us), 1.0) * 1.06;
  return static_cast<int>(std::floor(std::log10(low) * kLinesPerDecade));
}

double LowerEnd(int line) {
  return std::pow(10.0, static_cast<double>(line) / kLinesPerDecade);
}

std::int64_t IntegerMember(const Json& json, const char* key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_number() ? it->get<std::int64_t>() : 0;
}

}  // namespace

void TimeHistogram::Add(const Json& bins) {
  for (const Json& it : bins) {
    if (!it.is_object()) {
      continue;
    }
    Bin& bin = bins_[IntegerMember(it, "low_us")];
    const auto count = static_cast<std::uint64_t>(IntegerMember(it, "count"));
    bin.high_us = IntegerMember(it, "high_us");
    bin.count += count;
    count_ += count;
  }
}

double TimeHistogram::Quantile(double fraction) const {
  const double target = fraction * static_cast<double>(count_);
  std::uint64_t seen = 0;
  double high = 0;
  for (const auto& [low, bin] : bins_) {
    seen += bin.count;
    high = static_cast<double>(bin.high_us);
    if (static_cast<double>(seen) >= target) {
      break;
    }
  }
  return high;
}

void TimeHistogram::Draw(std::ostream& out) const {
  std::map<int, std::uint64_t> lines;
  std::uint64_t largest = 1;
  for (const auto& [low, bin] : bins_) {
    std::uint64_t& count = lines[LineIndex(low)];
    count += bin.count;
    largest = std::max(largest, count);
  }
  if (lines.empty()) {
    return;
  }
  for (int n = lines.begin()->first; n <= lines.rbegin()->first; ++n) {
    const auto found = lines.find(n);
    const std::uint64_t count = found == lines.end() ? 0 : found->second;
    // A non-empty line gets at least one mark, so that a single slow call is
    // visible beside a million fast ones.
    const std::uint64_t length =
        count == 0 ? 0
                   : std::max<std::uint64_t>(1, count * kMaxBarWidth / largest);
    out << std::setw(kTimeWidth) << ShortTime(LowerEnd(n))
        << std::setw(kCountWidth) << count;
    if (length > 0) {
      out << "  " << std::string(length, '#');
    }
    out << "\n";
  }
}

}  // namespace damasktack
