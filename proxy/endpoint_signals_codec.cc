#include "proxy/endpoint_signals_codec.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <string>
#include <vector>

namespace damasktack {

namespace {

// Maximum warnings about invalid headers that one process logs.
constexpr int kMaxWarnings = 16;
// Longer pauses are cut to this value; by then the endpoint has been replaced.
constexpr std::chrono::hours kMaxRest(24);

// Returns the first of these headers that the answer has, or an empty text.
std::string_view FirstPresent(const HttpResponse& answer,
                              const std::vector<std::string>& names) {
  for (const std::string& it : names) {
    const auto text = FromBeast(answer[it]);
    if (!text.empty()) {
      return text;
    }
  }
  return {};
}

// A refusal that the endpoint only passes on from a hop behind it says nothing
// about the endpoint itself.
bool IsOwnRefusal(const HttpResponse& answer, const ProtocolNames& names) {
  const bool is_refusal =
      answer.result() == http::status::service_unavailable ||
      answer.result() == http::status::too_many_requests;
  return is_refusal && answer.count(names.outcome) == 0;
}

void LogInvalidHeader(std::string_view what, std::string_view text) {
  static std::atomic<int> lines = 0;
  if (lines < kMaxWarnings && lines.fetch_add(1) < kMaxWarnings) {
    spdlog::warn(
        "event=endpoint-header-refused what={} value=\"{}\" "
        "remedy=\"send a decimal number that is not negative\"",
        what, text);
  }
}

}  // namespace

std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), rate);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

std::optional<Duration> ParseSeconds(std::string_view text) {
  const std::optional<double> seconds = ParseRate(text);
  if (!seconds) {
    return std::nullopt;
  }
  using Seconds = std::chrono::duration<double>;
  return std::chrono::duration_cast<Duration>(
      std::min(Seconds(*seconds), Seconds(kMaxRest)));
}

std::optional<Duration> ParseKeepAliveTimeout(std::string_view text) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = text.substr(at + kTimeout.size());
  return ParseSeconds(rest.substr(0, rest.find_first_of(", ;")));
}

EndpointSignals ReadEndpointSignals(const HttpResponse& answer,
                                    const ProtocolNames& names) {
  EndpointSignals signals;
  if (IsOwnRefusal(answer, names)) {
    signals.rest = ParseSeconds(FromBeast(answer[http::field::retry_after]));
  }
  signals.leaving = FirstPresent(answer, names.leaving) == "1";
  const std::string_view limit = FirstPresent(answer, names.rate_limit);
  if (!limit.empty()) {
    signals.rate_limit = ParseRate(limit);
    if (!signals.rate_limit) {
      LogInvalidHeader("rate-limit", limit);
    }
  }
  return signals;
}

}  // namespace damasktack
