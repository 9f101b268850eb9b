#include "main/text_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace damasktack {

namespace {

constexpr auto kMissing = "-";
constexpr std::size_t kColumnGap = 2;

std::string FormatNumber(double number, const char* unit) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3g%s", number, unit);
  return buf.data();
}

}  // namespace

TextTable::TextTable(std::vector<std::string> titles)
    : rows_{std::move(titles)} {}

void TextTable::AddRow(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  rows_.push_back(std::move(cells));
}

void TextTable::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += row[n] + std::string(widths[n] - row[n].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

std::string CellOf(const Json& json, const std::string& key) {
  if (!json.is_object() || !json.contains(key) || json[key].is_null()) {
    return kMissing;
  }
  const Json& value = json[key];
  if (value.is_string()) {
    return value.get<std::string>().empty() ? kMissing
                                            : value.get<std::string>();
  }
  if (key.ends_with("_us") && value.is_number()) {
    return ShortTime(value.get<double>());
  }
  if (value.is_number_float()) {
    return FormatNumber(value.get<double>(), "");
  }
  return value.dump();
}

std::string ShortTime(double microseconds) {
  constexpr double kThousand = 1e3;
  constexpr double kMinute = 60e6;
  constexpr double kHour = 3600e6;
  if (microseconds < kThousand) {
    return FormatNumber(microseconds, "us");
  }
  if (microseconds < kThousand * kThousand) {
    return FormatNumber(microseconds / kThousand, "ms");
  }
  if (microseconds < kMinute) {
    return FormatNumber(microseconds / kThousand / kThousand, "s");
  }
  if (microseconds < kHour) {
    return FormatNumber(microseconds / kMinute, "min");
  }
  return FormatNumber(microseconds / kHour, "h");
}

}  // namespace damasktack
