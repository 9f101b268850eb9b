#include "proxy/endpoint_report_codec.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace damasktack {

namespace {

constexpr std::int32_t kMaxPlausibleCount = 1'000'000;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && text.back() == ' ') {
    text.remove_suffix(1);
  }
  return text;
}

bool ParseCount(std::string_view text, std::int32_t& out) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() &&
         out >= 0 && out <= kMaxPlausibleCount;
}

bool ParseMode(std::string_view text, EndpointMode& out) {
  if (text == "starting") {
    out = EndpointMode::kStarting;
  } else if (text == "serving") {
    out = EndpointMode::kServing;
  } else if (text == "draining") {
    out = EndpointMode::kDraining;
  } else {
    return false;
  }
  return true;
}

bool ParseField(std::string_view field, EndpointReport& report) {
  const std::size_t equals = field.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  const std::string_view name = field.substr(0, equals);
  const std::string_view value = field.substr(equals + 1);
  if (name == "in_flight") {
    return ParseCount(value, report.in_flight);
  }
  if (name == "queued") {
    return ParseCount(value, report.queued);
  }
  if (name == "slots") {
    return ParseCount(value, report.slots);
  }
  if (name == "mode") {
    return ParseMode(value, report.mode);
  }
  // Unknown fields come from newer endpoints and are ignored.
  return true;
}

constexpr double kUsualPacePercent = 100;
constexpr std::size_t kMinFigures = 3;
constexpr std::size_t kMaxFigures = 4;

}  // namespace

std::optional<EndpointReport> ParseEndpointLoadList(std::string_view text,
                                                    TimePoint now) {
  std::array<std::int32_t, kMaxFigures> figures{
      0, 0, 0, static_cast<std::int32_t>(kUsualPacePercent)};
  std::size_t n = 0;
  while (n < kMaxFigures) {
    const std::size_t comma = text.find(',');
    if (!ParseCount(Trim(text.substr(0, comma)), figures[n])) {
      return std::nullopt;
    }
    ++n;
    if (comma == std::string_view::npos) {
      break;
    }
    text.remove_prefix(comma + 1);
  }
  if (n < kMinFigures || figures[2] == 0) {
    return std::nullopt;
  }
  EndpointReport report;
  report.received_at = now;
  report.in_flight = figures[0];
  report.queued = figures[1];
  report.slots = figures[2];
  report.pace = std::max(1, figures[3]) / kUsualPacePercent;
  return report;
}

std::optional<Duration> ParseColdTime(std::string_view text) {
  std::int32_t ms = 0;
  if (!ParseCount(Trim(text), ms)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(ms);
}

std::optional<EndpointReport> ParseEndpointLoad(std::string_view text,
                                                TimePoint now) {
  EndpointReport report;
  report.received_at = now;
  report.slots = 0;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view field = Trim(text.substr(0, comma));
    if (!ParseField(field, report)) {
      return std::nullopt;
    }
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
  }
  if (report.slots == 0) {
    return std::nullopt;
  }
  return report;
}

}  // namespace damasktack
